/**
 * The registry program: takes calls of instances and operators, and tells edge proxies of instances.
 *
 * <p>{@code RegistryProgram} puts the parts together, listens, and tells the neighbours again at intervals what they may
 * have missed. By concern:
 *
 * <ul>
 *   <li>Calls from outside: {@code ControlRouter} passes each on by its path, to {@code InstanceCalls} (heartbeats, leaving)
 *       or {@code OperatorCalls} (configuration, purges).
 *   <li>Instances: {@code InstanceReports} takes what they say. A change of state goes to everybody at once, and its call
 *       is answered when a {@code Confirmation} ends.
 *   <li>Edge proxies: {@code ProxyUpdates} makes what they are told; {@code Subscribers} numbers and sends it and counts what
 *       they acknowledge.
 *   <li>Other registries: {@code PeerRegistries} tells them over links that it opens; {@code IncomingLinks} takes what
 *       they and the proxies say over links that they open.
 *   <li>Configuration stores: {@code VotingStores} knows which they are; {@code StoreClient} reads and writes at a majority
 *       of them. {@code LinkOpener} opens links to both.
 * </ul>
 *
 * <p>What is known of instances and machines is kept in {@link ridgemill.cdn.instances} and {@link
 * ridgemill.cdn.membership}, which hold no links.
 */
package ridgemill.cdn.registry;
