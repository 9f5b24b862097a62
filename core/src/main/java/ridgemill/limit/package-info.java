/**
 * What is turned away before any node is asked: rates of tenants and classes, requests in flight, and a budget for
 * clients' retries. Free of I/O; the time is passed in, in milliseconds, and never runs back.
 */
package ridgemill.limit;
