package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One loop's share of limits that all loops of a process keep together: what it may use, and what it has used since it last
 * told. The {@link Lender} moves shares to where they are asked for. Owned by the loop.
 */
public final class LoopShare {

    /**
     * What a loop has made of one limit since it last told.
     *
     * @param asked requests that asked, whether they were let through or not
     * @param refused of them those that this limit turned away
     * @param held tokens in its bucket, or requests in flight
     * @param spare tokens that it gives back, as its bucket has shrunk
     */
    public record Use(double asked, double refused, double held, double spare) { }

    /**
     * What a loop tells.
     *
     * @param taken the number of the last grant that it had taken
     * @param nowMs when it told
     * @param uses of the limits that were asked, or that it holds more or less of than its even part
     */
    public record Report(long taken, double nowMs, Map<Shared, Use> uses) { }

    /**
     * What a loop has in flight, as it tells when it has taken a grant: what it does not need any more may be lent on then.
     *
     * @param taken the number of the grant
     * @param inFlight for each limit on requests in flight
     */
    public record Held(long taken, Map<Shared, Integer> inFlight) { }

    /**
     * What a loop may use from now on.
     *
     * @param number counts a loop's grants
     * @param parts of rates, each from 0 to 1
     * @param counts of requests in flight
     * @param tokens to put into buckets, which another loop gave back
     */
    public record Grant(long number, Map<Shared, Double> parts, Map<Shared, Integer> counts, Map<Shared, Double> tokens) { }

    /** What was counted since the last report. */
    static final class Counted {
        double asked;
        double refused;
        double spare;
    }

    private final int loop;
    private final int loops;
    private final Map<Shared, Double> parts = new HashMap<>();
    private final Map<Shared, Integer> counts = new HashMap<>();
    private final Map<Shared, Counted> counted = new HashMap<>();
    private long taken;

    /** The share of a loop, by its number from 0, among so many. */
    public LoopShare(int loop, int loops) {
        if (loop < 0 || loop >= loops) {
            throw new IllegalArgumentException("loop " + loop + " of " + loops);
        }
        this.loop = loop;
        this.loops = loops;
    }

    /** What it may use of a rate. */
    Rate rate(Shared key, Rate whole) {
        return Shared.part(whole, parts.getOrDefault(key, 1.0 / loops));
    }

    /** What a new bucket holds: its part of a full one, and no more, however small that is. */
    double firstTokens(Shared key, Rate whole) {
        return whole.burst() * parts.getOrDefault(key, 1.0 / loops);
    }

    /** How many it may have in flight. */
    int count(Shared key, int whole) {
        Integer lent = counts.get(key);
        return whole == Integer.MAX_VALUE ? whole : lent == null ? Shared.firstCount(whole, loop, loops) : lent;
    }

    /** What the others leave it of a queue's places. */
    int places(int whole) {
        return Math.max(1, whole / loops);
    }

    /** The others' part of a retry budget: its share is of a loop's own first tries, its least is divided evenly. */
    RetryBudget.Terms retries(RetryBudget.Terms whole) {
        return whole == null ? null : new RetryBudget.Terms(whole.share(), whole.leastPerSecond() / loops, whole.windowMs());
    }

    Counted counted(Shared key) {
        return counted.computeIfAbsent(key, k -> new Counted());
    }

    /** Takes what was counted, for a report. */
    Map<Shared, Counted> drain() {
        Map<Shared, Counted> all = new HashMap<>(counted);
        counted.clear();
        return all;
    }

    long taken() {
        return taken;
    }

    void take(Grant grant) {
        taken = grant.number();
        grant.parts().forEach((key, part) -> {
            if (part == 1.0 / loops) {
                parts.remove(key);
            } else {
                parts.put(key, part);
            }
        });
        counts.putAll(grant.counts());
    }

    /** Other limits hold: what was lent of those that are gone, or of counts that are others now, is forgotten. */
    void changed(Limits before, Limits next) {
        parts.keySet().removeIf(key -> Shared.rate(next, key) == null);
        counts.keySet().removeIf(key -> Shared.count(before, key) != Shared.count(next, key));
    }
}
