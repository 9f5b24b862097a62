package ridgemill.testbed.node;

import java.util.PriorityQueue;

/**
 * Cores that exist on paper: work waits in one queue, first come first served, and each piece keeps a core for its own
 * time. Nothing here takes real CPU, so a loaded fleet fits on one machine. Times are milliseconds.
 */
final class VirtualCore {

    private final PriorityQueue<Double> freeAt = new PriorityQueue<>();
    private final int queue;
    private int inHand;

    /** {@code queue} is how many pieces may wait beside those at work. */
    VirtualCore(int cores, int queue) {
        this.queue = queue;
        for (int i = 0; i < cores; i++) {
            freeAt.add(0.0);
        }
    }

    /** Takes a piece of work and tells when it will be done; -1 if the queue is full. */
    double take(double now, double workMs) {
        if (inHand >= queue + freeAt.size()) {
            return -1;
        }
        inHand++;
        double done = Math.max(now, freeAt.remove()) + workMs;
        freeAt.add(done);
        return done;
    }

    /** A piece is done. */
    void done() {
        inHand--;
    }

    int inHand() {
        return inHand;
    }
}
