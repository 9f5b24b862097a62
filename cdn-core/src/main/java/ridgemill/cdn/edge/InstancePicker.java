package ridgemill.cdn.edge;

import java.util.Collection;
import java.util.List;
import ridgemill.policy.RendezvousHash;

/**
 * Picks the instance for a request: of the two best candidates by rendezvous hashing of its key, the one with the lower
 * load. Instances in this proxy's own region are preferred if one of them can take the request.
 */
public final class InstancePicker {

    /** At most one of this many instances may be ejected at the same time. */
    private static final int MIN_INSTANCES_PER_EJECTION = 2;

    /** The result of a pick. */
    public sealed interface Pick {

        /** The request is sent to this instance. */
        record Chosen(InstanceStats instance) implements Pick {}

        /** All remaining instances are at their limit of requests. */
        record Saturated() implements Pick {}

        /** No instance is left to try. */
        record None() implements Pick {}
    }

    private static final Pick SATURATED = new Pick.Saturated();
    private static final Pick NONE = new Pick.None();

    private final boolean twoCandidates;
    private List<InstanceStats> instances = List.of();

    /** A picker that chooses the less loaded of the two best candidates. */
    public InstancePicker() {
        this(true);
    }

    private InstancePicker(boolean twoCandidates) {
        this.twoCandidates = twoCandidates;
    }

    /**
     * A picker that always chooses the best candidate, whatever its latency, so that all pickers send a key to the same
     * instance as long as that instance can take the request.
     */
    public static InstancePicker singleCandidate() {
        return new InstancePicker(false);
    }

    /** Sets the instances to pick from. */
    public void instances(List<InstanceStats> ready) {
        instances = List.copyOf(ready);
    }

    /** The instances to pick from. */
    public List<InstanceStats> instances() {
        return instances;
    }

    /**
     * Picks an instance.
     *
     * @param key a hash of the object's key or of the attempt's identifier
     * @param tried instances that must not be picked again
     */
    public Pick pick(double nowMs, long key, Collection<InstanceStats> tried) {
        boolean anyUsable = false;
        boolean anyUntried = false;
        for (InstanceStats instance : instances) {
            boolean untried = !tried.contains(instance) && !instance.isReplaced(nowMs);
            anyUntried |= untried;
            anyUsable |= untried && instance.isUsable(nowMs);
        }
        if (!anyUntried) {
            return NONE;
        }
        // If all remaining instances are ejected, one of them is tried all the same.
        InstanceStats best = best(nowMs, key, tried, true, !anyUsable);
        if (best == null) {
            best = best(nowMs, key, tried, false, !anyUsable);
        }
        return best == null ? SATURATED : new Pick.Chosen(best);
    }

    private InstanceStats best(
            double nowMs, long key, Collection<InstanceStats> tried, boolean inOwnRegion, boolean includeEjected) {
        double meanMs = meanLatencyMs();
        long hash = RendezvousHash.mix(key);
        InstanceStats first = null;
        InstanceStats second = null;
        double firstScore = 0;
        double secondScore = 0;
        for (InstanceStats instance : instances) {
            boolean eligible = instance.isLocal() == inOwnRegion
                    && (includeEjected || instance.isUsable(nowMs))
                    && instance.hasCapacity(nowMs)
                    && !instance.isReplaced(nowMs)
                    && !tried.contains(instance);
            double weight = twoCandidates && eligible ? instance.weight(nowMs, meanMs) : 1;
            double score = eligible ? -weight / Math.log(instance.rendezvousDraw(hash)) : 0;
            if (eligible && score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = instance;
                firstScore = score;
            } else if (eligible && score > secondScore) {
                second = instance;
                secondScore = score;
            }
        }
        return twoCandidates && second != null && second.load(nowMs) < first.load(nowMs) ? second : first;
    }

    private double meanLatencyMs() {
        double sum = 0;
        int count = 0;
        for (InstanceStats instance : instances) {
            if (!Double.isNaN(instance.meanLatencyMs())) {
                sum += instance.meanLatencyMs();
                count++;
            }
        }
        return count == 0 ? Double.NaN : sum / count;
    }

    /** Whether one more instance may be ejected without overloading the others. */
    public boolean mayEject(double nowMs) {
        int ejected = 0;
        for (InstanceStats instance : instances) {
            ejected += instance.isUsable(nowMs) ? 0 : 1;
        }
        return MIN_INSTANCES_PER_EJECTION * (ejected + 1) <= instances.size();
    }

    /**
     * Whether connections to more than half of the instances failed within a time in milliseconds. Failures at a few
     * instances only do not indicate overload of the service.
     */
    public boolean hasWidespreadConnectionFailures(double nowMs, double withinMs) {
        int failing = 0;
        for (InstanceStats instance : instances) {
            failing += nowMs - instance.lastConnectionFailureMs() <= withinMs ? 1 : 0;
        }
        return 2 * failing > instances.size();
    }
}
