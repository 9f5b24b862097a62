/**
 * A request's time as one thing: what its client says of it, what transit, stalls and queues have eaten, what the answer
 * needs for its way back, what a node and a store may still use, and whether anything that would begin now can end in time
 * for somebody to read it. Free of I/O, clocks and threads: times are passed in, as milliseconds.
 */
package ridgemill.deadline;
