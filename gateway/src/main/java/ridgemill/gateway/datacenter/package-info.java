/**
 * The links between datacenters: HTTP/2 (RFC 9113) between authenticated gateways, on which requests are forwarded
 * together with the data that keeps the guarantees to their clients: remaining time, idempotency key and path. {@link
 * ridgemill.datacenter} decides which requests are forwarded and when. Not loaded unless an operator file has a
 * section for datacenters ({@code halls}).
 */
package ridgemill.gateway.datacenter;
