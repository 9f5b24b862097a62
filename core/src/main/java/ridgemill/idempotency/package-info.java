/**
 * Records the single final outcome of each write that carries an idempotency key. A client that sends the key again
 * receives the recorded outcome, or waits for it, instead of having the write executed again. Free of I/O, clocks and
 * threads: times are passed in, in milliseconds.
 */
package ridgemill.idempotency;
