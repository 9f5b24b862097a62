package ridgemill.cdn.proxy.control;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.keys.ClaimTally;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;

/**
 * Claims keyed operations at the voting stores. A claim is granted by a quorum of stores, each of which has written it
 * to disk. A claim that fails is released at every store, so that it cannot be granted later.
 */
public final class QuorumRegister implements OperationRegister {

    /** Timeout of one round of voting, in milliseconds. */
    private static final long VOTE_TIMEOUT_MS = 900;
    /** Timeout of a call that records or releases, in milliseconds. */
    private static final long WRITE_TIMEOUT_MS = 3_000;
    /** Interval at which a record is sent again until all stores have it, in milliseconds. */
    private static final long RECORD_RETRY_MS = 700;
    /** Maximum number of times a record is sent while no quorum has it. */
    private static final int MAX_ROUNDS = 25;

    /** Maximum number of times a record is sent once a quorum has it. */
    private static final int MAX_ROUNDS_WITH_QUORUM = 4;
    /** Pause after a split vote, in milliseconds; a random time of up to the same length is added. */
    private static final long SPLIT_VOTE_PAUSE_MS = 20;

    private static final System.Logger LOG = System.getLogger(QuorumRegister.class.getName());

    private final ControlClient control;
    private final EventLoop loop;
    private final Clock clock;
    private final String incarnationId = UUID.randomUUID().toString();
    private long nextClaim = 1;

    /** Creates a register that uses the stores known to the client. */
    public QuorumRegister(ControlClient control, EventLoop loop, Clock clock) {
        this.control = control;
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
        VoterSet voters = control.voters();
        if (!voters.isKnown()) {
            callback.accept(new ClaimOutcome.Unavailable());
            return;
        }
        new ClaimRound(key, deadlineMs, voters, callback).start();
    }

    @Override
    public void finish(Claim claim, RecordedResponse response) {
        byte[] encoded;
        try {
            encoded = RecordedResponseCodec.encode(response);
        } catch (IOException impossible) {
            LOG.log(System.Logger.Level.ERROR, "event=answer_not_recorded key=" + claim.key());
            return;
        }
        new Recording(claim, encoded).send();
    }

    /**
     * Records a response, with retries until a quorum of the voters, and as far as possible all of them, has it on
     * disk.
     */
    private final class Recording {

        private final Claim claim;
        private final byte[] encoded;
        private final Set<Voter> recordedAt = new HashSet<>();
        private int rounds;

        Recording(Claim claim, byte[] encoded) {
            this.claim = claim;
            this.encoded = encoded;
        }

        void send() {
            rounds++;
            for (StoreFeed feed : control.voterFeeds()) {
                if (feed.store() == null || !recordedAt.contains(feed.store())) {
                    feed.call(
                            callId -> new StoreMessages.FinishKey(callId, claim.key(), claim.claimId(), encoded),
                            WRITE_TIMEOUT_MS,
                            this::writeEnded);
                }
            }
            loop.schedule(this::sendAgain, RECORD_RETRY_MS, TimeUnit.MILLISECONDS);
        }

        private void writeEnded(Either<CallFailure, Message.Reply> result) {
            if (result.isRight() && result.get() instanceof StoreMessages.WriteResult written && written.durable()) {
                recordedAt.add(written.store());
            }
        }

        private void sendAgain() {
            boolean onAllStores = control.voters().members().stream().allMatch(recordedAt::contains);
            boolean onQuorum = control.voters().hasQuorum(recordedAt::contains);
            if (!onAllStores && rounds < (onQuorum ? MAX_ROUNDS_WITH_QUORUM : MAX_ROUNDS)) {
                send();
            }
        }
    }

    @Override
    public void release(Claim claim) {
        for (StoreFeed voter : control.voterFeeds()) {
            voter.call(
                    callId -> new StoreMessages.ReleaseKey(callId, claim.key(), claim.claimId()),
                    WRITE_TIMEOUT_MS,
                    ignored -> {});
        }
    }

    /** One round of voting on one claim. */
    private final class ClaimRound {

        private final String key;
        private final double deadlineMs;
        private final VoterSet voters;
        private final Consumer<ClaimOutcome> callback;
        private final Claim claim;
        private final ClaimTally tally;
        private boolean decided;

        ClaimRound(String key, double deadlineMs, VoterSet voters, Consumer<ClaimOutcome> callback) {
            this.key = key;
            this.deadlineMs = deadlineMs;
            this.voters = voters;
            this.callback = callback;
            this.claim = new Claim(key, incarnationId + "-" + nextClaim++);
            this.tally = new ClaimTally(claim.claimId(), voters);
        }

        void start() {
            long timeoutMs = (long) Math.min(VOTE_TIMEOUT_MS, Math.max(1, deadlineMs - clock.now()));
            for (Voter voter : voters.members()) {
                StoreFeed feed = control.feedOf(voter);
                if (feed == null) {
                    tally.countUnavailable(voter);
                } else {
                    feed.call(
                            callId -> new StoreMessages.ClaimKey(callId, voters.epoch(), key, claim.claimId()),
                            timeoutMs,
                            result -> voteEnded(voter, result));
                }
            }
            if (!decided) {
                decide();
            }
        }

        private void voteEnded(Voter voter, Either<CallFailure, Message.Reply> result) {
            if (result.isRight() && result.get() instanceof StoreMessages.KeyStatus status) {
                countVote(voter, status);
            } else {
                tally.countUnavailable(voter);
            }
            if (!decided) {
                decide();
            }
        }

        private void countVote(Voter voter, StoreMessages.KeyStatus status) {
            switch (status.availability()) {
                case VOTES -> tally.countVote(voter, status.state(), status.claimId(), status.answer());
                case OTHER_EPOCH -> tally.countEpochMismatch(voter);
                case UNAVAILABLE -> tally.countUnavailable(voter);
            }
        }

        private void decide() {
            ClaimTally.Result result = tally.result();
            if (result == ClaimTally.Result.OPEN) {
                return;
            }
            decided = true;
            switch (result) {
                case GRANTED -> callback.accept(new ClaimOutcome.Granted(claim));
                case FINISHED -> {
                    release(claim);
                    callback.accept(finishedOutcome());
                }
                case HELD_BY_OTHER -> {
                    release(claim);
                    callback.accept(new ClaimOutcome.Busy());
                }
                case SPLIT -> {
                    release(claim);
                    retry();
                }
                default -> {
                    release(claim);
                    callback.accept(new ClaimOutcome.Unavailable());
                }
            }
        }

        private ClaimOutcome finishedOutcome() {
            try {
                return new ClaimOutcome.Finished(RecordedResponseCodec.decode(tally.answer()));
            } catch (IOException unreadable) {
                LOG.log(System.Logger.Level.ERROR, "event=recorded_answer_unreadable key=" + key);
                return new ClaimOutcome.Busy();
            }
        }

        private void retry() {
            long pauseMs = SPLIT_VOTE_PAUSE_MS + ThreadLocalRandom.current().nextLong(SPLIT_VOTE_PAUSE_MS);
            if (clock.now() + pauseMs >= deadlineMs) {
                callback.accept(new ClaimOutcome.Busy());
            } else {
                loop.schedule(() -> claim(key, deadlineMs, callback), pauseMs, TimeUnit.MILLISECONDS);
            }
        }
    }
}
