package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One loop's share of limits that all loops of a process keep together: what it may use, and what it has used since it last
 * told. The {@link ShareAllocator} moves shares to where they are asked for. Owned by the loop.
 */
public final class LoopShare {

    /**
     * What a loop has made of one limit since it last told.
     *
     * @param requested requests that asked, whether they were let through or not
     * @param refused of them those that this limit turned away
     * @param held tokens in its bucket, or requests in flight
     * @param spare tokens that it gives back, as its bucket has shrunk
     */
    public record Usage(double requested, double refused, double held, double spare) { }

    /**
     * What a loop tells.
     *
     * @param lastGrant the number of the last grant that it had taken
     * @param nowMs when it told
     * @param usages of the limits that were asked, or that it holds more or less of than its even part
     */
    public record UsageReport(long lastGrant, double nowMs, Map<LimitKey, Usage> usages) { }

    /**
     * What a loop has in flight, as it tells when it has taken a grant: what it does not need any more may be lent on then.
     *
     * @param lastGrant the number of the grant
     * @param inFlight for each limit on requests in flight
     */
    public record InFlightReport(long lastGrant, Map<LimitKey, Integer> inFlight) { }

    /**
     * What a loop may use from now on.
     *
     * @param number counts a loop's grants
     * @param rateFractions of rates, each from 0 to 1
     * @param inFlightLimits of requests in flight
     * @param tokens to put into buckets, which another loop gave back
     */
    public record Grant(long number, Map<LimitKey, Double> rateFractions, Map<LimitKey, Integer> inFlightLimits, Map<LimitKey, Double> tokens) { }

    /** What was counted since the last report. */
    static final class UsageCounters {
        double requested;
        double refused;
        double spare;
    }

    private final int loop;
    private final int loops;
    private final Map<LimitKey, Double> rateFractions = new HashMap<>();
    private final Map<LimitKey, Integer> inFlightLimits = new HashMap<>();
    private final Map<LimitKey, UsageCounters> counters = new HashMap<>();
    private long lastGrant;

    /** The share of a loop, by its number from 0, among so many. */
    public LoopShare(int loop, int loops) {
        if (loop < 0 || loop >= loops) {
            throw new IllegalArgumentException("loop " + loop + " of " + loops);
        }
        this.loop = loop;
        this.loops = loops;
    }

    /** What it may use of a rate. */
    Rate rate(LimitKey key, Rate whole) {
        return LimitKey.fractionOf(whole, rateFractions.getOrDefault(key, 1.0 / loops));
    }

    /** What a new bucket holds: its part of a full one, and no more, however small that is. */
    double initialTokens(LimitKey key, Rate whole) {
        return whole.burst() * rateFractions.getOrDefault(key, 1.0 / loops);
    }

    /** How many it may have in flight. */
    int inFlightLimit(LimitKey key, int whole) {
        Integer lent = inFlightLimits.get(key);
        return whole == Integer.MAX_VALUE ? whole : lent == null ? LimitKey.evenCount(whole, loop, loops) : lent;
    }

    /** What the others leave it of a queue's places. */
    int queueCapacity(int whole) {
        return Math.max(1, whole / loops);
    }

    /** The others' part of a retry budget: its share is of a loop's own first tries, its least is divided evenly. */
    RetryBudget.Config retryBudget(RetryBudget.Config whole) {
        return whole == null ? null : new RetryBudget.Config(whole.retryRatio(), whole.minPerSecond() / loops, whole.windowMs());
    }

    UsageCounters counters(LimitKey key) {
        return counters.computeIfAbsent(key, k -> new UsageCounters());
    }

    /** Takes what was counted, for a report. */
    Map<LimitKey, UsageCounters> drainCounters() {
        Map<LimitKey, UsageCounters> all = new HashMap<>(counters);
        counters.clear();
        return all;
    }

    long lastGrant() {
        return lastGrant;
    }

    void apply(Grant grant) {
        lastGrant = grant.number();
        grant.rateFractions().forEach((key, part) -> {
            if (part == 1.0 / loops) {
                rateFractions.remove(key);
            } else {
                rateFractions.put(key, part);
            }
        });
        inFlightLimits.putAll(grant.inFlightLimits());
    }

    /** Other limits hold: what was lent of those that are gone, or of counts that are others now, is forgotten. */
    void limitsChanged(Limits before, Limits next) {
        rateFractions.keySet().removeIf(key -> LimitKey.rate(next, key) == null);
        inFlightLimits.keySet().removeIf(key -> LimitKey.inFlightLimit(before, key) != LimitKey.inFlightLimit(next, key));
    }
}
