package ridgemill.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.registry.ListingJudge;

/** What {@code bench/one-reader} plays and measures. */
public final class ReadingMeasured {

    private static final long COST_S = 10;
    private static final double PLAY_MS = 20_000;
    private static final int CHANGES = 40;
    private static final double CHANGE_MS = 700;

    private ReadingMeasured() { }

    /** Plays seeds on a fleet that is made anew for every ten, and judges each; returns whether all passed. */
    public static boolean plays(int proxies, long firstSeed, int count) throws Exception {
        int seen = 0;
        int failed = 0;
        double most = 0;
        int stops = 0;
        int kills = 0;
        for (int played = 0; played < count;) {
            try (ReadingPlay play = ReadingPlay.start(proxies, firstSeed + played, true, Times.QUICK, null)) {
                play.awaitOneReader();
                for (int i = 0; i < 10 && played < count; i++, played++) {
                    ListingJudge.Verdict verdict = play.play(firstSeed + played, PLAY_MS);
                    seen += verdict.seen();
                    most = Math.max(most, verdict.mostMs());
                    if (!verdict.faults().isEmpty()) {
                        failed++;
                        System.out.println("FAILED seed " + (firstSeed + played) + ": " + verdict.faults().stream().limit(3).toList());
                        play.rig().history().events().forEach(System.out::println);
                        break;
                    }
                }
                stops += (int) play.rig().history().events().stream().filter(e -> e.what() == What.STOPPED).count();
                kills += (int) play.rig().history().events().stream().filter(e -> e.what() == What.KILLED).count();
            }
        }
        System.out.printf(Locale.ROOT, "%d proxies, seeds %d to %d, %.0f s each: what they go by was seen %d times, %d stops, %d kills; %.0f ms old at "
                + "most; %d plays failed%n", proxies, firstSeed, firstSeed + count - 1, PLAY_MS / 1e3, seen, stops, kills, most, failed);
        return failed == 0;
    }

    /** Polls, datagrams and CPU with each reading for itself and with one reading for all, and how soon a change is known. */
    public static void cost(int proxies, long seed) throws Exception {
        for (boolean one : List.of(false, true)) {
            try (ReadingPlay play = ReadingPlay.start(proxies, seed, one, Times.QUICK, null)) {
                if (one && !play.awaitOneReader()) {
                    System.out.println("nobody reads for all");
                    return;
                }
                TimeUnit.SECONDS.sleep(2);
                long polls = play.registry().requests();
                long datagrams = play.rig().net().counts().sent();
                long bytes = play.rig().net().counts().bytes();
                double cpu = cpu(play);
                TimeUnit.SECONDS.sleep(COST_S);
                System.out.printf(Locale.ROOT, "%d proxies, %s: %.1f polls, %.0f datagrams, %.0f bytes a second; %.1f ms of CPU a second and proxy%n",
                        proxies, one ? "one reads for all" : "each reads for itself", (double) (play.registry().requests() - polls) / COST_S,
                        (double) (play.rig().net().counts().sent() - datagrams) / COST_S,
                        (double) (play.rig().net().counts().bytes() - bytes) / COST_S, (cpu(play) - cpu) / COST_S / proxies);
                System.out.println("  from a change's acknowledgement to each proxy's going by it, ms: " + LeasesMeasured.spread(noticed(play)));
            }
        }
    }

    private static double cpu(ReadingPlay play) throws IOException {
        double used = 0;
        for (int i = 0; i < play.rig().size(); i++) {
            used += play.rig().proxy(i).cpuMs();
        }
        return used;
    }

    private static List<Double> noticed(ReadingPlay play) throws Exception {
        List<Double> all = new ArrayList<>();
        for (int c = 0; c < CHANGES; c++) {
            Map<String, String> next = play.drainNext();
            double from = System.nanoTime() / 1e6;
            boolean[] known = new boolean[play.rig().size()];
            int left = known.length;
            while (left > 0 && System.nanoTime() / 1e6 < from + 5000) {
                for (int i = 0; i < known.length; i++) {
                    if (!known[i] && play.goesBy(i).equals(next)) {
                        known[i] = true;
                        left--;
                        all.add(System.nanoTime() / 1e6 - from);
                    }
                }
            }
            TimeUnit.MILLISECONDS.sleep((long) (CHANGE_MS * (c % 7) / 7));
        }
        return all;
    }
}
