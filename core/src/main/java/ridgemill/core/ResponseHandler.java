package ridgemill.core;

import ridgemill.policy.Reason;

/** The side of a front that waits for one request's final answer: exactly one of these is called, once. */
public interface ResponseHandler<C> {

    /** Served with the answer that a node made for this request; its content holds until this returns. */
    void served(NodeResponse<C> answer);

    /** Whether it takes an answer that is not whole yet; what breaks off then is told by the content itself. */
    default boolean supportsStreaming() {
        return false;
    }

    /**
     * Refused: trying again is harmless.
     *
     * @param retryAfterMs when to come back, in milliseconds; 0 gives no advice
     */
    void refused(double retryAfterMs);

    /**
     * Refused, though an attempt may have run: trying again is harmless because the class is safe to repeat, or because
     * nodes drop the repeat if it comes with the same idempotency key and in time.
     *
     * @param retryAfterMs when to come back, in milliseconds; 0 gives no advice
     */
    default void refusedMayHaveRun(double retryAfterMs) {
        refused(retryAfterMs);
    }

    /**
     * Turned away by a limit before any node was asked: trying again is harmless.
     *
     * @param retryAfterMs when to come back, in milliseconds; follows from the limit
     */
    default void limited(double retryAfterMs) {
        refused(retryAfterMs);
    }

    /** Comes right before a refusal or a failure and says why that is; nobody may have anything to say. */
    default void reason(Reason why) { }

    /** Failed, with no promise about its effect. */
    void failed();

    /**
     * Served: an earlier request under the same idempotency key took effect, once, and this one did not run. There is no value
     * to go with it, as none is kept.
     *
     * @param call the id of the one that ran
     */
    default void recorded(String call) {
        failed();
    }

    /** Nothing ran: its idempotency key was given with another request before, or by another tenant. */
    default void conflict() {
        failed();
    }
}
