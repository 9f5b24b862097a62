package ridgemill.cdn.proxy.control;

import java.util.function.Consumer;

/**
 * The control plane's register of keyed operations, as an edge proxy uses it. For each key at most one claim is granted
 * at a time, and a granted claim ends only by a release, which the holder may send only if nothing ran. All calls and
 * callbacks are on the proxy's event loop; a callback may come before the call returns.
 */
public interface OperationRegister {

    /** A register that grants nothing, for processes that run no operations. */
    OperationRegister NONE = new OperationRegister() {
        @Override
        public void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback) {
            callback.accept(new ClaimOutcome.Unavailable());
        }

        @Override
        public void finish(Claim claim, RecordedResponse answer) {
            throw new IllegalStateException("nothing was claimed");
        }

        @Override
        public void release(Claim claim) {
            throw new IllegalStateException("nothing was claimed");
        }
    };

    /**
     * Asks for the right to run an operation.
     *
     * @param key the operation's key, already scoped by its host
     * @param deadlineMs when the caller gives up, on the proxy's clock
     * @param callback told the outcome exactly once
     */
    void claim(String key, double deadlineMs, Consumer<ClaimOutcome> callback);

    /** Records the answer of an operation that ran, so that repeats receive it. */
    void finish(Claim claim, RecordedResponse answer);

    /** Gives a claim back after it is certain that nothing ran and nothing will; the claim must not be used again. */
    void release(Claim claim);

    /** A granted right to run an operation once. */
    record Claim(String key, String claimId) {}

    /** How a call of {@link #claim} ended. */
    sealed interface ClaimOutcome {

        /** The caller may run the operation. */
        record Granted(Claim claim) implements ClaimOutcome {}

        /** Another claim holds the key; whether its operation runs, or ran without a recorded answer, is not known. */
        record Busy() implements ClaimOutcome {}

        /** The operation has run; its answer is to be given again. */
        record Finished(RecordedResponse response) implements ClaimOutcome {}

        /** No quorum answered in time; nothing was granted and nothing will be. */
        record Unavailable() implements ClaimOutcome {}
    }

    /**
     * An answer as it is given to repeats.
     *
     * @param status the HTTP status
     * @param headers names and values of the end-to-end headers to give again, in turn
     * @param body the whole body
     */
    record RecordedResponse(int status, java.util.List<String> headers, byte[] body) {}
}
