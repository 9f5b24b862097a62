package ridgemill.cdn.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * The proposer of one store. To become leader, a store obtains promises for its ballot from a majority, takes over the
 * newest state that any of them has accepted, and has a majority accept that state under its own ballot; every state
 * that may have been decided before is decided then. After that it decides changes, one state after another. A change
 * or a read is answered only once a majority that was asked after the call arrived has confirmed the ballot, so a store
 * that was partitioned, frozen or outbid answers nothing.
 */
final class Leadership {

    /** How long a store tries to become leader before it gives up, in milliseconds. */
    private static final double ELECTION_TIMEOUT_MS = 900;

    private static final double RETRANSMIT_INTERVAL_MS = 200;
    /** A leader whose requests get no majority for this long steps down, in milliseconds. */
    private static final double MAJORITY_LOSS_TIMEOUT_MS = 2_000;

    private enum Role {
        FOLLOWING,
        /** Waiting for promises. */
        PREPARING,
        /** Fetching the newest accepted state from another store. */
        FETCHING,
        LEADING
    }

    private final Voter self;
    private final String incarnationId;
    private final AgreementEnvironment environment;
    private final Acceptor acceptor;
    private final DecidedView view;
    private final ChangeRules rules;
    private final StatePull fetch;
    private final Map<Voter, AgreementMessage.Promise> promises = new HashMap<>();
    private final Set<Voter> prepareSentTo = new HashSet<>();
    private final Deque<PendingChange> pendingChanges = new ArrayDeque<>();
    private final Deque<PendingAnswer> awaitingConfirmation = new ArrayDeque<>();
    private final List<PendingAnswer> confirming = new ArrayList<>();
    private final Set<Voter> confirmedBy = new HashSet<>();
    private Role role = Role.FOLLOWING;
    private Ballot ballot = Ballot.NONE;
    private Proposal proposal;
    private boolean established;
    private long highestRound;
    private long confirmationNumber;
    private double electionStartedAtMs;
    private double lastSentAtMs;
    private double majorityAtMs;

    private record PendingChange(List<Item> items, double deadlineMs, Consumer<ChangeResult> callback) {}

    /**
     * An answer to a caller.
     *
     * @param onMajority gives the answer once a majority has agreed
     * @param onUnknown tells the caller that the result is unknown, at the deadline or when this store steps down
     */
    private record PendingAnswer(Runnable onMajority, Runnable onUnknown, double deadlineMs) {}

    private static final class Proposal {

        private final StateDelta delta;
        private final List<PendingAnswer> answers;
        private final Set<Voter> acceptedBy = new HashSet<>();

        Proposal(StateDelta delta, List<PendingAnswer> answers) {
            this.delta = delta;
            this.answers = answers;
        }
    }

    Leadership(
            Voter self,
            String incarnationId,
            AgreementEnvironment environment,
            Acceptor acceptor,
            DecidedView view,
            ChangeRules rules) {
        this.self = self;
        this.incarnationId = incarnationId;
        this.environment = environment;
        this.acceptor = acceptor;
        this.view = view;
        this.rules = rules;
        this.fetch = new StatePull(self, incarnationId + "-lead", environment);
    }

    boolean isFollowing() {
        return role == Role.FOLLOWING;
    }

    /** Whether this store has decided a state under its ballot and knows of no higher promise. */
    boolean isLeading() {
        return role == Role.LEADING && established;
    }

    /** Whether this store leads and no proposal is in progress, so that a change of the voters may be proposed. */
    boolean isIdle() {
        return isLeading() && proposal == null;
    }

    /** Records a round that another store has used; the next ballot of this store is higher. */
    void observeRound(long round) {
        highestRound = Math.max(highestRound, round);
    }

    /** Asks the voters for promises under a new ballot. Does nothing unless this store is a voter. */
    void startElection(double nowMs) {
        if (!acceptor.state().voters().contains(self)) {
            return;
        }
        observeRound(acceptor.promised().round());
        ballot = new Ballot(highestRound + 1, incarnationId);
        observeRound(ballot.round());
        role = Role.PREPARING;
        established = false;
        promises.clear();
        prepareSentTo.clear();
        electionStartedAtMs = nowMs;
        lastSentAtMs = nowMs;
        Ballot own = ballot;
        prepareSentTo.add(self);
        StateId accepted = acceptor.state().id();
        VoterSet voters = acceptor.state().voters();
        acceptor.promise(own, () -> onPromise(new AgreementMessage.Promise(self, own, accepted, voters), nowMs));
        sendPrepare(voters);
    }

    private void sendPrepare(VoterSet voters) {
        for (Voter member : voters.members()) {
            if (prepareSentTo.add(member)) {
                environment.send(member.address(), new AgreementMessage.Prepare(self, ballot));
            }
        }
    }

    /**
     * Handles a promise. A quorum is needed both of the voters of this store's accepted state and of the voters of the
     * newest state that any promise reports.
     */
    void onPromise(AgreementMessage.Promise promise, double nowMs) {
        if (role != Role.PREPARING || !promise.ballot().equals(ballot)) {
            return;
        }
        promises.put(promise.from(), promise);
        AgreementMessage.Promise newest = newestPromise();
        sendPrepare(newest.voters());
        boolean promisedByOwnVoters = acceptor.state().voters().hasQuorum(promises::containsKey);
        if (!promisedByOwnVoters || !newest.voters().hasQuorum(promises::containsKey)) {
            return;
        }
        if (newest.accepted().compareTo(acceptor.state().id()) <= 0) {
            takeOver(nowMs, null);
        } else {
            role = Role.FETCHING;
            electionStartedAtMs = nowMs;
            fetch.begin(newest.from(), acceptor.state().id(), nowMs);
        }
    }

    private AgreementMessage.Promise newestPromise() {
        AgreementMessage.Promise newest = null;
        for (AgreementMessage.Promise promise : promises.values()) {
            if (newest == null || promise.accepted().compareTo(newest.accepted()) > 0) {
                newest = promise;
            }
        }
        return newest;
    }

    /** Handles the fetched state, the newest accepted one, and continues from it as leader. */
    void onFetched(PulledState pulled, double nowMs) {
        if (role != Role.FETCHING) {
            return;
        }
        ControlState state = pulled.snapshot();
        if (state == null) {
            state = acceptor.state().copy();
            for (StateDelta delta : pulled.deltas()) {
                if (!delta.base().equals(state.id())) {
                    stepDown();
                    return;
                }
                state.apply(delta);
            }
        }
        if (state.id().equals(newestPromise().accepted())) {
            takeOver(nowMs, state);
        } else {
            stepDown();
        }
    }

    StatePull fetch() {
        return fetch;
    }

    /**
     * Proposes a first state under the new ballot, based on the fetched state, or on this store's own if that is null.
     */
    private void takeOver(double nowMs, ControlState fetchedState) {
        role = Role.LEADING;
        majorityAtMs = nowMs;
        confirmationNumber = 0;
        ControlState base = fetchedState == null ? acceptor.state() : fetchedState;
        rules.reset(base.items().stream().map(VersionedItem::item).toList());
        StateDelta delta = new StateDelta(base.id(), base.id().next(ballot), base.voters(), List.of());
        if (fetchedState == null) {
            propose(delta, List.of(), nowMs);
            return;
        }
        ControlState rebased = new ControlState(delta.stateId(), base.voters(), base.items());
        proposal = new Proposal(delta, List.of());
        if (!acceptor.install(rebased, false, onAcceptedLocally(delta.stateId(), nowMs))) {
            stepDown();
            return;
        }
        view.reset(rebased);
        sendProposal(nowMs);
    }

    private void propose(StateDelta delta, List<PendingAnswer> answers, double nowMs) {
        proposal = new Proposal(delta, answers);
        Acceptor.Outcome outcome = acceptor.accept(delta, onAcceptedLocally(delta.stateId(), nowMs));
        if (outcome != Acceptor.Outcome.ACCEPTED) {
            stepDown();
            return;
        }
        view.addAccepted(delta);
        sendProposal(nowMs);
    }

    private Runnable onAcceptedLocally(StateId stateId, double nowMs) {
        return () -> onAccepted(new AgreementMessage.Accepted(self, stateId), nowMs);
    }

    private void sendProposal(double nowMs) {
        lastSentAtMs = nowMs;
        if (proposal == null) {
            return;
        }
        Proposal current = proposal;
        for (Voter member : acceptor.state().voters().members()) {
            if (!member.equals(self) && !current.acceptedBy.contains(member)) {
                environment.send(member.address(), new AgreementMessage.Accept(self, current.delta));
            }
        }
    }

    /** Counts an acceptance of the proposed state, and decides it once a quorum has accepted. */
    void onAccepted(AgreementMessage.Accepted message, double nowMs) {
        if (proposal == null
                || role != Role.LEADING
                || !proposal.delta.stateId().isAtOrBefore(message.stateId())) {
            return;
        }
        proposal.acceptedBy.add(message.from());
        if (proposal.delta.voters().hasQuorum(proposal.acceptedBy::contains)) {
            onDecided(nowMs);
        }
    }

    private void onDecided(double nowMs) {
        Proposal done = proposal;
        proposal = null;
        established = true;
        majorityAtMs = nowMs;
        view.decide(done.delta.stateId());
        done.answers.forEach(pending -> pending.onMajority().run());
        if (!done.delta.voters().contains(self)) {
            // The state that was just decided removes this store from the voters: a remaining voter leads next.
            stepDown();
        }
    }

    /** Handles a refusal: a higher ballot was promised, so this store steps down. */
    void onRefused(AgreementMessage.Refused message) {
        observeRound(message.promised().round());
        if (role != Role.FOLLOWING && message.refused().equals(ballot)) {
            stepDown();
        }
    }

    /**
     * Becomes a follower and answers all pending calls with an unknown result: a change that was proposed may still be
     * decided by the next leader.
     */
    void stepDown() {
        role = Role.FOLLOWING;
        established = false;
        fetch.cancel();
        List<PendingAnswer> unanswered = new ArrayList<>(awaitingConfirmation);
        unanswered.addAll(confirming);
        if (proposal != null) {
            unanswered.addAll(proposal.answers);
        }
        proposal = null;
        awaitingConfirmation.clear();
        confirming.clear();
        List<PendingChange> unproposed = new ArrayList<>(pendingChanges);
        pendingChanges.clear();
        unanswered.forEach(pending -> pending.onUnknown().run());
        unproposed.forEach(change -> change.callback().accept(ChangeResult.UNKNOWN));
    }

    /** Steps down if this store has promised another ballot than its own. */
    void stepDownIfOutbid() {
        if (role != Role.FOLLOWING && !acceptor.promised().equals(ballot)) {
            stepDown();
        }
    }

    /** Queues a change. */
    void enqueueChange(List<Item> items, double deadlineMs, Consumer<ChangeResult> callback) {
        pendingChanges.add(new PendingChange(items, deadlineMs, callback));
    }

    /** Queues an answer that may be given once a quorum has confirmed that this store still leads. */
    void enqueueConfirmation(Runnable answer, Runnable unknown, double deadlineMs) {
        awaitingConfirmation.add(new PendingAnswer(answer, unknown, deadlineMs));
    }

    /** Proposes a change of the voters. */
    void proposeVoters(VoterSet next, double nowMs) {
        StateId base = acceptor.state().id();
        propose(new StateDelta(base, base.next(ballot), next, List.of()), List.of(), nowMs);
    }

    /** If this store leads, proposes the pending changes and requests confirmation of the pending answers. */
    void proposePending(double nowMs) {
        if (!isLeading()) {
            return;
        }
        if (proposal == null && !pendingChanges.isEmpty()) {
            proposePendingChanges(nowMs);
        }
        if (confirming.isEmpty() && !awaitingConfirmation.isEmpty()) {
            confirmationNumber++;
            confirming.addAll(awaitingConfirmation);
            awaitingConfirmation.clear();
            confirmedBy.clear();
            sendConfirm();
            onConfirmed(new AgreementMessage.Confirmed(self, ballot, confirmationNumber), nowMs);
        }
    }

    /** Proposes all pending changes as one state. They are evaluated one after another and decided together. */
    private void proposePendingChanges(double nowMs) {
        ChangeEvaluator evaluator = new ChangeEvaluator(acceptor.state(), rules);
        List<PendingAnswer> answers = new ArrayList<>();
        for (PendingChange change : pendingChanges) {
            ChangeResult result = evaluator.evaluate(change.items());
            answers.add(new PendingAnswer(
                    () -> change.callback().accept(result),
                    () -> change.callback().accept(ChangeResult.UNKNOWN),
                    change.deadlineMs()));
        }
        pendingChanges.clear();
        Collection<VersionedItem> changed = evaluator.changedItems();
        if (changed.isEmpty()) {
            awaitingConfirmation.addAll(answers);
            return;
        }
        StateId base = acceptor.state().id();
        VoterSet voters = acceptor.state().voters();
        propose(new StateDelta(base, base.next(ballot), voters, new ArrayList<>(changed)), answers, nowMs);
    }

    private void sendConfirm() {
        for (Voter member : acceptor.state().voters().members()) {
            if (!member.equals(self) && !confirmedBy.contains(member)) {
                environment.send(member.address(), new AgreementMessage.Confirm(self, ballot, confirmationNumber));
            }
        }
    }

    /**
     * Counts a confirmation that no higher ballot was promised, and gives the pending answers once a quorum confirmed.
     */
    void onConfirmed(AgreementMessage.Confirmed message, double nowMs) {
        boolean current = message.ballot().equals(ballot) && message.number() == confirmationNumber;
        if (role != Role.LEADING || !current || confirming.isEmpty()) {
            return;
        }
        confirmedBy.add(message.from());
        if (acceptor.state().voters().hasQuorum(confirmedBy::contains)) {
            majorityAtMs = nowMs;
            List<PendingAnswer> answers = new ArrayList<>(confirming);
            confirming.clear();
            answers.forEach(pending -> pending.onMajority().run());
        }
    }

    /** Retransmits messages that may be lost, and ends elections, proposals and calls that took too long. */
    void tick(double nowMs) {
        fetch.tick(nowMs);
        boolean starting = role == Role.PREPARING || role == Role.FETCHING;
        boolean waiting = proposal != null || !confirming.isEmpty();
        if (starting && nowMs - electionStartedAtMs > ELECTION_TIMEOUT_MS
                || role == Role.FETCHING && !fetch.isActive()
                || role == Role.LEADING && waiting && nowMs - majorityAtMs > MAJORITY_LOSS_TIMEOUT_MS) {
            stepDown();
        }
        if (!waiting) {
            majorityAtMs = nowMs;
        }
        if (nowMs - lastSentAtMs >= RETRANSMIT_INTERVAL_MS) {
            retransmit(nowMs);
        }
        expire(nowMs);
    }

    private void retransmit(double nowMs) {
        lastSentAtMs = nowMs;
        if (role == Role.PREPARING) {
            for (Voter member : prepareSentTo) {
                if (!member.equals(self) && !promises.containsKey(member)) {
                    environment.send(member.address(), new AgreementMessage.Prepare(self, ballot));
                }
            }
        } else if (role == Role.LEADING) {
            if (proposal != null && !proposal.acceptedBy.contains(self)) {
                acceptor.accept(proposal.delta, onAcceptedLocally(proposal.delta.stateId(), nowMs));
            }
            sendProposal(nowMs);
            if (!confirming.isEmpty()) {
                sendConfirm();
            }
        }
    }

    private void expire(double nowMs) {
        List<Runnable> expired = new ArrayList<>();
        pendingChanges.removeIf(change -> change.deadlineMs() <= nowMs
                && expired.add(() -> change.callback().accept(ChangeResult.UNKNOWN)));
        awaitingConfirmation.removeIf(pending -> pending.deadlineMs() <= nowMs && expired.add(pending.onUnknown()));
        confirming.removeIf(pending -> pending.deadlineMs() <= nowMs && expired.add(pending.onUnknown()));
        if (proposal != null && !proposal.answers.isEmpty()) {
            proposal.answers.removeIf(pending -> pending.deadlineMs() <= nowMs && expired.add(pending.onUnknown()));
        }
        expired.forEach(Runnable::run);
    }
}
