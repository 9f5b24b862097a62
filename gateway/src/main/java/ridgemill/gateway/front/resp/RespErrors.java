package ridgemill.gateway.front.resp;

import java.util.Locale;
import ridgemill.core.Command;
import ridgemill.gateway.net.resp.Resp;

/**
 * Errors as clients get them. The first word tells what may be done: {@code TRYAGAIN}, which clients know from Redis as
 * harmless to send again, stands for refusals alone; {@code FAILED} promises nothing.
 */
final class RespErrors {

    /** Who it is has not been shown, where that is asked for; the words are Redis's. */
    static final Resp.Err NOAUTH = new Resp.Err("NOAUTH Authentication required.");

    /** Nothing of it ran. */
    static final Resp.Err CONFLICT = new Resp.Err("CONFLICT the idempotency key was given with another request; nothing ran");

    private RespErrors() { }

    /** Why a command was refused. */
    enum RefusalReason {
        /** A limit was reached before any node was asked. */
        LIMIT("a limit turned it away and nothing ran"),
        /** No attempt ran. */
        NOTHING_RAN("refused and nothing ran"),
        /** It may have run, and may be repeated freely. */
        HARMLESS("refused; it is safe to repeat");

        private final String text;

        RefusalReason(String text) {
            this.text = text;
        }
    }

    static Resp.Err refused(RefusalReason why, double retryAfterMs) {
        return new Resp.Err("TRYAGAIN " + why.text + (retryAfterMs > 0
                ? String.format(Locale.ROOT, "; come back after %.3f s", Math.ceil(retryAfterMs) / 1000) : ""));
    }

    /**
     * What is not known to have its effect, nor to have none.
     *
     * @param done of {@code parts} keys have their answer
     * @param byKey whether the same again, with the same idempotency key and in time, takes effect once
     */
    static Resp.Err failed(Command.Action action, int done, int parts, boolean byKey) {
        if (action == Command.Action.READ) {
            return new Resp.Err("FAILED no answer in time" + (parts > 1 ? " for " + (parts - done) + " of " + parts + " keys" : ""));
        }
        return new Resp.Err("FAILED it may have run or not" + (parts > 1 ? ": " + done + " of " + parts
                + " keys are recorded for certain" : "") + (byKey ? "; with the same idempotency key and in time it takes effect "
                + "once" : ""));
    }

    static Resp.Err error(String what) {
        return new Resp.Err("ERR " + what);
    }

    static Resp.Err wrongArity(String command) {
        return error("wrong number of arguments for '" + command.toLowerCase(Locale.ROOT) + "' command");
    }
}
