package ridgemill.gateway.back;

import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import ridgemill.core.NodeResponse;
import ridgemill.core.Attempt;
import ridgemill.core.Backend;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.Outcome;

/** One attempt or probe that is sent to a node, and its single outcome. */
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
    /** How long its connection had been idle before it, in milliseconds; 0 for a new connection. */
    double connectionIdleMs;
    /** Whether bytes of a response have arrived. */
    private boolean responseStarted;

    NodeExchange(NodeConnectionPool pool, Attempt<Content> attempt, Backend.Listener<Content> listener) {
        this.pool = pool;
        this.attempt = attempt;
        this.listener = listener;
    }

    /** The attempt to write; null for a probe. */
    public Attempt<Content> attempt() {
        return attempt;
    }

    /** Whether the exchange has its outcome. */
    public boolean isEnded() {
        return ended;
    }

    /** Whether the last byte of the request has been written. From then on the node may execute it. */
    public boolean isWritten() {
        return written;
    }

    void markWritten() {
        written = true;
        if (attempt != null) {
            attempt.written();
        }
    }

    /** Whether this is the first exchange on its connection. */
    boolean isOnNewConnection() {
        return connectionIdleMs <= 0;
    }

    /** Records that the first bytes of a response have arrived: a later break is not due to a stale connection. */
    public void markResponseStarted() {
        responseStarted = true;
    }

    /**
     * A connection was opened for this exchange.
     *
     * @param connectMs how long connecting took, in milliseconds
     * @return whether the request may still be written
     */
    boolean connected(double connectMs) {
        if (attempt == null) {
            return true;
        }
        attempt.connected(connectMs);
        return attempt.mayBeWritten();
    }

    /**
     * Passes on a successful response whose body follows in parts. The timeout of the exchange covers the time until
     * here only and is cancelled. Returns whether the listener accepts the response.
     */
    public boolean startStreaming(NodeResponse<Content> response) {
        if (ended || attempt == null || !attempt.supportsStreaming()) {
            return false;
        }
        timeout.cancel(false);
        streaming = true;
        return listener.responseStarted(response);
    }

    /** Whether the caller no longer waits for the response while the connection still does. */
    public boolean isDetached() {
        return detached;
    }

    /**
     * Ends the exchange as cancelled but keeps its connection open for the response, which is dropped. If the response
     * does not arrive in the remaining time of the attempt, the connection is closed. An exchange that is streaming or
     * not fully written, and a probe, are cancelled instead.
     */
    @Override
    public void detach() {
        double remainingMs = attempt == null ? 0 : attempt.remainingMs();
        if (ended || streaming || !written || channel == null || remainingMs <= 0) {
            cancel();
            return;
        }
        detached = true;
        Channel waitingChannel = channel;
        detachedTimeout = waitingChannel.eventLoop().schedule(() -> {
            waitingChannel.close();
        }, (long) (remainingMs * 1e6), TimeUnit.NANOSECONDS);
        end(Outcome.CANCELLED, null);
    }

    /** The response of a detached exchange has arrived, or its connection has closed. */
    void cancelDetachedTimeout() {
        if (detachedTimeout != null) {
            detachedTimeout.cancel(false);
        }
    }

    /** Cancels the exchange and closes its connection: a late response would be taken for that of the next request. */
    @Override
    public void cancel() {
        abandon(Outcome.CANCELLED);
    }

    void timedOut() {
        // The node cannot have started it before the last byte was written.
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

    void end(Outcome outcome, NodeResponse<Content> response) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            pool.recordUse(connectionIdleMs, outcome, responseStarted);
            listener.ended(outcome, response);
        }
    }
}
