/**
 * Decisions of a process that runs several event loops, each of which is a complete proxy: which loop a new connection
 * goes to, and how the process's limits are divided among the loops. Free of I/O, clocks and threads: the event loop
 * that owns an object calls it, and times are passed in.
 */
package ridgemill.loops;
