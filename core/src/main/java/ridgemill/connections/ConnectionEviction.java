package ridgemill.connections;

import java.util.Collection;

/**
 * Says which client's connection goes when a place is needed. Each is judged by what it has sent and when, as in a crowd most say
 * nothing or stop half way, and a few take their time. Times are in milliseconds.
 */
public final class ConnectionEviction {

    /** Silence after which a request that has begun is taken to have stopped: a slow writer's pieces come more often. */
    static final double STOPPED_MS = 600;
    /** Silence after which one goes where there is no other choice. */
    static final double HALTING_MS = 150;

    /** A connection, as it is now. */
    public interface Candidate {

        /** Whether it has a request in hand. */
        boolean isBusy();

        /** Whether it is kept for a next request, after one that was good. */
        boolean isKeepAlive();

        /** Whether it has been read since it was accepted. */
        boolean wasRead();

        /** Whether it has sent a part of a request. */
        boolean hasPartialRequest();

        /** When it last sent something, had an answer, or was accepted. */
        double lastActivityMs();
    }

    private static final int HALTING = 1;
    private static final int KEPT = 2;
    private static final int STOPPED = 3;
    private static final int SILENT = 4;

    private ConnectionEviction() { }

    /**
     * Whose place is taken; null where none may be. While one has not been read yet, no kept connection goes: it may have said
     * nothing, and then goes first. Its chance is a few milliseconds away.
     */
    public static <G extends Candidate> G selectVictim(Collection<G> guests, double nowMs) {
        G best = null;
        int bestRank = 0;
        boolean unread = false;
        for (G g : guests) {
            unread |= !g.wasRead();
            int rank = rank(g, nowMs);
            if (rank > bestRank || rank > 0 && rank == bestRank && g.lastActivityMs() < best.lastActivityMs()) {
                best = g;
                bestRank = rank;
            }
        }
        return bestRank == KEPT && unread ? null : best;
    }

    /** The higher, the sooner it goes; 0 for one that stays. */
    private static int rank(Candidate g, double nowMs) {
        if (g.isBusy() || !g.wasRead()) {
            return 0;
        }
        if (g.hasPartialRequest()) {
            double silent = nowMs - g.lastActivityMs();
            return silent >= STOPPED_MS ? STOPPED : silent >= HALTING_MS ? HALTING : 0;
        }
        return g.isKeepAlive() ? KEPT : SILENT;
    }
}
