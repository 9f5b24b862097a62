package ridgemill.lab;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import ridgemill.gateway.Config;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.Operated;
import ridgemill.lab.TwoHalls.Hall;
import ridgemill.lab.TwoHalls.Plan;
import ridgemill.idempotency.InMemoryIdempotencyStore;
import ridgemill.idempotency.IdempotencyRecords;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.link.Link.Conditions;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/**
 * What orphaned work costs a slow store, and what is left of it: the same clients, a third of which leaves, at 1.0, 1.5 and
 * 2.5 times what the store can do, with nothing cancelled, with cancels alone and with all that is made of deadlines; then over
 * other protocols and between halls. Judged from the stand-ins' ledgers.
 */
final class DeadlinesMeasured {

    private static final int STORE_CORES = 2;
    private static final double STORE_MS = 8;
    private static final double STORE_PER_S = STORE_CORES * 1000 / STORE_MS;
    private static final int NODES = 4;
    private static final double LEAVING = 0.33;
    /** The classes of the meter fleet under an operator file, each with its usual attempts. */
    static final String CLASSES = """
            [classes.latest-reading]
            effect = "safe"
            wanted = "600ms"
            [classes.prepaid-balance]
            effect = "safe"
            wanted = "500ms"
            [classes.supply-status]
            effect = "safe"
            total = "1200ms"
            wanted = "300ms"
            [classes.recharge-credit]
            effect = "keyed"
            repeat-window = "6s"
            """;

    /** What is compared. */
    private enum Way {
        NOTHING("nothing cancelled", "[deadlines]\ndrop = false\nunread = false\n"),
        CANCELS("cancels alone", "[deadlines]\ndrop = false\nunread = false\n"),
        DROPS("cancels, and what is too late dropped", "[deadlines]\nunread = false\n"),
        ALL("all, credits recorded", "[deadlines]\nside-by-side = 4\n[outcomes]\nkeep = \"60s\"\n");

        private final String name;
        private final String file;

        Way(String name, String file) {
            this.name = name;
            this.file = file;
        }
    }

    private final long seed;
    private final double seconds;
    private final Path directory;
    private long requests;

    DeadlinesMeasured(long seed, double seconds, Path directory) {
        this.seed = seed;
        this.seconds = seconds;
        this.directory = directory;
    }

    void run() throws Exception {
        System.out.printf(Locale.ROOT, "seed %d, a store that can do %.0f reads/s and notices a cancel after 20 ms, every key once, %.0f%% of "
                + "the clients leaves within a quarter of its time, %.0f s each%n", seed, STORE_PER_S, 100 * LEAVING, seconds);
        System.out.printf("%-34s %8s %8s %9s %9s %9s %9s %10s %8s %9s %9s %9s%n", "", "tries", "served/s", "store s", "unread s", "of it",
                "began late", "worst ms", "over 100", "p99 over", "worst ms", "rules");
        for (double load : new double[] {1.0, 1.5, 2.5}) {
            for (Way way : Way.values()) {
                tell(String.format(Locale.ROOT, "%.1f x, %s", load, way.name), play(way, Protocol.HTTP, Protocol.HTTP, load, 20));
            }
        }
        for (Protocol in : Protocol.values()) {
            for (Protocol out : Protocol.values()) {
                if (in != Protocol.HTTP || out != Protocol.HTTP) {
                    tell("1.5 x, all, " + in + " in, " + out + " out", play(Way.ALL, in, out, 1.5, 20));
                }
            }
        }
        tell("1.5 x, all, notices after 200 ms", play(Way.ALL, Protocol.HTTP, Protocol.HTTP, 1.5, 200));
        halls();
        System.out.println(requests + " tries in all");
        record();
    }

    /** What the record of outcomes takes, by the heap before and after it is filled. */
    private static void record() {
        int most = 200_000;
        InMemoryIdempotencyStore kept = new InMemoryIdempotencyStore(most);
        IdempotencyRecords outcomes = new IdempotencyRecords(kept, 600_000);
        long before = used();
        long start = System.nanoTime();
        for (int i = 0; i < most; i++) {
            String key = "credit-2026-" + (100_000_000 + i);
            String call = "q" + Long.toHexString(0x100000000L + i);
            outcomes.begin(i / 100.0, key, call, "bagmati-bijuli", i, 6000);
            outcomes.callEnded(i / 100.0, key, call, IdempotencyRecords.CallResult.SERVED);
        }
        double micros = (System.nanoTime() - start) / 1e3 / most;
        System.out.printf(Locale.ROOT, "record: %.0f bytes an outcome, keys and ids of 21 and 10 characters counted, %.2f us to take and end one "
                + "(%d kept)%n", (used() - before) / (double) most, micros, kept.size());
    }

    private static long used() {
        Runtime r = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return r.totalMemory() - r.freeMemory();
    }

    /** The ways at one load, in turn, each round with a seed of its own. */
    void compare(double load, int rounds) throws Exception {
        System.out.printf(Locale.ROOT, "seeds %d to %d, %.1f times what the store can do, %.0f s each: served/s, store's time for nobody%n", seed,
                seed + rounds - 1, load, seconds);
        Map<Way, List<double[]>> all = new EnumMap<>(Way.class);
        for (int round = 0; round < rounds; round++) {
            for (Way way : Way.values()) {
                Ledger ledger = new DeadlinesMeasured(seed + round, seconds, directory).play(way, Protocol.HTTP, Protocol.HTTP, load, 20);
                OrphanWork o = OrphanWork.of(ledger, "db");
                double served = ledger.clients().stream().filter(c -> c.leftAt() == 0 && OrphanWork.isServed(c)).map(ClientEntry::first)
                        .distinct().count() / seconds;
                all.computeIfAbsent(way, w -> new ArrayList<>()).add(new double[] {served, o.unreadMs() / Math.max(1, o.storeMs())});
            }
        }
        all.forEach((way, figures) -> System.out.println(way.name + ": " + figures.stream().map(f ->
                String.format(Locale.ROOT, "%.0f %.3f", f[0], f[1])).collect(Collectors.joining(", "))));
    }

    private void tell(String name, Ledger ledger) {
        OrphanWork o = OrphanWork.of(ledger, "db");
        List<ClientEntry> clients = ledger.clients();
        requests += clients.size();
        Map<String, Boolean> wishes = new HashMap<>();
        clients.forEach(c -> wishes.merge(c.first(), c.leftAt() == 0 && c.replies().stream().anyMatch(r ->
                r.kind() == ClientEntry.Kind.SERVED && r.at() - c.sentAt() <= c.budgetMs()), Boolean::logicalOr));
        int broken = new Auditor(ledger, Auditor.Limits.STRICT.withSlack(100)).audit().size();
        System.out.printf(Locale.ROOT, "%-34s %8d %8.1f %9.2f %9.2f %9.3f %9d %10.1f %8d %9.1f %9.1f %9d%n", name, clients.size(),
                wishes.values().stream().filter(w -> w).count() / seconds, o.storeMs() / 1000, o.unreadMs() / 1000,
                o.unreadMs() / Math.max(1, o.storeMs()), o.begunLateMs().size(), OrphanWork.at(o.begunLateMs(), 1), o.overhangOver(100),
                OrphanWork.at(o.overhangMs(), 0.99), OrphanWork.at(o.overhangMs(), 1), broken);
        credits(ledger);
    }

    /** Each credit's effects, and whether one that was told as served has none. */
    private static void credits(Ledger ledger) {
        Map<String, Long> recorded = ledger.nodes().stream().filter(NodeEntry::hasRecorded).collect(Collectors.groupingBy(e ->
                String.valueOf(e.idempotencyKey()), Collectors.counting()));
        long twice = recorded.values().stream().filter(n -> n > 1).count();
        long untrue = ledger.clients().stream().filter(c -> c.service().write() && OrphanWork.isServed(c)
                && !recorded.containsKey(c.idempotencyKey())).count();
        long keys = ledger.clients().stream().filter(c -> c.service().write()).map(ClientEntry::idempotencyKey).distinct().count();
        if (twice > 0 || untrue > 0) {
            System.out.println("  of " + keys + " credits " + twice + " were recorded twice, " + untrue + " told as done and were not");
        }
    }

    private Ledger play(Way way, Protocol in, Protocol out, double load, double noticeMs) throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(load * STORE_PER_S, seconds).keys(1_000_000, 0).leaving(LEAVING).retrying(1, 50);
        Testbed bed = new Testbed(NODES, NodeProfile.CACHE.working(0.5, 0.5), NodeProfile.STORE.cores(STORE_CORES).working(STORE_MS, STORE_MS)
                .holding(1000, 1000, 60_000), false, 6000, seed, out);
        try (bed; Reservation port = new Reservation()) {
            bed.fleet().store().faults().stopsAfter(noticeMs);
            bed.fleet().caches().forEach(n -> n.faults().stopsAfter(noticeMs));
            Path file = directory.resolve("gateway-" + port.address().getPort() + ".toml");
            Files.writeString(file, CLASSES + way.file + "[groups.hall]\nprotocol = \"" + out.name().toLowerCase(Locale.ROOT) + "\"\nnodes = { "
                    + bed.fleet().caches().stream().map(n -> n.name() + " = \"" + Addresses.text(n.address()) + "\"")
                    .collect(Collectors.joining(", ")) + " }\nstore = \"" + Addresses.text(bed.fleet().store().address()) + "\"\n"
                    + (out == Protocol.RESP ? "cancels = true\n" : "") + "[[route]]\nname = \"all\"\npath = \"/api/**\"\ngroup = \"hall\"\n"
                    + "[[listener]]\nname = \"in\"\nprotocol = \"resp\"\naddress = \"" + Addresses.text(port.address()) + "\"\n");
            JsonObject json = ProxyConfig.of("p0", 0, 1, new InetSocketAddress("127.0.0.1", 0), bed.place("p0"), profile, NodeProfile.CACHE,
                    null, List.of(), seed);
            json.getAsJsonObject("limits").addProperty("sockets", 4096);
            json.getAsJsonObject("settings").getAsJsonObject("limits").addProperty("cancelling", way != Way.NOTHING);
            Config config = Config.parse(json.toString(), Map.of());
            Operated operated = Operated.start(config, file.toString(), new BalancingRouter(config.settings(), seed));
            bed.load(profile, Map.of("p0", in == Protocol.HTTP ? operated.listening() : port.address()), in).start()
                    .get(120, TimeUnit.SECONDS);
            while (bed.fleet().store().inHand() > 0) {
                Thread.sleep(10);
            }
            operated.kill();
            return bed.ledger();
        }
    }

    /** All of one hall's reads cross, as its store is gone; the other's store is asked for 1.5 times what it can do. */
    private void halls() throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(STORE_PER_S / 2, seconds).keys(1_000_000, 0).leaving(LEAVING).retrying(1, 50);
        Plan plan = Plan.USUAL.gateways(1).seed(seed).settings("budget = \"5000/s\"\n[outcomes]\nkeep = \"60s\"\n");
        try (TwoHalls halls = new TwoHalls(plan, profile, Files.createDirectory(directory.resolve("halls")))) {
            while (!halls.isLinked()) {
                Thread.sleep(20);
            }
            halls.links().forEach(l -> l.set(Conditions.CLEAR.delay(10)));
            halls.all().forEach(h -> h.bed().fleet().store().faults().stopsAfter(20));
            Hall teku = halls.hall(0);
            teku.storeGone(true);
            List<CompletableFuture<Void>> loads = new ArrayList<>();
            halls.all().forEach(h -> loads.add(h.bed().load(profile, h.clientsAt()).start()));
            for (CompletableFuture<Void> l : loads) {
                l.get(120, TimeUnit.SECONDS);
            }
            while (halls.all().stream().anyMatch(h -> h.bed().fleet().store().inHand() > 0)) {
                Thread.sleep(10);
            }
            tell("two halls, 10 ms each way, one store", halls.seen());
        }
    }
}
