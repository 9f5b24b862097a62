/**
 * Decides which requests are refused before any node is involved: rates of tenants and classes, requests in flight, and
 * a budget for clients' retries. Free of I/O; times are passed in, in milliseconds, and never go back.
 */
package ridgemill.limit;
