/**
 * The one final outcome of each keyed write, by its idempotency key: whoever asks again is told it, or waits for it, rather
 * than have it run again or guessed at. Free of I/O, clocks and threads: times are passed in, as milliseconds.
 */
package ridgemill.idempotency;
