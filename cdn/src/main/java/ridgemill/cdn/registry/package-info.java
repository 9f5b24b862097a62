/**
 * The registry program: accepts requests of instances and operators, and sends the list of instances to edge proxies.
 *
 * <p>{@code RegistryProgram} creates the parts, listens, and periodically resends to other registries the changes that
 * they may have missed. By concern:
 *
 * <ul>
 *   <li>HTTP requests: {@code ControlRouter} dispatches them by path to {@code InstanceCalls} (heartbeats, departures)
 *       or {@code OperatorCalls} (configuration, purges).
 *   <li>Instances: {@code InstanceReports} accepts their reports. A change of state is sent to all registries and
 *       proxies at once; its request is answered when a {@code Confirmation} ends. {@code DepartureLog} keeps those that
 *       leave on a {@code DepartureDisk}.
 *   <li>Edge proxies: {@code ProxyUpdates} builds the updates; {@code Subscribers} numbers and sends them and tracks
 *       acknowledgements.
 *   <li>Other registries: {@code PeerRegistries} sends updates over links that it opens; {@code IncomingLinks} handles
 *       the messages of registries and proxies over links that they open.
 *   <li>Configuration stores: {@code VotingStores} tracks the voters; {@code StoreClient} reads and writes at a
 *       majority of them. {@code LinkOpener} opens links to stores and registries.
 * </ul>
 *
 * <p>The state of instances and machines is kept in {@link ridgemill.cdn.instances} and {@link
 * ridgemill.cdn.membership}, which hold no links.
 */
package ridgemill.cdn.registry;
