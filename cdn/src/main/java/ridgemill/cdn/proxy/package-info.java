/**
 * The edge proxy: a program with one event loop that takes clients' requests in and answers each once.
 *
 * <p><b>The life of a request.</b>
 *
 * <ol>
 *   <li>{@code FrontConnection} reads it whole from its client's connection and hands it on as a {@code
 *       ClientRequest}; {@code ClientConnections} bounds how many connections there are.
 *   <li>{@code RequestRouter} finds its route and service and makes an {@code Exchange}, which answers exactly once,
 *       at the deadline at the latest: {@code PassingExchange} passes the request on, {@code CachedExchange} answers
 *       from a copy or waits for a fetch of {@code ObjectFetches}, {@code KeyedExchange} runs it under a claim of the
 *       register of operations, of which one for each key at a time leads ({@code OperationsUnderWay}).
 *   <li>What has to go to the service draws a token of its admission (in {@code ServiceState}) or is refused at once.
 *   <li>A {@code Delivery} picks an instance, waits a little where all are full, and repeats on another where the
 *       route, the retry budget and the deadline allow it.
 *   <li>Each {@code Attempt} takes a connection from the instance's {@code InstancePool}. The {@code
 *       InstanceConnection} sends the request and reads the answer; its verdict says whether the request may have run.
 *   <li>The verdict goes to the instance's statistics and the service's admission, the answer as a {@code FinalAnswer}
 *       to the client.
 * </ol>
 *
 * <p>{@code ProxyProgram} is the process, {@code DataPath} all that serves clients, {@code ProxyContext} what its
 * parts share. What is decided stands in {@link ridgemill.cdn.edge}, bytes are read and written in {@link
 * ridgemill.cdn.proxy.http}, and the control plane is followed in {@link ridgemill.cdn.proxy.control}.
 */
package ridgemill.cdn.proxy;
