package ridgemill.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One event loop's share of limits that all loops of a process enforce together: what the loop may use, and what it has
 * used since its last report. The {@link ShareAllocator} moves shares to the loops that need them. Owned by the loop.
 */
public final class LoopShare {

    /**
     * A loop's usage of one limit since its last report.
     *
     * @param requested requests checked against the limit, admitted or not
     * @param refused those that this limit refused
     * @param held tokens in the loop's bucket, or requests in flight
     * @param spare tokens that the loop gives back because its bucket shrank
     */
    public record Usage(double requested, double refused, double held, double spare) { }

    /**
     * A loop's report to the allocator.
     *
     * @param lastGrant the number of the last grant that the loop applied
     * @param nowMs the time of the report
     * @param usages of the limits that were used, or of which the loop holds more or less than its even share
     */
    public record UsageReport(long lastGrant, double nowMs, Map<LimitKey, Usage> usages) { }

    /**
     * A loop's requests in flight, reported after it applied a grant: what the loop does not need any more can then be
     * granted to others.
     *
     * @param lastGrant the number of that grant
     * @param inFlight by limit
     */
    public record InFlightReport(long lastGrant, Map<LimitKey, Integer> inFlight) { }

    /**
     * The share that a loop may use from now on.
     *
     * @param number numbers the grants of one loop
     * @param rateFractions fractions of rates, each from 0 to 1
     * @param inFlightLimits limits on requests in flight
     * @param tokens to add to buckets, given back by another loop
     */
    public record Grant(long number, Map<LimitKey, Double> rateFractions, Map<LimitKey, Integer> inFlightLimits,
            Map<LimitKey, Double> tokens) { }

    /** Counts since the last report. */
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

    /** The share of one loop, by its number from 0. */
    public LoopShare(int loop, int loops) {
        if (loop < 0 || loop >= loops) {
            throw new IllegalArgumentException("loop " + loop + " of " + loops);
        }
        this.loop = loop;
        this.loops = loops;
    }

    /** The rate that this loop may use. */
    Rate rate(LimitKey key, Rate whole) {
        return LimitKey.fractionOf(whole, rateFractions.getOrDefault(key, 1.0 / loops));
    }

    /** The tokens of a new bucket: the loop's fraction of a full one, however small that is. */
    double initialTokens(LimitKey key, Rate whole) {
        return whole.burst() * rateFractions.getOrDefault(key, 1.0 / loops);
    }

    /** How many requests this loop may have in flight. */
    int inFlightLimit(LimitKey key, int whole) {
        Integer granted = inFlightLimits.get(key);
        return whole == Integer.MAX_VALUE ? whole : granted == null ? LimitKey.evenCount(whole, loop, loops) : granted;
    }

    /** This loop's part of a queue's capacity. */
    int queueCapacity(int whole) {
        return Math.max(1, whole / loops);
    }

    /**
     * This loop's part of a retry budget: the ratio applies to the loop's own first tries, the minimum rate is divided
     * evenly.
     */
    RetryBudget.Config retryBudget(RetryBudget.Config whole) {
        return whole == null ? null
                : new RetryBudget.Config(whole.retryRatio(), whole.minPerSecond() / loops, whole.windowMs());
    }

    UsageCounters counters(LimitKey key) {
        return counters.computeIfAbsent(key, k -> new UsageCounters());
    }

    /** Returns the counts since the last report and resets them. */
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

    /**
     * Other limits apply: grants for limits that are gone, and for limits on requests in flight that changed, are
     * dropped.
     */
    void limitsChanged(Limits before, Limits next) {
        rateFractions.keySet().removeIf(key -> LimitKey.rate(next, key) == null);
        inFlightLimits.keySet().removeIf(
                key -> LimitKey.inFlightLimit(before, key) != LimitKey.inFlightLimit(next, key));
    }
}
