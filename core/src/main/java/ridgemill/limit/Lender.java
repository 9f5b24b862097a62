package ridgemill.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.limit.LoopShare.Grant;
import ridgemill.limit.LoopShare.Report;
import ridgemill.limit.LoopShare.Use;

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
public final class Lender {

    /** Tenants that no file names whose shares are moved; each further one stays at even parts. */
    static final int MOST_UNKNOWN = 256;
    /** Part of a rate that is divided evenly whatever is asked, so that a loop that wakes has something. */
    private static final double EVEN_RATE = 0.02;
    /** The same of requests in flight, of which a loop that wakes needs more at once. */
    private static final double EVEN_COUNT = 0.05;
    /** What the newest interval counts for in a loop's demand against those before it. */
    private static final double NEWEST = 0.5;
    /** Demand below this many requests a second is none. */
    private static final double NONE = 0.05;
    private static final double MS_PER_S = 1000;
    /** Parts that move less than this stay: what is asked changes a little all the time. */
    private static final double WORTH_MOVING = 0.02;

    private final int loops;
    private final Map<Shared, Rates> rates = new LinkedHashMap<>();
    private final Map<Shared, Counts> counts = new HashMap<>();
    private final long[] sent;
    private final double[] toldAt;
    private Limits limits;
    private int unknown;

    /** Divides these limits between so many loops, evenly at first. */
    public Lender(Limits limits, int loops) {
        this.limits = limits;
        this.loops = loops;
        this.sent = new long[loops];
        this.toldAt = new double[loops];
        Arrays.fill(toldAt, Double.NaN);
    }

    /** Other limits hold, also for the loops, which are told by whoever tells this. */
    public void changeTo(Limits next) {
        Limits before = limits;
        limits = next;
        rates.keySet().removeIf(key -> Shared.rate(next, key) == null);
        counts.keySet().removeIf(key -> Shared.count(before, key) != Shared.count(next, key));
        unknown = (int) rates.keySet().stream().filter(k -> k.kind() == Shared.Kind.UNKNOWN_TENANT).count();
    }

    /** A loop has told what it used. */
    public void report(int loop, Report report) {
        double seconds = (report.nowMs() - toldAt[loop]) / MS_PER_S;
        toldAt[loop] = report.nowMs();
        report.uses().forEach((key, use) -> used(loop, key, use));
        for (Rates r : rates.values()) {
            Use use = report.uses().get(r.key);
            // A loop that told for the first time has told of no interval.
            double perSecond = use == null || !(seconds > 0) ? 0 : use.asked() / seconds;
            r.demand[loop] += NEWEST * (perSecond - r.demand[loop]);
            if (use == null) {
                r.hungry[loop] = 0;
                r.held[loop] = Shared.rate(limits, r.key).burst() * r.part[loop];
            }
        }
        for (Counts c : counts.values()) {
            Use use = report.uses().get(c.key);
            double wanted = use == null ? 0 : use.held() + use.refused();
            c.wanted[loop] = Math.max(wanted, c.wanted[loop] * NEWEST);
            c.told(loop, use == null ? 0 : (int) use.held(), report.taken() == sent[loop]);
        }
    }

    /** A loop has taken its grant, and tells what it still has in flight; what that frees the next decision lends. */
    public void held(int loop, LoopShare.Held held) {
        for (Counts c : counts.values()) {
            c.told(loop, held.inFlight().getOrDefault(c.key, 0), held.taken() == sent[loop]);
        }
    }

    private void used(int loop, Shared key, Use use) {
        if (key.kind().isCount()) {
            int whole = Shared.count(limits, key);
            if (whole > 0 && whole < Integer.MAX_VALUE) {
                counts.computeIfAbsent(key, k -> new Counts(k, whole));
            }
            return;
        }
        Rate whole = Shared.rate(limits, key);
        Rates there = whole == null ? null : rates.get(key);
        if (whole != null && there == null) {
            if (key.kind() == Shared.Kind.UNKNOWN_TENANT && ++unknown > MOST_UNKNOWN) {
                unknown--;
                return;
            }
            there = new Rates(key);
            rates.put(key, there);
        }
        if (there != null) {
            there.held[loop] = use.held();
            there.hungry[loop] = use.refused();
            there.pool += use.spare();
        }
    }

    /** Rates whose shares are moved. */
    int known() {
        return rates.size();
    }

    /** What each loop may use from now on, by its number; null for one whose share stays. */
    public List<Grant> decide() {
        List<Map<Shared, Double>> parts = maps();
        List<Map<Shared, Integer>> whole = maps();
        List<Map<Shared, Double>> tokens = maps();
        for (Iterator<Rates> all = rates.values().iterator(); all.hasNext();) {
            Rates r = all.next();
            r.divide(parts);
            r.pour(tokens);
            if (r.isIdle()) {
                all.remove();
                unknown -= r.key.kind() == Shared.Kind.UNKNOWN_TENANT ? 1 : 0;
            }
        }
        counts.values().forEach(c -> c.divide(whole));
        List<Grant> grants = new ArrayList<>();
        for (int i = 0; i < loops; i++) {
            boolean same = parts.get(i).isEmpty() && whole.get(i).isEmpty() && tokens.get(i).isEmpty();
            grants.add(same ? null : new Grant(++sent[i], parts.get(i), whole.get(i), tokens.get(i)));
        }
        return grants;
    }

    private <V> List<Map<Shared, V>> maps() {
        List<Map<Shared, V>> maps = new ArrayList<>();
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
    private final class Rates {
        final Shared key;
        final double[] demand = new double[loops];
        final double[] held = new double[loops];
        final double[] hungry = new double[loops];
        final double[] part = new double[loops];
        double pool;

        Rates(Shared key) {
            this.key = key;
            Arrays.fill(part, 1.0 / loops);
        }

        /** Nothing is asked and each has its even part, which is what a loop has of a rate that nobody lent. */
        boolean isIdle() {
            for (int i = 0; i < loops; i++) {
                if (demand[i] > NONE || part[i] != 1.0 / loops) {
                    return false;
                }
            }
            return true;
        }

        void divide(List<Map<Shared, Double>> into) {
            double sum = 0;
            double[] wants = new double[loops];
            for (int i = 0; i < loops; i++) {
                wants[i] = demand[i] / Shared.rate(limits, key).perSecond();
                sum += demand[i];
            }
            double[] next = Lender.this.divide(1, wants, EVEN_RATE);
            double most = 0;
            for (int i = 0; i < loops; i++) {
                next[i] = sum <= NONE ? 1.0 / loops : next[i];
                most = Math.max(most, Math.abs(next[i] - part[i]));
            }
            if (most > WORTH_MOVING || most > 0 && sum <= NONE) {
                for (int i = 0; i < loops; i++) {
                    part[i] = next[i];
                    into.get(i).put(key, next[i]);
                }
            }
        }

        /** Tokens that were given back go to loops that refuse; a full bucket would have had no room for the rest. */
        void pour(List<Map<Shared, Double>> into) {
            Rate whole = Shared.rate(limits, key);
            double sum = 0;
            double inBuckets = 0;
            for (int i = 0; i < loops; i++) {
                sum += hungry[i];
                inBuckets += held[i];
            }
            pool = Math.max(0, Math.min(pool, whole.burst() - inBuckets));
            for (int i = 0; i < loops && sum > 0 && pool > 0; i++) {
                double gets = Math.min(pool * hungry[i] / sum, hungry[i]);
                if (gets > 0) {
                    into.get(i).put(key, gets);
                    held[i] += gets;
                    hungry[i] = 0;
                }
            }
            for (Map<Shared, Double> m : into) {
                pool -= m.getOrDefault(key, 0.0);
            }
        }
    }

    /** Requests in flight, and how many each loop may have. */
    private final class Counts {
        final Shared key;
        final int whole;
        final double[] wanted = new double[loops];
        /** What a loop may have, by the last grant. */
        final int[] lent = new int[loops];
        /** What counts against the whole for it: what it is lent, or has in flight from before. */
        final int[] owned = new int[loops];

        Counts(Shared key, int whole) {
            this.key = key;
            this.whole = whole;
            for (int i = 0; i < loops; i++) {
                lent[i] = Shared.firstCount(whole, i, loops);
                owned[i] = lent[i];
            }
        }

        /** Only what a loop told after it had taken its last grant frees anything. */
        void told(int loop, int held, boolean current) {
            if (current) {
                owned[loop] = Math.max(lent[loop], held);
            }
        }

        void divide(List<Map<Shared, Integer>> into) {
            double[] target = Lender.this.divide(whole, wanted, EVEN_COUNT);
            int free = whole;
            for (int i = 0; i < loops; i++) {
                free -= owned[i];
            }
            for (int i = 0; i < loops; i++) {
                int next = (int) Math.floor(target[i]);
                if (next < lent[i]) {
                    // It goes on counting in full until the loop has told what it still has.
                    lent[i] = next;
                    into.get(i).put(key, next);
                }
            }
            // What rounding leaves goes to whoever wants most.
            List<Integer> order = byWant();
            for (int pass = 0; pass < 2 && free > 0; pass++) {
                for (int i : order) {
                    int next = (int) Math.floor(target[i]) + pass;
                    int more = Math.min(free, next - Math.max(lent[i], owned[i]));
                    if (more > 0) {
                        lent[i] = Math.max(lent[i], owned[i]) + more;
                        owned[i] = lent[i];
                        free -= more;
                        into.get(i).put(key, lent[i]);
                    }
                }
            }
        }

        /** The loops, the one that wants most first. */
        private List<Integer> byWant() {
            List<Integer> order = new ArrayList<>();
            for (int i = 0; i < loops; i++) {
                order.add(i);
            }
            order.sort((a, b) -> Double.compare(wanted[b], wanted[a]));
            return order;
        }
    }
}
