package ridgemill.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.lease.LeaseMessage.RefusalReason;

/**
 * One proxy's vote on one task: to whom it is promised, until when, and the highest term seen. A promised vote goes to
 * no other candidate until the promise has expired or its holder has released it; a term that was seen is never voted
 * for again. A process does not know what the previous process of its proxy promised. So after a start a voter refuses
 * all requests until any such promise must have expired, and until it has recovered the highest term from a majority of
 * voters that know it.
 */
final class Voter {

    /** Answer to a vote request; the vote is granted if {@code refusal} is null. */
    record Answer(RefusalReason refusal, long highestTerm, double retryAfterMs) { }

    private static final int NOBODY = Integer.MIN_VALUE;

    private final LeasePolicy policy;
    private final double quietUntil;
    private final double recoveryTimeoutAt;
    private final Set<Integer> recoverySources = new HashSet<>();
    private boolean recovered;
    private boolean outdated;
    private int holder = NOBODY;
    private int incarnation;
    private long term;
    private int round;
    private double promisedUntil = Double.NEGATIVE_INFINITY;
    private boolean released;
    private long highestTerm;
    private int successor = NOBODY;
    private double successorUntil = Double.NEGATIVE_INFINITY;
    private double forbiddenUntil = Double.NEGATIVE_INFINITY;

    /**
     * Creates a voter; {@code startedAt} is the time since which this process has been the only one of its proxy that
     * votes.
     */
    Voter(LeasePolicy policy, double startedAt, double now) {
        this.policy = policy;
        this.quietUntil = startedAt + policy.promiseMs();
        this.recoveryTimeoutAt = Math.max(quietUntil, now) + policy.promiseMs();
    }

    /**
     * Handles a vote request.
     *
     * @param mismatchedVoterSets whether the candidate has older voter sets than this proxy, or different ones of the
     *     same version
     * @return the answer; null if the request is a duplicate or late, and there is nothing to answer
     */
    Answer handleRequest(double now, int from, LeaseMessage.VoteRequest request, boolean mismatchedVoterSets) {
        boolean renewal = from == holder && request.incarnation() == incarnation && request.term() == term;
        if (now < quietUntil) {
            return new Answer(RefusalReason.QUIET, highestTerm, quietUntil - now);
        }
        if (!isRecovered(now)) {
            return new Answer(RefusalReason.JOINING, highestTerm, policy.answerMs());
        }
        if (mismatchedVoterSets) {
            return new Answer(RefusalReason.OTHER_VERSION, highestTerm, 0);
        }
        if (now < forbiddenUntil) {
            return new Answer(RefusalReason.FORBIDDEN, highestTerm, forbiddenUntil - now);
        }
        if (renewal) {
            if (released) {
                return new Answer(RefusalReason.OLD_TERM, highestTerm, 0);
            }
            if (request.round() <= round) {
                // A duplicate or late request: its vote was already granted, and the promise is not extended.
                return null;
            }
        } else {
            // A candidate that requests a vote under a new term has stopped under its previous one, even if its release
            // was lost.
            boolean raisesTerm = from == holder && request.incarnation() == incarnation && request.term() > term;
            if (now < promisedUntil && !raisesTerm) {
                return new Answer(RefusalReason.HELD, highestTerm, promisedUntil - now);
            }
            if (now < successorUntil && from != successor) {
                return new Answer(RefusalReason.HELD, highestTerm, successorUntil - now);
            }
            if (request.term() <= highestTerm) {
                return new Answer(RefusalReason.OLD_TERM, highestTerm, 0);
            }
        }
        holder = from;
        incarnation = request.incarnation();
        term = request.term();
        highestTerm = Math.max(highestTerm, term);
        round = request.round();
        released = false;
        promisedUntil = now + policy.promiseMs();
        return new Answer(null, highestTerm, 0);
    }

    /** Handles a release. It counts only from the candidate that has the vote, and for its current term. */
    void release(double now, int from, LeaseMessage.Release release) {
        highestTerm = Math.max(highestTerm, release.term());
        if (from == holder && release.incarnation() == incarnation && release.term() == term && !released) {
            released = true;
            promisedUntil = Math.min(promisedUntil, now);
            if (release.successor() >= 0) {
                successor = release.successor();
                successorUntil = now + 4 * policy.answerMs();
            }
        }
    }

    /** Handles a voter's reply to a term query; {@code newer} is whether that voter has newer voter sets. */
    void receiveTermReply(int from, LeaseMessage.TermReply reply, List<Integer> voters, int self, boolean newer) {
        highestTerm = Math.max(highestTerm, reply.highestTerm());
        outdated |= newer && !recovered;
        if (reply.recovered() && from != self && voters.contains(from)) {
            recoverySources.add(from);
        }
        if (!outdated && recoverySources.stream().filter(voters::contains).count()
                >= VoterSets.majority(voters.size())) {
            recovered = true;
        }
    }

    /** This proxy has adopted newer voter sets, so it is not known to be outdated any more. */
    void clearOutdated() {
        outdated = false;
    }

    /**
     * Returns whether the highest term is recovered, or enough time has passed that no other voter can know a higher
     * one.
     */
    boolean isRecovered(double now) {
        recovered |= !outdated && now >= recoveryTimeoutAt;
        return recovered;
    }


    /** Returns whether promises of a previous process may still be valid. */
    boolean isQuiet(double now) {
        return now < quietUntil;
    }


    /** Grants no vote until then. */
    void forbid(double untilMs) {
        forbiddenUntil = Math.max(forbiddenUntil, untilMs);
    }

    double forbiddenUntil() {
        return forbiddenUntil;
    }

    /** Records a term that was seen elsewhere, such as at the receiver of an action. */
    void observeTerm(long term) {
        highestTerm = Math.max(highestTerm, term);
    }

    long highestTerm() {
        return highestTerm;
    }

    /** Returns whether the vote is promised to a candidate. */
    boolean isPromised(double now) {
        return now < promisedUntil;
    }

    /** Returns the time until which the vote is promised, or reserved for a successor other than this proxy. */
    double unavailableUntil(int self) {
        return successor == self ? promisedUntil : Math.max(promisedUntil, successorUntil);
    }

    int holder() {
        return holder;
    }

    long term() {
        return term;
    }

    double promisedUntil() {
        return promisedUntil;
    }

    /** Returns the whole state as text, with times relative to now. Two voters with equal text behave alike. */
    String stateText(double now) {
        return holder + " " + incarnation + " " + term + " " + round + " " + Math.max(0, promisedUntil - now) + " "
                + released + " " + highestTerm + " " + successor + " " + Math.max(0, successorUntil - now) + " "
                + recovered + outdated + recoverySources + " " + Math.max(0, quietUntil - now) + " "
                + Math.max(0, recoveryTimeoutAt - now) + " " + Math.max(0, forbiddenUntil - now);
    }
}
