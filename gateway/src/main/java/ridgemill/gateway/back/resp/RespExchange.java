package ridgemill.gateway.back.resp;

import io.netty.util.concurrent.Future;
import ridgemill.core.NodeResponse;
import ridgemill.core.Attempt;
import ridgemill.core.Backend;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.policy.Router.Outcome;

/** One attempt or probe on a shared connection, and its single outcome. */
final class RespExchange implements Backend.Exchange {

    private final Attempt<Content> attempt;
    private final Backend.Listener<Content> listener;
    RespConnection connection;
    Future<?> timeout;
    /** The message has been passed to the connection and can no longer be held back. */
    boolean queuedForWrite;
    /** The last byte has been written to the network. From then on the node may execute the command. */
    boolean written;
    /** The origin has recorded the idempotency key of the write, so the write itself may be sent. */
    boolean keyClaimed;
    /** The command to write if there is no attempt: it stores or deletes a copy. Null for an attempt or a probe. */
    private final Resp internalCommand;
    private boolean ended;

    /** Creates an exchange for a command of the gateway itself, whose result is ignored. */
    static RespExchange internal(Resp internalCommand) {
        return new RespExchange(null, (outcome, response) -> { }, internalCommand);
    }

    RespExchange(Attempt<Content> attempt, Backend.Listener<Content> listener) {
        this(attempt, listener, null);
    }

    private RespExchange(Attempt<Content> attempt, Backend.Listener<Content> listener, Resp internalCommand) {
        this.attempt = attempt;
        this.listener = listener;
        this.internalCommand = internalCommand;
    }

    /** The command to write if there is no attempt; null for an attempt or a probe. */
    Resp internalCommand() {
        return internalCommand;
    }

    /** The attempt to write; null for a probe or an internal command. */
    Attempt<Content> attempt() {
        return attempt;
    }

    boolean isEnded() {
        return ended;
    }

    @Override
    public void cancel() {
        abandon(Outcome.CANCELLED);
    }

    void timedOut() {
        // A command that has been passed to the connection may still be sent; before that, it cannot have run.
        abandon(queuedForWrite ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    /**
     * Notifies the connection before the listener: attempts that the listener starts must not be sent on a connection
     * that this exchange blocks.
     */
    private void abandon(Outcome outcome) {
        if (!ended) {
            ended = true;
            timeout.cancel(false);
            if (connection != null) {
                connection.abandoned(this, outcome == Outcome.TIMEOUT);
            }
            listener.ended(outcome, null);
        }
    }

    /** The connection was lost. A node cannot execute a command of which it did not receive every byte. */
    void connectionLost() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    void end(Outcome outcome, NodeResponse<Content> response) {
        if (!ended) {
            ended = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            listener.ended(outcome, response);
        }
    }
}
