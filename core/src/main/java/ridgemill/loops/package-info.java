/**
 * Decisions of a process that runs several event loops, each a complete proxy: which loop a connection goes to, and how
 * what an operator allows the process is divided between them. Free of I/O, clocks and threads: the one loop that owns an
 * object calls it, and times are passed in.
 */
package ridgemill.loops;
