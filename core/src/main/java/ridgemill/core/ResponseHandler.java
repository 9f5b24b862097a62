package ridgemill.core;

import ridgemill.policy.Reason;

/**
 * Receives the final response of one request: exactly one of {@link #served}, {@link #refused}, {@link
 * #refusedMayHaveRun}, {@link #limited}, {@link #failed}, {@link #recorded} and {@link #conflict} is called, once.
 *
 * @param <C> the content type
 */
public interface ResponseHandler<C> {

    /** A node answered this request; the content is valid until this method returns. */
    void served(NodeResponse<C> response);

    /** Whether {@link #served} accepts an incomplete response; if it breaks off later, its content reports that. */
    default boolean supportsStreaming() {
        return false;
    }

    /**
     * The request was refused, and nothing ran: a retry is safe.
     *
     * @param retryAfterMs when to retry, in milliseconds; 0 gives no advice
     */
    void refused(double retryAfterMs);

    /**
     * The request was refused although an attempt may have run. A retry is safe because the class is safe to repeat, or
     * because nodes drop the duplicate if it has the same idempotency key and arrives within the deduplication window.
     *
     * @param retryAfterMs when to retry, in milliseconds; 0 gives no advice
     */
    default void refusedMayHaveRun(double retryAfterMs) {
        refused(retryAfterMs);
    }

    /**
     * A limit rejected the request before it was sent to any node: a retry is safe.
     *
     * @param retryAfterMs when to retry, in milliseconds; derived from the limit
     */
    default void limited(double retryAfterMs) {
        refused(retryAfterMs);
    }

    /** Called directly before a refusal or failure with its reason; {@link Reason#UNSAID} if none was given. */
    default void reason(Reason reason) { }

    /** The request failed, and it is unknown whether it took effect. */
    void failed();

    /**
     * An earlier request with the same idempotency key took effect, exactly once, and this one did not run. There is no
     * value to return, because none is kept.
     *
     * @param callId id of the request that ran
     */
    default void recorded(String callId) {
        failed();
    }

    /** Nothing ran: the idempotency key was used before with another request or by another tenant. */
    default void conflict() {
        failed();
    }
}
