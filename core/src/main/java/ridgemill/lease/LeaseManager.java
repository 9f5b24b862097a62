package ridgemill.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ridgemill.lease.Candidate.State;
import ridgemill.lease.LeaseMessage.RefusalReason;
import ridgemill.lease.LeaseMessage.SenderState;

/**
 * One proxy's part in all leases. It votes on the tasks whose voter sets it belongs to, and requests the leases of the
 * tasks that it wants. The holder of a lease calls {@link #permit} before each action. Times are passed in and are
 * milliseconds on this proxy's own clock, which never runs backwards and is close to Unix time, since new terms are
 * taken from it.
 *
 * <p>Guarantees: as long as the clocks' rates stay within the configured drift of true time, no two proxies have a
 * permit for the same task at the same moment, whatever happens to messages and processes; and the terms of a task
 * neither repeat nor decrease. The assumptions are in docs/design/leases.md. A process that is suspended between its
 * permit and its action is only stopped by the term, which the receiver of the action checks as a fencing token.
 */
public final class LeaseManager {

    /** Sends messages and is told of changes; called during calls of {@link LeaseManager}. */
    public interface Callbacks {

        /** Sends a message to another member; never to this one. */
        void send(int to, LeaseMessage message);

        /** This proxy acquired or lost a lease, or voted for another holder. */
        void statusChanged(String task, String description);
    }

    /**
     * Permission for one action, to be returned with {@link #done}.
     *
     * @param term term of the lease
     * @param untilMs time by which the action must be over
     */
    public record Permit(String task, long term, double untilMs) { }

    /**
     * The state of a lease as far as this proxy knows. The component names are the keys of the JSON that the control
     * socket shows.
     *
     * @param holds whether this proxy holds it
     * @param holder the member that holds it; -1 if this proxy knows of none
     * @param term the holder's term; 0 if there is no known holder
     * @param forMs how much longer it is held, as far as this proxy knows
     * @param votes number of valid votes for this proxy
     * @param voters number of voters of the task
     * @param words description, such as why there is no holder
     */
    public record Status(String task, boolean holds, int holder, long term, double forMs, int votes, int voters,
            String words) { }

    /** Constants of the 32-bit FNV-1a hash. */
    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;
    /**
     * How often a release is repeated, as it is not acknowledged. At a loss of one third, one release in 27 reaches no
     * voter.
     */
    private static final int RELEASE_REPEATS = 2;

    private final int self;
    private final int incarnation;
    private final LeasePolicy policy;
    private final SplittableRandom random;
    private final double startedAt;
    private final Callbacks callbacks;
    private final Map<Integer, Task> tasks = new LinkedHashMap<>();
    /**
     * The version that each other member reported last, and the latest time at which it can have adopted that version.
     */
    private final Map<Integer, PeerVersion> peerVersions = new HashMap<>();
    private VoterSets voterSets;
    private double voterSetsSince;
    private boolean settled;
    private boolean previousSettled;
    private boolean leaving;

    private record PeerVersion(int version, double since) { }

    /** A task and this proxy's roles in it. */
    private final class Task {
        private final String name;
        private final int hash;
        private Voter voter;
        private Candidate candidate;
        private int termQueryRound;
        private double nextTermQueryAt;
        private double retryNotBefore;
        private int openPermits;
        /** Release that is sent when the last permit has been returned; null for none. */
        private LeaseMessage.Release pendingRelease;
        /** Release that was sent last. */
        private LeaseMessage.Release lastRelease;
        private int releaseRepeatsLeft;
        private double nextReleaseRepeatAt;
        /** Term of the latest release by another member. */
        private long lastFreedTerm;

        Task(String name) {
            this.name = name;
            this.hash = hash(name);
        }

        /** Voter sets of which a holder needs a majority each; empty while that is not known. */
        List<List<Integer>> requiredVoterSets(double now) {
            if (updateSettled(now)) {
                return List.of(voterSets.voters(hash));
            }
            return previousSettled ? List.of(voterSets.voters(hash), voterSets.previousVoters(hash)) : List.of();
        }

        Set<Integer> allVoters() {
            Set<Integer> all = new LinkedHashSet<>(voterSets.voters(hash));
            all.addAll(voterSets.previousVoters(hash));
            return all;
        }
    }

    /**
     * Creates the manager of a process.
     *
     * @param self this proxy's member number
     * @param incarnation number of this process, which no other process of this proxy has used
     * @param tasks names of the tasks
     * @param seed seed of the random waits
     * @param startedAt time since which this process has been the only one of its proxy that votes
     */
    public LeaseManager(int self, int incarnation, LeasePolicy policy, VoterSets voterSets, Collection<String> tasks,
            long seed, double startedAt, Callbacks callbacks) {
        this.self = self;
        this.incarnation = incarnation;
        this.policy = policy;
        this.voterSets = voterSets;
        this.random = new SplittableRandom(seed);
        this.startedAt = startedAt;
        this.voterSetsSince = startedAt;
        this.settled = voterSets.previousPool().isEmpty();
        this.previousSettled = settled;
        this.callbacks = callbacks;
        tasks.forEach(t -> getOrAdd(startedAt, t));
    }

    /** Returns the FNV-1a hash of a task's name, which identifies the task in messages. */
    public static int hash(String task) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < task.length(); i++) {
            hash = (hash ^ task.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    private Task getOrAdd(double now, String name) {
        Task task = tasks.get(hash(name));
        if (task == null) {
            task = new Task(name);
            tasks.put(task.hash, task);
        } else if (!task.name.equals(name)) {
            throw new IllegalArgumentException("the tasks " + name + " and " + task.name
                    + " can't be told apart; name one otherwise");
        }
        assignRoles(now, task);
        return task;
    }

    /** Makes this proxy voter and candidate of a task as needed. A voter stays, since its promises remain valid. */
    private void assignRoles(double now, Task task) {
        if (task.voter == null && task.allVoters().contains(self)) {
            task.voter = new Voter(policy, startedAt, now);
        }
        boolean isVoter = voterSets.voters(task.hash).contains(self);
        if (task.candidate == null && isVoter) {
            task.candidate = new Candidate(policy, random.split(), now);
        } else if (task.candidate != null && !isVoter && task.candidate.isWanted()) {
            task.candidate.setWanted(false, now);
            giveUp(now, task, -1, "left to its electorate");
        }
    }

    /** Adds a task. This proxy votes on it and wants its lease if it belongs to its voter set. */
    public void addTask(double now, String name) {
        getOrAdd(now, name);
    }

    /** Returns the members that vote on a task and may hold its lease. */
    public List<Integer> voters(String name) {
        return voterSets.voters(hash(name));
    }

    /** Sets whether this proxy wants the lease of a task, whether or not it votes on the task. */
    public void setWanted(double now, String name, boolean wanted) {
        Task task = getOrAdd(now, name);
        if (task.candidate == null) {
            task.candidate = new Candidate(policy, random.split(), now);
        }
        task.candidate.setWanted(wanted && !leaving, now);
        if (!wanted) {
            giveUp(now, task, -1, "no longer wanted here");
        }
        advance(now, task);
    }

    /**
     * Changes the voter sets.
     *
     * @throws IllegalArgumentException if they can't follow the current ones; nothing is changed then
     */
    public void changeVoterSets(double now, VoterSets next) {
        if (next.equals(voterSets)) {
            return;
        }
        if (next.version() <= voterSets.version()) {
            throw new IllegalArgumentException("version " + next.version()
                    + " of the electorates does not follow version "
                    + voterSets.version() + (next.version() == voterSets.version() ? ", which is another" : ""));
        }
        boolean isNext = next.version() == voterSets.version() + 1;
        if (isNext && !next.previousPool().isEmpty() && !next.previousPool().equals(voterSets.pool())) {
            throw new IllegalArgumentException("version " + next.version() + " does not name version "
                    + voterSets.version() + "'s voters as those before");
        }
        boolean wasSettled = updateSettled(now);
        voterSets = next;
        voterSetsSince = now;
        settled = next.previousPool().isEmpty();
        previousSettled = settled || isNext && wasSettled;
        for (Task task : tasks.values()) {
            assignRoles(now, task);
            if (task.voter != null) {
                task.voter.clearOutdated();
            }
        }
    }

    /**
     * Returns whether no proxy can act under the previous voter sets any more. That is so once a majority of each of
     * those sets has used the current voter sets, or later ones, for the time of a promise, as they no longer vote
     * under the previous ones.
     */
    private boolean updateSettled(double now) {
        if (!settled) {
            // Must hold for every possible task, of whose previous voters only the number is known.
            int voters = Math.min(voterSets.votersPerTask(), voterSets.previousPool().size());
            long behind = voterSets.previousPool().stream().filter(m -> !hasAdoptedVersion(now, m)).count();
            settled = previousSettled && behind <= voters - VoterSets.majority(voters);
        }
        return settled;
    }

    private boolean hasAdoptedVersion(double now, int member) {
        PeerVersion peer = member == self ? new PeerVersion(voterSets.version(), voterSetsSince)
                : peerVersions.get(member);
        return peer != null && peer.version() >= voterSets.version() && now >= peer.since() + policy.promiseMs();
    }


    /** Returns this proxy's knowledge of the change of voter sets, for a message. */
    private SenderState senderState(double now) {
        return new SenderState(voterSets.version(), voterSets.digest(), updateSettled(now), previousSettled);
    }

    private void recordSenderState(double now, int from, SenderState sender) {
        if (sender.version() == voterSets.version() && sender.digest() != voterSets.digest()) {
            return;
        }
        PeerVersion known = peerVersions.get(from);
        if (known == null || sender.version() != known.version()) {
            peerVersions.put(from, new PeerVersion(sender.version(), now));
        }
        if (sender.version() == voterSets.version()) {
            settled |= sender.settled();
            previousSettled |= sender.previousSettled();
        } else if (sender.version() == voterSets.version() - 1) {
            previousSettled |= sender.settled();
        }
    }

    private boolean hasMismatchedVoterSets(SenderState sender) {
        return sender.version() < voterSets.version()
                || sender.version() == voterSets.version() && sender.digest() != voterSets.digest();
    }

    private void send(double now, int to, LeaseMessage message) {
        if (to == self) {
            receive(now, self, message);
        } else {
            callbacks.send(to, message);
        }
    }

    /** Receives a message of another member or of this one. */
    public void receive(double now, int from, LeaseMessage message) {
        recordSenderState(now, from, message.sender());
        Task task = tasks.get(message.task());
        if (task == null || task.voter == null && message instanceof LeaseMessage.VoteRequest) {
            if (message instanceof LeaseMessage.VoteRequest request) {
                send(now, from, new LeaseMessage.Refusal(request.task(), senderState(now), request.incarnation(),
                        request.round(), RefusalReason.NO_VOTER, 0, 0));
            }
            return;
        }
        if (message instanceof LeaseMessage.VoteRequest request) {
            receiveVoteRequest(now, from, task, request);
        } else if (message instanceof LeaseMessage.Vote vote) {
            receiveVote(now, from, task, vote);
        } else if (message instanceof LeaseMessage.Refusal refusal) {
            receiveRefusal(now, from, task, refusal);
        } else if (message instanceof LeaseMessage.Release release) {
            receiveRelease(now, from, task, release);
        } else if (message instanceof LeaseMessage.TermQuery query && task.voter != null) {
            send(now, from, new LeaseMessage.TermReply(query.task(), senderState(now), query.incarnation(),
                    query.round(), task.voter.highestTerm(), task.voter.isRecovered(now)));
        } else if (message instanceof LeaseMessage.TermReply reply && task.voter != null
                && reply.incarnation() == incarnation) {
            task.voter.receiveTermReply(from, reply, voterSets.voters(task.hash), self,
                    reply.sender().version() > voterSets.version());
        } else if (message instanceof LeaseMessage.Forbid forbid) {
            applyForbid(now, task, forbid.durationMs());
        }
    }

    private void receiveVoteRequest(double now, int from, Task task, LeaseMessage.VoteRequest request) {
        long previousTerm = task.voter.isPromised(now) ? task.voter.term() : 0;
        Voter.Answer answer = task.voter.handleRequest(now, from, request, hasMismatchedVoterSets(request.sender()));
        if (answer == null) {
            return;
        }
        if (answer.refusal() != null) {
            send(now, from, new LeaseMessage.Refusal(task.hash, senderState(now), request.incarnation(),
                    request.round(), answer.refusal(), answer.highestTerm(), (int) Math.ceil(answer.retryAfterMs())));
            return;
        }
        if (previousTerm != request.term() && from != self) {
            callbacks.statusChanged(task.name, "this proxy's vote is " + from + "'s, term " + request.term());
        }
        send(now, from, new LeaseMessage.Vote(task.hash, senderState(now), request.incarnation(), request.term(),
                request.round()));
    }

    private void receiveVote(double now, int from, Task task, LeaseMessage.Vote vote) {
        if (task.candidate == null || vote.incarnation() != incarnation) {
            return;
        }
        if (task.candidate.receiveVote(now, from, vote, task.requiredVoterSets(now))) {
            callbacks.statusChanged(task.name, "held here, term " + task.candidate.term());
        }
    }

    private void receiveRefusal(double now, int from, Task task, LeaseMessage.Refusal refusal) {
        if (task.voter != null) {
            task.voter.observeTerm(refusal.highestTerm());
        }
        if (task.candidate == null || refusal.incarnation() != incarnation) {
            return;
        }
        task.candidate.receiveRefusal(from, refusal);
        if (refusal.reason() == RefusalReason.HELD || refusal.reason() == RefusalReason.FORBIDDEN) {
            task.retryNotBefore = Math.max(task.retryNotBefore, now + refusal.retryAfterMs());
        }
        advance(now, task);
    }

    private void receiveRelease(double now, int from, Task task, LeaseMessage.Release release) {
        if (task.voter != null) {
            task.voter.release(now, from, release);
        }
        // A release arrives more than once; the candidate's wait starts with the first.
        if (task.candidate != null && from != self && task.lastFreedTerm != release.term()) {
            task.lastFreedTerm = release.term();
            if (release.successor() == self) {
                task.candidate.becomeSuccessor(now);
            } else if (task.voter != null && task.voter.unavailableUntil(self) <= now) {
                task.candidate.leaseFreed(now);
            }
            advance(now, task);
        }
    }

    private void applyForbid(double now, Task task, double durationMs) {
        if (task.voter != null) {
            task.voter.forbid(now + durationMs);
        }
        giveUp(now, task, -1, "forbidden");
        if (task.candidate != null) {
            task.candidate.retryAt(now + durationMs);
        }
    }

    /** Does everything that is due. Returns the time of the next call. */
    public double tick(double now) {
        double due = Double.POSITIVE_INFINITY;
        boolean renews = tasks.values().stream()
                .anyMatch(t -> t.candidate != null && t.candidate.state() == State.HOLDING
                && t.candidate.isRequestDue(now));
        for (Task task : List.copyOf(tasks.values())) {
            queryTerms(now, task);
            repeatRelease(now, task);
            advance(now, task);
            if (renews && task.candidate != null && task.candidate.mayRenewEarly(now)) {
                requestVotes(now, task);
            }
            // While a permit of a released lease is open, no new attempt starts; done() continues.
            if (task.candidate != null && (task.openPermits == 0 || task.candidate.state() != State.WAITING)) {
                due = Math.min(due, task.candidate.dueAt());
            }
            if (task.voter != null && !task.voter.isRecovered(now)) {
                due = Math.min(due, task.nextTermQueryAt);
            }
            if (task.releaseRepeatsLeft > 0) {
                due = Math.min(due, task.nextReleaseRepeatAt);
            }
        }
        return due;
    }

    private void queryTerms(double now, Task task) {
        if (task.voter != null && !task.voter.isRecovered(now) && now >= task.nextTermQueryAt) {
            task.nextTermQueryAt = now + 2 * policy.answerMs();
            task.termQueryRound++;
            for (int member : task.allVoters()) {
                if (member != self) {
                    send(now, member, new LeaseMessage.TermQuery(task.hash, senderState(now), incarnation,
                            task.termQueryRound));
                }
            }
        }
    }

    private void advance(double now, Task task) {
        Candidate candidate = task.candidate;
        if (candidate == null) {
            return;
        }
        if (candidate.expire(now)) {
            callbacks.statusChanged(task.name, "lost here, term " + candidate.term() + ": not renewed in time");
        }
        if (candidate.attemptFailed(now, task.requiredVoterSets(now))) {
            boolean again = candidate.refusedOnlyForTerm();
            announceRelease(now, task,
                    new LeaseMessage.Release(task.hash, senderState(now), incarnation, candidate.term(), -1));
            candidate.backOff(now, task.retryNotBefore);
            task.retryNotBefore = 0;
            if (again) {
                candidate.retryAt(now);
            }
        }
        if (candidate.shouldStartAttempt(now) && task.openPermits == 0 && mayStartAttempt(now, task)) {
            candidate.startAttempt(now, task.voter == null ? 0 : task.voter.highestTerm());
        }
        if (candidate.isRequestDue(now)) {
            requestVotes(now, task);
        }
    }

    private void requestVotes(double now, Task task) {
        int round = task.candidate.startRound(now);
        sendToAllVoters(now, task,
                new LeaseMessage.VoteRequest(task.hash, senderState(now), incarnation, task.candidate.term(), round));
    }

    /** Returns whether an attempt may start now; otherwise sets the time of the next check. */
    private boolean mayStartAttempt(double now, Task task) {
        Candidate candidate = task.candidate;
        Voter voter = task.voter;
        if (task.requiredVoterSets(now).isEmpty()) {
            candidate.retryAt(now + 2 * policy.answerMs());
            sendToAllVoters(now, task, new LeaseMessage.TermQuery(task.hash, senderState(now), incarnation, 0));
            return false;
        }
        if (voter == null) {
            return true;
        }
        if (now < voter.forbiddenUntil()) {
            candidate.retryAt(voter.forbiddenUntil());
            return false;
        }
        if (!voter.isRecovered(now) || voter.isQuiet(now)) {
            candidate.retryAt(now + policy.answerMs());
            return false;
        }
        if (voter.unavailableUntil(self) > now && voter.holder() != self) {
            candidate.backOff(now, voter.unavailableUntil(self));
            return false;
        }
        return true;
    }

    private void sendToAllVoters(double now, Task task, LeaseMessage message) {
        for (int member : task.allVoters()) {
            send(now, member, message);
        }
    }

    /**
     * Permits an action that takes at most {@code actionMs}; empty if it must not be done. If the lease is released
     * meanwhile, it goes to no other member until the action is done or the lease has expired.
     */
    public Optional<Permit> permit(double now, String name, double actionMs) {
        Task task = tasks.get(hash(name));
        if (task == null || task.candidate == null || !task.candidate.permits(now, actionMs)) {
            return Optional.empty();
        }
        task.openPermits++;
        return Optional.of(new Permit(name, task.candidate.term(), task.candidate.heldUntil()));
    }

    /** Returns a permit: the action has ended and takes no effect any more. */
    public void done(double now, Permit permit) {
        Task task = tasks.get(hash(permit.task()));
        task.openPermits--;
        if (task.openPermits == 0 && task.pendingRelease != null) {
            LeaseMessage.Release release = task.pendingRelease;
            task.pendingRelease = null;
            announceRelease(now, task, release);
        }
        advance(now, task);
    }

    /** Returns whether this proxy holds a lease by its clock. An action needs a {@link #permit} in addition. */
    public boolean holds(double now, String name) {
        Task task = tasks.get(hash(name));
        return task != null && task.candidate != null && task.candidate.permits(now, 0);
    }

    /**
     * Records a term that the receiver of an action has seen. If it is higher than this proxy's, another proxy has
     * acted since.
     */
    public void observeTerm(double now, String name, long term) {
        Task task = tasks.get(hash(name));
        if (task == null) {
            return;
        }
        if (task.voter != null) {
            task.voter.observeTerm(term);
        }
        if (task.candidate != null) {
            task.candidate.observeTerm(term);
            if (term > task.candidate.term()) {
                giveUp(now, task, -1, "a higher term has been seen: " + term);
            }
        }
    }

    /**
     * Releases a lease to a successor, or to the first that requests it if {@code successor} is -1. No action starts
     * from now on.
     */
    public void release(double now, String name, int successor) {
        Task task = tasks.get(hash(name));
        if (task != null) {
            giveUp(now, task, successor, "released");
        }
    }

    private void giveUp(double now, Task task, int successor, String reason) {
        Candidate candidate = task.candidate;
        if (candidate == null || candidate.state() == State.WAITING) {
            return;
        }
        boolean held = candidate.state() == State.HOLDING;
        candidate.stop(now);
        if (held) {
            callbacks.statusChanged(task.name, "given up here, term " + candidate.term() + ": " + reason);
        }
        LeaseMessage.Release release = new LeaseMessage.Release(task.hash, senderState(now), incarnation,
                candidate.term(), successor);
        if (task.openPermits > 0) {
            task.pendingRelease = release;
        } else {
            announceRelease(now, task, release);
        }
    }


    /** Sends a release to all voters and schedules its repetitions. */
    private void announceRelease(double now, Task task, LeaseMessage.Release release) {
        task.lastRelease = release;
        task.releaseRepeatsLeft = RELEASE_REPEATS;
        task.nextReleaseRepeatAt = now + policy.answerMs();
        sendToAllVoters(now, task, release);
    }

    /** Repeats the last release; receivers recognise the repetition by its term. */
    private void repeatRelease(double now, Task task) {
        if (task.releaseRepeatsLeft > 0 && now >= task.nextReleaseRepeatAt) {
            task.releaseRepeatsLeft--;
            task.nextReleaseRepeatAt = now + policy.answerMs();
            LeaseMessage.Release release = new LeaseMessage.Release(task.hash, senderState(now), incarnation,
                    task.lastRelease.term(), task.lastRelease.successor());
            task.allVoters().stream().filter(m -> m != self).forEach(m -> send(now, m, release));
        }
    }

    /** Releases all leases for good, each to another of its voters, before the process ends. */
    public void releaseAll(double now) {
        leaving = true;
        for (Task task : tasks.values()) {
            if (task.candidate != null) {
                task.candidate.setWanted(false, now);
                int successor = voterSets.voters(task.hash).stream()
                        .filter(m -> m != self && peerVersions.containsKey(m)).findFirst().orElse(-1);
                giveUp(now, task, successor, "this process ends");
            }
        }
    }

    /** Forbids anyone to hold a lease for this time, as far as its voters can be reached. */
    public void forbid(double now, String name, double durationMs) {
        Task task = getOrAdd(now, name);
        sendToAllVoters(now, task, new LeaseMessage.Forbid(task.hash, senderState(now), (int) durationMs));
        applyForbid(now, task, durationMs);
    }

    /** Returns the other members that this proxy exchanges messages with. */
    public Set<Integer> peers() {
        Set<Integer> all = new LinkedHashSet<>();
        tasks.values().stream().filter(t -> t.voter != null || t.candidate != null && t.candidate.isWanted())
                .forEach(t -> all.addAll(t.allVoters()));
        all.remove(self);
        return all;
    }

    /** Returns the version of the voter sets in use. */
    public int voterSetsVersion() {
        return voterSets.version();
    }

    /** Returns the state of all leases in the order of the tasks. */
    public List<Status> statuses(double now) {
        List<Status> all = new ArrayList<>();
        tasks.values().forEach(t -> all.add(status(now, t)));
        return all;
    }

    private Status status(double now, Task task) {
        Candidate candidate = task.candidate;
        Voter voter = task.voter;
        int voters = voterSets.voters(task.hash).size();
        if (candidate != null && candidate.permits(now, 0)) {
            return new Status(task.name, true, self, candidate.term(), candidate.heldUntil() - now,
                    candidate.validVotes(now), voters, "held here");
        }
        int votes = candidate == null ? 0 : candidate.validVotes(now);
        if (voter != null && voter.isPromised(now) && voter.holder() != self) {
            return new Status(task.name, false, voter.holder(), voter.term(), voter.promisedUntil() - now, votes,
                    voters, "this proxy's vote is " + voter.holder() + "'s");
        }
        return new Status(task.name, false, -1, 0, 0, votes, voters, describeNoHolder(now, task));
    }


    /** Describes why there is no known holder. */
    private String describeNoHolder(double now, Task task) {
        Voter voter = task.voter;
        if (voter != null && now < voter.forbiddenUntil()) {
            return "forbidden by operators";
        }
        if (task.requiredVoterSets(now).isEmpty()) {
            return "nobody has said that the electorates before had settled";
        }
        if (voter != null && voter.isQuiet(now)) {
            return "this proxy has started lately, and what it promised before may hold";
        }
        if (voter != null && !voter.isRecovered(now)) {
            return "this proxy has started lately, and too few have told it which terms there were";
        }
        if (task.candidate == null) {
            return "others vote on it";
        }
        if (!task.candidate.isWanted()) {
            return "not wanted here";
        }
        Map<Integer, RefusalReason> refusals = new TreeMap<>(task.candidate.refusals());
        return task.candidate.state() == State.ASKING ? "asking; refused by " + refusals
                : "none known; last refused by " + refusals;
    }

    /**
     * Returns the whole state as text, with times relative to now. Two managers with equal text behave alike, but for
     * their seeds.
     */
    public String stateText(double now) {
        StringBuilder text = new StringBuilder();
        tasks.values().forEach(t -> text.append(t.voter == null ? "-" : t.voter.stateText(now)).append('|')
                .append(t.candidate == null ? "-" : t.candidate.stateText(now)).append('|')
                .append(Math.max(0, t.nextTermQueryAt - now)).append('|')
                .append(Math.max(0, t.retryNotBefore - now)).append(t.openPermits).append(t.pendingRelease)
                .append(t.releaseRepeatsLeft > 0
                        ? t.lastRelease + " " + t.releaseRepeatsLeft + " " + Math.max(0, t.nextReleaseRepeatAt - now)
                        : "")
                .append(t.lastFreedTerm).append(';'));
        text.append(voterSets.version()).append(settled).append(previousSettled);
        // The members' versions matter until a change has settled.
        return settled ? text.toString() : text.append(new TreeMap<>(peerVersions)).toString();
    }
}
