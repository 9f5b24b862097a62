/** Limits on how slowly a peer may send, by its progress rather than by total time. Free of I/O, clocks and threads. */
package ridgemill.flow;
