/**
 * The edge proxy and the shared cache: programs with one event loop that receive requests and respond to each exactly
 * once.
 *
 * <p><b>How a request is processed.</b>
 *
 * <ol>
 *   <li>{@code ClientConnection} reads the request from the client's connection and passes it on as a {@code
 *       ClientRequest}: complete, or with a large body that is streamed ({@code StreamedBody}); {@code ClientConnections}
 *       limits the number of connections, {@code BodyMemory} the memory for bodies.
 *   <li>{@code RequestRouter} finds the route and the service and creates an {@code Exchange}, which responds exactly
 *       once, at the latest at the deadline: {@code PassThroughExchange} forwards the request, {@code CachedExchange}
 *       serves a copy or waits for a fetch of {@code ObjectFetcher}, {@code KeyedExchange} runs the request under a
 *       claim of the register of operations; for each key one request at a time is the leader ({@code
 *       InFlightOperations}).
 *   <li>A request that must go to the service takes a token of its admission (in {@code ServiceState}) or is refused
 *       at once.
 *   <li>An {@code UpstreamCall} picks an instance, waits for a limited time if all are at capacity, and retries on
 *       another one as far as the route, the retry budget and the deadline allow.
 *   <li>Each {@code Attempt} takes a connection from the instance's {@code ConnectionPool}. The {@code
 *       InstanceConnection} sends the request and reads the response, whose body must fit into the {@code
 *       ResponseMemory}; the outcome states whether the request may have run.
 *   <li>The outcome is recorded in the instance's statistics and the service's admission, and the response is sent to
 *       the client as a {@code FinalResponse}, by its {@code ResponseWriter}.
 * </ol>
 *
 * <p>{@code ProxyProgram} and {@code CacheProgram} are the processes, {@code DataPath} is everything that serves
 * clients, and {@code ProxyContext} holds the components that its parts share. Decisions are made in {@link
 * ridgemill.cdn.edge}, messages are read and written in {@link ridgemill.cdn.proxy.http}, and {@link
 * ridgemill.cdn.proxy.control} follows the control plane.
 */
package ridgemill.cdn.proxy;
