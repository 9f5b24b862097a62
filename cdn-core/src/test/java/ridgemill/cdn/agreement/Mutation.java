package ridgemill.cdn.agreement;

/** Faults that are injected into the stores of a {@link ClusterSimulation} one at a time; its checks must find each. */
enum Mutation {
    NONE,
    /** Reports that a write is on disk before it is. */
    CONFIRMS_BEFORE_SYNC,
    /** Answers a read from the memory of one store. */
    READS_AT_ONE,
    /** Validates a change against the items that the leader knew when it was elected. */
    CHECKS_AGAINST_OLD_ITEMS,
    /** A store that lost its disk continues under the identifier of that disk. */
    WIPED_ONE_VOTES,
    /** An added voter reports that it holds all keys before it does. */
    NEWCOMER_COUNTS_AT_ONCE,
    /** Grants keys without checking the epoch of the claim. */
    OLD_EPOCH_ACCEPTED,
    /** Publishes items that are accepted and not yet decided. */
    PUSHES_BEFORE_DECIDED,
    /** Loses its promises at a restart and makes the same ballots again. */
    BALLOT_REUSED,
    /** Promises without reporting the accepted state. */
    UNDECIDED_DROPPED,
    /** Starts from an older image of its disk. */
    OLD_SNAPSHOT_TAKEN,
    /** Counts an acceptance for the present proposal whatever its ballot. */
    ANSWER_MATCHED_BY_NUMBER,
    /** Confirms any ballot and ignores refusals, as a store that was frozen and does not notice that it was outbid. */
    FROZEN_ONE_GOES_ON
}
