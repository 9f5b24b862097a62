package ridgemill.gateway.front.resp;

import java.util.Locale;
import ridgemill.core.Command;
import ridgemill.gateway.net.resp.Resp;

/**
 * Error replies to clients. The first word is the error code. {@code TRYAGAIN}, which Redis clients treat as safe to
 * retry, is used for refusals only. {@code FAILED} does not say whether the command took effect.
 */
final class RespErrors {

    /** The client has not authenticated, although passwords are set. The text is that of Redis. */
    static final Resp.Err NOAUTH = new Resp.Err("NOAUTH Authentication required.");

    /** The idempotency key belongs to another request. Nothing of the command ran. */
    static final Resp.Err CONFLICT =
            new Resp.Err("CONFLICT the idempotency key was given with another request; nothing ran");

    private RespErrors() { }

    /** Why a command was refused. */
    enum RefusalReason {
        /** A limit was reached before any node was asked. */
        LIMIT("a limit turned it away and nothing ran"),
        /** No attempt ran. */
        NOTHING_RAN("refused and nothing ran"),
        /** An attempt may have run; the command is safe to retry. */
        HARMLESS("refused; it is safe to repeat");

        private final String text;

        RefusalReason(String text) {
            this.text = text;
        }
    }

    /** Returns the error for a refused command, with the time after which to retry if it is greater than 0. */
    static Resp.Err refused(RefusalReason reason, double retryAfterMs) {
        return new Resp.Err("TRYAGAIN " + reason.text + (retryAfterMs > 0
                ? String.format(Locale.ROOT, "; come back after %.3f s", Math.ceil(retryAfterMs) / 1000) : ""));
    }

    /**
     * Returns the error for a command of which it is unknown whether it took effect.
     *
     * @param done how many of the {@code total} keys have their response
     * @param idempotent whether a retry in time with the same idempotency key takes effect only once
     */
    static Resp.Err failed(Command.Action action, int done, int total, boolean idempotent) {
        if (action == Command.Action.READ) {
            return new Resp.Err("FAILED no answer in time"
                    + (total > 1 ? " for " + (total - done) + " of " + total + " keys" : ""));
        }
        return new Resp.Err("FAILED it may have run or not" + (total > 1 ? ": " + done + " of " + total
                + " keys are recorded for certain" : "")
                + (idempotent ? "; with the same idempotency key and in time it takes effect " + "once" : ""));
    }

    static Resp.Err error(String message) {
        return new Resp.Err("ERR " + message);
    }

    static Resp.Err wrongArity(String command) {
        return error("wrong number of arguments for '" + command.toLowerCase(Locale.ROOT) + "' command");
    }
}
