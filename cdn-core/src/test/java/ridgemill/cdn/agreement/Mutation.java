package ridgemill.cdn.agreement;

/**
 * Faults that are put into the stores of a {@link ClusterSimulation} one at a time, each of which its checks must find.
 */
enum Mutation {
    NONE,
    /** Says that something is on disk before it is. */
    CONFIRMS_BEFORE_SYNC,
    /** Answers a read from its own memory. */
    READS_AT_ONE,
    /** Judges an order by the items that it knew when it began to lead. */
    CHECKS_AGAINST_OLD_ITEMS,
    /** A store that lost its disk goes on under the name that the disk had. */
    WIPED_ONE_VOTES,
    /** A newcomer says that it holds all keys before it does. */
    NEWCOMER_COUNTS_AT_ONCE,
    /** Grants keys whatever the epoch of the claim. */
    OLD_EPOCH_ACCEPTED,
    /** Tells others of items that are accepted and not decided. */
    PUSHES_BEFORE_DECIDED,
    /** Forgets its promises at a restart and makes the same ballots again. */
    BALLOT_REUSED,
    /** Promises without saying what it has accepted. */
    UNDECIDED_DROPPED,
    /** Starts with an older image of its disk. */
    OLD_SNAPSHOT_TAKEN,
    /** Counts an acceptance for whatever is proposed at present. */
    ANSWER_MATCHED_BY_NUMBER,
    /** Accepts proposals of any ballot. */
    FROZEN_ONE_GOES_ON
}
