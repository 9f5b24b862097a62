package ridgemill.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.agreement.AgreementEnvironment;
import ridgemill.cdn.agreement.AgreementMessage;
import ridgemill.cdn.agreement.AgreementNode;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.agreement.NodeSettings;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.configuration.ConfigurationRules;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.MessageCodec;
import ridgemill.cdn.wire.StoreMessages;

/**
 * What deciding a change of one route costs by the number of items: processor time of three stores together, messages and
 * bytes between them, and writes to their disks. Messages are encoded and decoded; disks and links take no time.
 */
public final class ChangeCost {

    private static final int[] ITEMS = {30, 300, 3000};
    private static final int WARM_UP = 400;
    private static final int CHANGES = 400;
    private static final int ROUNDS = 5;
    private static final List<String> HOSTS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

    private final Map<String, AgreementNode> nodes = new HashMap<>();
    private final ArrayDeque<Runnable> deliveries = new ArrayDeque<>();
    private double nowMs;
    private long messages;
    private long bytes;
    private long writes;

    private ChangeCost() {}

    public static void main(String[] args) throws Exception {
        System.out.printf(
                "%8s %16s %16s %12s %12s %12s%n",
                "items", "ms of processor", "of it a store", "messages", "bytes", "writes");
        for (int items : ITEMS) {
            new ChangeCost().measure(items);
        }
    }

    private void measure(int items) throws Exception {
        for (String host : HOSTS) {
            NodeSettings settings = new NodeSettings(new Voter(host, "d"), "life-" + host, host, true, HOSTS, HOSTS, 1);
            AgreementNode node = new AgreementNode(settings, new Direct(), new ConfigurationRules());
            nodes.put(host, node);
            node.start(AcceptorRecord.EMPTY, nowMs);
        }
        settle(5_000);
        List<Item> first = new ArrayList<>();
        first.add(new Item(new ItemName(ItemKind.SERVICE, "s"), 1, "{\"version\":1}"));
        for (int i = 1; i < items; i++) {
            first.add(route(i, 1));
        }
        order(first);
        for (int i = 0; i < WARM_UP; i++) {
            order(List.of(route(1 + i % (items - 1), 2 + i)));
        }
        double[] perChange = new double[ROUNDS];
        messages = 0;
        bytes = 0;
        writes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long start = processorNanos();
            for (int i = 0; i < CHANGES; i++) {
                order(List.of(route(1 + i % (items - 1), 2 + WARM_UP + round * CHANGES + i)));
            }
            perChange[round] = (processorNanos() - start) / 1e6 / CHANGES;
        }
        Arrays.sort(perChange);
        double median = perChange[ROUNDS / 2];
        double changes = (double) ROUNDS * CHANGES;
        System.out.printf(
                Locale.ROOT,
                "%8d %16.3f %16.3f %12.1f %12.0f %12.1f%n",
                items,
                median,
                median / HOSTS.size(),
                messages / changes,
                bytes / changes,
                writes / changes);
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static Item route(int number, long version) {
        String content = "{\"hostname\":\"h" + number + ".example\",\"pathPrefix\":\"/p" + number
                + "/\",\"routeKind\":\"idempotent\",\"timeout\":\"1200ms\",\"targetLatency\":\"100ms\","
                + "\"priorityLevel\":2,\"service\":\"s\",\"maxAttempts\":2,\"version\":" + version + "}";
        return new Item(new ItemName(ItemKind.ROUTE, "r" + number), version, content);
    }

    private void order(List<Item> items) {
        AgreementNode leader = nodes.values().stream()
                .filter(AgreementNode::isLeading)
                .findFirst()
                .orElseThrow();
        ChangeResult[] result = new ChangeResult[1];
        leader.submit(items, false, nowMs, nowMs + 1_000, decided -> result[0] = decided);
        deliver();
        if (result[0] == null || result[0].outcome() != ChangeResult.Outcome.CONFIRMED) {
            throw new IllegalStateException("not decided: " + result[0]);
        }
    }

    private void settle(double forMs) {
        for (double end = nowMs + forMs; nowMs < end; nowMs += AgreementNode.TICK_MS) {
            nodes.values().forEach(node -> node.tick(nowMs));
            deliver();
        }
    }

    private void deliver() {
        while (!deliveries.isEmpty()) {
            deliveries.poll().run();
        }
    }

    /** Messages through their bytes, disks that are done at once. */
    private final class Direct implements AgreementEnvironment {

        @Override
        public void send(String address, AgreementMessage message) {
            try {
                byte[] encoded = MessageCodec.encode(new StoreMessages.Agreement(message));
                messages++;
                bytes += encoded.length;
                deliveries.add(() -> receive(address, encoded));
            } catch (java.io.IOException impossible) {
                throw new java.io.UncheckedIOException(impossible);
            }
        }

        private void receive(String address, byte[] encoded) {
            try {
                StoreMessages.Agreement message = (StoreMessages.Agreement) MessageCodec.decode(encoded);
                nodes.get(address).receive(message.content(), nowMs);
            } catch (java.io.IOException impossible) {
                throw new java.io.UncheckedIOException(impossible);
            }
        }

        @Override
        public void persist(AcceptorRecord record, Runnable durable) {
            writes++;
            deliveries.add(durable);
        }

        @Override
        public void onDecided(List<Item> changed, VoterSet voters) {}

        @Override
        public double random() {
            return 0.5;
        }
    }
}
