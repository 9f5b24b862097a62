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
 * Proposes states. To lead, a store has a majority promise its ballot, takes over the newest state that any of them has
 * accepted, and has a majority accept that as its own: whatever may have been decided is so now. Then it decides orders,
 * one state after another. Answers rest on a majority that was asked after the call came, so a store that was cut off,
 * frozen or overtaken answers nothing.
 */
final class Leadership {

    private static final double PREPARE_TIMEOUT_MS = 900;
    private static final double SEND_AGAIN_MS = 200;
    /** A leader without a majority for so long leads no more, in milliseconds. */
    private static final double LOST_MAJORITY_MS = 2_000;

    private enum Role {
        FOLLOWING,
        /** Promises are awaited. */
        PREPARING,
        /** The newest state is fetched from another store. */
        FETCHING,
        LEADING
    }

    private final Voter self;
    private final String lifeId;
    private final AgreementEnvironment environment;
    private final Acceptor acceptor;
    private final DecidedView view;
    private final ChangeRules rules;
    private final StatePull fetch;
    private final Map<Voter, AgreementMessage.Promise> promises = new HashMap<>();
    private final Set<Voter> asked = new HashSet<>();
    private final Deque<PendingOrder> orders = new ArrayDeque<>();
    private final Deque<PendingAnswer> unconfirmed = new ArrayDeque<>();
    private final List<PendingAnswer> confirming = new ArrayList<>();
    private final Set<Voter> confirmedBy = new HashSet<>();
    private Role role = Role.FOLLOWING;
    private Ballot ballot = Ballot.NONE;
    private Proposal proposal;
    private boolean ready;
    private long highestRound;
    private long confirmation;
    private double beganAtMs;
    private double sentAtMs;
    private double majorityAtMs;

    private record PendingOrder(List<Item> items, double deadlineMs, Consumer<OrderResult> callback) {}

    /** An answer that may be given once a majority has agreed; at its deadline the other one is given. */
    private record PendingAnswer(Runnable answer, Runnable unknown, double deadlineMs) {}

    private static final class Proposal {

        private final Step step;
        private final List<PendingAnswer> answers;
        private final Set<Voter> accepted = new HashSet<>();

        Proposal(Step step, List<PendingAnswer> answers) {
            this.step = step;
            this.answers = answers;
        }
    }

    Leadership(
            Voter self,
            String lifeId,
            AgreementEnvironment environment,
            Acceptor acceptor,
            DecidedView view,
            ChangeRules rules) {
        this.self = self;
        this.lifeId = lifeId;
        this.environment = environment;
        this.acceptor = acceptor;
        this.view = view;
        this.rules = rules;
        this.fetch = new StatePull(self, lifeId + "-lead", environment);
    }

    boolean isFollowing() {
        return role == Role.FOLLOWING;
    }

    /** Whether this store's ballot has decided something and nobody is known to have a higher one. */
    boolean isLeading() {
        return role == Role.LEADING && ready;
    }

    /** Whether nothing is being decided, so that a change of the voters may be proposed. */
    boolean isFree() {
        return isLeading() && proposal == null;
    }

    /** A round that another store has used: the next ballot is higher. */
    void roundSeen(long round) {
        highestRound = Math.max(highestRound, round);
    }

    /** Asks for promises under a new ballot. Only a voter may. */
    void begin(double nowMs) {
        if (!acceptor.state().voters().contains(self)) {
            return;
        }
        roundSeen(acceptor.promised().round());
        ballot = new Ballot(highestRound + 1, lifeId);
        roundSeen(ballot.round());
        role = Role.PREPARING;
        ready = false;
        promises.clear();
        asked.clear();
        beganAtMs = nowMs;
        sentAtMs = nowMs;
        Ballot own = ballot;
        asked.add(self);
        Stamp accepted = acceptor.state().stamp();
        VoterSet voters = acceptor.state().voters();
        acceptor.promise(own, () -> promised(new AgreementMessage.Promise(self, own, accepted, voters), nowMs));
        askMembers(voters);
    }

    private void askMembers(VoterSet voters) {
        for (Voter member : voters.members()) {
            if (asked.add(member)) {
                environment.send(member.address(), new AgreementMessage.Prepare(self, ballot));
            }
        }
    }

    /** Takes a promise. Those that are needed depend on the voters of the newest state that was accepted anywhere. */
    void promised(AgreementMessage.Promise promise, double nowMs) {
        if (role != Role.PREPARING || !promise.ballot().equals(ballot)) {
            return;
        }
        promises.put(promise.from(), promise);
        AgreementMessage.Promise newest = newestPromise();
        askMembers(newest.voters());
        boolean own = acceptor.state().voters().isMajority(promises::containsKey);
        if (!own || !newest.voters().isMajority(promises::containsKey)) {
            return;
        }
        if (newest.accepted().compareTo(acceptor.state().stamp()) <= 0) {
            lead(nowMs, null);
        } else {
            role = Role.FETCHING;
            beganAtMs = nowMs;
            fetch.begin(newest.from(), acceptor.state().stamp(), nowMs);
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

    /** Takes what was fetched: the newest accepted state, from which this store goes on. */
    void fetched(Pulled pulled, double nowMs) {
        if (role != Role.FETCHING) {
            return;
        }
        ControlState state = pulled.whole();
        if (state == null) {
            state = acceptor.state().copy();
            for (Step step : pulled.steps()) {
                if (!step.base().equals(state.stamp())) {
                    stepDown();
                    return;
                }
                state.apply(step);
            }
        }
        if (state.stamp().equals(newestPromise().accepted())) {
            lead(nowMs, state);
        } else {
            stepDown();
        }
    }

    StatePull fetch() {
        return fetch;
    }

    /** Goes on from a state: from this store's own if none is given. */
    private void lead(double nowMs, ControlState fetchedState) {
        role = Role.LEADING;
        majorityAtMs = nowMs;
        confirmation = 0;
        ControlState base = fetchedState == null ? acceptor.state() : fetchedState;
        rules.reset(base.items().stream().map(VersionedItem::item).toList());
        Step step = new Step(base.stamp(), base.stamp().next(ballot), base.voters(), List.of());
        if (fetchedState == null) {
            propose(step, List.of(), nowMs);
            return;
        }
        ControlState own = new ControlState(step.stamp(), base.voters(), base.items());
        proposal = new Proposal(step, List.of());
        if (!acceptor.install(own, false, acceptedHere(step.stamp(), nowMs))) {
            stepDown();
            return;
        }
        view.installed(own);
        sendProposal(nowMs);
    }

    private void propose(Step step, List<PendingAnswer> answers, double nowMs) {
        proposal = new Proposal(step, answers);
        Acceptor.Outcome outcome = acceptor.accept(step, acceptedHere(step.stamp(), nowMs));
        if (outcome != Acceptor.Outcome.ACCEPTED) {
            stepDown();
            return;
        }
        view.accepted(step);
        sendProposal(nowMs);
    }

    private Runnable acceptedHere(Stamp stamp, double nowMs) {
        return () -> accepted(new AgreementMessage.Accepted(self, stamp), nowMs);
    }

    private void sendProposal(double nowMs) {
        sentAtMs = nowMs;
        if (proposal == null) {
            return;
        }
        Proposal current = proposal;
        for (Voter member : acceptor.state().voters().members()) {
            if (!member.equals(self) && !current.accepted.contains(member)) {
                environment.send(member.address(), new AgreementMessage.Accept(self, current.step));
            }
        }
    }

    /** Counts a store that has accepted the proposed state. */
    void accepted(AgreementMessage.Accepted message, double nowMs) {
        if (proposal == null || role != Role.LEADING || !proposal.step.stamp().leadsTo(message.stamp())) {
            return;
        }
        proposal.accepted.add(message.from());
        if (proposal.step.voters().isMajority(proposal.accepted::contains)) {
            decided(nowMs);
        }
    }

    private void decided(double nowMs) {
        Proposal done = proposal;
        proposal = null;
        ready = true;
        majorityAtMs = nowMs;
        view.decide(done.step.stamp());
        done.answers.forEach(pending -> pending.answer().run());
        if (!done.step.voters().contains(self)) {
            // It was replaced, and has finished what it found: those that vote go on.
            stepDown();
        }
    }

    /** A higher ballot was promised: this store leads no more, and what it had under way is not known. */
    void refused(AgreementMessage.Refused message) {
        roundSeen(message.promised().round());
        if (role != Role.FOLLOWING && message.asked().equals(ballot)) {
            stepDown();
        }
    }

    /** Ends all that is under way. Orders whose state was proposed may still be decided, by whoever leads next. */
    void stepDown() {
        role = Role.FOLLOWING;
        ready = false;
        fetch.giveUp();
        List<PendingAnswer> open = new ArrayList<>(unconfirmed);
        open.addAll(confirming);
        if (proposal != null) {
            open.addAll(proposal.answers);
        }
        proposal = null;
        unconfirmed.clear();
        confirming.clear();
        List<PendingOrder> waiting = new ArrayList<>(orders);
        orders.clear();
        open.forEach(pending -> pending.unknown().run());
        waiting.forEach(order -> order.callback().accept(OrderResult.UNKNOWN));
    }

    /** Steps down if this store itself has promised a ballot of another one. */
    void checkPromised() {
        if (role != Role.FOLLOWING && !acceptor.promised().equals(ballot)) {
            stepDown();
        }
    }

    /** Queues an order. */
    void order(List<Item> items, double deadlineMs, Consumer<OrderResult> callback) {
        orders.add(new PendingOrder(items, deadlineMs, callback));
    }

    /** Queues an answer that needs a majority to confirm that nobody else leads. */
    void confirm(Runnable answer, Runnable unknown, double deadlineMs) {
        unconfirmed.add(new PendingAnswer(answer, unknown, deadlineMs));
    }

    /** Proposes other voters. */
    void proposeVoters(VoterSet next, double nowMs) {
        Stamp base = acceptor.state().stamp();
        propose(new Step(base, base.next(ballot), next, List.of()), List.of(), nowMs);
    }

    /** Goes on with what waits. */
    void serve(double nowMs) {
        if (!isLeading()) {
            return;
        }
        if (proposal == null && !orders.isEmpty()) {
            decideOrders(nowMs);
        }
        if (confirming.isEmpty() && !unconfirmed.isEmpty()) {
            confirmation++;
            confirming.addAll(unconfirmed);
            unconfirmed.clear();
            confirmedBy.clear();
            sendConfirm();
            confirmed(new AgreementMessage.Confirmed(self, ballot, confirmation), nowMs);
        }
    }

    /** Decides all orders that wait as one state: judged one after the other, confirmed together. */
    private void decideOrders(double nowMs) {
        OrderEvaluator evaluator = new OrderEvaluator(acceptor.state(), rules);
        List<PendingAnswer> answers = new ArrayList<>();
        for (PendingOrder order : orders) {
            OrderResult result = evaluator.take(order.items());
            answers.add(new PendingAnswer(
                    () -> order.callback().accept(result),
                    () -> order.callback().accept(OrderResult.UNKNOWN),
                    order.deadlineMs()));
        }
        orders.clear();
        Collection<VersionedItem> changed = evaluator.changed();
        if (changed.isEmpty()) {
            unconfirmed.addAll(answers);
            return;
        }
        Stamp base = acceptor.state().stamp();
        VoterSet voters = acceptor.state().voters();
        propose(new Step(base, base.next(ballot), voters, new ArrayList<>(changed)), answers, nowMs);
    }

    private void sendConfirm() {
        for (Voter member : acceptor.state().voters().members()) {
            if (!member.equals(self) && !confirmedBy.contains(member)) {
                environment.send(member.address(), new AgreementMessage.Confirm(self, ballot, confirmation));
            }
        }
    }

    /** Counts a store that has promised no higher ballot. */
    void confirmed(AgreementMessage.Confirmed message, double nowMs) {
        boolean current = message.ballot().equals(ballot) && message.number() == confirmation;
        if (role != Role.LEADING || !current || confirming.isEmpty()) {
            return;
        }
        confirmedBy.add(message.from());
        if (acceptor.state().voters().isMajority(confirmedBy::contains)) {
            majorityAtMs = nowMs;
            List<PendingAnswer> answers = new ArrayList<>(confirming);
            confirming.clear();
            answers.forEach(pending -> pending.answer().run());
        }
    }

    /** Sends again what may be lost, and gives up what takes too long. */
    void tick(double nowMs) {
        fetch.tick(nowMs);
        boolean starting = role == Role.PREPARING || role == Role.FETCHING;
        boolean waiting = proposal != null || !confirming.isEmpty();
        if (starting && nowMs - beganAtMs > PREPARE_TIMEOUT_MS
                || role == Role.FETCHING && !fetch.isActive()
                || role == Role.LEADING && waiting && nowMs - majorityAtMs > LOST_MAJORITY_MS) {
            stepDown();
        }
        if (!waiting) {
            majorityAtMs = nowMs;
        }
        if (nowMs - sentAtMs >= SEND_AGAIN_MS) {
            sendAgain(nowMs);
        }
        expire(nowMs);
    }

    private void sendAgain(double nowMs) {
        sentAtMs = nowMs;
        if (role == Role.PREPARING) {
            for (Voter member : asked) {
                if (!member.equals(self) && !promises.containsKey(member)) {
                    environment.send(member.address(), new AgreementMessage.Prepare(self, ballot));
                }
            }
        } else if (role == Role.LEADING) {
            if (proposal != null && !proposal.accepted.contains(self)) {
                acceptor.accept(proposal.step, acceptedHere(proposal.step.stamp(), nowMs));
            }
            sendProposal(nowMs);
            if (!confirming.isEmpty()) {
                sendConfirm();
            }
        }
    }

    private void expire(double nowMs) {
        List<Runnable> late = new ArrayList<>();
        orders.removeIf(order ->
                order.deadlineMs() <= nowMs && late.add(() -> order.callback().accept(OrderResult.UNKNOWN)));
        unconfirmed.removeIf(pending -> pending.deadlineMs() <= nowMs && late.add(pending.unknown()));
        confirming.removeIf(pending -> pending.deadlineMs() <= nowMs && late.add(pending.unknown()));
        if (proposal != null && !proposal.answers.isEmpty()) {
            proposal.answers.removeIf(pending -> pending.deadlineMs() <= nowMs && late.add(pending.unknown()));
        }
        late.forEach(Runnable::run);
    }
}
