package ridgemill.lease;

/**
 * Messages between proxies about a lease. Each may arrive late, duplicated, out of order, long after it was sent, or
 * never. {@code task} is the hash of the task's name, {@code incarnation} identifies the candidate's process that the
 * message is about, and {@code round} numbers the candidate's requests.
 */
public sealed interface LeaseMessage {

    /** Why a voter refuses its vote. */
    enum RefusalReason {
        /** The vote is promised to another candidate, or reserved for a successor. */
        HELD,
        /** The voter has seen this term or a higher one. */
        OLD_TERM,
        /** The voter has newer voter sets, or different ones of the same version. */
        OTHER_VERSION,
        /** The voter has restarted recently and does not know which votes its previous process promised. */
        QUIET,
        /** The voter has restarted recently and has not yet recovered the highest term from the other voters. */
        JOINING,
        /** Operators have forbidden the task. */
        FORBIDDEN,
        /** The receiver does not vote on this task. */
        NO_VOTER
    }

    /** The hash of the task's name, see {@link LeaseManager#hash}. */
    int task();

    /** The state of the sender's voter sets. */
    SenderState sender();

    /**
     * The state of the sender's voter sets, which each message carries.
     *
     * @param version version of the voter sets
     * @param digest 16-bit digest of the voter sets; it must be the same for all senders with the same version
     * @param settled whether the sender knows that no proxy acts under the previous voter sets
     * @param previousSettled whether the sender knows that the previous voter sets had settled
     */
    record SenderState(int version, int digest, boolean settled, boolean previousSettled) { }

    /** A candidate requests a vote for a term, or the renewal of its vote. */
    record VoteRequest(int task, SenderState sender, int incarnation, long term, int round) implements LeaseMessage { }

    /** The voter grants its vote. */
    record Vote(int task, SenderState sender, int incarnation, long term, int round) implements LeaseMessage { }

    /**
     * The voter refuses its vote.
     *
     * @param highestTerm highest term that the voter has seen
     * @param retryAfterMs time after which a new request may succeed; 0 if it is not known
     */
    record Refusal(int task, SenderState sender, int incarnation, int round, RefusalReason reason, long highestTerm,
                   int retryAfterMs) implements LeaseMessage { }

    /**
     * A candidate has given up the lease of a term for good; {@code successor} is the member to hold it next, or -1.
     */
    record Release(int task, SenderState sender, int incarnation, long term, int successor) implements LeaseMessage { }

    /** A restarted voter asks for the highest term that the receiver has seen. */
    record TermQuery(int task, SenderState sender, int incarnation, int round) implements LeaseMessage { }

    /**
     * The highest term that the sender has seen; {@code recovered} is false if the sender is itself still recovering
     * it.
     */
    record TermReply(int task, SenderState sender, int incarnation, int round, long highestTerm, boolean recovered)
            implements LeaseMessage { }

    /** Operators forbid anyone to hold the lease for this time. */
    record Forbid(int task, SenderState sender, int durationMs) implements LeaseMessage { }
}
