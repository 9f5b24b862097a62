package ridgemill.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.testbed.load.LoadProfile;

/** What {@code bench/one-prober} measures: how soon a node that is back gets requests again. */
public final class ProbingMeasured {

    private static final double PER_PROXY = 30;

    private ProbingMeasured() { }

    /** So many outages of so long, with each proxy for itself and with one that asks for all. */
    public static void print(int proxies, long seed, int outages, double ms) throws Exception {
        double seconds = outages * (ms / 1e3 + 5);
        LoadProfile profile = LoadProfile.USUAL.rate(PER_PROXY * proxies, seconds);
        for (boolean one : List.of(false, true)) {
            List<Double> back = new ArrayList<>();
            int missing = 0;
            try (ProbingPlay play = ProbingPlay.start(proxies, seed, one, Times.QUICK, profile)) {
                if (one && !play.awaitHolder()) {
                    System.out.println("nobody holds the lease");
                    return;
                }
                List<Integer> all = IntStream.range(0, proxies).boxed().toList();
                CompletableFuture<Void> load = play.rig().load(profile).start();
                for (int i = 0; i < outages; i++) {
                    ProbingPlay.Outage o = play.outage(all, ms);
                    back.addAll(o.backMs());
                    missing += o.missing();
                    TimeUnit.MILLISECONDS.sleep(500);
                }
                load.get((long) seconds + 60, TimeUnit.SECONDS);
            }
            System.out.printf(Locale.ROOT, "%d proxies, %d outages of %.0f s, %s: from when it can be reached to each proxy's next request there, ms: "
                    + "%s; %d without one%n", proxies, outages, ms / 1e3, one ? "one asks for all"
                    : "each tries for itself", LeasesMeasured.spread(back), missing);
        }
    }
}
