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
    private final Backend.Listener<Content> listener;
    private final NodeConnectionPool pool;
    Channel channel;
    Future<?> timeout;
    boolean written;
    private boolean ended;
    private boolean detached;
    private boolean streaming;
    private Future<?> detachedTimeout;
    /** How long its connection had been idle, 0 for a new one; and whether bytes of an answer have come. */
    double connectionIdleMs;
    private boolean responseStarted;

    NodeExchange(NodeConnectionPool pool, Attempt<Content> attempt, Backend.Listener<Content> done) {
        this.pool = pool;
        this.attempt = attempt;
        this.listener = done;
    }

    /** The attempt to write; null for a probe. */
    public Attempt<Content> attempt() {
        return attempt;
    }

    /** Whether it has its outcome. */
    public boolean isEnded() {
        return ended;
    }

    /** Whether its last byte is written, from when on the node may run it. */
    public boolean isWritten() {
        return written;
    }

    void markWritten() {
        written = true;
        if (attempt != null) {
            attempt.written();
        }
    }

    /** Whether its connection had carried none before it. */
    boolean isOnNewConnection() {
        return connectionIdleMs <= 0;
    }

    /** The first bytes of an answer have come: a break from here on is not one of an old connection. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /** A connection was opened for it, which took so long; whether it may still be written there. */
    boolean connected(double ms) {
        if (attempt == null) {
            return true;
        }
        attempt.connected(ms);
        return attempt.mayBeWritten();
    }

    /**
     * A good answer has begun that goes on by parts: its time was the time to here. Returns whether anybody takes it.
     */
    public boolean startStreaming(NodeResponse<Content> answer) {
        if (ended || attempt == null || !attempt.supportsStreaming()) {
            return false;
        }
        timeout.cancel(false);
        streaming = true;
        return listener.responseStarted(answer);
    }

    /** Whether nobody waits for it any more, but its connection waits for its answer. */
    public boolean isDetached() {
        return detached;
    }

    /** Its answer may still come, and is dropped then; where it does not come in its time the connection goes. */
    @Override
    public void detach() {
        double leftMs = attempt == null ? 0 : attempt.remainingMs();
        if (ended || streaming || !written || channel == null || leftMs <= 0) {
            cancel();
            return;
        }
        detached = true;
        Channel waits = channel;
        detachedTimeout = waits.eventLoop().schedule(() -> {
            waits.close();
        }, (long) (leftMs * 1e6), TimeUnit.NANOSECONDS);
        end(Outcome.CANCELLED, null);
    }

    /** The answer that it was left for has come, or its connection has ended. */
    void cancelDetachedTimeout() {
        if (detachedTimeout != null) {
            detachedTimeout.cancel(false);
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

    void connectionLost() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    private void abandon(Outcome outcome) {
        if (!ended) {
            end(outcome, null);
            if (channel != null) {
                channel.close();
            }
        }
    }

    void end(Outcome outcome, NodeResponse<Content> answer) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            pool.recordUse(connectionIdleMs, outcome, responseStarted);
            listener.ended(outcome, answer);
        }
    }
}
