package ridgemill.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ridgemill.lease.LeaseMessage.RefusalReason;

/**
 * A proxy's candidacy for the lease of one task. The candidate holds the lease while it has valid votes from a majority
 * of each voter set that counts. A vote is valid from the time at which it was <em>requested</em>, since both the
 * request and the answer may have been delayed for any time.
 */
final class Candidate {

    /** Number of latest rounds whose answers still count. The vote of an older round has expired or is about to. */
    private static final int TRACKED_ROUNDS = 16;
    /** Timeout of an attempt and range of the random wait before the next one, in {@link LeasePolicy#answerMs}. */
    private static final double ATTEMPT_TIMEOUT_ANSWERS = 4;
    private static final double MAX_BACKOFF_ANSWERS = 6;
    /** Part of the holding time after which the lease is renewed. */
    private static final double RENEWAL_FRACTION = 1.0 / 3;
    /** Part of the holding time by which a renewal may be early to share datagrams with other renewals. */
    private static final double EARLY_RENEWAL_FRACTION = 1.0 / 6;

    enum State { WAITING, ASKING, HOLDING }

    private final LeasePolicy policy;
    private final SplittableRandom random;
    private State state = State.WAITING;
    private long term;
    private long highestTerm;
    private int round;
    private final double[] requestedAt = new double[TRACKED_ROUNDS];
    private final Map<Integer, Double> votes = new TreeMap<>();
    private final Map<Integer, RefusalReason> refusals = new TreeMap<>();
    private double attemptDeadline;
    private double dueAt;
    private double heldUntil = Double.NEGATIVE_INFINITY;
    private boolean wanted = true;

    Candidate(LeasePolicy policy, SplittableRandom random, double firstAt) {
        this.policy = policy;
        this.random = random;
        this.dueAt = firstAt;
    }

    /** Returns the time of the next action; infinite if there is none. */
    double dueAt() {
        return wanted || state != State.WAITING ? state == State.HOLDING ? Math.min(dueAt, heldUntil) : dueAt
                : Double.POSITIVE_INFINITY;
    }

    State state() {
        return state;
    }

    long term() {
        return term;
    }

    double heldUntil() {
        return heldUntil;
    }

    boolean isWanted() {
        return wanted;
    }

    /** Sets whether this proxy wants the lease from now on. */
    void setWanted(boolean nowWanted, double now) {
        if (nowWanted && !wanted) {
            dueAt = now;
        }
        wanted = nowWanted;
    }

    /**
     * Ends the lease if it has expired, so that later votes do not revive it. Returns whether the lease was held until
     * now.
     */
    boolean expire(double now) {
        if (state == State.HOLDING && now >= heldUntil) {
            state = State.WAITING;
            dueAt = now;
            return true;
        }
        return false;
    }

    /** Returns whether a new attempt is due. */
    boolean shouldStartAttempt(double now) {
        return state == State.WAITING && wanted && now >= dueAt;
    }

    /**
     * Starts an attempt under a term above all terms seen. The term is at least the clock's time, which no earlier term
     * has reached.
     */
    void startAttempt(double now, long seen) {
        highestTerm = Math.max(highestTerm, seen);
        term = Math.max(highestTerm + 1, (long) now);
        highestTerm = term;
        state = State.ASKING;
        votes.clear();
        refusals.clear();
        heldUntil = Double.NEGATIVE_INFINITY;
        attemptDeadline = now + ATTEMPT_TIMEOUT_ANSWERS * policy.answerMs();
        dueAt = now;
    }

    /** Returns whether a vote request is due. */
    boolean isRequestDue(double now) {
        return state != State.WAITING && now >= dueAt;
    }

    /**
     * Returns whether a renewal that is not due yet may be sent together with renewals that are due. An early request
     * is always safe, and requests of several leases to the same voter then share a datagram.
     */
    boolean mayRenewEarly(double now) {
        return state == State.HOLDING && dueAt - requestedAt[round % TRACKED_ROUNDS] > 2 * policy.answerMs()
                && now + policy.holdMs() * EARLY_RENEWAL_FRACTION >= dueAt;
    }

    /** Records that a vote request is sent now; returns its round number. */
    int startRound(double now) {
        round++;
        requestedAt[round % TRACKED_ROUNDS] = now;
        dueAt = now + policy.answerMs() * 2;
        return round;
    }

    /** Returns whether the attempt has timed out, or enough voters have refused that it can no longer succeed. */
    boolean attemptFailed(double now, List<List<Integer>> voterSets) {
        return state == State.ASKING && (now >= attemptDeadline || voterSets.stream().anyMatch(voterSet ->
                voterSet.stream().filter(refusals::containsKey).count()
                        > voterSet.size() - VoterSets.majority(voterSet.size())));
    }

    /** Ends the attempt. The next one starts after a random wait that begins no earlier than {@code notBefore}. */
    void backOff(double now, double notBefore) {
        state = State.WAITING;
        heldUntil = Double.NEGATIVE_INFINITY;
        dueAt = Math.max(now, notBefore) + policy.answerMs() * (0.5 + MAX_BACKOFF_ANSWERS * random.nextDouble());
    }

    /** Gives up the lease or the attempt; this proxy never acts under the current term again. */
    void stop(double now) {
        backOff(now, now);
    }

    /** Sets the time of the next attempt. */
    void retryAt(double at) {
        dueAt = at;
    }

    /** The previous holder named this proxy as its successor: starts an attempt at once. */
    void becomeSuccessor(double now) {
        if (state == State.WAITING) {
            dueAt = now;
        }
    }

    /** The lease was released: waits for a random time, so that the candidates do not all send requests at once. */
    void leaseFreed(double now) {
        if (state == State.WAITING) {
            dueAt = Math.min(dueAt, now + policy.answerMs() * MAX_BACKOFF_ANSWERS * random.nextDouble());
        }
    }

    /**
     * Counts a vote if it answers a tracked round of the current term; other votes are stale. Returns whether the lease
     * is held from now on.
     */
    boolean receiveVote(double now, int from, LeaseMessage.Vote vote, List<List<Integer>> voterSets) {
        if (state == State.WAITING || vote.term() != term || vote.round() > round
                || vote.round() <= round - TRACKED_ROUNDS) {
            return false;
        }
        votes.merge(from, requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);
        refusals.remove(from);
        return countVotes(now, voterSets);
    }

    /**
     * Counts the votes, for example after a change of voter sets has settled. Returns whether the lease is held from
     * now on.
     */
    boolean countVotes(double now, List<List<Integer>> voterSets) {
        if (state == State.WAITING) {
            return false;
        }
        double allQuorumsUntil = Double.POSITIVE_INFINITY;
        for (List<Integer> voterSet : voterSets) {
            allQuorumsUntil = Math.min(allQuorumsUntil, quorumUntil(voterSet));
        }
        if (voterSets.isEmpty()) {
            allQuorumsUntil = Double.NEGATIVE_INFINITY;
        }
        // The voters have promised their votes until then, so a later change of voter sets does not shorten the lease.
        heldUntil = Math.max(heldUntil, allQuorumsUntil);
        if (allQuorumsUntil - policy.holdMs() >= requestedAt[round % TRACKED_ROUNDS]) {
            // A majority of each voter set has answered the latest round.
            dueAt = Math.max(dueAt, requestedAt[round % TRACKED_ROUNDS] + policy.holdMs() * RENEWAL_FRACTION);
        }
        if (state == State.ASKING && now < heldUntil) {
            state = State.HOLDING;
            return true;
        }
        return false;
    }

    /** Returns the time until which a majority of the voter set has promised its votes to this candidate. */
    private double quorumUntil(List<Integer> voterSet) {
        List<Double> requestTimes = new ArrayList<>();
        for (int member : voterSet) {
            Double at = votes.get(member);
            if (at != null) {
                requestTimes.add(at);
            }
        }
        int quorum = VoterSets.majority(voterSet.size());
        if (requestTimes.size() < quorum) {
            return Double.NEGATIVE_INFINITY;
        }
        requestTimes.sort(null);
        return requestTimes.get(requestTimes.size() - quorum) + policy.holdMs();
    }

    /** Records that a voter refused to vote in the current attempt. */
    void receiveRefusal(int from, LeaseMessage.Refusal refusal) {
        highestTerm = Math.max(highestTerm, refusal.highestTerm());
        if (state == State.ASKING && refusal.round() == round) {
            refusals.put(from, refusal.reason());
        }
    }

    /**
     * Returns whether the attempt was refused only because its term was too low, so that a higher term may succeed at
     * once.
     */
    boolean refusedOnlyForTerm() {
        return !refusals.isEmpty() && refusals.values().stream().allMatch(reason -> reason == RefusalReason.OLD_TERM);
    }

    /** Records a term that was seen elsewhere. */
    void observeTerm(long other) {
        highestTerm = Math.max(highestTerm, other);
    }

    /** Returns the number of votes that have not expired. */
    int validVotes(double now) {
        return (int) votes.values().stream().filter(at -> now < at + policy.holdMs()).count();
    }

    Map<Integer, RefusalReason> refusals() {
        return refusals;
    }

    /**
     * Returns whether an action of this duration may start now. Compares against the clock, so an expired lease never
     * permits one.
     */
    boolean permits(double now, double actionMs) {
        return state == State.HOLDING && now + actionMs < heldUntil;
    }

    /**
     * Returns the whole state as text, with times relative to now. Leaves out what remains of an ended attempt, which
     * has no effect.
     */
    String stateText(double now) {
        String always = state + " " + highestTerm + " " + round + " " + Math.max(0, dueAt - now) + " " + wanted;
        if (state == State.WAITING) {
            return always;
        }
        StringBuilder text = new StringBuilder(always).append(' ').append(term).append(' ')
                .append(Math.max(0, heldUntil - now)).append(' ');
        for (int i = 0; i < Math.min(round, TRACKED_ROUNDS); i++) {
            text.append(Math.max(-2 * policy.lengthMs(), requestedAt[(round - i) % TRACKED_ROUNDS] - now)).append(' ');
        }
        votes.forEach((m, at) -> text.append(m).append('=').append(Math.max(-2 * policy.lengthMs(), at - now))
                .append(' '));
        return state == State.HOLDING ? text.toString()
                : text.append(refusals).append(Math.max(0, attemptDeadline - now)).toString();
    }
}
