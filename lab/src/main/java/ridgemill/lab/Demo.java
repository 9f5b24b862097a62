package ridgemill.lab;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ridgemill.gateway.Service;
import ridgemill.gateway.net.Addresses;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.Fate;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.CacheNode;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.node.StandIn;

/** Everything on one machine, and one screen that shows it: for a first look, and to try things by hand. */
final class Demo {

    private static final double REPEAT_WINDOW_MS = 6000;
    private static final long END_S = 10;
    private static final int KEYS = 300;
    private static final long SEED = 1;
    private static final int WARM_KEYS = 200;
    /** The load is made in pieces: the ledger of one that ran for hours would fill the memory. */
    private static final double PIECE_S = 20;
    private static final String CLEAR = "\u001b[H\u001b[2J";

    private final int nodes;
    private final LoadProfile profile;
    private final boolean plain;
    private final AtomicBoolean stopping = new AtomicBoolean();

    Demo(int nodes, double rate, boolean plain) {
        this.nodes = nodes;
        this.profile = LoadProfile.USUAL.rate(rate, PIECE_S).keys(KEYS, 0.8);
        this.plain = plain;
    }

    void run(int seconds) throws Exception {
        Thread showing = Thread.currentThread();
        CountDownLatch ended = new CountDownLatch(1);
        Thread hook = new Thread(() -> {
            stopping.set(true);
            showing.interrupt();
            await(ended);
        }, "demo-end");
        Runtime.getRuntime().addShutdownHook(hook);
        long end = seconds == 0 ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        try (Testbed bed = new Testbed(nodes, NodeProfile.CACHE, NodeProfile.STORE, false, REPEAT_WINDOW_MS, SEED)) {
            var warm = IntStream.range(0, WARM_KEYS).mapToObj(Load::key).collect(Collectors.toSet());
            bed.fleet().caches().forEach(n -> n.warm(warm));
            InProcessProxy proxy = new InProcessProxy("p0", ProxyConfig.of("p0", 0, 1,
                    new InetSocketAddress("127.0.0.1", 0), bed.place("p0"), profile, NodeProfile.CACHE, null, List.of(), SEED));
            proxy.start();
            try {
                show(bed, proxy, end);
            } finally {
                proxy.terminate();
            }
        }
        System.out.println("ended");
        ended.countDown();
        if (!stopping.get()) {
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    /** Not for the thread itself to end: one that calls for an exit waits for this in turn. */
    private static void await(CountDownLatch ended) {
        try {
            ended.await(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void show(Testbed bed, InProcessProxy proxy, long end) {
        Map<String, InetSocketAddress> proxies = Map.of("p0", proxy.address());
        var piece = bed.load(profile, proxies).start();
        Service.Status before = proxy.service().status();
        while (!stopping.get() && System.nanoTime() < end) {
            try {
                TimeUnit.SECONDS.sleep(1);
            } catch (InterruptedException e) {
                return;
            }
            if (piece.isDone()) {
                piece = bed.load(profile, proxies).start();
            }
            Service.Status now = proxy.service().status();
            System.out.print(screen(bed, proxy, before, now));
            System.out.flush();
            before = now;
        }
    }

    private String screen(Testbed bed, InProcessProxy proxy, Service.Status before, Service.Status now) {
        double since = bed.ledger().now() - 1000;
        List<NodeEntry> lately = bed.ledger().takeNodesUntil(since);
        List<ClientEntry> clients = bed.ledger().takeClientsUntil(since);
        long hits = lately.stream().filter(e -> e.fate() == Fate.HIT).count();
        long misses = lately.stream().filter(e -> e.fate() == Fate.MISS).count();
        List<Double> times = clients.stream().filter(c -> !c.replies().isEmpty())
                .map(c -> c.replies().get(0).at() - c.sentAt()).sorted().toList();
        String line = String.format(Locale.ROOT, "requests %d/s  served %d  refused %d  failed %d  hits %.0f%%  "
                + "median %.1f ms  level %d  open %d  clients %d  connections to nodes %d%n",
                now.requests() - before.requests(), now.served() - before.served(), now.refused() - before.refused(),
                now.failed() - before.failed(), 100.0 * hits / Math.max(1, hits + misses),
                times.isEmpty() ? 0 : times.get(times.size() / 2), now.level(), now.owed(), now.clients(), now.nodes());
        if (plain) {
            return line;
        }
        List<StandIn> all = new ArrayList<>(bed.fleet().caches());
        all.add(bed.fleet().store());
        StringBuilder text = new StringBuilder(CLEAR).append("ridgemill at http://").append(Addresses.text(proxy.address()))
                .append("   Ctrl-C ends it\n\n").append(line).append(String.format("%n%-5s %-9s %8s %8s %8s %12s%n", "node",
                "state", "served", "in hand", "keys", "connections"));
        for (StandIn node : all) {
            long served = lately.stream().filter(e -> e.node().equals(node.name())).count();
            text.append(String.format("%-5s %-9s %8d %8d %8s %12d%n", node.name(), node.state(), served, node.inHand(),
                    node instanceof CacheNode cache ? cache.size() : "all", node.connections()));
        }
        return text.append("\ntry:  curl -i -H 'X-Call-Id: try-").append(now.requests())
                .append("' -H 'X-Call-Class: prepaid-balance' -H 'X-Budget: 1.5' http://")
                .append(Addresses.text(proxy.address())).append("/api/").append(Load.key(0)).append("\n").toString();
    }
}
