package ridgemill.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.lease.LeaseMessage.RefusalReason;

/**
 * One proxy's vote on one task: to whom it is promised, until when, and which terms it has seen. A vote once given is given to
 * nobody else until it has run out or its holder has released it; a term once seen is given to nobody else ever. What a process
 * before this one promised is unknown, so a voter keeps still until all of that must have run out, and gives no vote until it
 * has heard from those who know which terms there were.
 */
final class Voter {

    /** What came of a question: a vote where {@code why} is null. */
    record Answer(RefusalReason why, long highest, double waitMs) { }

    private static final int NOBODY = Integer.MIN_VALUE;

    private final LeasePolicy policy;
    private final double quietUntil;
    private final double recoveryTimeoutAt;
    private final Set<Integer> knowing = new HashSet<>();
    private boolean recovered;
    private boolean outdated;
    private int holder = NOBODY;
    private int incarnation;
    private long term;
    private int round;
    private double promisedUntil = Double.NEGATIVE_INFINITY;
    private boolean released;
    private long highestTerm;
    private int heir = NOBODY;
    private double heirUntil = Double.NEGATIVE_INFINITY;
    private double forbiddenUntil = Double.NEGATIVE_INFINITY;

    /** {@code startedAt} is from when on this process has been the one that votes. */
    Voter(LeasePolicy policy, double startedAt, double now) {
        this.policy = policy;
        this.quietUntil = startedAt + policy.promiseMs();
        this.recoveryTimeoutAt = Math.max(quietUntil, now) + policy.promiseMs();
    }

    /** A candidate asks; {@code other} if it goes by older electorates than this proxy, or by others of the same version. */
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
                // It came twice or late: what it asked for was given, and is given no longer for that.
                return null;
            }
        } else {
            // One that asks under a new term has stopped under the one before, whether or not its release came.
            boolean raisesTerm = from == holder && request.incarnation() == incarnation && request.term() > term;
            if (now < promisedUntil && !raisesTerm) {
                return new Answer(RefusalReason.HELD, highestTerm, promisedUntil - now);
            }
            if (now < heirUntil && from != heir) {
                return new Answer(RefusalReason.HELD, highestTerm, heirUntil - now);
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

    /** A candidate has stopped; believed of the one alone that has the vote, and of its present term. */
    void release(double now, int from, LeaseMessage.Release release) {
        highestTerm = Math.max(highestTerm, release.term());
        if (from == holder && release.incarnation() == incarnation && release.term() == term && !released) {
            released = true;
            promisedUntil = Math.min(promisedUntil, now);
            if (release.successor() >= 0) {
                heir = release.successor();
                heirUntil = now + 4 * policy.answerMs();
            }
        }
    }

    /** Another voter says which terms it has seen, and whether it knows them all; {@code newer} if it goes by newer electorates. */
    void recalled(int from, LeaseMessage.TermReply said, List<Integer> voters, int self, boolean newer) {
        highestTerm = Math.max(highestTerm, said.highestTerm());
        outdated |= newer && !recovered;
        if (said.recovered() && from != self && voters.contains(from)) {
            knowing.add(from);
        }
        if (!outdated && knowing.stream().filter(voters::contains).count() >= VoterSets.majority(voters.size())) {
            recovered = true;
        }
    }

    /** This proxy has taken in newer electorates: what made it outdated is over. */
    void upToDate() {
        outdated = false;
    }

    /** Whether it has heard which terms there were, or has waited for long enough that nobody can tell it. */
    boolean isRecovered(double now) {
        recovered |= !outdated && now >= recoveryTimeoutAt;
        return recovered;
    }

    boolean isQuiet(double now) {
        return now < quietUntil;
    }

    void forbid(double untilMs) {
        forbiddenUntil = Math.max(forbiddenUntil, untilMs);
    }

    double forbiddenUntil() {
        return forbiddenUntil;
    }

    /** A term was seen elsewhere, as at who receives acts. */
    void seen(long other) {
        highestTerm = Math.max(highestTerm, other);
    }

    long highest() {
        return highestTerm;
    }

    /** Whether the vote is given to somebody now. */
    boolean isGiven(double now) {
        return now < promisedUntil;
    }

    /** Until when it is given, or kept for an heir other than this proxy. */
    double busyUntil(int self) {
        return heir == self ? promisedUntil : Math.max(promisedUntil, heirUntil);
    }

    int holder() {
        return holder;
    }

    long term() {
        return term;
    }

    double until() {
        return promisedUntil;
    }

    /** All of its state, times as they are from now on: two voters with the same text act the same. */
    String text(double now) {
        return holder + " " + incarnation + " " + term + " " + round + " " + Math.max(0, promisedUntil - now) + " " + released + " " + highestTerm + " "
                + heir + " " + Math.max(0, heirUntil - now) + " " + recovered + outdated + knowing + " " + Math.max(0, quietUntil - now) + " "
                + Math.max(0, recoveryTimeoutAt - now) + " " + Math.max(0, forbiddenUntil - now);
    }
}
