package ridgemill.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ridgemill.lease.LeaseMessage.RefusalReason;

/**
 * One proxy that wants, has or keeps one task's lease. It holds while more than half of each electorate that counts have given
 * it their votes, and each vote is good from when it was <em>asked</em> for: the question may have taken any time, and so may
 * the answer.
 */
final class Candidate {

    /** Questions whose answers still count; an older answer is no use, as its vote has run out or soon will. */
    private static final int TRACKED_ROUNDS = 16;
    /** How long one attempt goes on, and at most how long the next waits, in times that an answer takes. */
    private static final double ATTEMPT_ANSWERS = 4;
    private static final double WAIT_ANSWERS = 6;
    private static final double RENEW_PART = 1.0 / 3;
    /** How much of its time a renewal may be early to go with others. */
    private static final double JOIN_PART = 1.0 / 6;

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
    private double tryUntil;
    private double dueAt;
    private double heldUntil = Double.NEGATIVE_INFINITY;
    private boolean wanted = true;

    Candidate(LeasePolicy policy, SplittableRandom random, double firstAt) {
        this.policy = policy;
        this.random = random;
        this.dueAt = firstAt;
    }

    /** When it has something to do next. */
    double dueAt() {
        return wanted || state != State.WAITING ? state == State.HOLDING ? Math.min(dueAt, heldUntil) : dueAt : Double.POSITIVE_INFINITY;
    }

    State state() {
        return state;
    }

    long term() {
        return term;
    }

    double until() {
        return heldUntil;
    }

    boolean isWanted() {
        return wanted;
    }

    /** Whether it is to have the lease from now on. */
    void want(boolean other, double now) {
        if (other && !wanted) {
            dueAt = now;
        }
        wanted = other;
    }

    /** Looks at the clock: a lease that has run out is over, whatever comes of it later. Returns whether it was held until then. */
    boolean lapses(double now) {
        if (state == State.HOLDING && now >= heldUntil) {
            state = State.WAITING;
            dueAt = now;
            return true;
        }
        return false;
    }

    /** Whether it is time for a new attempt. */
    boolean begins(double now) {
        return state == State.WAITING && wanted && now >= dueAt;
    }

    /** A new attempt, under a term that is higher than all that were seen; the time itself is a term that none had before. */
    void begin(double now, long seen) {
        highestTerm = Math.max(highestTerm, seen);
        term = Math.max(highestTerm + 1, (long) now);
        highestTerm = term;
        state = State.ASKING;
        votes.clear();
        refusals.clear();
        heldUntil = Double.NEGATIVE_INFINITY;
        tryUntil = now + ATTEMPT_ANSWERS * policy.answerMs();
        dueAt = now;
    }

    /** Whether a question is due now. */
    boolean asks(double now) {
        return state != State.WAITING && now >= dueAt;
    }

    /**
     * Whether a renewal that is due soon goes out with those that are due now: to ask early is always safe, and what several leases
     * ask of one voter then goes in one datagram.
     */
    boolean joins(double now) {
        return state == State.HOLDING && dueAt - requestedAt[round % TRACKED_ROUNDS] > 2 * policy.answerMs() && now + policy.holdMs() * JOIN_PART >= dueAt;
    }

    /** A question goes out now; returns its number. */
    int ask(double now) {
        round++;
        requestedAt[round % TRACKED_ROUNDS] = now;
        dueAt = now + policy.answerMs() * 2;
        return round;
    }

    /** Whether the attempt has taken too long, or can't succeed any more. */
    boolean fails(double now, List<List<Integer>> voterSets) {
        return state == State.ASKING && (now >= tryUntil || voterSets.stream().anyMatch(e ->
                e.stream().filter(refusals::containsKey).count() > e.size() - VoterSets.majority(e.size())));
    }

    /** The attempt is over; the next is after a wait of chance, and not before {@code notBefore}. */
    void giveUp(double now, double notBefore) {
        state = State.WAITING;
        heldUntil = Double.NEGATIVE_INFINITY;
        dueAt = Math.max(now, notBefore) + policy.answerMs() * (0.5 + WAIT_ANSWERS * random.nextDouble());
    }

    /** It stops to act, and never acts under this term again. */
    void stop(double now) {
        giveUp(now, now);
    }

    /** Looks at the lease again at this time, if it has none then. */
    void lookAt(double at) {
        dueAt = at;
    }

    /** The lease was left to this one. */
    void inherits(double now) {
        if (state == State.WAITING) {
            dueAt = now;
        }
    }

    /** The lease was given back: all that want it wait for a time of chance, so that not all ask at once. */
    void comesFree(double now) {
        if (state == State.WAITING) {
            dueAt = Math.min(dueAt, now + policy.answerMs() * WAIT_ANSWERS * random.nextDouble());
        }
    }

    /** A vote has come: for a question that is out, of this term; else it is of the past. Returns whether it is held from now on. */
    boolean vote(double now, int from, LeaseMessage.Vote vote, List<List<Integer>> voterSets) {
        if (state == State.WAITING || vote.term() != term || vote.round() > round || vote.round() <= round - TRACKED_ROUNDS) {
            return false;
        }
        votes.merge(from, requestedAt[vote.round() % TRACKED_ROUNDS], Math::max);
        refusals.remove(from);
        return count(now, voterSets);
    }

    /** Counts the votes again, as when an electorate has settled. Returns whether the lease is held from now on. */
    boolean count(double now, List<List<Integer>> voterSets) {
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
        // What was good once stays good: the votes behind it are promised until then, whoever votes by now.
        heldUntil = Math.max(heldUntil, allQuorumsUntil);
        if (allQuorumsUntil - policy.holdMs() >= requestedAt[round % TRACKED_ROUNDS]) {
            // All that were needed have answered the last question.
            dueAt = Math.max(dueAt, requestedAt[round % TRACKED_ROUNDS] + policy.holdMs() * RENEW_PART);
        }
        if (state == State.ASKING && now < heldUntil) {
            state = State.HOLDING;
            return true;
        }
        return false;
    }

    /** Until when more than half of them stand by this candidate. */
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

    /** No vote from this one, for a question of this attempt. */
    void refused(int from, LeaseMessage.Refusal refusal) {
        highestTerm = Math.max(highestTerm, refusal.highestTerm());
        if (state == State.ASKING && refusal.round() == round) {
            refusals.put(from, refusal.reason());
        }
    }

    /** Whether a refusal of this attempt was for its term alone: a higher one may do at once. */
    boolean onlyTermsWereOld() {
        return !refusals.isEmpty() && refusals.values().stream().allMatch(w -> w == RefusalReason.OLD_TERM);
    }

    /** A term was seen elsewhere. */
    void seen(long other) {
        highestTerm = Math.max(highestTerm, other);
    }

    int votes(double now) {
        return (int) votes.values().stream().filter(at -> now < at + policy.holdMs()).count();
    }

    Map<Integer, RefusalReason> refusals() {
        return refusals;
    }

    /** Whether acts may be done until then, by a look at the clock and not by what was so before. */
    boolean permits(double now, double actionMs) {
        return state == State.HOLDING && now + actionMs < heldUntil;
    }

    /** All of its state, times as they are from now on; what an attempt left that is over makes no difference. */
    String text(double now) {
        String always = state + " " + highestTerm + " " + round + " " + Math.max(0, dueAt - now) + " " + wanted;
        if (state == State.WAITING) {
            return always;
        }
        StringBuilder text = new StringBuilder(always).append(' ').append(term).append(' ').append(Math.max(0, heldUntil - now)).append(' ');
        for (int i = 0; i < Math.min(round, TRACKED_ROUNDS); i++) {
            text.append(Math.max(-2 * policy.lengthMs(), requestedAt[(round - i) % TRACKED_ROUNDS] - now)).append(' ');
        }
        votes.forEach((m, at) -> text.append(m).append('=').append(Math.max(-2 * policy.lengthMs(), at - now)).append(' '));
        return state == State.HOLDING ? text.toString() : text.append(refusals).append(Math.max(0, tryUntil - now)).toString();
    }
}
