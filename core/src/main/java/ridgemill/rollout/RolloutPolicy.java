package ridgemill.rollout;

import java.util.List;

/**
 * How rolls go.
 *
 * @param steps which share of the proxies acts on the target after each step, growing, 1 last; at least one proxy
 * @param observationMs for how long a step is looked at, once all of it act
 * @param minSamples requests that have to have ended at those that moved before they are judged; 0 for no judging
 * @param maxDegradation by how much less of their requests may be served than of the others', as a share
 * @param maxOutShare which share of the proxies may be away or shut out
 * @param outOfServiceMs who is not heard of for so long has stepped aside by itself, if it is told to when it is cut off
 * @param stepTimeoutMs a step that takes longer ends the roll: back, or nowhere if nobody has acted
 */
public record RolloutPolicy(List<Double> steps, double observationMs, int minSamples, double maxDegradation, double maxOutShare, double outOfServiceMs, double stepTimeoutMs) {

    /** One, a tenth, half, all. */
    public static final RolloutPolicy DEFAULT = new RolloutPolicy(List.of(0.0, 0.1, 0.5, 1.0), 5000, 50, 0.05, 0.34, 12_000, 60_000);

    /** Checks what is said. */
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

    /** How many of the members act on the target after a step, from 1 on. */
    int upTo(int step, int members) {
        return Math.max(1, (int) Math.ceil(steps.get(step - 1) * members));
    }

    /** How many members may be away. */
    int away(int members) {
        return (int) (maxOutShare * members);
    }
}
