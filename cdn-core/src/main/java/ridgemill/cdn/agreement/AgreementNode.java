package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * The participation of one store in the agreement on the control state. Single-threaded: messages, the time and the
 * completion of disk writes are passed in. Times are milliseconds of a monotonic clock.
 */
public final class AgreementNode {

    /** The interval at which {@link #tick} has to be called, in milliseconds. */
    public static final long TICK_MS = 100;

    private static final double STATUS_INTERVAL_MS = 400;
    /** How long the first voter in order waits without a leader before it starts an election, in milliseconds. */
    private static final double ELECTION_TIMEOUT_MS = 1_000;

    /** How much longer each following voter waits, and the maximum of the random part of the wait, in milliseconds. */
    private static final double ELECTION_STAGGER_MS = 200;
    /** How long after promising a ballot this store starts no election of its own for a call, in milliseconds. */
    private static final double CANDIDATE_HOLD_OFF_MS = 400;
    /** The maximum age of the last status of a leader that calls are passed to, in milliseconds. */
    private static final double LEADER_FRESH_MS = 1_000;
    /** The same for a call whose sender could not reach the leader: within this age the leader is not replaced. */
    private static final double LEADER_INSIST_FRESH_MS = 600;
    /** How long to wait for the usual messages to deliver a newer state before it is pulled, in milliseconds. */
    private static final double PULL_DELAY_MS = 250;
    /** The minimum interval between changes of the voters, in milliseconds. */
    private static final double VOTER_CHANGE_INTERVAL_MS = 300;

    private final NodeSettings settings;
    private final Voter self;
    private final AgreementEnvironment environment;
    private final Acceptor acceptor;
    private final DecidedView view;
    private final Leadership leadership;
    private final StateSource source;
    private final StatePull pull;
    private final Peers peers;
    private final StalledDiskDetector stalledDisks = new StalledDiskDetector();
    private final VoterPlanner voterPlanner;
    private boolean leaving;
    private long completeEpoch;
    private double statusAtMs = Double.NEGATIVE_INFINITY;
    private double leaderSeenAtMs;
    private double behindSinceMs = Double.NaN;
    private double votersChangedAtMs = Double.NEGATIVE_INFINITY;
    private double electionJitterMs;
    /**
     * The first state seen in the current epoch, which added voters have to hold; newer states are decided all the
     * time.
     */
    private StateId changeStateId = StateId.NONE;

    private long changeEpoch;
    /** The voters to propose next; null if no change is planned. */
    private VoterSet nextVoters;
    /** The IP address of the store whose ballot was promised last. */
    private String candidateAddress = "";
    /** When that ballot was promised. */
    private double candidateAtMs = Double.NEGATIVE_INFINITY;

    private StateId lastAnnounced = StateId.NONE;

    /** A node that takes part once {@link #start} has been called. */
    public AgreementNode(NodeSettings settings, AgreementEnvironment environment, ChangeRules rules) {
        this.settings = settings;
        this.self = settings.self();
        this.environment = environment;
        this.acceptor = new Acceptor(environment);
        this.view = new DecidedView(environment);
        this.leadership = new Leadership(self, settings.incarnationId(), environment, acceptor, view, rules);
        this.source = new StateSource(self, acceptor, view);
        this.pull = new StatePull(self, settings.incarnationId(), environment);
        this.peers = new Peers(self, settings.seeds());
        this.voterPlanner = new VoterPlanner(peers, stalledDisks, settings.toleratedLosses());
    }

    /** Starts with the record that was read from the disk. */
    public void start(AcceptorRecord record, double nowMs) {
        acceptor.restore(record);
        if (!record.accepted().equals(StateId.NONE)) {
            view.reset(acceptor.state());
        }
        leadership.observeRound(record.promised().round());
        peers.start(nowMs);
        leaderSeenAtMs = nowMs;
        electionJitterMs = environment.random() * ELECTION_STAGGER_MS;
        sendStatus(nowMs);
    }

    /**
     * The voters of the newest accepted state, decided or not. Their epoch is the one that applies to keys and purges.
     */
    public VoterSet voters() {
        return acceptor.state().voters();
    }

    /** The voters of the newest state that is known to be decided. */
    public VoterSet decidedVoters() {
        return view.voters();
    }

    /** The items of the newest state that is known to be decided. */
    public ItemSet decidedItems() {
        return view.items();
    }

    /** The promise and the whole accepted state, to be written to a disk that is reinitialized. */
    public AcceptorRecord record() {
        return acceptor.record();
    }

    /** Whether this store is a voter. */
    public boolean isVoter() {
        return voters().contains(self);
    }

    /** Whether this store is the leader. */
    public boolean isLeading() {
        return leadership.isLeading();
    }

    /** Whether this store may vote on operation keys. An added voter may do so only once it holds all keys. */
    public boolean canVoteOnKeys() {
        VoterSet voters = voters();
        boolean caughtUp = !voters.addedVoters().contains(self) || completeEpoch >= voters.epoch();
        return voters.contains(self) && caughtUp;
    }

    /**
     * The decided change of the voters for which this store still has to fetch the operation keys; null if there is
     * none.
     */
    public VoterSet voterChangeAwaitingKeys() {
        VoterSet voters = view.voters();
        boolean pending = voters.addedVoters().contains(self) && completeEpoch < voters.epoch();
        return pending && voters.equals(voters()) ? voters : null;
    }

    /** Records that all operation keys of an epoch are on this store's disk. */
    public void onKeysComplete(long epoch, double nowMs) {
        completeEpoch = Math.max(completeEpoch, epoch);
        sendStatus(nowMs);
    }

    /** Announces that this store is about to stop, so that another one replaces it as a voter. */
    public void leave(double nowMs) {
        leaving = true;
        sendStatus(nowMs);
    }

    /** Whether this store may stop: it is no longer a voter, or no other store could replace it. */
    public boolean canStop(double nowMs) {
        boolean replaced = !voters().contains(self) && !view.voters().contains(self);
        return replaced || !voterPlanner.hasCandidate(voters(), status(nowMs), nowMs);
    }

    /**
     * Submits a configuration change.
     *
     * @param items the new versions of the items
     * @param insist whether the caller could not reach the leader: this store then starts an election unless it has
     *     just received a status from the leader itself
     * @param deadlineMs when the callback is called with {@link ChangeResult#UNKNOWN} at the latest
     * @param callback called with the result
     */
    public void submit(
            List<Item> items, boolean insist, double nowMs, double deadlineMs, Consumer<ChangeResult> callback) {
        String leader = otherLeader(insist, nowMs);
        if (leader != null) {
            callback.accept(ChangeResult.notLeader(leader));
            return;
        }
        leadership.enqueueChange(items, deadlineMs, callback);
        advance(nowMs);
    }

    /**
     * Reads the newest decided items.
     *
     * @param insist as for {@link #submit}
     * @param callback called with the items, or with null if no majority confirms in time that they are the newest
     * @param other called instead with the IP address of the leader if another store leads; empty if none is known
     */
    public void read(
            boolean insist,
            double nowMs,
            double deadlineMs,
            Consumer<Collection<Item>> callback,
            Consumer<String> other) {
        String leader = otherLeader(insist, nowMs);
        if (leader != null) {
            other.accept(leader);
            return;
        }
        leadership.enqueueConfirmation(
                () -> callback.accept(new ArrayList<>(view.items().all())), () -> callback.accept(null), deadlineMs);
        advance(nowMs);
    }

    /**
     * The IP address of the leader if that is another store; empty if none is known; null if this store leads or tries
     * to.
     */
    private String otherLeader(boolean insist, double nowMs) {
        if (!leadership.isFollowing()) {
            return null;
        }
        AgreementMessage.Status leader = leader(insist ? LEADER_INSIST_FRESH_MS : LEADER_FRESH_MS, nowMs);
        if (!isVoter() || leaving) {
            return leader == null ? "" : leader.from().address();
        }
        if (leader != null) {
            return leader.from().address();
        }
        if (nowMs - candidateAtMs < CANDIDATE_HOLD_OFF_MS) {
            return candidateAddress;
        }
        if (!isMajorityReachable(nowMs)) {
            return "";
        }
        leadership.startElection(nowMs);
        return null;
    }

    /**
     * Whether recent statuses were received from a majority of the voters. A store that was partitioned or frozen thus
     * first learns the current voters, and does not outbid their leader.
     */
    private boolean isMajorityReachable(double nowMs) {
        return voters().hasQuorum(
                        voter -> voter.equals(self) || peers.recentStatus(voter, Peers.FRESH_MS, nowMs) != null);
    }

    private AgreementMessage.Status leader(double freshMs, double nowMs) {
        AgreementMessage.Status best = null;
        for (AgreementMessage.Status status : peers.recentStatuses(freshMs, nowMs)) {
            if (status.leading() && (best == null || status.promised().compareTo(best.promised()) > 0)) {
                best = status;
            }
        }
        return best;
    }

    /** Handles a message from another store. */
    public void receive(AgreementMessage message, double nowMs) {
        if (message.from().equals(self)) {
            return;
        }
        if (message instanceof AgreementMessage.Status status) {
            receiveStatus(status, nowMs);
        } else if (message instanceof AgreementMessage.ToAcceptor request) {
            handleAcceptorMessage(request, nowMs);
        } else if (message instanceof AgreementMessage.ToProposer answer) {
            handleProposerMessage(answer, nowMs);
        } else if (message instanceof AgreementMessage.Transfer transfer) {
            handleTransferMessage(transfer, nowMs);
        }
        leadership.stepDownIfOutbid();
        advance(nowMs);
    }

    private void receiveStatus(AgreementMessage.Status status, double nowMs) {
        peers.record(status, nowMs);
        leadership.observeRound(status.promised().round());
        if (status.leading()) {
            leaderSeenAtMs = nowMs;
        }
        view.decide(status.decided());
        stalledDisks.record(status.from(), status.accepted(), view.decided(), nowMs);
        decideIfMajorityAccepted(nowMs);
        bootstrapIfFoundersAreEmpty(nowMs);
    }

    /**
     * Decides a state that a majority is known to have accepted. After a restart of all stores no store knows which
     * states were decided.
     */
    private void decideIfMajorityAccepted(double nowMs) {
        StateId own = acceptor.durable();
        if (own.revision() < 1
                || own.compareTo(view.decided()) <= 0
                || !own.equals(acceptor.state().id())) {
            return;
        }
        boolean decided = voters().hasQuorum(voter -> {
            AgreementMessage.Status status = peers.recentStatus(voter, Peers.GONE_MS, nowMs);
            return voter.equals(self) || status != null && status.accepted().equals(own);
        });
        if (decided && isVoter()) {
            view.decide(own);
        }
    }

    /**
     * Makes the founders the first voters, once all of them have reported that they hold no decided state. The founders
     * are the seeds of the first start of the whole system, whatever the settings name later: other stores, or this one
     * alone, may have lost what was decided. Each store has its disk's identifier on disk before it reports anything,
     * so a crash at any moment leaves either an empty disk or one that can continue.
     */
    private void bootstrapIfFoundersAreEmpty(double nowMs) {
        List<String> founderAddresses = settings.founders();
        if (acceptor.state().id().revision() > 0 || !founderAddresses.contains(self.address())) {
            return;
        }
        List<Voter> founders = new ArrayList<>();
        founders.add(self);
        for (AgreementMessage.Status status : peers.recentStatuses(Peers.GONE_MS, nowMs)) {
            if (status.accepted().revision() > 0 || status.voters().epoch() > 1) {
                return;
            }
            if (founderAddresses.contains(status.from().address())) {
                founders.add(status.from());
            }
        }
        if (founders.size() < founderAddresses.size()) {
            return;
        }
        founders.sort(null);
        VoterSet first = new VoterSet(1, founders, List.of());
        if (!first.equals(voters())) {
            StateId stateId = new StateId(new Ballot(0, founders.toString()), 0);
            acceptor.bootstrap(stateId, first, () -> {});
            view.reset(acceptor.state());
            sendStatus(nowMs);
        }
    }

    private void handleAcceptorMessage(AgreementMessage.ToAcceptor message, double nowMs) {
        String address = message.from().address();
        if (message instanceof AgreementMessage.Prepare prepare) {
            leadership.observeRound(prepare.ballot().round());
            StateId accepted = acceptor.state().id();
            VoterSet voters = acceptor.state().voters();
            AgreementMessage.Promise promise = new AgreementMessage.Promise(self, prepare.ballot(), accepted, voters);
            if (acceptor.promise(prepare.ballot(), () -> environment.send(address, promise))) {
                candidateAddress = address;
                candidateAtMs = nowMs;
                leaderSeenAtMs = nowMs;
            } else {
                refuse(address, prepare.ballot());
            }
        } else if (message instanceof AgreementMessage.Accept accept) {
            accept(accept, nowMs);
        } else if (message instanceof AgreementMessage.Confirm confirm) {
            if (acceptor.promised().compareTo(confirm.ballot()) > 0) {
                refuse(address, confirm.ballot());
            } else {
                environment.send(address, new AgreementMessage.Confirmed(self, confirm.ballot(), confirm.number()));
            }
        }
    }

    private void refuse(String address, Ballot request) {
        environment.send(address, new AgreementMessage.Refused(self, request, acceptor.promised()));
    }

    private void accept(AgreementMessage.Accept accept, double nowMs) {
        StateDelta delta = accept.delta();
        leadership.observeRound(delta.stateId().ballot().round());
        StateId before = acceptor.state().id();
        Acceptor.Outcome outcome = acceptor.accept(delta, acceptedReply(accept.from(), delta.stateId()));
        switch (outcome) {
            case REFUSED -> refuse(accept.from().address(), delta.stateId().ballot());
            case BEHIND -> pullFrom(accept.from(), nowMs);
            case ACCEPTED -> {
                if (!before.equals(acceptor.state().id())) {
                    view.addAccepted(delta);
                    view.decide(view.newestKnownDecided());
                }
            }
        }
    }

    private Runnable acceptedReply(Voter leader, StateId stateId) {
        return () -> environment.send(leader.address(), new AgreementMessage.Accepted(self, stateId));
    }

    private void pullFrom(Voter store, double nowMs) {
        if (!pull.isActive()) {
            pull.begin(store, acceptor.state().id(), nowMs);
        }
    }

    private void handleProposerMessage(AgreementMessage.ToProposer message, double nowMs) {
        if (message instanceof AgreementMessage.Promise promise) {
            leadership.onPromise(promise, nowMs);
        } else if (message instanceof AgreementMessage.Accepted accepted) {
            leadership.onAccepted(accepted, nowMs);
        } else if (message instanceof AgreementMessage.Confirmed confirmed) {
            leadership.onConfirmed(confirmed, nowMs);
        } else if (message instanceof AgreementMessage.Refused refused) {
            leadership.onRefused(refused);
        }
    }

    private void handleTransferMessage(AgreementMessage.Transfer message, double nowMs) {
        if (message instanceof AgreementMessage.Pull request) {
            environment.send(request.from().address(), source.answer(request, nowMs));
        } else if (message instanceof AgreementMessage.Difference difference) {
            pull.receive(difference).ifPresent(pulled -> applyPulled(pulled));
            leadership.fetch().receive(difference).ifPresent(pulled -> leadership.onFetched(pulled, nowMs));
        } else if (message instanceof AgreementMessage.Page page) {
            pull.receive(page, nowMs).ifPresent(pulled -> applyPulled(pulled));
            leadership.fetch().receive(page, nowMs).ifPresent(pulled -> leadership.onFetched(pulled, nowMs));
        }
    }

    /**
     * Takes over the state of another store, as far as it is decided or under a ballot not lower than the promised one.
     */
    private void applyPulled(PulledState pulled) {
        behindSinceMs = Double.NaN;
        if (pulled.snapshot() != null) {
            StateId stateId = pulled.snapshot().id();
            boolean decided = stateId.isAtOrBefore(pulled.decided());
            if (acceptor.install(pulled.snapshot(), decided, acceptedReply(pulled.source(), stateId))) {
                view.reset(pulled.snapshot());
            }
        }
        int decidedCount = 0;
        for (int i = 0; i < pulled.deltas().size(); i++) {
            decidedCount = pulled.deltas().get(i).stateId().isAtOrBefore(pulled.decided()) ? i + 1 : decidedCount;
        }
        for (int i = 0; i < pulled.deltas().size(); i++) {
            StateDelta delta = pulled.deltas().get(i);
            if (acceptor.applyDelta(delta, i < decidedCount, acceptedReply(pulled.source(), delta.stateId()))) {
                view.addAccepted(delta);
            }
        }
        view.decide(pulled.decided());
        view.decide(view.newestKnownDecided());
    }

    /** Handles timeouts and periodic work; to be called every {@link #TICK_MS}. */
    public void tick(double nowMs) {
        peers.tick(nowMs);
        stalledDisks.record(self, acceptor.durable(), view.decided(), nowMs);
        source.tick(nowMs);
        pull.tick(nowMs);
        leadership.tick(nowMs);
        bootstrapIfFoundersAreEmpty(nowMs);
        pullIfBehind(nowMs);
        startElectionIfLeaderless(nowMs);
        planVoters(nowMs);
        advance(nowMs);
        if (nowMs - statusAtMs >= STATUS_INTERVAL_MS) {
            sendStatus(nowMs);
        }
    }

    private void pullIfBehind(double nowMs) {
        if (view.newestKnownDecided().compareTo(acceptor.state().id()) <= 0) {
            behindSinceMs = Double.NaN;
            return;
        }
        if (Double.isNaN(behindSinceMs)) {
            behindSinceMs = nowMs;
        } else if (nowMs - behindSinceMs > PULL_DELAY_MS && !pull.isActive()) {
            for (AgreementMessage.Status status : peers.recentStatuses(Peers.FRESH_MS, nowMs)) {
                if (status.decided().compareTo(acceptor.state().id()) > 0) {
                    pullFrom(status.from(), nowMs);
                    return;
                }
            }
        }
    }

    private void startElectionIfLeaderless(double nowMs) {
        int rank = voters().members().indexOf(self);
        if (rank < 0 || leaving || !leadership.isFollowing()) {
            return;
        }
        double timeoutMs = ELECTION_TIMEOUT_MS + rank * ELECTION_STAGGER_MS + electionJitterMs;
        boolean first = acceptor.state().id().revision() == 0 && rank == 0;
        if ((first || nowMs - leaderSeenAtMs > timeoutMs) && isMajorityReachable(nowMs)) {
            leaderSeenAtMs = nowMs;
            electionJitterMs = environment.random() * ELECTION_STAGGER_MS;
            leadership.startElection(nowMs);
        }
    }

    /**
     * As the leader, plans a change of the voters: first to a joint set, and once its added voters have caught up, to
     * the new voters alone.
     */
    private void planVoters(double nowMs) {
        nextVoters = null;
        if (!leadership.isLeading() || nowMs - votersChangedAtMs < VOTER_CHANGE_INTERVAL_MS) {
            return;
        }
        VoterSet current = voters();
        if (current.epoch() != changeEpoch) {
            changeEpoch = current.epoch();
            changeStateId = acceptor.state().id();
        }
        Optional<List<Voter>> next = voterPlanner.nextVoters(current, status(nowMs), nowMs);
        if (next.isPresent()) {
            nextVoters = current.changedTo(next.get());
        } else if (current.isJoint() && current.addedVoters().stream().allMatch(voter -> isCaughtUp(voter, nowMs))) {
            nextVoters = current.completed();
        }
    }

    /**
     * Proposes pending work. A change of the voters goes first, since a steady load of changes would delay it forever.
     */
    private void proposePending(double nowMs) {
        if (nextVoters != null && leadership.isIdle() && nextVoters.epoch() == voters().epoch() + 1) {
            VoterSet proposed = nextVoters;
            nextVoters = null;
            votersChangedAtMs = nowMs;
            leadership.proposeVoters(proposed, nowMs);
        }
        leadership.proposePending(nowMs);
    }

    private boolean isCaughtUp(Voter added, double nowMs) {
        long epoch = voters().epoch();
        if (added.equals(self)) {
            return completeEpoch >= epoch;
        }
        AgreementMessage.Status status = peers.recentStatus(added, Peers.FRESH_MS, nowMs);
        return status != null
                && status.completeEpoch() >= epoch
                && status.accepted().compareTo(changeStateId) >= 0;
    }

    /** Proposes pending work, and announces newly decided states to the other stores at once. */
    private void advance(double nowMs) {
        proposePending(nowMs);
        if (leadership.isLeading() && !view.decided().equals(lastAnnounced)) {
            lastAnnounced = view.decided();
            sendStatus(nowMs);
            proposePending(nowMs);
        }
    }

    /** Continues after a disk write has completed. */
    public void onPersisted(double nowMs) {
        advance(nowMs);
    }

    private AgreementMessage.Status status(double nowMs) {
        return new AgreementMessage.Status(
                self,
                settings.zone(),
                settings.eligible(),
                leaving,
                leadership.isLeading(),
                acceptor.promised(),
                acceptor.durable(),
                view.decided(),
                acceptor.state().voters(),
                completeEpoch,
                peers.knownAddresses(nowMs));
    }

    /** The progress of this store, for logs. */
    public String describe() {
        return "leading=" + leadership.isLeading() + " following=" + leadership.isFollowing() + " accepted="
                + acceptor.state().id() + " decided=" + view.decided() + " promised=" + acceptor.promised()
                + " epoch=" + voters().epoch() + " complete_epoch=" + completeEpoch;
    }

    /** Sends this store's status to another store that has become reachable. */
    public void onConnected(String address, double nowMs) {
        environment.send(address, status(nowMs));
    }

    /** Sends this store's status to all known stores. */
    public void sendStatus(double nowMs) {
        statusAtMs = nowMs;
        AgreementMessage.Status status = status(nowMs);
        for (String address : peers.statusRecipients(acceptor.state().voters(), view.voters())) {
            environment.send(address, status);
        }
    }
}
