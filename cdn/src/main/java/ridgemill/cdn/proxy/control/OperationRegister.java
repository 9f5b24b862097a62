package ridgemill.cdn.proxy.control;

import java.util.function.Consumer;

/**
 * The control plane's register of keyed operations, as used by an edge proxy. For each key at most one claim is
 * granted at a time. A granted claim ends only when its holder releases it, which the holder may do only if nothing
 * ran. All calls and callbacks are on the proxy's event loop; a callback may be called before the call returns.
 */
public interface OperationRegister {

    /** A register that grants no claims, for processes that run no operations. */
    OperationRegister NONE = new OperationRegister() {
        @Override
        public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
            callback.accept(new ClaimOutcome.Unavailable());
        }

        @Override
        public void finish(Claim claim, RecordedResponse response) {
            throw new IllegalStateException("no claim was granted");
        }

        @Override
        public void release(Claim claim) {
            throw new IllegalStateException("no claim was granted");
        }
    };

    /**
     * Requests the right to run an operation.
     *
     * @param key the operation's key, already scoped by its host
     * @param deadlineMs when the caller stops waiting, on the proxy's clock
     * @param callback receives the outcome exactly once
     */
    void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback);

    /** Records the response of an operation that ran, so that duplicates receive it. */
    void finish(Claim claim, RecordedResponse response);

    /**
     * Releases a claim. Allowed only when it is certain that nothing ran and nothing will run; the claim must not be
     * used again.
     */
    void release(Claim claim);

    /** The right to run an operation once. */
    record Claim(String key, String claimId) {}

    /** The outcome of {@link #claim}. */
    sealed interface ClaimOutcome {

        /** The caller may run the operation. */
        record Granted(Claim claim) implements ClaimOutcome {}

        /** Another claim holds the key. Its operation may be running, or may have run without a recorded response. */
        record Busy() implements ClaimOutcome {}

        /** The operation has run; duplicates receive the recorded response. */
        record Finished(RecordedResponse response) implements ClaimOutcome {}

        /** No quorum responded in time; nothing was granted and nothing will be. */
        record Unavailable() implements ClaimOutcome {}
    }

    /**
     * A response as sent to duplicates.
     *
     * @param status the HTTP status
     * @param headers names and values of the end-to-end headers, in turn
     * @param body the complete body
     */
    record RecordedResponse(int status, java.util.List<String> headers, byte[] body) {}
}
