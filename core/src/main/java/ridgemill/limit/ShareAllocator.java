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
 * Divides limits that a process's loops keep together, and moves shares to the loops that are asked most. Each loop counts
 * against its own share without asking anybody; it reports at intervals, and what one leaves unused another is lent.
 *
 * <p>The sum of shares is never above the whole. Of a rate the parts add up to one, and tokens that a smaller part cuts off
 * go to those that refuse, never into two buckets. Of requests in flight what is taken from one loop is lent to another
 * only when the first has told that it is free: one with more in flight than its new share keeps that much until they end.
 * What it costs against one counter for all is that a loop may refuse, for one interval and what it takes to tell, while
 * another has room; see docs/design/scale.md for how much.
 *
 * <p>Not safe for use by several threads; its owner hands reports in and grants out.
 */
public final class ShareAllocator {

    /** Tenants that no file names whose shares are moved; each further one stays at even parts. */
    static final int MAX_UNKNOWN_TENANTS = 256;
    /** Part of a rate that is divided evenly whatever is asked, so that a loop that wakes has something. */
    private static final double EVEN_RATE_FRACTION = 0.02;
    /** The same of requests in flight, of which a loop that wakes needs more at once. */
    private static final double EVEN_COUNT_FRACTION = 0.05;
    /** What the newest interval counts for in a loop's demand against those before it. */
    private static final double DEMAND_WEIGHT = 0.5;
    /** Demand below this many requests a second is none. */
    private static final double MIN_DEMAND_PER_SECOND = 0.05;
    private static final double MS_PER_S = 1000;
    /** Parts that move less than this stay: what is asked changes a little all the time. */
    private static final double MIN_FRACTION_CHANGE = 0.02;

    private final int loops;
    private final Map<LimitKey, RateShares> rates = new LinkedHashMap<>();
    private final Map<LimitKey, CountShares> counts = new HashMap<>();
    private final long[] grantNumbers;
    private final double[] lastReportMs;
    private Limits limits;
    private int unknownTenants;

    /** Divides these limits between so many loops, evenly at first. */
    public ShareAllocator(Limits limits, int loops) {
        this.limits = limits;
        this.loops = loops;
        this.grantNumbers = new long[loops];
        this.lastReportMs = new double[loops];
        Arrays.fill(lastReportMs, Double.NaN);
    }

    /** Other limits hold, also for the loops, which are told by whoever tells this. */
    public void changeTo(Limits next) {
        Limits before = limits;
        limits = next;
        rates.keySet().removeIf(key -> LimitKey.rate(next, key) == null);
        counts.keySet().removeIf(key -> LimitKey.inFlightLimit(before, key) != LimitKey.inFlightLimit(next, key));
        unknownTenants = (int) rates.keySet().stream().filter(k -> k.kind() == LimitKey.Kind.UNKNOWN_TENANT).count();
    }

    /** A loop has told what it used. */
    public void report(int loop, UsageReport report) {
        double seconds = (report.nowMs() - lastReportMs[loop]) / MS_PER_S;
        lastReportMs[loop] = report.nowMs();
        report.usages().forEach((key, use) -> recordUsage(loop, key, use));
        for (RateShares r : rates.values()) {
            Usage use = report.usages().get(r.key);
            // A loop that told for the first time has told of no interval.
            double perSecond = use == null || !(seconds > 0) ? 0 : use.requested() / seconds;
            r.demand[loop] += DEMAND_WEIGHT * (perSecond - r.demand[loop]);
            if (use == null) {
                r.refused[loop] = 0;
                r.tokens[loop] = LimitKey.rate(limits, r.key).burst() * r.fraction[loop];
            }
        }
        for (CountShares c : counts.values()) {
            Usage use = report.usages().get(c.key);
            double wanted = use == null ? 0 : use.held() + use.refused();
            c.demand[loop] = Math.max(wanted, c.demand[loop] * DEMAND_WEIGHT);
            c.inFlightReported(loop, use == null ? 0 : (int) use.held(), report.lastGrant() == grantNumbers[loop]);
        }
    }

    /** A loop has taken its grant, and tells what it still has in flight; what that frees the next decision lends. */
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
        RateShares there = whole == null ? null : rates.get(key);
        if (whole != null && there == null) {
            if (key.kind() == LimitKey.Kind.UNKNOWN_TENANT && ++unknownTenants > MAX_UNKNOWN_TENANTS) {
                unknownTenants--;
                return;
            }
            there = new RateShares(key);
            rates.put(key, there);
        }
        if (there != null) {
            there.tokens[loop] = use.held();
            there.refused[loop] = use.refused();
            there.spareTokens += use.spare();
        }
    }

    /** Rates whose shares are moved. */
    int trackedRates() {
        return rates.size();
    }

    /** What each loop may use from now on, by its number; null for one whose share stays. */
    public List<Grant> allocate() {
        List<Map<LimitKey, Double>> parts = maps();
        List<Map<LimitKey, Integer>> whole = maps();
        List<Map<LimitKey, Double>> tokens = maps();
        for (Iterator<RateShares> all = rates.values().iterator(); all.hasNext();) {
            RateShares r = all.next();
            r.divide(parts);
            r.distributeSpare(tokens);
            if (r.isIdle()) {
                all.remove();
                unknownTenants -= r.key.kind() == LimitKey.Kind.UNKNOWN_TENANT ? 1 : 0;
            }
        }
        counts.values().forEach(c -> c.divide(whole));
        List<Grant> grants = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            boolean same = parts.get(i).isEmpty() && whole.get(i).isEmpty() && tokens.get(i).isEmpty();
            grants.add(same ? null : new Grant(++grantNumbers[i], parts.get(i), whole.get(i), tokens.get(i)));
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

    /** How much each gets of a whole where each wants so much: what is wanted if that fits, else in proportion. */
    private double[] divide(double whole, double[] wants, double even) {
        double sum = 0;
        for (double w : wants) {
            sum += w;
        }
        double[] gets = new double[loops];
        for (int i = 0; i < loops; i++) {
            double asked = sum <= whole ? wants[i] + (whole - sum) / loops : whole * wants[i] / sum;
            gets[i] = (1 - even) * asked + even * whole / loops;
        }
        return gets;
    }

    /** A rate, and what each loop has of it. */
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

        /** Nothing is asked and each has its even part, which is what a loop has of a rate that nobody lent. */
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
            double[] wants = new double[loops];
            for (int i = 0; i < loops; i++) {
                wants[i] = demand[i] / LimitKey.rate(limits, key).perSecond();
                sum += demand[i];
            }
            double[] next = ShareAllocator.this.divide(1, wants, EVEN_RATE_FRACTION);
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

        /** Tokens that were given back go to loops that refuse; a full bucket would have had no room for the rest. */
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
                double gets = Math.min(spareTokens * refused[i] / sum, refused[i]);
                if (gets > 0) {
                    into.get(i).put(key, gets);
                    tokens[i] += gets;
                    refused[i] = 0;
                }
            }
            for (Map<LimitKey, Double> m : into) {
                spareTokens -= m.getOrDefault(key, 0.0);
            }
        }
    }

    /** Requests in flight, and how many each loop may have. */
    private final class CountShares {
        final LimitKey key;
        final int whole;
        final double[] demand = new double[loops];
        /** What a loop may have, by the last grant. */
        final int[] granted = new int[loops];
        /** What counts against the whole for it: what it is lent, or has in flight from before. */
        final int[] reserved = new int[loops];

        CountShares(LimitKey key, int whole) {
            this.key = key;
            this.whole = whole;
            for (int i = 0; i < loops; i++) {
                granted[i] = LimitKey.evenCount(whole, i, loops);
                reserved[i] = granted[i];
            }
        }

        /** Only what a loop told after it had taken its last grant frees anything. */
        void inFlightReported(int loop, int held, boolean current) {
            if (current) {
                reserved[loop] = Math.max(granted[loop], held);
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
                    // It goes on counting in full until the loop has told what it still has.
                    granted[i] = next;
                    into.get(i).put(key, next);
                }
            }
            // What rounding leaves goes to whoever wants most.
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

        /** The loops, the one that wants most first. */
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
