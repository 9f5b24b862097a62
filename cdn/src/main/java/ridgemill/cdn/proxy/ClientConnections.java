package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of clients, limited in number. If a new connection exceeds the limit, the connection that has
 * been idle for longest is closed, or the new one if none is idle. Without the limit, clients could use up the file
 * descriptors that connections to instances need.
 */
final class ClientConnections {

    /**
     * File descriptors reserved for files, listeners and the links to the control plane, of which there may be two
     * dozen.
     */
    private static final int RESERVED_DESCRIPTORS = 232;
    /** One in this many of the remaining descriptors is reserved for connections to instances and shared caches. */
    private static final int UPSTREAM_DIVISOR = 2;

    /** Lower bound of the limit, for processes with few file descriptors. */
    private static final int MIN_CONNECTIONS = 4;

    private final int maxConnections;
    /** Ordered by when a connection last became idle or was opened, oldest first. */
    private final Set<ClientConnection> openConnections = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param fileDescriptors the maximum number of open file descriptors of the process
     */
    ClientConnections(int fileDescriptors) {
        int available = fileDescriptors - RESERVED_DESCRIPTORS;
        maxConnections = Math.max(MIN_CONNECTIONS, available - available / UPSTREAM_DIVISOR);
    }

    /** Adds a connection that was opened; closes it if the limit is reached and no connection is idle. */
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
                // Removed here because the notification of its close arrives later.
                openConnections.remove(client);
                client.close();
                return true;
            }
        }
        return false;
    }

    /** Records that the response on a connection was written and that it waits for the next request. */
    void becameIdle(ClientConnection client) {
        if (openConnections.remove(client)) {
            openConnections.add(client);
        }
    }

    /** Removes a connection that was closed. */
    void closed(ClientConnection client) {
        openConnections.remove(client);
    }

    /** A snapshot of the open connections; they may be closed during iteration. */
    Iterable<ClientConnection> snapshot() {
        return new ArrayList<>(openConnections);
    }
}
