package ridgemill.deadline;

/** Whether an operation that would start now is worth starting. */
public enum Verdict {
    /** It may be answered in time. */
    GO,
    /** It cannot be answered in time: less time remains than the fastest responses take. */
    LATE,
    /** It may be answered in time, but its client will probably have disconnected by then. */
    UNREAD
}
