package ridgemill.testbed.node;

/**
 * What a stand-in can do.
 *
 * @param cores virtual cores
 * @param readMs a core's time for a read
 * @param writeMs a core's time for a write
 * @param queue requests that may wait; more are turned away unseen
 * @param connections connections that it takes; more are closed at once
 * @param handshakeMs what a new connection costs it, in core time and in delay of the first request
 * @param idleCloseMs after how long it closes an idle connection
 * @param coldFrom the part of its capacity that it has right after a start
 * @param coldMs how long it takes to be warm
 * @param fallMultiple how many times its present capacity pushes it over while cold
 * @param fallMs for how long
 * @param keys values that it keeps; those used longest ago go first
 * @param valueBytes the size of an answer's body
 */
public record NodeProfile(
        int cores,
        double readMs,
        double writeMs,
        int queue,
        int connections,
        double handshakeMs,
        double idleCloseMs,
        double coldFrom,
        double coldMs,
        double fallMultiple,
        double fallMs,
        int keys,
        int valueBytes) {

    /** A cache node: one core, 2 ms a read, warm after 6 s. */
    public static final NodeProfile CACHE =
            new NodeProfile(1, 2, 4, 64, 90, 1, 60_000, 0.21, 6000, 2.5, 3000, 10_000, 200);
    /** The store: two cores, slow, a long queue. */
    public static final NodeProfile STORE = new NodeProfile(2, 8, 12, 200, 200, 1, 60_000, 1, 0, 1, 1000, 0, 200);

    /** The same with other times of work. */
    public NodeProfile working(double read, double write) {
        return new NodeProfile(
                cores,
                read,
                write,
                queue,
                connections,
                handshakeMs,
                idleCloseMs,
                coldFrom,
                coldMs,
                fallMultiple,
                fallMs,
                keys,
                valueBytes);
    }

    /** The same with another queue and other limits to connections. */
    public NodeProfile holding(int waiting, int open, double idleMs) {
        return new NodeProfile(
                cores,
                readMs,
                writeMs,
                waiting,
                open,
                handshakeMs,
                idleMs,
                coldFrom,
                coldMs,
                fallMultiple,
                fallMs,
                keys,
                valueBytes);
    }

    /** The same with another time until it is warm. */
    public NodeProfile cold(double untilWarmMs) {
        return new NodeProfile(
                cores,
                readMs,
                writeMs,
                queue,
                connections,
                handshakeMs,
                idleCloseMs,
                coldFrom,
                untilWarmMs,
                fallMultiple,
                fallMs,
                keys,
                valueBytes);
    }

    /** The same with other cores. */
    public NodeProfile cores(int count) {
        return new NodeProfile(
                count,
                readMs,
                writeMs,
                queue,
                connections,
                handshakeMs,
                idleCloseMs,
                coldFrom,
                coldMs,
                fallMultiple,
                fallMs,
                keys,
                valueBytes);
    }
}
