package ridgemill.gateway.back;

import java.util.ArrayList;
import java.util.List;

/** The descriptors that connections to nodes may take, which pools of several groups share. */
public final class ConnectionLimit {

    /** Who has connections. */
    public interface Owner {

        /** For how long the one that is idle for longest has been, in nanoseconds; negative where none is idle. */
        long longestIdleNanos();

        /** Closes that one. */
        void closeLongestIdle();
    }

    private final int maxConnections;
    private final List<Owner> owners = new ArrayList<>();
    private int openConnections;

    /** So many in all, at least 1. */
    public ConnectionLimit(int most) {
        this.maxConnections = most;
    }

    /** One more takes of them. */
    public void register(Owner user) {
        owners.add(user);
    }

    /** The user opens no more; those that it has count until they have closed. */
    public void unregister(Owner user) {
        owners.remove(user);
    }

    /** Connections that are open or opening. */
    public int openConnections() {
        return openConnections;
    }

    /** Whether one more may be opened; one that is idle for longest may have been closed for it. */
    public boolean ensureCapacity() {
        if (openConnections < maxConnections) {
            return true;
        }
        Owner oldest = null;
        for (Owner user : owners) {
            if (user.longestIdleNanos() >= 0 && (oldest == null || user.longestIdleNanos() > oldest.longestIdleNanos())) {
                oldest = user;
            }
        }
        if (oldest != null) {
            oldest.closeLongestIdle();
        }
        return oldest != null;
    }

    /** One is opening. */
    public void connectionOpening() {
        openConnections++;
    }

    /** One has closed. */
    public void connectionClosed() {
        openConnections--;
    }
}
