package ridgemill.lab.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import ridgemill.lab.fleet.LeasePlay.Result;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.lease.LeasePolicy;
import ridgemill.testbed.acts.Act;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.peers.PeerNet;

/** What leases are worth and cost with real processes: seeded timelines by the hundred, and how long each kind of fault leaves nobody. */
public final class LeasesMeasured {

    private static final double TIMELINE_LEASES = 3;
    private static final int COST_S = 10;

    private final Times times;
    private final int proxies;

    public LeasesMeasured(Times times, int proxies) {
        this.times = times;
        this.proxies = proxies;
    }

    private FleetRig rig(long seed) throws Exception {
        return FleetRig.start(FleetRig.Plan.operated(proxies, seed, times.operatorFile()));
    }

    /** Plays so many timelines, a fleet for each fifty, and prints what came of it; returns whether all passed. */
    public boolean timelines(long firstSeed, int count) throws Exception {
        int played = 0;
        int acts = 0;
        int refused = 0;
        int failed = 0;
        int unproved = 0;
        int starved = 0;
        double held = 0;
        List<Double> healed = new ArrayList<>();
        Map<What, Integer> faults = new TreeMap<>();
        Map<String, Integer> holders = new TreeMap<>();
        while (played < count) {
            try (FleetRig rig = rig(firstSeed + played)) {
                LeasePlay play = new LeasePlay(rig, times);
                if (!play.awaitAct()) {
                    throw new IllegalStateException("nobody acted before any fault");
                }
                for (int i = 0; i < 50 && played < count; i++) {
                    long seed = firstSeed + played++;
                    Timeline timeline = Timeline.ofSeed(seed, proxies, times.lengthMs(), TIMELINE_LEASES * times.lengthMs(), times.drift());
                    Result result = play.play(timeline);
                    acts += result.verdict().acts();
                    refused += result.verdict().refused();
                    held += result.heldShare();
                    if (result.latenessMs() > times.marginMs() / 2) {
                        unproved++;
                    } else if (!result.passed() && result.stolenMs() > times.marginMs() / 2) {
                        starved++;
                        System.out.println("starved, seed " + seed + ": " + result);
                    } else if (!result.passed()) {
                        failed++;
                        System.out.println("FAILED seed " + seed + " with " + proxies + " proxies: " + result + "\n" + timeline);
                    }
                    if (result.healedMs() >= 0) {
                        healed.add(result.healedMs());
                    }
                }
                rig.history().events().forEach(e -> faults.merge(e.what(), 1, Integer::sum));
                rig.acts().acts().forEach(a -> holders.merge(a.holder(), 1, Integer::sum));
            }
        }
        System.out.printf(Locale.ROOT, "%d proxies, leases of %.0f ms, seeds %d to %d: %d acts by %d holders, %d refused by term, %d timelines failed, "
                + "%d more while the host took too much of the machine, %d in which the rig itself was late and which prove nothing; held %.3f of the time under faults; %s%n", proxies, times.lengthMs(),
                firstSeed, firstSeed + count - 1, acts, holders.size(), refused, failed, starved, unproved, held / count, faults);
        System.out.println("from the end of all faults to the next act, ms: " + spread(healed));
        return failed == 0;
    }

    /** How long from one fault at the holder to the next one's first act, by the kind of fault and the share of datagrams that are lost. */
    public void takeovers(long seed, int each) throws Exception {
        for (double loss : List.of(0.0, 0.1, 0.3)) {
            try (FleetRig rig = rig(seed)) {
                LeasePlay play = new LeasePlay(rig, times);
                for (int i = 0; i < each; i++) {
                    for (What what : List.of(What.KILLED, What.STOPPED, What.NETWORK, What.TERMINATED)) {
                        takeover(rig, play, what, loss);
                    }
                }
                LeasePlay.takeovers(rig.history(), rig.acts().acts()).forEach((what, ms) ->
                        System.out.printf(Locale.ROOT, "%d proxies, %.0f ms, loss %.1f, holder %s: %s%n", proxies, times.lengthMs(), loss,
                                what.toLowerCase(Locale.ROOT), spread(ms)));
            }
        }
    }

    private void takeover(FleetRig rig, LeasePlay play, What what, double loss) throws Exception {
        rig.net().set(0, 0);
        // All that were started have been voters for long enough: what is measured is the fault and no start.
        TimeUnit.MILLISECONDS.sleep((long) (2.5 * times.lengthMs()));
        if (!play.awaitAct()) {
            System.out.println("nobody acted before a fault");
            return;
        }
        rig.net().set(loss, 0);
        TimeUnit.MILLISECONDS.sleep((long) (times.lengthMs() / 2));
        List<Act> acts = rig.acts().acts();
        String holder = acts.get(acts.size() - 1).holder();
        int number = Integer.parseInt(holder.substring(1, holder.indexOf('#')));
        switch (what) {
            case KILLED -> rig.kill(number);
            case STOPPED -> rig.stop(number);
            case NETWORK -> {
                rig.history().note(FleetRig.name(number), What.NETWORK, "isolated");
                rig.net().split(List.of(number));
            }
            default -> rig.terminate(number);
        }
        double from = rig.bed().ledger().now();
        while (rig.bed().ledger().now() < from + 10 * times.lengthMs()
                && rig.acts().acts().stream().filter(a -> a.firstAt() > from - 500).allMatch(a -> a.holder().equals(holder))) {
            TimeUnit.MILLISECONDS.sleep(20);
        }
        rig.net().set(0, 0);
        rig.goOn(number);
        rig.start(number);
    }

    /** What it costs while nothing happens. */
    public void cost(long seed) throws Exception {
        try (FleetRig rig = rig(seed)) {
            LeasePlay play = new LeasePlay(rig, times);
            play.awaitAct();
            PeerNet.Counts before = rig.net().counts();
            double[] cpu = new double[proxies];
            for (int i = 0; i < proxies; i++) {
                cpu[i] = rig.proxy(i).cpuMs();
            }
            TimeUnit.SECONDS.sleep(COST_S);
            PeerNet.Counts after = rig.net().counts();
            double used = 0;
            for (int i = 0; i < proxies; i++) {
                used += rig.proxy(i).cpuMs() - cpu[i];
            }
            System.out.printf(Locale.ROOT, "%d proxies, one lease of %.0f ms held: %.1f datagrams and %.0f bytes a second over the fleet, %.1f ms of CPU "
                    + "a second and proxy (with an act each 40 ms at one of them)%n", proxies, times.lengthMs(),
                    (double) (after.sent() - before.sent()) / COST_S, (double) (after.bytes() - before.bytes()) / COST_S, used / COST_S / proxies);
        }
    }

    /** What leases cost and how long a silent holder leaves nobody, in fleets that no machine holds as processes. */
    public static void model(long seed) {
        for (int proxies : List.of(3, 15, 100)) {
            for (int leases : List.of(1, 10, 100)) {
                LeaseModel.print(proxies, leases, LeasePolicy.DEFAULT, 0, leases < 100 ? 200 : 20, seed);
            }
        }
        LeaseModel.print(100, 10, LeasePolicy.DEFAULT, 0.1, 200, seed);
        LeaseModel.print(100, 10, LeasePolicy.DEFAULT, 0.3, 200, seed);
    }

    /** Plays one timeline from a file, and prints what was done and seen. */
    public boolean one(Path file) throws Exception {
        Timeline timeline = Timeline.parse(file.toString(), Files.readString(file), proxies);
        try (FleetRig rig = rig(1)) {
            LeasePlay play = new LeasePlay(rig, times);
            play.awaitAct();
            Result result = play.play(timeline);
            rig.history().events().forEach(System.out::println);
            System.out.println(result);
            return result.passed();
        }
    }

    /** The fewest steps of a timeline that still fail, each tried three times on a fleet of its own. */
    public Timeline shrunk(Timeline failing) {
        return failing.shrunk(t -> {
            for (int i = 0; i < 3; i++) {
                try (FleetRig rig = rig(i)) {
                    LeasePlay play = new LeasePlay(rig, times);
                    play.awaitAct();
                    if (!play.play(t).passed()) {
                        return true;
                    }
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }
            return false;
        });
    }

    /** Median, 99th in a hundred and highest. */
    static String spread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? "none" : String.format(Locale.ROOT, "p50 %.0f, p99 %.0f, max %.0f of %d", sorted.get(sorted.size() / 2),
                sorted.get((int) (0.99 * (sorted.size() - 1))), sorted.get(sorted.size() - 1), sorted.size());
    }
}
