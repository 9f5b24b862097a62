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
 * One store's part in the agreement on the control state. Single-threaded: messages, the passing of time and the disk's
 * answers are passed in. Times are milliseconds of a clock that never steps back.
 */
public final class AgreementNode {

    /** How often {@link #tick} is to be called, in milliseconds. */
    public static final long TICK_MS = 100;

    private static final double STATUS_INTERVAL_MS = 400;
    /** After so long without a leader a voter tries to lead: the first one in order first, in milliseconds. */
    private static final double ELECTION_TIMEOUT_MS = 1_000;

    private static final double ELECTION_STAGGER_MS = 200;
    /** A store that was promised a ballot within this time is not outbid, in milliseconds. */
    private static final double CANDIDATE_HOLD_OFF_MS = 400;
    /** A leader that was heard within this time is the one to ask, in milliseconds. */
    private static final double LEADER_FRESH_MS = 1_000;
    /** A leader that was heard within this time keeps leading although somebody could not reach it, in milliseconds. */
    private static final double LEADER_INSIST_FRESH_MS = 600;
    /** How long a pull of a newer state waits for the usual messages to bring it, in milliseconds. */
    private static final double PULL_DELAY_MS = 250;
    /** How long a change of the voters keeps off the next one, in milliseconds. */
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
    private double leaderHeardAtMs;
    private double behindSinceMs = Double.NaN;
    private double votersChangedAtMs = Double.NEGATIVE_INFINITY;
    private double electionJitterMs;
    /** A state of the present epoch, which newcomers have to hold; newer ones come all the time. */
    private StateId changeStateId = StateId.NONE;

    private long changeEpoch;
    /** The change of the voters that is to be proposed next; null if there is none. */
    private VoterSet nextVoters;
    /** The store that was promised a ballot last, and when. */
    private String candidateAddress = "";

    private double candidateAtMs = Double.NEGATIVE_INFINITY;
    private StateId lastAnnounced = StateId.NONE;

    /** A node that begins with {@link #start}. */
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

    /** Begins with what the disk held. */
    public void start(AcceptorRecord record, double nowMs) {
        acceptor.restore(record);
        if (!record.accepted().equals(StateId.NONE)) {
            view.reset(acceptor.state());
        }
        leadership.observeRound(record.promised().round());
        peers.start(nowMs);
        leaderHeardAtMs = nowMs;
        electionJitterMs = environment.random() * ELECTION_STAGGER_MS;
        sendStatus(nowMs);
    }

    /** The voters of the newest accepted state, decided or not: their epoch is the one that counts for keys and purges. */
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

    /** All that this store has promised and accepted, to be written to a disk that is begun anew. */
    public AcceptorRecord record() {
        return acceptor.record();
    }

    /** Whether this store votes. */
    public boolean isVoter() {
        return voters().contains(self);
    }

    /** Whether this store leads at present. */
    public boolean isLeading() {
        return leadership.isLeading();
    }

    /** Whether this store may vote on operation keys: as a newcomer only once it holds all of them. */
    public boolean canVoteOnKeys() {
        VoterSet voters = voters();
        boolean whole = !voters.addedVoters().contains(self) || completeEpoch >= voters.epoch();
        return voters.contains(self) && whole;
    }

    /**
     * The change of voters for which this store still has to fetch the operation keys, once that change is decided; null
     * if there is none.
     */
    public VoterSet voterChangeAwaitingKeys() {
        VoterSet voters = view.voters();
        boolean wanted = voters.addedVoters().contains(self) && completeEpoch < voters.epoch();
        return wanted && voters.equals(voters()) ? voters : null;
    }

    /** All operation keys of an epoch are on disk here. */
    public void onKeysComplete(long epoch, double nowMs) {
        completeEpoch = Math.max(completeEpoch, epoch);
        sendStatus(nowMs);
    }

    /** This store is about to end: another one is to vote in its place. */
    public void leave(double nowMs) {
        leaving = true;
        sendStatus(nowMs);
    }

    /** Whether this store may end without harm: it votes no more, or nobody could take its place. */
    public boolean canStop(double nowMs) {
        boolean out = !voters().contains(self) && !view.voters().contains(self);
        return out || !voterPlanner.hasCandidate(voters(), status(nowMs), nowMs);
    }

    /**
     * Decides an order, see {@link ChangeResult}. With {@code insist}, which says that the leader could not be reached, this
     * store tries to lead unless it has just heard that leader itself.
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

    /** Reads the newest decided items; the callback is told null if no majority confirms in time that they are. */
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

    /** The store to ask in this one's place, empty if none is known; null if this one leads or begins to. */
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
     * Whether a majority of the voters was heard lately. A store that was cut off, or frozen, hears first what has become
     * of the voters, and does not outbid the one that leads them.
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

    /** Takes a message. */
    public void receive(AgreementMessage message, double nowMs) {
        if (message.from().equals(self)) {
            return;
        }
        if (message instanceof AgreementMessage.Status status) {
            receiveStatus(status, nowMs);
        } else if (message instanceof AgreementMessage.ToAcceptor asked) {
            handleAcceptorMessage(asked, nowMs);
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
            leaderHeardAtMs = nowMs;
        }
        view.decide(status.decided());
        stalledDisks.record(status.from(), status.accepted(), view.decided(), nowMs);
        decideIfMajorityAccepted(nowMs);
        bootstrapIfSeedsAreEmpty(nowMs);
    }

    /** After a restart of all nobody knows what was decided: what a majority has accepted is. */
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
     * The first voters are the seeds, once all of them have said that nothing was ever decided there. Each has its disk's
     * name on disk before it says so; so a kill at any moment leaves either nothing or a state that goes on.
     */
    private void bootstrapIfSeedsAreEmpty(double nowMs) {
        if (acceptor.state().id().revision() > 0 || !peers.seeds().contains(self.address())) {
            return;
        }
        List<Voter> founders = new ArrayList<>();
        founders.add(self);
        for (AgreementMessage.Status status : peers.recentStatuses(Peers.GONE_MS, nowMs)) {
            if (status.accepted().revision() > 0 || status.voters().epoch() > 1) {
                return;
            }
            if (peers.seeds().contains(status.from().address())) {
                founders.add(status.from());
            }
        }
        if (founders.size() < peers.seeds().size()) {
            return;
        }
        founders.sort(null);
        VoterSet first = new VoterSet(1, founders, List.of());
        if (!first.equals(voters())) {
            StateId stamp = new StateId(new Ballot(0, founders.toString()), 0);
            acceptor.bootstrap(stamp, first, () -> {});
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
                leaderHeardAtMs = nowMs;
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

    private void refuse(String address, Ballot asked) {
        environment.send(address, new AgreementMessage.Refused(self, asked, acceptor.promised()));
    }

    private void accept(AgreementMessage.Accept accept, double nowMs) {
        StateDelta step = accept.step();
        leadership.observeRound(step.stateId().ballot().round());
        StateId before = acceptor.state().id();
        Acceptor.Outcome outcome = acceptor.accept(step, acceptedReply(accept.from(), step.stateId()));
        switch (outcome) {
            case REFUSED -> refuse(accept.from().address(), step.stateId().ballot());
            case BEHIND -> pullFrom(accept.from(), nowMs);
            case ACCEPTED -> {
                if (!before.equals(acceptor.state().id())) {
                    view.addAccepted(step);
                    view.decide(view.newestKnownDecided());
                }
            }
        }
    }

    private Runnable acceptedReply(Voter leader, StateId stamp) {
        return () -> environment.send(leader.address(), new AgreementMessage.Accepted(self, stamp));
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
        if (message instanceof AgreementMessage.Pull asked) {
            environment.send(asked.from().address(), source.answer(asked, nowMs));
        } else if (message instanceof AgreementMessage.Difference difference) {
            pull.receive(difference).ifPresent(pulled -> applyPulled(pulled));
            leadership.fetch().receive(difference).ifPresent(pulled -> leadership.onFetched(pulled, nowMs));
        } else if (message instanceof AgreementMessage.Page page) {
            pull.receive(page, nowMs).ifPresent(pulled -> applyPulled(pulled));
            leadership.fetch().receive(page, nowMs).ifPresent(pulled -> leadership.onFetched(pulled, nowMs));
        }
    }

    /** Takes over what another store holds, as far as it is decided or its ballot is the highest. */
    private void applyPulled(PulledState pulled) {
        behindSinceMs = Double.NaN;
        if (pulled.whole() != null) {
            StateId stamp = pulled.whole().id();
            boolean decided = stamp.isAtOrBefore(pulled.decided());
            if (acceptor.install(pulled.whole(), decided, acceptedReply(pulled.source(), stamp))) {
                view.reset(pulled.whole());
            }
        }
        int settled = 0;
        for (int i = 0; i < pulled.deltas().size(); i++) {
            settled = pulled.deltas().get(i).stateId().isAtOrBefore(pulled.decided()) ? i + 1 : settled;
        }
        for (int i = 0; i < pulled.deltas().size(); i++) {
            StateDelta step = pulled.deltas().get(i);
            if (acceptor.applyDelta(step, i < settled, acceptedReply(pulled.source(), step.stateId()))) {
                view.addAccepted(step);
            }
        }
        view.decide(pulled.decided());
        view.decide(view.newestKnownDecided());
    }

    /** Goes on as time passes; to be called every {@link #TICK_MS}. */
    public void tick(double nowMs) {
        peers.tick(nowMs);
        stalledDisks.record(self, acceptor.durable(), view.decided(), nowMs);
        source.tick(nowMs);
        pull.tick(nowMs);
        leadership.tick(nowMs);
        bootstrapIfSeedsAreEmpty(nowMs);
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
        double patienceMs = ELECTION_TIMEOUT_MS + rank * ELECTION_STAGGER_MS + electionJitterMs;
        boolean begins = acceptor.state().id().revision() == 0 && rank == 0;
        if ((begins || nowMs - leaderHeardAtMs > patienceMs) && isMajorityReachable(nowMs)) {
            leaderHeardAtMs = nowMs;
            electionJitterMs = environment.random() * ELECTION_STAGGER_MS;
            leadership.startElection(nowMs);
        }
    }

    /** The one that leads changes the voters: first a joint set, then, once its newcomers hold all, the new one alone. */
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

    /** Serves what waits; a change of the voters goes before orders, which would keep it off for ever. */
    private void proposePending(double nowMs) {
        if (nextVoters != null && leadership.isIdle() && nextVoters.epoch() == voters().epoch() + 1) {
            VoterSet wanted = nextVoters;
            nextVoters = null;
            votersChangedAtMs = nowMs;
            leadership.proposeVoters(wanted, nowMs);
        }
        leadership.proposePending(nowMs);
    }

    private boolean isCaughtUp(Voter newcomer, double nowMs) {
        long epoch = voters().epoch();
        if (newcomer.equals(self)) {
            return completeEpoch >= epoch;
        }
        AgreementMessage.Status status = peers.recentStatus(newcomer, Peers.FRESH_MS, nowMs);
        return status != null
                && status.completeEpoch() >= epoch
                && status.accepted().compareTo(changeStateId) >= 0;
    }

    /** Serves what waits, and tells the others at once of what was decided. */
    private void advance(double nowMs) {
        proposePending(nowMs);
        if (leadership.isLeading() && !view.decided().equals(lastAnnounced)) {
            lastAnnounced = view.decided();
            sendStatus(nowMs);
            proposePending(nowMs);
        }
    }

    /** Goes on after the disk has answered. */
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

    /** How far this store is, for logs. */
    public String describe() {
        return "leading=" + leadership.isLeading() + " following=" + leadership.isFollowing() + " accepted="
                + acceptor.state().id() + " decided=" + view.decided() + " promised=" + acceptor.promised()
                + " epoch=" + voters().epoch() + " complete_epoch=" + completeEpoch;
    }

    /** Tells a store how far this one is, as messages reach it from now on. */
    public void onConnected(String address, double nowMs) {
        environment.send(address, status(nowMs));
    }

    /** Tells all stores how far this one is. */
    public void sendStatus(double nowMs) {
        statusAtMs = nowMs;
        AgreementMessage.Status status = status(nowMs);
        for (String address : peers.statusRecipients(acceptor.state().voters(), view.voters())) {
            environment.send(address, status);
        }
    }
}
