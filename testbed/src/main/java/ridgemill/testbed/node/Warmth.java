package ridgemill.testbed.node;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A node that has just started does only part of its work, and falls over if it is sent far more than that for too
 * long. Counted as a budget: the work that came within any span must stay under the multiple of what the node can do.
 */
final class Warmth {

    private record Piece(double at, double workMs) {}

    private final double coldFrom;
    private final double coldMs;
    private final double fallMultiple;
    private final double fallMs;
    private final double startedAt;
    private final Deque<Piece> lately = new ArrayDeque<>();
    private double latelyMs;

    /** {@code startedAt} is negative infinity for a node that is warm. */
    Warmth(double startedAt, NodeProfile p) {
        this.startedAt = startedAt;
        this.coldFrom = p.coldFrom();
        this.coldMs = p.coldMs();
        this.fallMultiple = p.fallMultiple();
        this.fallMs = p.fallMs();
    }

    /** The part of its capacity that it has now, from the cold share to 1. */
    double share(double now) {
        double age = now - startedAt;
        return age >= coldMs ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / coldMs;
    }

    boolean isCold(double now) {
        return now - startedAt < coldMs;
    }

    /** Work has come; whether that was too much. */
    boolean pushedOver(double now, double workMs, int cores) {
        lately.addLast(new Piece(now, workMs));
        latelyMs += workMs;
        while (lately.getFirst().at() < now - fallMs) {
            latelyMs -= lately.removeFirst().workMs();
        }
        return isCold(now) && latelyMs > fallMultiple * share(now) * fallMs * cores;
    }
}
