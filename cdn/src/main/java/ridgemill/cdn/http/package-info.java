/**
 * HTTP beside the data path: {@code SimpleHttpServer} takes whole calls, one at a time a connection, of instances,
 * operators and whoever asks for readiness. Clients' requests are read by {@link ridgemill.cdn.proxy.http}, which is
 * strict.
 */
package ridgemill.cdn.http;
