package ridgemill.lease;

/**
 * What proxies say to each other about a lease. All of it may come late, twice, out of order, long after it was said, or never.
 * {@code task} is the hash of the task's name, {@code version} the sender's of its electorates, {@code incarnation} the start of
 * the candidate's process that it is about, and {@code round} which of its questions.
 */
public sealed interface LeaseMessage {

    /** Why a voter gives no vote. */
    enum RefusalReason {
        /** It promised its vote to another, or keeps it for an heir. */
        HELD,
        /** It has seen a term as high. */
        OLD_TERM,
        /** It goes by newer electorates, or by others of the same version. */
        OTHER_VERSION,
        /** It started lately, and does not know what it promised before. */
        QUIET,
        /** It started lately, and has not yet heard which terms there were. */
        JOINING,
        /** Operators forbade it. */
        FORBIDDEN,
        /** It does not vote on this task. */
        NO_VOTER
    }

    int task();

    /** What the sender knows of the change to its electorates. */
    SenderState sender();

    /**
     * What every message tells of its sender.
     *
     * @param version of its electorates
     * @param digest of what they are, 16 bits: two that say the same version must mean the same
     * @param settled whether it knows that nobody acts under those before
     * @param previousSettled whether it knows that those before had settled too
     */
    record SenderState(int version, int digest, boolean settled, boolean previousSettled) { }

    /** A candidate wants a vote for a term, or its vote once more. */
    record VoteRequest(int task, SenderState sender, int incarnation, long term, int round) implements LeaseMessage { }

    /** The vote is given. */
    record Vote(int task, SenderState sender, int incarnation, long term, int round) implements LeaseMessage { }

    /** It is not; {@code highest} is the highest term seen, and {@code waitMs} after how long to ask again, 0 where that is unknown. */
    record Refusal(int task, SenderState sender, int incarnation, int round, RefusalReason reason, long highestTerm, int retryAfterMs) implements LeaseMessage { }

    /** A candidate has stopped to act under a term and never will again; {@code heir} is to have it next, or is -1. */
    record Release(int task, SenderState sender, int incarnation, long term, int successor) implements LeaseMessage { }

    /** A voter that has started asks which terms there were. */
    record TermQuery(int task, SenderState sender, int incarnation, int round) implements LeaseMessage { }

    /** The highest term seen; {@code knows} is false from one that has not yet heard itself. */
    record TermReply(int task, SenderState sender, int incarnation, int round, long highestTerm, boolean recovered) implements LeaseMessage { }

    /** Operators forbid the task for so long. */
    record Forbid(int task, SenderState sender, int durationMs) implements LeaseMessage { }
}
