package ridgemill.gateway.back;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import ridgemill.core.NodeResponse;
import ridgemill.core.Attempt;
import ridgemill.core.Backend;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.Outcome;

/** One attempt or probe on its way to a node, and its one outcome. */
public final class NodeExchange implements Backend.Exchange {

    private final Attempt<Content> attempt;
    private final Backend.Listener<Content> done;
    private final NodePool pool;
    Channel channel;
    Future<?> timer;
    boolean written;
    private boolean over;
    private boolean left;
    private boolean begun;
    private Future<?> timeUp;
    /** How long its connection had been idle, 0 for a new one; and whether bytes of an answer have come. */
    double idleMs;
    private boolean answering;

    NodeExchange(NodePool pool, Attempt<Content> attempt, Backend.Listener<Content> done) {
        this.pool = pool;
        this.attempt = attempt;
        this.done = done;
    }

    /** The attempt to write; null for a probe. */
    public Attempt<Content> attempt() {
        return attempt;
    }

    /** Whether it has its outcome. */
    public boolean isOver() {
        return over;
    }

    /** Whether its last byte is written, from when on the node may run it. */
    public boolean isWritten() {
        return written;
    }

    void wrote() {
        written = true;
        if (attempt != null) {
            attempt.written();
        }
    }

    /** Whether its connection had carried none before it. */
    boolean isFirst() {
        return idleMs <= 0;
    }

    /** The first bytes of an answer have come: a break from here on is not one of an old connection. */
    public void answering() {
        answering = true;
    }

    /** A connection was opened for it, which took so long; whether it may still be written there. */
    boolean reached(double ms) {
        if (attempt == null) {
            return true;
        }
        attempt.connected(ms);
        return attempt.mayBeWritten();
    }

    /**
     * A good answer has begun that goes on by parts: its time was the time to here. Returns whether anybody takes it.
     */
    public boolean begin(NodeResponse<Content> answer) {
        if (over || attempt == null || !attempt.supportsStreaming()) {
            return false;
        }
        timer.cancel(false);
        begun = true;
        return done.responseStarted(answer);
    }

    /** Whether nobody waits for it any more, but its connection waits for its answer. */
    public boolean isLeft() {
        return left;
    }

    /** Its answer may still come, and is dropped then; where it does not come in its time the connection goes. */
    @Override
    public void detach() {
        double leftMs = attempt == null ? 0 : attempt.remainingMs();
        if (over || begun || !written || channel == null || leftMs <= 0) {
            cancel();
            return;
        }
        left = true;
        Channel waits = channel;
        timeUp = waits.eventLoop().schedule(() -> {
            waits.close();
        }, (long) (leftMs * 1e6), TimeUnit.NANOSECONDS);
        end(Outcome.CANCELLED, null);
    }

    /** The answer that it was left for has come, or its connection has ended. */
    void leftEnded() {
        if (timeUp != null) {
            timeUp.cancel(false);
        }
    }

    /** Gives it up. The connection goes too: its answer may still come and would be taken for another's. */
    @Override
    public void cancel() {
        abandon(Outcome.CANCELLED);
    }

    void timedOut() {
        // Before its last byte was written the node cannot have begun it.
        abandon(written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    void broken() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    private void abandon(Outcome outcome) {
        if (!over) {
            end(outcome, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    void end(Outcome outcome, NodeResponse<Content> answer) {
        if (!over) {
            over = true;
            timer.cancel(false);
            pool.used(idleMs, outcome, answering);
            done.ended(outcome, answer);
        }
    }
}
