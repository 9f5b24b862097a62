package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections of clients, within a bound: where one more would pass it, the one that has been idle for longest is
 * closed, and where none is idle the new one. Descriptors that clients took would be missing for requests to instances.
 */
final class ClientConnections {

    /** Descriptors for files, for listeners and for the links to the control plane, of which there may be two dozen. */
    private static final int RESERVED_DESCRIPTORS = 232;
    /** One in so many of the others is kept for connections to instances and shared caches. */
    private static final int UPSTREAM_DIVISOR = 2;

    private static final int MIN_CONNECTIONS = 4;

    private final int maxConnections;
    /** In the order in which they last became idle, or were opened. */
    private final Set<ClientConnection> openConnections = new LinkedHashSet<>();

    /** No connections yet, in a process that may have so many descriptors open. */
    ClientConnections(int fileDescriptors) {
        int shared = fileDescriptors - RESERVED_DESCRIPTORS;
        maxConnections = Math.max(MIN_CONNECTIONS, shared - shared / UPSTREAM_DIVISOR);
    }

    /** A connection was opened; it is closed if there is no place for it. */
    void opened(ClientConnection client) {
        if (openConnections.size() >= maxConnections && !closeLongestIdle()) {
            client.close();
            return;
        }
        openConnections.add(client);
    }

    private boolean closeLongestIdle() {
        for (ClientConnection client : openConnections) {
            if (client.isIdle()) {
                // It is counted as closed from now on: the news of its end comes later.
                openConnections.remove(client);
                client.close();
                return true;
            }
        }
        return false;
    }

    /** A connection's request was answered, and it waits for the next. */
    void becameIdle(ClientConnection client) {
        if (openConnections.remove(client)) {
            openConnections.add(client);
        }
    }

    /** A connection has ended. */
    void closed(ClientConnection client) {
        openConnections.remove(client);
    }

    /** All that are open, of which some may be closed while they are gone through. */
    Iterable<ClientConnection> snapshot() {
        return new ArrayList<>(openConnections);
    }
}
