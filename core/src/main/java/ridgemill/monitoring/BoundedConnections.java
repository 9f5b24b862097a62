package ridgemill.monitoring;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Callers of a console, of whom only so many may be there at a time: some say nothing, or half of what they want, and stay. The
 * oldest goes when one more comes.
 *
 * @param <T> a caller
 */
public final class BoundedConnections<T> {

    private final Deque<T> there = new ArrayDeque<>();
    private final int most;

    /** So many at most, at least 1. */
    public BoundedConnections(int most) {
        this.most = most;
    }

    /** Takes one in; returns who goes for it, or null. */
    public T add(T caller) {
        T goes = there.size() >= most ? there.pollFirst() : null;
        there.addLast(caller);
        return goes;
    }

    /** One has gone. */
    public void remove(T caller) {
        there.remove(caller);
    }

    /** Those that are there. */
    public int size() {
        return there.size();
    }
}
