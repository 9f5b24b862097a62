/**
 * Deadlines of requests: the timeout that a client sent, the part of it used up by transit, stalls and queues, the time
 * that the response needs to travel back, the time that remains for nodes and the origin, and whether work that would
 * start now can finish before the client has left. Free of I/O, clocks and threads: times are passed in, in
 * milliseconds.
 */
package ridgemill.deadline;
