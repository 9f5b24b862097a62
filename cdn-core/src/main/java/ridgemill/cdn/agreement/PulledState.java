package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.quorum.Voter;

/**
 * What another store sent of its state.
 *
 * @param source the store
 * @param decided the newest state that it knows to be decided
 * @param deltas the steps that lead to its state, or empty if it sent the whole state
 * @param whole its whole state, or null if it sent steps
 */
record PulledState(Voter source, StateId decided, List<StateDelta> deltas, ControlState whole) {}
