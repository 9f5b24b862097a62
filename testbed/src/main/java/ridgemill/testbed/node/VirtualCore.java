package ridgemill.testbed.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Cores that exist on paper: work waits in one queue, first come first served, and each piece keeps a core for its own
 * time, or until it is stopped. Nothing here takes real CPU, so a loaded fleet fits on one machine. A piece begins when its
 * core was free, however late that is seen. Times are milliseconds.
 */
final class VirtualCore {

    /** One piece of work. */
    static final class Piece {
        private final double at;
        private final double workMs;
        private double begunAt = Double.NaN;
        private boolean over;

        Piece(double at, double workMs) {
            this.at = at;
            this.workMs = workMs;
        }

        /** When it has a core, or had one; not a number while it waits. */
        double begunAt() {
            return begunAt;
        }

        /** When it is done if it is not stopped. */
        double doneAt() {
            return begunAt + workMs;
        }

        boolean isOver() {
            return over;
        }
    }

    private final PriorityQueue<Double> freeAt = new PriorityQueue<>();
    private final Deque<Piece> waiting = new ArrayDeque<>();
    private final int most;
    private int working;

    /** {@code queue} is how many pieces may wait beside those at work. */
    VirtualCore(int cores, int queue) {
        this.most = queue + cores;
        for (int i = 0; i < cores; i++) {
            freeAt.add(0.0);
        }
    }

    /** Takes a piece of work, which waits for {@link #begin}; null if the queue is full. */
    Piece take(double now, double workMs) {
        if (inHand() >= most) {
            return null;
        }
        Piece piece = new Piece(now, workMs);
        waiting.add(piece);
        return piece;
    }

    /** The pieces that have a core now and had none before. */
    List<Piece> begin() {
        List<Piece> begun = new ArrayList<>();
        while (!waiting.isEmpty() && !freeAt.isEmpty()) {
            Piece next = waiting.remove();
            next.begunAt = Math.max(freeAt.remove(), next.at);
            working++;
            begun.add(next);
        }
        return begun;
    }

    /** A piece is done. */
    void done(Piece piece) {
        end(piece, piece.doneAt());
    }

    /** A piece is given up, at work or before. */
    void stop(double now, Piece piece) {
        if (!piece.over && Double.isNaN(piece.begunAt)) {
            piece.over = true;
            waiting.remove(piece);
        } else {
            end(piece, now);
        }
    }

    private void end(Piece piece, double at) {
        if (!piece.over) {
            piece.over = true;
            working--;
            freeAt.add(at);
        }
    }

    int inHand() {
        return waiting.size() + working;
    }
}
