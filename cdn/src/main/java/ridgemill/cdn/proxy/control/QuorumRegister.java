package ridgemill.cdn.proxy.control;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.keys.ClaimVote;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;

/**
 * Claims keyed operations at the voting stores. A claim is granted by a majority, each of which has it on disk; one that
 * fails is given back at every store, so that it can't be granted later by mistake.
 */
public final class QuorumRegister implements OperationRegister {

    /** How long one round of voting may take, in milliseconds. */
    private static final long VOTE_TIMEOUT_MS = 900;
    /** How long a record or a release waits for its confirmation, in milliseconds. */
    private static final long WRITE_TIMEOUT_MS = 3_000;
    /** Pause after a split vote, with as much again at random, in milliseconds. */
    private static final long SPLIT_PAUSE_MS = 20;

    private static final System.Logger LOG = System.getLogger(QuorumRegister.class.getName());

    private final ControlClient control;
    private final EventLoop loop;
    private final Clock clock;
    private final String lifeId = UUID.randomUUID().toString();
    private long nextClaim = 1;

    /** A register that asks the stores which the client knows. */
    public QuorumRegister(ControlClient control, EventLoop loop, Clock clock) {
        this.control = control;
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
        List<StoreFeed> voters = control.voters();
        if (voters.isEmpty()) {
            callback.accept(new ClaimOutcome.Unavailable());
            return;
        }
        new Round(key, deadlineMs, voters, callback).begin();
    }

    @Override
    public void finish(Claim claim, RecordedAnswer answer) {
        byte[] encoded;
        try {
            encoded = RecordedAnswerCodec.encode(answer);
        } catch (IOException impossible) {
            LOG.log(System.Logger.Level.ERROR, "event=answer_not_recorded key=" + claim.key());
            return;
        }
        for (StoreFeed voter : control.voters()) {
            voter.call(
                    callId -> new StoreMessages.FinishKey(callId, claim.key(), claim.claimId(), encoded),
                    WRITE_TIMEOUT_MS,
                    ignored -> {});
        }
    }

    @Override
    public void release(Claim claim) {
        for (StoreFeed voter : control.voters()) {
            voter.call(
                    callId -> new StoreMessages.ReleaseKey(callId, claim.key(), claim.claimId()),
                    WRITE_TIMEOUT_MS,
                    ignored -> {});
        }
    }

    /** One vote on one claim. */
    private final class Round {

        private final String key;
        private final double deadlineMs;
        private final List<StoreFeed> voters;
        private final Consumer<ClaimOutcome> callback;
        private final Claim claim;
        private final ClaimVote vote;
        private boolean decided;

        Round(String key, double deadlineMs, List<StoreFeed> voters, Consumer<ClaimOutcome> callback) {
            this.key = key;
            this.deadlineMs = deadlineMs;
            this.voters = voters;
            this.callback = callback;
            this.claim = new Claim(key, lifeId + "-" + nextClaim++);
            this.vote = new ClaimVote(claim.claimId(), voters.size());
        }

        void begin() {
            long timeoutMs = (long) Math.min(VOTE_TIMEOUT_MS, Math.max(1, deadlineMs - clock.now()));
            for (StoreFeed voter : voters) {
                voter.call(
                        callId -> new StoreMessages.ClaimKey(callId, key, claim.claimId()),
                        timeoutMs,
                        result -> counted(voter, result));
            }
        }

        private void counted(StoreFeed voter, Either<CallFailure, Message.Reply> result) {
            boolean voted =
                    result.isRight() && result.get() instanceof StoreMessages.KeyStatus status && status.available();
            if (voted) {
                StoreMessages.KeyStatus status = (StoreMessages.KeyStatus) result.get();
                vote.vote(voter.host(), status.state(), status.claimId(), status.answer());
            } else {
                vote.unavailable();
            }
            if (!decided) {
                decide();
            }
        }

        private void decide() {
            ClaimVote.Result result = vote.result();
            if (result == ClaimVote.Result.OPEN) {
                return;
            }
            decided = true;
            switch (result) {
                case GRANTED -> callback.accept(new ClaimOutcome.Granted(claim));
                case FINISHED -> {
                    release(claim);
                    callback.accept(finished());
                }
                case HELD_BY_OTHER -> {
                    release(claim);
                    callback.accept(new ClaimOutcome.Busy());
                }
                case SPLIT -> {
                    release(claim);
                    claimAgain();
                }
                default -> {
                    release(claim);
                    callback.accept(new ClaimOutcome.Unavailable());
                }
            }
        }

        private ClaimOutcome finished() {
            try {
                return new ClaimOutcome.Finished(RecordedAnswerCodec.decode(vote.answer()));
            } catch (IOException unreadable) {
                LOG.log(System.Logger.Level.ERROR, "event=recorded_answer_unreadable key=" + key);
                return new ClaimOutcome.Busy();
            }
        }

        private void claimAgain() {
            long pauseMs = SPLIT_PAUSE_MS + ThreadLocalRandom.current().nextLong(SPLIT_PAUSE_MS);
            if (clock.now() + pauseMs >= deadlineMs) {
                callback.accept(new ClaimOutcome.Busy());
            } else {
                loop.schedule(() -> claim(key, deadlineMs, callback), pauseMs, TimeUnit.MILLISECONDS);
            }
        }
    }
}
