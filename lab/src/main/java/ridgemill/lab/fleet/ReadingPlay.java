package ridgemill.lab.fleet;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.registry.ListingJudge;
import ridgemill.testbed.registry.RegistryStandIn;

/**
 * A fleet of processes whose nodes a registry tells of, read by one of them for all: seeded changes and faults, and what each process
 * says that it goes by, judged by a {@link ListingJudge}. Calls come from one thread.
 */
public final class ReadingPlay implements AutoCloseable {

    /** The interval of polls. */
    public static final double INTERVAL_MS = 200;
    private static final String APP = "METER-CACHE";
    private static final int INSTANCES = 40;
    private static final int FIRST_PORT = 20_000;
    private static final int LOOK_MS = 50;
    /** One may come and go four times a minute before it is held back. */
    private static final int MOST_GOINGS = 3;
    /** If half were away together, that would not be believed for a while. */
    private static final int MOST_AWAY = 10;
    /** Three intervals and two polls, by a slow clock, as far as a registry that answers at once goes; the rest is the machine's. */
    private static final double BOUND_MS = 1300;
    private static final double SETTLED_S = 30;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RegistryStandIn registry = new RegistryStandIn(loops.next());
    private final FleetRig rig;
    private final ListingJudge judge = new ListingJudge();
    private final List<ListingJudge.Seen> seen = new ArrayList<>();
    private final Map<String, String> has = new TreeMap<>();
    private final Map<String, Integer> goings = new HashMap<>();
    private final Deque<String> away = new ArrayDeque<>();
    private int next;

    private ReadingPlay(FleetRig.Plan plan) throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            set("i" + i, "UP");
        }
        judge.has(0, 0, has);
        rig = FleetRig.start(plan.under(plan.operatorFile().replace("{registry}", registry.url())));
    }

    /** Starts so many processes; {@code one} says whether one reads for all; classes before the program's own, or null. */
    public static ReadingPlay start(int proxies, long seed, boolean one, Times times, String before) throws Exception {
        return new ReadingPlay(FleetRig.Plan.operated(proxies, seed, file(one, times)).mutated(before));
    }

    private static String file(boolean one, Times times) {
        return """
                [control]
                socket = "{dir}/{name}.sock"
                [eureka]
                urls = ["{registry}"]
                interval = "%.0fms"
                timeout = "600ms"
                one-reader = %s
                [groups.hall]
                eureka = "%s"
                """.formatted(INTERVAL_MS, one, APP) + times.section();
    }

    /** The fleet itself. */
    public FleetRig rig() {
        return rig;
    }

    /** The registry. */
    public RegistryStandIn registry() {
        return registry;
    }

    private void set(String id, String status) {
        has.put(id, status);
        registry.put(APP, id, new InetSocketAddress("127.0.0.1", FIRST_PORT + Integer.parseInt(id.substring(1))), status, Map.of());
    }

    /** Something changes in the registry. */
    private void change(SplittableRandom random) {
        double from = rig.bed().ledger().now();
        for (int i = 0; i < 1 + random.nextInt(2); i++) {
            String id = "i" + next % INSTANCES;
            if (away.size() >= MOST_AWAY || random.nextInt(3) == 0 && !away.isEmpty()) {
                set(away.removeFirst(), "UP");
            } else if (goings.merge(id, 1, Integer::sum) <= MOST_GOINGS) {
                next++;
                away.add(id);
                if (random.nextInt(4) == 0) {
                    has.remove(id);
                    registry.remove(APP, id);
                } else {
                    set(id, "OUT_OF_SERVICE");
                }
            }
            // Each is one of its own for who polls between.
            judge.has(from, rig.bed().ledger().now(), has);
        }
    }

    /** One more instance drains, or one of those that do is back; returns what the registry has then. */
    Map<String, String> drainNext() {
        if (away.size() >= MOST_AWAY) {
            set(away.removeFirst(), "UP");
        } else {
            String id = "i" + next++ % INSTANCES;
            away.add(id);
            set(id, "OUT_OF_SERVICE");
        }
        return Map.copyOf(has);
    }

    /** What a process says that it goes by; empty where it can't say. */
    public Map<String, String> goesBy(int number) {
        Map<String, String> all = new TreeMap<>();
        for (String line : rig.lines(number, "nodes")) {
            String[] words = line.split(" ");
            if (words[0].equals("hall") && words[1].startsWith("i")) {
                all.put(words[1], words[3].equals("IN") ? "UP" : words[3].equals("DRAINING") ? "OUT_OF_SERVICE" : words[3]);
            }
        }
        return all;
    }

    /** Asks each that runs what it goes by. */
    private void look() {
        for (int i = 0; i < rig.size(); i++) {
            if (!rig.proxy(i).isAlive() || rig.isStopped(i)) {
                continue;
            }
            double asked = rig.bed().ledger().now();
            Map<String, String> all = goesBy(i);
            if (!all.isEmpty()) {
                seen.add(new ListingJudge.Seen(FleetRig.name(i), asked, rig.bed().ledger().now(), all));
            }
        }
    }

    /** Lets all go on for so long, looking at what each goes by. */
    public void pass(double ms) throws InterruptedException {
        double end = rig.bed().ledger().now() + ms;
        while (rig.bed().ledger().now() < end) {
            look();
            // Processes tell of themselves only when they are asked.
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
    }

    /** Waits until one reads for all and all others go by what they are told; false if that does not come. */
    public boolean awaitOneReader() throws Exception {
        double end = rig.bed().ledger().now() + SETTLED_S * 1e3;
        while (rig.bed().ledger().now() < end) {
            int told = 0;
            int read = 0;
            for (int i = 0; i < rig.size(); i++) {
                List<String> lines = rig.lines(i, "nodes");
                told += (int) lines.stream().filter(l -> l.contains("goes by what it is told")).count();
                read += (int) lines.stream().filter(l -> l.contains("reads for all")).count();
            }
            if (read == 1 && told == rig.size() - 1) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return false;
    }

    /** Who reads for all, by what it says; -1 for nobody. */
    public int reader() {
        return IntStream.range(0, rig.size()).filter(i -> rig.proxy(i).isAlive() && !rig.isStopped(i)
                && rig.lines(i, "nodes").stream().anyMatch(l -> l.contains("reads for all"))).findFirst().orElse(-1);
    }

    /** Plays so long of changes and faults from a seed, heals all, and judges all that was seen. */
    public ListingJudge.Verdict play(long seed, double ms) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        goings.clear();
        double end = rig.bed().ledger().now() + ms;
        while (rig.bed().ledger().now() < end) {
            int who = random.nextBoolean() ? Math.max(0, reader()) : random.nextInt(rig.size());
            double length = 200 + 2000 * random.nextDouble();
            switch (random.nextInt(7)) {
                case 0 -> {
                    rig.stop(who);
                    changes(random, length);
                    rig.goOn(who);
                }
                case 1 -> {
                    rig.kill(who);
                    changes(random, length);
                    rig.start(who);
                }
                case 2 -> {
                    rig.history().note(FleetRig.name(who), What.NETWORK, "isolated");
                    rig.net().split(List.of(who));
                    changes(random, length);
                }
                case 3 -> {
                    rig.net().change(w -> w.loss(0.4 * random.nextDouble()).doubled(0.2));
                    changes(random, length);
                }
                case 4 -> {
                    rig.net().change(w -> w.delay(0, 2000 * random.nextDouble()));
                    changes(random, length);
                }
                case 5 -> {
                    rig.net().change(w -> w.replayed(0.3).flipped(0.1));
                    changes(random, length);
                }
                default -> {
                    rig.clockRate(who, 0.95 + 0.1 * random.nextDouble());
                    changes(random, length);
                }
            }
            rig.net().set(0, 0);
            changes(random, 300);
        }
        for (int i = 0; i < rig.size(); i++) {
            rig.clockRate(i, 1);
        }
        pass(500);
        return judge.judge(seen, rig.history(), BOUND_MS + rig.bed().latenessMs());
    }

    private void changes(SplittableRandom random, double ms) throws InterruptedException {
        double end = rig.bed().ledger().now() + ms;
        while (rig.bed().ledger().now() < end) {
            change(random);
            pass(Math.min(150 + 300 * random.nextDouble(), Math.max(0, end - rig.bed().ledger().now())));
        }
    }

    @Override
    public void close() throws IOException {
        rig.close();
        registry.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
