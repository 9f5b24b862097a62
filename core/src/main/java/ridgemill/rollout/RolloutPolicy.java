package ridgemill.rollout;

import java.util.List;

/**
 * The parameters of a rollout.
 *
 * @param steps share of the proxies that have the target in effect after each step, increasing, 1 at last; at least one
 *     proxy
 * @param observationMs how long a step is observed once it is complete
 * @param minSamples number of requests that must have ended at the members with the target in effect before their
 *     served share is compared; 0 for no comparison
 * @param maxDegradation by how much their served share may be below that of the other members, as a fraction
 * @param maxOutShare share of the proxies that may be absent or excluded
 * @param outOfServiceMs time after which a member that is not heard of has taken itself out of service, if it is
 *     configured to do so when it is cut off
 * @param stepTimeoutMs time after which an incomplete step ends the rollout: by a rollback, or by cancelling it if the
 *     target is not in effect at any member
 */
public record RolloutPolicy(List<Double> steps, double observationMs, int minSamples, double maxDegradation,
        double maxOutShare, double outOfServiceMs, double stepTimeoutMs) {

    /** Steps of one proxy, a tenth, a half and all. */
    public static final RolloutPolicy DEFAULT = new RolloutPolicy(List.of(0.0, 0.1, 0.5, 1.0), 5000, 50, 0.05, 0.34,
            12_000, 60_000);

    /** Checks the parameters. */
    public RolloutPolicy {
        steps = List.copyOf(steps);
        if (steps.isEmpty() || steps.get(steps.size() - 1) != 1) {
            throw new IllegalArgumentException("the last step is not all of the proxies");
        }
        for (int i = 0; i < steps.size(); i++) {
            if (steps.get(i) < 0 || steps.get(i) > 1 || i > 0 && steps.get(i) <= steps.get(i - 1)) {
                throw new IllegalArgumentException("steps do not grow from 0 to 1");
            }
        }
        if (!(maxOutShare >= 0 && maxOutShare < 0.5)) {
            throw new IllegalArgumentException("half of the proxies or more may be out");
        }
        if (!(stepTimeoutMs > observationMs + outOfServiceMs)) {
            throw new IllegalArgumentException("patience ends before a step can be judged");
        }
    }

    /** Returns how many of the members have the target in effect after a step, which is 1 or more. */
    int targetCount(int step, int members) {
        return Math.max(1, (int) Math.ceil(steps.get(step - 1) * members));
    }

    /** Returns how many members may be absent. */
    int maxAbsent(int members) {
        return (int) (maxOutShare * members);
    }
}
