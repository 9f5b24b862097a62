package ridgemill.bench;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Actions;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.WeightMode;

/**
 * What the decisions on one request cost, by the number of nodes: that it came, and that its one attempt was a hit. Time
 * passes as under 10,000 requests a second; sixteen are out at a time.
 */
public final class DecideCost implements Actions {

    private static final int ROUNDS = 5;
    private static final double SECONDS = 1;
    private static final double GAP_MS = 0.1;
    private static final int OUT = 16;

    private record Sent(String request, String node, int attempt) {}

    private final List<Sent> sent = new ArrayList<>();
    private long refused;

    public static void main(String[] args) {
        System.out.printf("%10s %16s %18s%n", "nodes", "ns a request", "bytes a request");
        for (int nodes : new int[] {10, 100, 1000, 10_000}) {
            double[] each = new double[ROUNDS];
            double[] bytes = new double[ROUNDS];
            for (int round = 0; round < ROUNDS; round++) {
                new DecideCost().run(nodes, each, bytes, round);
            }
            Arrays.sort(each);
            Arrays.sort(bytes);
            System.out.printf(Locale.ROOT, "%10d %16.0f %18.0f%n", nodes, each[ROUNDS / 2], bytes[ROUNDS / 2]);
        }
    }

    private void run(int count, double[] nanos, double[] bytes, int round) {
        Settings settings = new Settings(
                0,
                1,
                "a",
                1,
                List.of(new ServiceClass("read", 500, 0, 1500, 1, 0, Effect.SAFE, DeduplicationScope.ALL, 0, false)),
                List.of(),
                1,
                false,
                new PlatformLimits(6, true, false, false, true, 1000, false, 150),
                new PlatformRules(2000, 0.21, 6000, 2.5, 2000, 20, 10_000),
                false,
                WeightMode.NONE,
                "origin");
        BalancingRouter decide = new BalancingRouter(settings, 7);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("c" + i, "std", "a", 0, 1, 0, Availability.UP));
        }
        nodes.add(new Node("db", "origin", "a", 0, 1, 0, Availability.UP));
        double now = 1e6;
        decide.onStart(now, this);
        decide.onNodeList(now, ListUpdateKind.FULL, 1, nodes, this);
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long id = Thread.currentThread().getId();
        double nextStep = now;
        long start = System.nanoTime();
        long allocated = threads.getThreadAllocatedBytes(id);
        long done = 0;
        for (long n = 0; System.nanoTime() - start < SECONDS * 1e9; n++, now += GAP_MS) {
            if (now >= nextStep) {
                decide.onTimer(now, "step", this);
                nextStep = now + 100;
            }
            decide.onRequest(
                    now, new Request("r" + n, "read", "t", n * 0x9e3779b97f4a7c15L >>> 1, 0, 1500, false, false), this);
            while (sent.size() > OUT) {
                Sent s = sent.remove(0);
                decide.onAttemptEnded(
                        now,
                        new AttemptResult(
                                s.request(), s.attempt(), s.node(), Outcome.OK, OUT * GAP_MS, true, 1, Map.of()),
                        this);
                done++;
            }
        }
        nanos[round] = (double) (System.nanoTime() - start) / Math.max(1, done);
        bytes[round] = (double) (threads.getThreadAllocatedBytes(id) - allocated) / Math.max(1, done);
        if (refused > done / 10) {
            System.out.println(
                    "refused " + refused + " of " + (done + refused) + ": not the path that is to be measured");
        }
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        sent.add(new Sent(request, node, 0));
    }

    @Override
    public void cancel(String request, int attempt) {}

    @Override
    public void refuse(String request, double retryAfterMs) {
        refused++;
    }

    @Override
    public void fail(String request) {
        refused++;
    }

    @Override
    public void setTimer(double atMs, String token) {}

    @Override
    public void subscribe() {}

    @Override
    public void probe(String node) {}

    @Override
    public void broadcast(byte[] contents) {}

    @Override
    public void closeIdleConnections(String node) {}
}
