package ridgemill.deadline;

/** What is said of something that would begin now. */
public enum Verdict {
    /** It may be answered in time. */
    GO,
    /** It can't be answered in time: less is left than the quickest answers take. */
    LATE,
    /** It could be, but its client will probably have left by then. */
    UNREAD
}
