package ridgemill.cdn.agreement;

import java.util.List;
import ridgemill.cdn.quorum.Voter;

/**
 * The result of a state transfer from another store.
 *
 * @param source the store that sent the state
 * @param decided the newest state that it knows to be decided
 * @param deltas the deltas that lead to its state; empty if it sent the whole state
 * @param snapshot its whole state; null if it sent deltas
 */
record PulledState(Voter source, StateId decided, List<StateDelta> deltas, ControlState snapshot) {}
