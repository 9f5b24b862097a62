package ridgemill.monitoring;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A bounded set of open connections to the operators' port. Clients may send nothing, or half a request, and stay
 * connected; when the set is full, a new connection therefore replaces the oldest one.
 *
 * @param <T> the type of connections
 */
public final class BoundedConnections<T> {

    private final Deque<T> open = new ArrayDeque<>();
    private final int maxOpen;

    /** Creates an empty set for at most that many connections, at least 1. */
    public BoundedConnections(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    /** Adds a connection; returns the one that it replaces and that must be closed, or null. */
    public T add(T connection) {
        T replaced = open.size() >= maxOpen ? open.pollFirst() : null;
        open.addLast(connection);
        return replaced;
    }

    /** Removes a closed connection. */
    public void remove(T connection) {
        open.remove(connection);
    }

    /** Number of open connections. */
    public int size() {
        return open.size();
    }
}
