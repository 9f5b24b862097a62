/**
 * Consensus among the stores on the control state: the items of the configuration and the voters. The state is a single
 * register that is decided by ballots (Paxos over a whole state, of which only deltas are sent), so no log has to be
 * kept.
 *
 * <ul>
 *   <li>{@code Acceptor} holds the promise and the accepted state of this store, {@code DecidedView} the decided part
 *       of it.
 *   <li>{@code Leadership} proposes states. Usually one store leads, which saves the first phase of Paxos. Safety does
 *       not depend on a single leader: every decision and every read needs a majority that has promised no higher
 *       ballot.
 *   <li>{@code ChangeEvaluator} evaluates configuration changes; {@code VoterPlanner} chooses the voters.
 *   <li>{@code StatePull} and {@code StateSource} bring a store up to date by deltas or by pages of a snapshot.
 *   <li>{@code AgreementNode} connects them. Time, messages and the results of disk writes are passed in.
 * </ul>
 */
package ridgemill.cdn.agreement;
