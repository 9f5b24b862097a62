package ridgemill.connections;

import java.util.Collection;

/**
 * Selects the client connection to close when room is needed for another. Each connection is judged by what its client
 * has sent and when: under overload most clients send nothing or stop in the middle of a request, and a few merely send
 * slowly.
 */
public final class ConnectionEviction {

    /** Silence after which a partial request is taken to be stopped: a slow client's data arrives more often. */
    static final double STOPPED_MS = 600;
    /** Silence after which a connection with a partial request is closed if there is no other choice. */
    static final double PAUSED_MS = 150;

    /** The present state of a connection. */
    public interface Candidate {

        /** Whether a request of the connection is being processed. */
        boolean isBusy();

        /** Whether the connection is kept alive for a next request, after a valid one. */
        boolean isKeepAlive();

        /** Whether the connection has been read since it was accepted. */
        boolean wasRead();

        /** Whether a part of a request has arrived. */
        boolean hasPartialRequest();

        /** When the client last sent data, was sent a response, or was accepted, in milliseconds. */
        double lastActivityMs();
    }

    private static final int PAUSED = 1;
    private static final int KEEP_ALIVE = 2;
    private static final int STOPPED = 3;
    private static final int SILENT = 4;

    private ConnectionEviction() { }

    /**
     * Returns the connection to close, or null if none may be closed. While any connection has not been read yet, no
     * keep-alive connection is closed: the unread one may turn out to be silent, and silent ones are closed first. It
     * is read within a few milliseconds.
     */
    public static <C extends Candidate> C selectVictim(Collection<C> candidates, double nowMs) {
        C best = null;
        int bestRank = 0;
        boolean unread = false;
        for (C candidate : candidates) {
            unread |= !candidate.wasRead();
            int rank = rank(candidate, nowMs);
            if (rank > bestRank
                    || rank > 0 && rank == bestRank && candidate.lastActivityMs() < best.lastActivityMs()) {
                best = candidate;
                bestRank = rank;
            }
        }
        return bestRank == KEEP_ALIVE && unread ? null : best;
    }

    /** The eviction rank: connections of a higher rank are closed first, those of rank 0 never. */
    private static int rank(Candidate candidate, double nowMs) {
        if (candidate.isBusy() || !candidate.wasRead()) {
            return 0;
        }
        if (candidate.hasPartialRequest()) {
            double silentMs = nowMs - candidate.lastActivityMs();
            return silentMs >= STOPPED_MS ? STOPPED : silentMs >= PAUSED_MS ? PAUSED : 0;
        }
        return candidate.isKeepAlive() ? KEEP_ALIVE : SILENT;
    }
}
