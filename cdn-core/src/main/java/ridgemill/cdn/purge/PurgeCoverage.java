package ridgemill.cdn.purge;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Tracks from when until when a cache knows of all acknowledged purges.
 *
 * <p>A cache follows the purges of each voting store from a start, and a store confirms from time to time that all it
 * had published until then has been received. An acknowledged purge was published by a quorum of the voters, so a
 * quorum of followed voters includes one that published it: it was received if it was published after the start of that
 * voter's stream and before its confirmation. A store that says nothing confirms nothing, whatever its connection.
 *
 * <p>The covered span is extended by voters whose streams began early enough: no later than the span, or so long before
 * its end that a purge published before the stream began was acknowledged before that end. So voters may restart one
 * after another. It is extended into the next epoch only if it was confirmed in the current one, because only quorums
 * of adjacent epochs intersect. Otherwise a new span begins.
 *
 * <p>All times are in milliseconds on the clock of the cache.
 */
public final class PurgeCoverage {

    private static final class Stream {

        private final double startedMs;
        private double confirmedMs = Double.NEGATIVE_INFINITY;
        private long confirmedEpoch;

        private Stream(double startedMs) {
            this.startedMs = startedMs;
        }
    }

    private final double maxUnconfirmedMs;
    private final Map<Voter, Stream> streams = new HashMap<>();
    private VoterSet voters = VoterSet.UNKNOWN;
    private double epochDecidedMs = Double.POSITIVE_INFINITY;
    /** The covered span; empty while it is not positive. */
    private double sinceMs = Double.POSITIVE_INFINITY;

    private double untilMs = Double.NEGATIVE_INFINITY;
    private boolean confirmedInEpoch;

    /**
     * How long after the last confirmation copies may be used at most, in milliseconds: the permitted delay of purges,
     * as far as the purges of that time are kept.
     */
    public static double maxUnconfirmedMs(double purgeDeadlineMs) {
        return Math.min(purgeDeadlineMs, PurgeHistory.RETENTION_MS - Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
    }

    /**
     * Coverage without any stream.
     *
     * @param maxUnconfirmedMs how long after the last confirmation copies may still be used
     */
    public PurgeCoverage(double maxUnconfirmedMs) {
        this.maxUnconfirmedMs = maxUnconfirmedMs;
    }

    /**
     * Sets the voting stores; other stores do not count.
     *
     * @param decidedMs a time by which the epoch of these voters had been decided
     */
    public void setVoters(VoterSet newest, double decidedMs) {
        if (newest.epoch() == voters.epoch()) {
            epochDecidedMs = Math.min(epochDecidedMs, decidedMs);
        }
        if (!newest.isNewerThan(voters)) {
            return;
        }
        boolean continues = confirmedInEpoch && newest.epoch() == voters.epoch() + 1;
        voters = newest;
        epochDecidedMs = decidedMs;
        confirmedInEpoch = false;
        if (!continues) {
            sinceMs = Double.POSITIVE_INFINITY;
            untilMs = Double.NEGATIVE_INFINITY;
        }
    }

    /**
     * Records that the stream of purges from a store starts anew, possibly after a gap.
     *
     * @param startMs a time from which all purges that the store published were or will be received
     */
    public void streamStarted(Voter store, double startMs) {
        streams.put(store, new Stream(startMs));
    }

    /** Removes a store that is not followed any more. */
    public void streamEnded(Voter store) {
        streams.remove(store);
    }

    /**
     * Records that all purges that a store had published by a time have been received.
     *
     * @param atMs that time, for instance when the store was asked
     * @param epoch the epoch in which the store counted purges when it replied; 0 if it was changing to another one
     */
    public void confirmed(Voter store, double atMs, long epoch) {
        Stream stream = streams.get(store);
        if (stream == null) {
            return;
        }
        stream.confirmedMs = Math.max(stream.confirmedMs, atMs);
        stream.confirmedEpoch = epoch;
        extend();
    }

    private void extend() {
        double newestMs = confirmedByQuorumMs(Double.POSITIVE_INFINITY);
        double newestSinceMs = Math.max(epochDecidedMs, startOfQuorumMs(newestMs));
        boolean empty = sinceMs > untilMs;
        double latestStartMs = Math.max(sinceMs, untilMs - Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
        double extendedUntilMs = empty ? Double.NEGATIVE_INFINITY : confirmedByQuorumMs(latestStartMs);
        if (!empty && extendedUntilMs >= untilMs) {
            untilMs = extendedUntilMs;
            confirmedInEpoch = true;
        }
        boolean expired = empty || newestMs > untilMs + maxUnconfirmedMs;
        boolean longer = newestMs >= untilMs && newestSinceMs < sinceMs;
        if (newestMs > Double.NEGATIVE_INFINITY && (expired || longer)) {
            sinceMs = newestSinceMs;
            untilMs = newestMs;
            confirmedInEpoch = true;
        }
    }

    /** The latest time that a quorum of voters whose streams began no later than a time has confirmed. */
    private double confirmedByQuorumMs(double latestStartMs) {
        double latestMs = Double.NEGATIVE_INFINITY;
        for (Stream candidate : streams.values()) {
            double atMs = candidate.confirmedMs;
            if (atMs > latestMs && voters.hasQuorum(voter -> hasConfirmed(voter, atMs, latestStartMs))) {
                latestMs = atMs;
            }
        }
        return latestMs;
    }

    /** The earliest time by which the streams of a quorum that has confirmed a time had begun. */
    private double startOfQuorumMs(double confirmedMs) {
        double earliestMs = Double.POSITIVE_INFINITY;
        for (Stream candidate : streams.values()) {
            double startMs = candidate.startedMs;
            if (startMs < earliestMs && voters.hasQuorum(voter -> hasConfirmed(voter, confirmedMs, startMs))) {
                earliestMs = startMs;
            }
        }
        return earliestMs;
    }

    private boolean hasConfirmed(Voter voter, double atMs, double latestStartMs) {
        Stream stream = streams.get(voter);
        return stream != null
                && stream.confirmedEpoch == voters.epoch()
                && stream.confirmedMs >= atMs
                && stream.startedMs <= latestStartMs;
    }

    /**
     * Whether every purge is known that was acknowledged between a time and the longest permitted time without
     * confirmation before now.
     */
    public boolean covers(double fromMs, double nowMs) {
        return sinceMs <= fromMs && nowMs - untilMs <= maxUnconfirmedMs;
    }

    /** Until when all acknowledged purges are known; negative infinity if that can't be said of any time. */
    public double confirmedUntilMs() {
        return untilMs;
    }

    /** The covered span, and the start and the last confirmation of each voting store's stream, for logs. */
    public String describe(double nowMs, Predicate<Voter> isConnected) {
        StringBuilder text = new StringBuilder("epoch=" + voters.epoch() + " covered_ms_ago="
                + Math.round(nowMs - sinceMs) + ".." + Math.round(nowMs - untilMs));
        for (Voter voter : voters.members()) {
            Stream stream = streams.get(voter);
            text.append(' ').append(voter);
            if (stream == null) {
                text.append(":none");
            } else {
                text.append(':')
                        .append(Math.round(nowMs - stream.startedMs))
                        .append("..")
                        .append(Math.round(nowMs - stream.confirmedMs))
                        .append("@epoch=")
                        .append(stream.confirmedEpoch);
            }
            text.append(isConnected.test(voter) ? ":connected" : ":lost");
        }
        return text.toString();
    }
}
