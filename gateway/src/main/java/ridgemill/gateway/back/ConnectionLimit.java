package ridgemill.gateway.back;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the connections to nodes, and so their file descriptors, over the backends of all groups. Used on one event
 * loop.
 */
public final class ConnectionLimit {

    /** A backend whose connections count against the limit. */
    public interface Owner {

        /** How long the longest idle connection has been idle, in nanoseconds; negative if none is idle. */
        long longestIdleNanos();

        /** Closes the longest idle connection. Called only if there is one. */
        void closeLongestIdle();
    }

    private final int maxConnections;
    private final List<Owner> owners = new ArrayList<>();
    private int openConnections;

    /** Allows {@code maxConnections} in total, at least 1. */
    public ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Registers a backend whose idle connections may be closed to make room for others. */
    public void register(Owner owner) {
        owners.add(owner);
    }

    /** Unregisters a backend that opens no more connections; its open ones count until they have closed. */
    public void unregister(Owner owner) {
        owners.remove(owner);
    }

    /** The number of connections that are open or connecting. */
    public int openConnections() {
        return openConnections;
    }

    /**
     * Whether one more connection may be opened. At the limit, closes the longest idle connection of all owners to make
     * room; false if none is idle.
     */
    public boolean ensureCapacity() {
        if (openConnections < maxConnections) {
            return true;
        }
        Owner longestIdle = null;
        for (Owner owner : owners) {
            if (owner.longestIdleNanos() >= 0
                    && (longestIdle == null || owner.longestIdleNanos() > longestIdle.longestIdleNanos())) {
                longestIdle = owner;
            }
        }
        if (longestIdle != null) {
            longestIdle.closeLongestIdle();
        }
        return longestIdle != null;
    }

    /** Counts a connection that is connecting. */
    public void connectionOpening() {
        openConnections++;
    }

    /** Stops counting a connection that has closed. */
    public void connectionClosed() {
        openConnections--;
    }
}
