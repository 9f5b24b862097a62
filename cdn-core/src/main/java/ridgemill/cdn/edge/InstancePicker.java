package ridgemill.cdn.edge;

import java.util.Collection;
import java.util.List;
import ridgemill.policy.RendezvousHash;

/**
 * Picks the instance for a request: of the two best by rendezvous hash of its key, the one with fewer requests in
 * flight.
 * Instances of this proxy's own region come first where one of them can take the request.
 */
public final class InstancePicker {

    /** One of so many instances may be left alone at once. */
    private static final int MIN_INSTANCES_PER_EJECTION = 2;

    /** What a pick came to. */
    public sealed interface Pick {

        /** The request goes there. */
        record Chosen(InstanceStats instance) implements Pick {}

        /** All that could run it hold as many requests as they should. */
        record Saturated() implements Pick {}

        /** There is none left to try. */
        record None() implements Pick {}
    }

    private static final Pick SATURATED = new Pick.Saturated();
    private static final Pick NONE = new Pick.None();

    private final boolean twoCandidates;
    private List<InstanceStats> instances = List.of();

    /** Picks the one with fewer requests of the two best. */
    public InstancePicker() {
        this(true);
    }

    private InstancePicker(boolean two) {
        this.twoCandidates = two;
    }

    /**
     * Picks the best one always, whatever its speed, so that each key has one place for all that pick, as long as that
     * place can take it.
     */
    public static InstancePicker singleCandidate() {
        return new InstancePicker(false);
    }

    /** Picks from these instances from now on. */
    public void instances(List<InstanceStats> ready) {
        instances = List.copyOf(ready);
    }

    /** The instances that it picks from. */
    public List<InstanceStats> instances() {
        return instances;
    }

    /**
     * Picks an instance.
     *
     * @param key a hash of the object or of the attempt's id
     * @param tried instances that are not to be picked again
     */
    public Pick pick(double nowMs, long key, Collection<InstanceStats> tried) {
        boolean anyUsable = false;
        boolean anyLeft = false;
        for (InstanceStats instance : instances) {
            boolean left = !tried.contains(instance) && !instance.isReplaced(nowMs);
            anyLeft |= left;
            anyUsable |= left && instance.isUsable(nowMs);
        }
        if (!anyLeft) {
            return NONE;
        }
        // Where all that are left failed lately, one of them is better than none.
        InstanceStats best = best(nowMs, key, tried, true, !anyUsable);
        if (best == null) {
            best = best(nowMs, key, tried, false, !anyUsable);
        }
        return best == null ? SATURATED : new Pick.Chosen(best);
    }

    private InstanceStats best(
            double nowMs, long key, Collection<InstanceStats> tried, boolean local, boolean anyHealth) {
        double meanMs = meanLatencyMs();
        long mixed = RendezvousHash.mix(key);
        InstanceStats first = null;
        InstanceStats second = null;
        double firstScore = 0;
        double secondScore = 0;
        for (InstanceStats instance : instances) {
            boolean fit = instance.isLocal() == local
                    && (anyHealth || instance.isUsable(nowMs))
                    && instance.hasCapacity(nowMs)
                    && !instance.isReplaced(nowMs)
                    && !tried.contains(instance);
            double share = twoCandidates && fit ? instance.weight(nowMs, meanMs) : 1;
            double score = fit ? -share / Math.log(instance.rendezvousDraw(mixed)) : 0;
            if (fit && score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = instance;
                firstScore = score;
            } else if (fit && score > secondScore) {
                second = instance;
                secondScore = score;
            }
        }
        return twoCandidates && second != null && second.load(nowMs) < first.load(nowMs) ? second : first;
    }

    private double meanLatencyMs() {
        double sum = 0;
        int known = 0;
        for (InstanceStats instance : instances) {
            if (!Double.isNaN(instance.meanLatencyMs())) {
                sum += instance.meanLatencyMs();
                known++;
            }
        }
        return known == 0 ? Double.NaN : sum / known;
    }

    /** Whether one more instance may be left alone without the others being overrun. */
    public boolean mayEject(double nowMs) {
        int spared = 0;
        for (InstanceStats instance : instances) {
            spared += instance.isUsable(nowMs) ? 0 : 1;
        }
        return MIN_INSTANCES_PER_EJECTION * (spared + 1) <= instances.size();
    }

    /** Whether connections broke lately at most instances; what breaks at a few alone is not the service's load. */
    public boolean hasWidespreadConnectionFailures(double nowMs, double withinMs) {
        int broken = 0;
        for (InstanceStats instance : instances) {
            broken += nowMs - instance.lastConnectionFailureMs() <= withinMs ? 1 : 0;
        }
        return 2 * broken > instances.size();
    }
}
