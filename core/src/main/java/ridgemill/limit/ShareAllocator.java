package ridgemill.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.limit.LoopShare.Grant;
import ridgemill.limit.LoopShare.UsageReport;
import ridgemill.limit.LoopShare.Usage;

/**
 * Divides limits that the event loops of a process enforce together, and moves shares to the loops with the highest
 * demand. Each loop counts against its own share without synchronization. It reports at intervals, and what one loop
 * leaves unused is granted to another.
 *
 * <p>The sum of the shares never exceeds the whole limit. The fractions of a rate add up to 1, and tokens that a
 * smaller fraction cuts off go to loops that refuse requests, never into two buckets. For requests in flight, what is
 * taken from one loop is granted to another only after the first has reported that it is free; a loop with more in
 * flight than its new share keeps that many until they end. Compared to one common counter, a loop may refuse requests
 * for one interval and one report while another has room; docs/design/scale.md has measurements.
 *
 * <p>Not thread-safe; the owner passes reports in and grants out.
 */
public final class ShareAllocator {

    /** The number of unnamed tenants whose shares are moved; further ones keep even shares. */
    static final int MAX_UNKNOWN_TENANTS = 256;
    /** The fraction of a rate that is always divided evenly, so that a loop that becomes active has something. */
    private static final double EVEN_RATE_FRACTION = 0.02;
    /** The same for requests in flight, of which a loop that becomes active needs more at once. */
    private static final double EVEN_COUNT_FRACTION = 0.05;
    /** The weight of the newest interval in the moving average of a loop's demand. */
    private static final double DEMAND_WEIGHT = 0.5;
    /** Demand below this counts as none. */
    private static final double MIN_DEMAND_PER_SECOND = 0.05;
    private static final double MS_PER_S = 1000;
    /** Smaller changes of a fraction are not applied, as demand fluctuates all the time. */
    private static final double MIN_FRACTION_CHANGE = 0.02;

    private final int loops;
    private final Map<LimitKey, RateShares> rates = new LinkedHashMap<>();
    private final Map<LimitKey, CountShares> counts = new HashMap<>();
    private final long[] grantNumbers;
    private final double[] lastReportMs;
    private Limits limits;
    private int unknownTenants;

    /** Divides these limits between the given number of loops, evenly at first. */
    public ShareAllocator(Limits limits, int loops) {
        this.limits = limits;
        this.loops = loops;
        this.grantNumbers = new long[loops];
        this.lastReportMs = new double[loops];
        Arrays.fill(lastReportMs, Double.NaN);
    }

    /** Applies other limits. The caller informs the loops, to which they apply as well. */
    public void changeTo(Limits next) {
        Limits before = limits;
        limits = next;
        rates.keySet().removeIf(key -> LimitKey.rate(next, key) == null);
        counts.keySet().removeIf(key -> LimitKey.inFlightLimit(before, key) != LimitKey.inFlightLimit(next, key));
        unknownTenants = (int) rates.keySet().stream().filter(k -> k.kind() == LimitKey.Kind.UNKNOWN_TENANT).count();
    }

    /** Takes a loop's usage report. */
    public void report(int loop, UsageReport report) {
        double seconds = (report.nowMs() - lastReportMs[loop]) / MS_PER_S;
        lastReportMs[loop] = report.nowMs();
        report.usages().forEach((key, use) -> recordUsage(loop, key, use));
        for (RateShares r : rates.values()) {
            Usage use = report.usages().get(r.key);
            // The first report of a loop covers no interval.
            double perSecond = use == null || !(seconds > 0) ? 0 : use.requested() / seconds;
            r.demand[loop] += DEMAND_WEIGHT * (perSecond - r.demand[loop]);
            if (use == null) {
                r.refused[loop] = 0;
                r.tokens[loop] = LimitKey.rate(limits, r.key).burst() * r.fraction[loop];
            }
        }
        for (CountShares c : counts.values()) {
            Usage use = report.usages().get(c.key);
            double demand = use == null ? 0 : use.held() + use.refused();
            c.demand[loop] = Math.max(demand, c.demand[loop] * DEMAND_WEIGHT);
            c.inFlightReported(loop, use == null ? 0 : (int) use.held(), report.lastGrant() == grantNumbers[loop]);
        }
    }

    /**
     * Takes a loop's report of requests in flight after it applied a grant; the next allocation grants what is free
     * now.
     */
    public void reportInFlight(int loop, LoopShare.InFlightReport held) {
        for (CountShares c : counts.values()) {
            c.inFlightReported(loop, held.inFlight().getOrDefault(c.key, 0), held.lastGrant() == grantNumbers[loop]);
        }
    }

    private void recordUsage(int loop, LimitKey key, Usage use) {
        if (key.kind().isCount()) {
            int whole = LimitKey.inFlightLimit(limits, key);
            if (whole > 0 && whole < Integer.MAX_VALUE) {
                counts.computeIfAbsent(key, k -> new CountShares(k, whole));
            }
            return;
        }
        Rate whole = LimitKey.rate(limits, key);
        RateShares shares = whole == null ? null : rates.get(key);
        if (whole != null && shares == null) {
            if (key.kind() == LimitKey.Kind.UNKNOWN_TENANT && ++unknownTenants > MAX_UNKNOWN_TENANTS) {
                unknownTenants--;
                return;
            }
            shares = new RateShares(key);
            rates.put(key, shares);
        }
        if (shares != null) {
            shares.tokens[loop] = use.held();
            shares.refused[loop] = use.refused();
            shares.spareTokens += use.spare();
        }
    }

    /** The number of rates whose shares are moved. */
    int trackedRates() {
        return rates.size();
    }

    /** The new grant of each loop, by its number; null for a loop whose share is unchanged. */
    public List<Grant> allocate() {
        List<Map<LimitKey, Double>> rateFractions = maps();
        List<Map<LimitKey, Integer>> inFlightLimits = maps();
        List<Map<LimitKey, Double>> tokens = maps();
        for (Iterator<RateShares> all = rates.values().iterator(); all.hasNext();) {
            RateShares r = all.next();
            r.divide(rateFractions);
            r.distributeSpare(tokens);
            if (r.isIdle()) {
                all.remove();
                unknownTenants -= r.key.kind() == LimitKey.Kind.UNKNOWN_TENANT ? 1 : 0;
            }
        }
        counts.values().forEach(c -> c.divide(inFlightLimits));
        List<Grant> grants = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            boolean unchanged = rateFractions.get(i).isEmpty() && inFlightLimits.get(i).isEmpty()
                    && tokens.get(i).isEmpty();
            grants.add(unchanged ? null
                    : new Grant(++grantNumbers[i], rateFractions.get(i), inFlightLimits.get(i), tokens.get(i)));
        }
        return grants;
    }

    private <V> List<Map<LimitKey, V>> maps() {
        List<Map<LimitKey, V>> maps = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            maps.add(new HashMap<>());
        }
        return maps;
    }

    /** Divides a whole by demand: each gets its demand if the sum fits, otherwise a proportional part. */
    private double[] divide(double whole, double[] demands, double evenFraction) {
        double sum = 0;
        for (double demand : demands) {
            sum += demand;
        }
        double[] shares = new double[loops];
        for (int i = 0; i < loops; i++) {
            double proportional = sum <= whole ? demands[i] + (whole - sum) / loops : whole * demands[i] / sum;
            shares[i] = (1 - evenFraction) * proportional + evenFraction * whole / loops;
        }
        return shares;
    }

    /** A rate and each loop's share of it. */
    private final class RateShares {
        final LimitKey key;
        final double[] demand = new double[loops];
        final double[] tokens = new double[loops];
        final double[] refused = new double[loops];
        final double[] fraction = new double[loops];
        double spareTokens;

        RateShares(LimitKey key) {
            this.key = key;
            Arrays.fill(fraction, 1.0 / loops);
        }

        /**
         * Whether there is no demand and each loop has its even share, which is what a loop has of a rate without
         * grants.
         */
        boolean isIdle() {
            for (int i = 0; i < loops; i++) {
                if (demand[i] > MIN_DEMAND_PER_SECOND || fraction[i] != 1.0 / loops) {
                    return false;
                }
            }
            return true;
        }

        void divide(List<Map<LimitKey, Double>> into) {
            double sum = 0;
            double[] demands = new double[loops];
            for (int i = 0; i < loops; i++) {
                demands[i] = demand[i] / LimitKey.rate(limits, key).perSecond();
                sum += demand[i];
            }
            double[] next = ShareAllocator.this.divide(1, demands, EVEN_RATE_FRACTION);
            double most = 0;
            for (int i = 0; i < loops; i++) {
                next[i] = sum <= MIN_DEMAND_PER_SECOND ? 1.0 / loops : next[i];
                most = Math.max(most, Math.abs(next[i] - fraction[i]));
            }
            if (most > MIN_FRACTION_CHANGE || most > 0 && sum <= MIN_DEMAND_PER_SECOND) {
                for (int i = 0; i < loops; i++) {
                    fraction[i] = next[i];
                    into.get(i).put(key, next[i]);
                }
            }
        }

        /** Gives spare tokens to loops that refuse requests; the rest is dropped, as full buckets would not hold it. */
        void distributeSpare(List<Map<LimitKey, Double>> into) {
            Rate whole = LimitKey.rate(limits, key);
            double sum = 0;
            double inBuckets = 0;
            for (int i = 0; i < loops; i++) {
                sum += refused[i];
                inBuckets += tokens[i];
            }
            spareTokens = Math.max(0, Math.min(spareTokens, whole.burst() - inBuckets));
            for (int i = 0; i < loops && sum > 0 && spareTokens > 0; i++) {
                double granted = Math.min(spareTokens * refused[i] / sum, refused[i]);
                if (granted > 0) {
                    into.get(i).put(key, granted);
                    tokens[i] += granted;
                    refused[i] = 0;
                }
            }
            for (Map<LimitKey, Double> m : into) {
                spareTokens -= m.getOrDefault(key, 0.0);
            }
        }
    }

    /** A limit on requests in flight and each loop's share of it. */
    private final class CountShares {
        final LimitKey key;
        final int whole;
        final double[] demand = new double[loops];
        /** What each loop may have in flight by its last grant. */
        final int[] granted = new int[loops];
        /**
         * What each loop counts for against the whole: its granted share, or what it still has in flight from before.
         */
        final int[] reserved = new int[loops];

        CountShares(LimitKey key, int whole) {
            this.key = key;
            this.whole = whole;
            for (int i = 0; i < loops; i++) {
                granted[i] = LimitKey.evenCount(whole, i, loops);
                reserved[i] = granted[i];
            }
        }

        /** Only a report that a loop made after it applied its last grant frees anything. */
        void inFlightReported(int loop, int inFlight, boolean current) {
            if (current) {
                reserved[loop] = Math.max(granted[loop], inFlight);
            }
        }

        void divide(List<Map<LimitKey, Integer>> into) {
            double[] target = ShareAllocator.this.divide(whole, demand, EVEN_COUNT_FRACTION);
            int free = whole;
            for (int i = 0; i < loops; i++) {
                free -= reserved[i];
            }
            for (int i = 0; i < loops; i++) {
                int next = (int) Math.floor(target[i]);
                if (next < granted[i]) {
                    // It is reserved in full until the loop has reported what it still has in flight.
                    granted[i] = next;
                    into.get(i).put(key, next);
                }
            }
            // The remainder of rounding goes to the loops with the highest demand.
            List<Integer> order = byDemand();
            for (int pass = 0; pass < 2 && free > 0; pass++) {
                for (int i : order) {
                    int next = (int) Math.floor(target[i]) + pass;
                    int more = Math.min(free, next - Math.max(granted[i], reserved[i]));
                    if (more > 0) {
                        granted[i] = Math.max(granted[i], reserved[i]) + more;
                        reserved[i] = granted[i];
                        free -= more;
                        into.get(i).put(key, granted[i]);
                    }
                }
            }
        }

        /** The loops, highest demand first. */
        private List<Integer> byDemand() {
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < loops; i++) {
                order.add(i);
            }
            order.sort((a, b) -> Double.compare(demand[b], demand[a]));
            return order;
        }
    }
}
