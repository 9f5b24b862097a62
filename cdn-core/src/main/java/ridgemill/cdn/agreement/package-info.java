/**
 * How the stores agree on the control state: the configuration's items and who votes on them. The state is one register that
 * is decided by ballots (Paxos over a whole state, of which only differences are sent); there is no log that has to be kept.
 *
 * <ul>
 *   <li>{@code Acceptor} holds what this store has promised and accepted, {@code DecidedView} what of it is decided.
 *   <li>{@code Leadership} proposes: one store at a time leads, which spares the first phase, but nothing rests on there
 *       being one only, as every decision and every read needs a majority that has promised nobody later.
 *   <li>{@code ChangeEvaluator} says what a change comes to; {@code VoterPlanner} who replaces whom.
 *   <li>{@code StatePull} and {@code StateSource} bring a store up to date: by differences or by pages of a snapshot.
 *   <li>{@code AgreementNode} puts them together. Time, messages and the disk are passed in.
 * </ul>
 */
package ridgemill.cdn.agreement;
