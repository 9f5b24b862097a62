package ridgemill.testbed.ledger;

/** What a stand-in did with a request that reached it. */
public enum Fate {
    /** It is still at work, or never came to an end. */
    OPEN(true),
    /** A read that was answered from what is kept. */
    HIT(true),
    /** A read that found nothing kept; no effect. */
    MISS(false),
    /** Answered by the store. */
    SERVED(true),
    /** A keyed write's repeat, answered without a second effect. */
    REPEAT_DROPPED(true),
    /** Turned away unseen: full, draining, or the request was over. */
    REJECTED(false),
    /** Answered with an error; it may have run. */
    ERROR(true),
    /** It ran or not, and no answer was given. */
    SILENT(true),
    /** Its connection was reset. */
    RESET(true),
    /** Its answer was spoilt. */
    SPOILT(true),
    /** The other side gave it up before it was done. */
    ABANDONED(true),
    /** What came could not be read, or was no request of any client. */
    UNREADABLE(false);

    private final boolean mayHaveRun;

    Fate(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the proxy, seeing this, must take the request for one that may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
