/**
 * HTTP outside the data path: {@code SimpleHttpServer} reads complete requests, one at a time on each connection, of
 * instances, operators and readiness checks. Requests of clients are read by the strict parser in {@link
 * ridgemill.cdn.proxy.http}.
 */
package ridgemill.cdn.http;
