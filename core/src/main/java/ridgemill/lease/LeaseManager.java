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
 * One proxy's part in all leases: it votes on the tasks whose electorates it is in, and asks for the lease of those that it is
 * to do. Whoever wants to act asks {@link #permit} for each act. Times are milliseconds on this proxy's own clock, which never
 * runs back and is near Unix time, as new terms are taken from it; they are passed in.
 *
 * <p>The claim: as long as clocks run within the stated drift of true time, no two proxies have a permit for one task at the same
 * moment, whatever becomes of messages and processes; and terms of one task never repeat or fall. Its assumptions are in
 * docs/design/leases.md. One that was stopped between its permit and its act has the term alone to be stopped by.
 */
public final class LeaseManager {

    /** Where messages go, and who is told of changes; called from within the calls of {@link LeaseManager}. */
    public interface Callbacks {

        /** Sends to another member; never to this one. */
        void send(int to, LeaseMessage message);

        /** A lease is held here now, or is not any more, or is another's. */
        void statusChanged(String task, String words);
    }

    /** Leave for one act: under which term, and until when at the latest it must be over. To be given back by {@link #done}. */
    public record Permit(String task, long term, double untilMs) { }

    /**
     * How a lease is, as this proxy knows.
     *
     * @param holds whether this proxy holds it
     * @param holder the member that holds it; -1 for nobody that this proxy knows of
     * @param term the holder's; 0 for none
     * @param forMs how much longer, as far as this proxy knows
     * @param votes that stand by this proxy
     * @param voters how many vote on the task
     * @param words what there is to say, as why none is held
     */
    public record Status(String task, boolean holds, int holder, long term, double forMs, int votes, int voters, String words) { }

    private static final int FNV_START = 0x811c9dc5;
    private static final int FNV_STEP = 0x01000193;
    /** How often more a release is told, as nobody says that it came: of three a third lost each, one in 27 reaches nobody. */
    private static final int TOLD_AGAIN = 2;

    private final int self;
    private final int incarnation;
    private final LeasePolicy policy;
    private final SplittableRandom random;
    private final double startedAt;
    private final Callbacks out;
    private final Map<Integer, Task> tasks = new LinkedHashMap<>();
    /** What others said that they go by, and since when at the latest they do. */
    private final Map<Integer, PeerVersion> peerVersions = new HashMap<>();
    private VoterSets voterSets;
    private double takenAt;
    private boolean settled;
    private boolean previousSettled;
    private boolean leaving;

    private record PeerVersion(int version, double since) { }

    /** One task here. */
    private final class Task {
        private final String name;
        private final int hash;
        private Voter voter;
        private Candidate candidate;
        private int recalls;
        private double recallAt;
        private double hint;
        private int openPermits;
        /** What is told when no act is out any more; null for nothing. */
        private LeaseMessage.Release owed;
        /** What was told last, how often it is to be told more, and when next. */
        private LeaseMessage.Release told;
        private int toldAgain;
        private double toldAgainAt;
        /** The last that another gave back. */
        private long heardFree;

        Task(String name) {
            this.name = name;
            this.hash = hash(name);
        }

        /** Those who must stand by a holder: more than half of each. None where that can't be known yet. */
        List<List<Integer>> needed(double now) {
            if (settled(now)) {
                return List.of(voterSets.voters(hash));
            }
            return previousSettled ? List.of(voterSets.voters(hash), voterSets.previousVoters(hash)) : List.of();
        }

        Set<Integer> everybody() {
            Set<Integer> all = new LinkedHashSet<>(voterSets.voters(hash));
            all.addAll(voterSets.previousVoters(hash));
            return all;
        }
    }

    /**
     * @param self this proxy's number
     * @param incarnation of this process; no other process of this proxy has had it
     * @param tasks by name
     * @param seed of waits
     * @param startedAt from when on this process has been the only one of its proxy that votes
     */
    public LeaseManager(int self, int incarnation, LeasePolicy policy, VoterSets electorates, Collection<String> tasks, long seed,
                  double startedAt, Callbacks out) {
        this.self = self;
        this.incarnation = incarnation;
        this.policy = policy;
        this.voterSets = electorates;
        this.random = new SplittableRandom(seed);
        this.startedAt = startedAt;
        this.takenAt = startedAt;
        this.settled = electorates.previousPool().isEmpty();
        this.previousSettled = settled;
        this.out = out;
        tasks.forEach(t -> add(startedAt, t));
    }

    /** What stands for a task's name in messages. */
    public static int hash(String task) {
        int hash = FNV_START;
        for (int i = 0; i < task.length(); i++) {
            hash = (hash ^ task.charAt(i)) * FNV_STEP;
        }
        return hash;
    }

    private Task add(double now, String name) {
        Task task = tasks.get(hash(name));
        if (task == null) {
            task = new Task(name);
            tasks.put(task.hash, task);
        } else if (!task.name.equals(name)) {
            throw new IllegalArgumentException("the tasks " + name + " and " + task.name + " can't be told apart; name one otherwise");
        }
        roles(now, task);
        return task;
    }

    /** Gives this proxy its parts in a task. A vote that was given stays given, so a voter is never taken out. */
    private void roles(double now, Task task) {
        if (task.voter == null && task.everybody().contains(self)) {
            task.voter = new Voter(policy, startedAt, now);
        }
        boolean elector = voterSets.voters(task.hash).contains(self);
        if (task.candidate == null && elector) {
            task.candidate = new Candidate(policy, random.split(), now);
        } else if (task.candidate != null && !elector && task.candidate.isWanted()) {
            task.candidate.want(false, now);
            stop(now, task, -1, "left to its electorate");
        }
    }

    /** A task that there is from now on: this proxy votes on it, and wants its lease, where it is one of its electorate. */
    public void addTask(double now, String name) {
        add(now, name);
    }

    /** Who votes on a task, and may hold its lease. */
    public List<Integer> voters(String name) {
        return voterSets.voters(hash(name));
    }

    /** This proxy wants a task's lease from now on, or no longer; also one whose electorate it is not in. */
    public void setWanted(double now, String name, boolean wanted) {
        Task task = add(now, name);
        if (task.candidate == null) {
            task.candidate = new Candidate(policy, random.split(), now);
        }
        task.candidate.want(wanted && !leaving, now);
        if (!wanted) {
            stop(now, task, -1, "no longer wanted here");
        }
        step(now, task);
    }

    /** Other electorates from now on; throws, and changes nothing, where they can't follow those that hold. */
    public void changeVoterSets(double now, VoterSets next) {
        if (next.equals(voterSets)) {
            return;
        }
        if (next.version() <= voterSets.version()) {
            throw new IllegalArgumentException("version " + next.version() + " of the electorates does not follow version "
                    + voterSets.version() + (next.version() == voterSets.version() ? ", which is another" : ""));
        }
        boolean isNext = next.version() == voterSets.version() + 1;
        if (isNext && !next.previousPool().isEmpty() && !next.previousPool().equals(voterSets.pool())) {
            throw new IllegalArgumentException("version " + next.version() + " does not name version " + voterSets.version()
                    + "'s voters as those before");
        }
        boolean wasSettled = settled(now);
        voterSets = next;
        takenAt = now;
        settled = next.previousPool().isEmpty();
        previousSettled = settled || isNext && wasSettled;
        for (Task task : tasks.values()) {
            roles(now, task);
            if (task.voter != null) {
                task.voter.upToDate();
            }
        }
    }

    /**
     * Whether nobody can act under the electorates before any more: of each of them more than half have gone by these, or later
     * ones, for as long as a vote is good for, and they give no votes for those before.
     */
    private boolean settled(double now) {
        if (!settled) {
            // For every task that there may be, of whose electorates only the size is known.
            int voters = Math.min(voterSets.votersPerTask(), voterSets.previousPool().size());
            long behind = voterSets.previousPool().stream().filter(m -> !hasMoved(now, m)).count();
            settled = previousSettled && behind <= voters - VoterSets.majority(voters);
        }
        return settled;
    }

    private boolean hasMoved(double now, int member) {
        PeerVersion peer = member == self ? new PeerVersion(voterSets.version(), takenAt) : peerVersions.get(member);
        return peer != null && peer.version() >= voterSets.version() && now >= peer.since() + policy.promiseMs();
    }

    private SenderState said(double now) {
        return new SenderState(voterSets.version(), voterSets.digest(), settled(now), previousSettled);
    }

    private void note(double now, int from, SenderState said) {
        if (said.version() == voterSets.version() && said.digest() != voterSets.digest()) {
            return;
        }
        PeerVersion before = peerVersions.get(from);
        if (before == null || said.version() != before.version()) {
            peerVersions.put(from, new PeerVersion(said.version(), now));
        }
        if (said.version() == voterSets.version()) {
            settled |= said.settled();
            previousSettled |= said.previousSettled();
        } else if (said.version() == voterSets.version() - 1) {
            previousSettled |= said.settled();
        }
    }

    private boolean isOther(SenderState said) {
        return said.version() < voterSets.version() || said.version() == voterSets.version() && said.digest() != voterSets.digest();
    }

    private void send(double now, int to, LeaseMessage message) {
        if (to == self) {
            receive(now, self, message);
        } else {
            out.send(to, message);
        }
    }

    /** Another member, or this one, said something. */
    public void receive(double now, int from, LeaseMessage message) {
        note(now, from, message.sender());
        Task task = tasks.get(message.task());
        if (task == null || task.voter == null && message instanceof LeaseMessage.VoteRequest) {
            if (message instanceof LeaseMessage.VoteRequest a) {
                send(now, from, new LeaseMessage.Refusal(a.task(), said(now), a.incarnation(), a.round(), RefusalReason.NO_VOTER, 0, 0));
            }
            return;
        }
        if (message instanceof LeaseMessage.VoteRequest ask) {
            asked(now, from, task, ask);
        } else if (message instanceof LeaseMessage.Vote vote) {
            voted(now, from, task, vote);
        } else if (message instanceof LeaseMessage.Refusal refusal) {
            refused(now, from, task, refusal);
        } else if (message instanceof LeaseMessage.Release release) {
            released(now, from, task, release);
        } else if (message instanceof LeaseMessage.TermQuery recall && task.voter != null) {
            send(now, from, new LeaseMessage.TermReply(recall.task(), said(now), recall.incarnation(), recall.round(),
                    task.voter.highest(), task.voter.isRecovered(now)));
        } else if (message instanceof LeaseMessage.TermReply recalled && task.voter != null && recalled.incarnation() == incarnation) {
            task.voter.recalled(from, recalled, voterSets.voters(task.hash), self, recalled.sender().version() > voterSets.version());
        } else if (message instanceof LeaseMessage.Forbid forbid) {
            forbidden(now, task, forbid.durationMs());
        }
    }

    private void asked(double now, int from, Task task, LeaseMessage.VoteRequest ask) {
        long before = task.voter.isGiven(now) ? task.voter.term() : 0;
        Voter.Answer answer = task.voter.handleRequest(now, from, ask, isOther(ask.sender()));
        if (answer == null) {
            return;
        }
        if (answer.why() != null) {
            send(now, from, new LeaseMessage.Refusal(task.hash, said(now), ask.incarnation(), ask.round(), answer.why(), answer.highest(),
                    (int) Math.ceil(answer.waitMs())));
            return;
        }
        if (before != ask.term() && from != self) {
            out.statusChanged(task.name, "this proxy's vote is " + from + "'s, term " + ask.term());
        }
        send(now, from, new LeaseMessage.Vote(task.hash, said(now), ask.incarnation(), ask.term(), ask.round()));
    }

    private void voted(double now, int from, Task task, LeaseMessage.Vote vote) {
        if (task.candidate == null || vote.incarnation() != incarnation) {
            return;
        }
        if (task.candidate.vote(now, from, vote, task.needed(now))) {
            out.statusChanged(task.name, "held here, term " + task.candidate.term());
        }
    }

    private void refused(double now, int from, Task task, LeaseMessage.Refusal refusal) {
        if (task.voter != null) {
            task.voter.seen(refusal.highestTerm());
        }
        if (task.candidate == null || refusal.incarnation() != incarnation) {
            return;
        }
        task.candidate.refused(from, refusal);
        if (refusal.reason() == RefusalReason.HELD || refusal.reason() == RefusalReason.FORBIDDEN) {
            task.hint = Math.max(task.hint, now + refusal.retryAfterMs());
        }
        step(now, task);
    }

    private void released(double now, int from, Task task, LeaseMessage.Release release) {
        if (task.voter != null) {
            task.voter.release(now, from, release);
        }
        // It is told more than once: those that want the lease wait from the first.
        if (task.candidate != null && from != self && task.heardFree != release.term()) {
            task.heardFree = release.term();
            if (release.successor() == self) {
                task.candidate.inherits(now);
            } else if (task.voter != null && task.voter.busyUntil(self) <= now) {
                task.candidate.comesFree(now);
            }
            step(now, task);
        }
    }

    private void forbidden(double now, Task task, double ms) {
        if (task.voter != null) {
            task.voter.forbid(now + ms);
        }
        stop(now, task, -1, "forbidden");
        if (task.candidate != null) {
            task.candidate.lookAt(now + ms);
        }
    }

    /** Does what is due; returns when something will be. */
    public double tick(double now) {
        double due = Double.POSITIVE_INFINITY;
        boolean renews = tasks.values().stream().anyMatch(t -> t.candidate != null && t.candidate.state() == State.HOLDING && t.candidate.asks(now));
        for (Task task : List.copyOf(tasks.values())) {
            recall(now, task);
            tellAgain(now, task);
            step(now, task);
            if (renews && task.candidate != null && task.candidate.joins(now)) {
                ask(now, task);
            }
            // While an act is out of a lease that was given up, nothing is done for the next: its end says when.
            if (task.candidate != null && (task.openPermits == 0 || task.candidate.state() != State.WAITING)) {
                due = Math.min(due, task.candidate.dueAt());
            }
            if (task.voter != null && !task.voter.isRecovered(now)) {
                due = Math.min(due, task.recallAt);
            }
            if (task.toldAgain > 0) {
                due = Math.min(due, task.toldAgainAt);
            }
        }
        return due;
    }

    private void recall(double now, Task task) {
        if (task.voter != null && !task.voter.isRecovered(now) && now >= task.recallAt) {
            task.recallAt = now + 2 * policy.answerMs();
            task.recalls++;
            for (int member : task.everybody()) {
                if (member != self) {
                    send(now, member, new LeaseMessage.TermQuery(task.hash, said(now), incarnation, task.recalls));
                }
            }
        }
    }

    private void step(double now, Task task) {
        Candidate candidate = task.candidate;
        if (candidate == null) {
            return;
        }
        if (candidate.lapses(now)) {
            out.statusChanged(task.name, "lost here, term " + candidate.term() + ": not renewed in time");
        }
        if (candidate.fails(now, task.needed(now))) {
            boolean again = candidate.onlyTermsWereOld();
            giveBack(now, task, new LeaseMessage.Release(task.hash, said(now), incarnation, candidate.term(), -1));
            candidate.giveUp(now, task.hint);
            task.hint = 0;
            if (again) {
                candidate.lookAt(now);
            }
        }
        if (candidate.begins(now) && task.openPermits == 0 && mayBegin(now, task)) {
            candidate.begin(now, task.voter == null ? 0 : task.voter.highest());
        }
        if (candidate.asks(now)) {
            ask(now, task);
        }
    }

    private void ask(double now, Task task) {
        int round = task.candidate.ask(now);
        tell(now, task, new LeaseMessage.VoteRequest(task.hash, said(now), incarnation, task.candidate.term(), round));
    }

    /** Whether an attempt makes sense now; when to look again is set where it does not. */
    private boolean mayBegin(double now, Task task) {
        Candidate candidate = task.candidate;
        Voter v = task.voter;
        if (task.needed(now).isEmpty()) {
            candidate.lookAt(now + 2 * policy.answerMs());
            tell(now, task, new LeaseMessage.TermQuery(task.hash, said(now), incarnation, 0));
            return false;
        }
        if (v == null) {
            return true;
        }
        if (now < v.forbiddenUntil()) {
            candidate.lookAt(v.forbiddenUntil());
            return false;
        }
        if (!v.isRecovered(now) || v.isQuiet(now)) {
            candidate.lookAt(now + policy.answerMs());
            return false;
        }
        if (v.busyUntil(self) > now && v.holder() != self) {
            candidate.giveUp(now, v.busyUntil(self));
            return false;
        }
        return true;
    }

    private void tell(double now, Task task, LeaseMessage message) {
        for (int member : task.everybody()) {
            send(now, member, message);
        }
    }

    /**
     * Leave for an act that takes so long at most; empty where it must not be done. A lease that is given up meanwhile goes to
     * nobody until the act is done, or the lease has run out.
     */
    public Optional<Permit> permit(double now, String name, double actionMs) {
        Task task = tasks.get(hash(name));
        if (task == null || task.candidate == null || !task.candidate.permits(now, actionMs)) {
            return Optional.empty();
        }
        task.openPermits++;
        return Optional.of(new Permit(name, task.candidate.term(), task.candidate.until()));
    }

    /** An act is over: nothing of it will take effect from now on. */
    public void done(double now, Permit permit) {
        Task task = tasks.get(hash(permit.task()));
        task.openPermits--;
        if (task.openPermits == 0 && task.owed != null) {
            LeaseMessage.Release release = task.owed;
            task.owed = null;
            giveBack(now, task, release);
        }
        step(now, task);
    }

    /** Whether a lease is held here now, as far as the clock goes; no leave to act. */
    public boolean holds(double now, String name) {
        Task task = tasks.get(hash(name));
        return task != null && task.candidate != null && task.candidate.permits(now, 0);
    }

    /** Who received an act has seen a term: where it is higher than this proxy's, another has acted since. */
    public void observeTerm(double now, String name, long term) {
        Task task = tasks.get(hash(name));
        if (task == null) {
            return;
        }
        if (task.voter != null) {
            task.voter.seen(term);
        }
        if (task.candidate != null) {
            task.candidate.seen(term);
            if (term > task.candidate.term()) {
                stop(now, task, -1, "a higher term has been seen: " + term);
            }
        }
    }

    /** Gives a lease back, to an heir or to whoever asks first where that is -1; no act is begun from now on. */
    public void release(double now, String name, int heir) {
        Task task = tasks.get(hash(name));
        if (task != null) {
            stop(now, task, heir, "released");
        }
    }

    private void stop(double now, Task task, int heir, String words) {
        Candidate candidate = task.candidate;
        if (candidate == null || candidate.state() == State.WAITING) {
            return;
        }
        boolean held = candidate.state() == State.HOLDING;
        candidate.stop(now);
        if (held) {
            out.statusChanged(task.name, "given up here, term " + candidate.term() + ": " + words);
        }
        LeaseMessage.Release release = new LeaseMessage.Release(task.hash, said(now), incarnation, candidate.term(), heir);
        if (task.openPermits > 0) {
            task.owed = release;
        } else {
            giveBack(now, task, release);
        }
    }

    private void giveBack(double now, Task task, LeaseMessage.Release release) {
        task.told = release;
        task.toldAgain = TOLD_AGAIN;
        task.toldAgainAt = now + policy.answerMs();
        tell(now, task, release);
    }

    /** Tells once more what was given back; who has heard it knows it by its term. */
    private void tellAgain(double now, Task task) {
        if (task.toldAgain > 0 && now >= task.toldAgainAt) {
            task.toldAgain--;
            task.toldAgainAt = now + policy.answerMs();
            LeaseMessage.Release release = new LeaseMessage.Release(task.hash, said(now), incarnation, task.told.term(), task.told.successor());
            task.everybody().stream().filter(m -> m != self).forEach(m -> send(now, m, release));
        }
    }

    /** Gives all back for good, each to another of its voters, as at the end of a process. */
    public void releaseAll(double now) {
        leaving = true;
        for (Task task : tasks.values()) {
            if (task.candidate != null) {
                task.candidate.want(false, now);
                int heir = voterSets.voters(task.hash).stream().filter(m -> m != self && peerVersions.containsKey(m)).findFirst().orElse(-1);
                stop(now, task, heir, "this process ends");
            }
        }
    }

    /** Nobody is to hold it for so long, as far as this proxy reaches: it tells all voters. */
    public void forbid(double now, String name, double ms) {
        Task task = add(now, name);
        tell(now, task, new LeaseMessage.Forbid(task.hash, said(now), (int) ms));
        forbidden(now, task, ms);
    }

    /** The members that this proxy has anything to say to. */
    public Set<Integer> peers() {
        Set<Integer> all = new LinkedHashSet<>();
        tasks.values().stream().filter(t -> t.voter != null || t.candidate != null && t.candidate.isWanted()).forEach(t -> all.addAll(t.everybody()));
        all.remove(self);
        return all;
    }

    /** Which version of the electorates it goes by. */
    public int voterSetsVersion() {
        return voterSets.version();
    }

    /** How all leases are, in the order of the tasks. */
    public List<Status> statuses(double now) {
        List<Status> all = new ArrayList<>();
        tasks.values().forEach(t -> all.add(standing(now, t)));
        return all;
    }

    private Status standing(double now, Task task) {
        Candidate candidate = task.candidate;
        Voter v = task.voter;
        int voters = voterSets.voters(task.hash).size();
        if (candidate != null && candidate.permits(now, 0)) {
            return new Status(task.name, true, self, candidate.term(), candidate.until() - now, candidate.votes(now), voters, "held here");
        }
        int votes = candidate == null ? 0 : candidate.votes(now);
        if (v != null && v.isGiven(now) && v.holder() != self) {
            return new Status(task.name, false, v.holder(), v.term(), v.until() - now, votes, voters,
                    "this proxy's vote is " + v.holder() + "'s");
        }
        return new Status(task.name, false, -1, 0, 0, votes, voters, whyNone(now, task));
    }

    private String whyNone(double now, Task task) {
        Voter v = task.voter;
        if (v != null && now < v.forbiddenUntil()) {
            return "forbidden by operators";
        }
        if (task.needed(now).isEmpty()) {
            return "nobody has said that the electorates before had settled";
        }
        if (v != null && v.isQuiet(now)) {
            return "this proxy has started lately, and what it promised before may hold";
        }
        if (v != null && !v.isRecovered(now)) {
            return "this proxy has started lately, and too few have told it which terms there were";
        }
        if (task.candidate == null) {
            return "others vote on it";
        }
        if (!task.candidate.isWanted()) {
            return "not wanted here";
        }
        Map<Integer, RefusalReason> refusals = new TreeMap<>(task.candidate.refusals());
        return task.candidate.state() == State.ASKING ? "asking; refused by " + refusals : "none known; last refused by " + refusals;
    }

    /** All of its state, times as they are from now on: two with the same text act the same, but for their seeds. */
    public String stateText(double now) {
        StringBuilder text = new StringBuilder();
        tasks.values().forEach(t -> text.append(t.voter == null ? "-" : t.voter.text(now)).append('|')
                .append(t.candidate == null ? "-" : t.candidate.text(now)).append('|').append(Math.max(0, t.recallAt - now)).append('|')
                .append(Math.max(0, t.hint - now)).append(t.openPermits).append(t.owed)
                .append(t.toldAgain > 0 ? t.told + " " + t.toldAgain + " " + Math.max(0, t.toldAgainAt - now) : "")
                .append(t.heardFree).append(';'));
        text.append(voterSets.version()).append(settled).append(previousSettled);
        // Who goes by which version matters until a change has settled.
        return settled ? text.toString() : text.append(new TreeMap<>(peerVersions)).toString();
    }
}
