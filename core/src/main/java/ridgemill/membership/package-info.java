/**
 * Determines which nodes exist, from several sources that may be late, stale, wrong or contradictory. Free of I/O,
 * clocks and threads: times are passed in, in milliseconds, and never go back.
 */
package ridgemill.membership;
