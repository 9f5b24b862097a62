package ridgemill.gateway.back.resp;

import io.netty.util.concurrent.Future;
import ridgemill.core.NodeResponse;
import ridgemill.core.Attempt;
import ridgemill.core.Backend;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.resp.Resp;
import ridgemill.policy.Router.Outcome;

/** One attempt or probe on a connection that it shares, and its one outcome. */
final class RespExchange implements Backend.Exchange {

    private final Attempt<Content> attempt;
    private final Backend.Listener<Content> listener;
    RespConnection connection;
    Future<?> timeout;
    /** Its bytes are with the connection, from when on nobody can hold them back. */
    boolean queuedForWrite;
    /** Its last byte is with the network, from when on the node may run it. */
    boolean written;
    /** The store has taken its key: the write itself may go out. */
    boolean keyClaimed;
    /** What is to be written where there is no attempt: a copy that is stored or dropped. */
    private final Resp internalCommand;
    private boolean ended;

    /** Something of the gateway's own, whose answer nobody needs. */
    static RespExchange internal(Resp note) {
        return new RespExchange(null, (outcome, answer) -> { }, note);
    }

    RespExchange(Attempt<Content> attempt, Backend.Listener<Content> done) {
        this(attempt, done, null);
    }

    private RespExchange(Attempt<Content> attempt, Backend.Listener<Content> done, Resp note) {
        this.attempt = attempt;
        this.listener = done;
        this.internalCommand = note;
    }

    /** What is to be written where there is no attempt; null for a probe. */
    Resp internalCommand() {
        return internalCommand;
    }

    /** The attempt to write; null for a probe. */
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
        // What is with the connection may still go out, so only one that is not has certainly not run.
        abandon(queuedForWrite ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED);
    }

    /** The connection first: what follows from the end must not be sent on one that this one holds up. */
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

    /** The connection ended under it: a command of which not every byte went out can't be read by the node. */
    void connectionLost() {
        end(written ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
    }

    void end(Outcome outcome, NodeResponse<Content> answer) {
        if (!ended) {
            ended = true;
            if (timeout != null) {
                timeout.cancel(false);
            }
            listener.ended(outcome, answer);
        }
    }
}
