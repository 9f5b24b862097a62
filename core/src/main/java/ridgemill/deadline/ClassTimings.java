package ridgemill.deadline;

/**
 * What is known of one class in one group of nodes: how long its attempts take at cache nodes and at the store, and how long
 * its clients stay. Not safe for use by several threads.
 */
public final class ClassTimings {

    /** Below this chance that its answer is read an attempt is not worth what it takes from others. */
    private static final double LEAST_READ = 0.2;
    /** One of so many that would end unread goes all the same, as what is not sent teaches nothing. */
    private static final int TRIAL = 16;

    private final GroupTimings group;
    private final ResponseTimes caches = new ResponseTimes();
    private final ResponseTimes store = new ResponseTimes();
    private final ClientPatience patience = new ClientPatience();
    private int unread;

    ClassTimings(GroupTimings group) {
        this.group = group;
    }

    private ResponseTimes at(boolean atStore) {
        return atStore ? store : caches;
    }

    /** The least time in which any answer may be hoped for, whoever gives it; 0 where that is not known. */
    public double minResponseMs(double nowMs) {
        double cache = caches.minMs(nowMs);
        double fetch = store.minMs(nowMs);
        return cache == 0 ? fetch : fetch == 0 ? cache : Math.min(cache, fetch);
    }

    /** What must be left after a wait for another attempt to be worth it; 0 where that is not known, or nobody asked for it. */
    public double minRemainingMs(double nowMs) {
        return group.policy().dropsLate() ? minResponseMs(nowMs) : 0;
    }

    /** Whether one of this class that has so much left may go on from a place. */
    public Verdict checkStage(RequestStage place, double nowMs, double leftMs) {
        return group.counted(place, leftMs <= 0 || group.policy().dropsLate() && leftMs < minResponseMs(nowMs) ? Verdict.LATE : Verdict.GO);
    }

    /** Whether an attempt that is about to be written on a connection that has just come up may still be answered in time. */
    public Verdict checkWrite(double nowMs, double leftMs, boolean atStore) {
        boolean late = leftMs <= 0 || group.policy().dropsLate() && leftMs < at(atStore).minMs(nowMs);
        return group.counted(RequestStage.CONNECT, late ? Verdict.LATE : Verdict.GO);
    }

    /**
     * Whether an attempt may be sent.
     *
     * @param ageMs since the request came
     * @param leftMs until its answer must be here
     * @param atStore whether it goes to the store
     * @param first whether it is the request's first
     */
    public Verdict checkSend(double nowMs, double ageMs, double leftMs, boolean atStore, boolean first) {
        ResponseTimes times = at(atStore);
        Verdict verdict = Verdict.GO;
        if (leftMs <= 0 || group.policy().dropsLate() && leftMs < times.minMs(nowMs)) {
            verdict = Verdict.LATE;
        } else if (group.policy().dropsUnread() && (atStore || !first) && endsUnread(nowMs, ageMs, times)) {
            verdict = Verdict.UNREAD;
        }
        return group.counted(RequestStage.SEND, verdict);
    }

    private boolean endsUnread(double nowMs, double ageMs, ResponseTimes times) {
        if (patience.probabilityOfStaying(nowMs, ageMs, ageMs + times.medianMs(nowMs)) >= LEAST_READ) {
            return false;
        }
        return ++unread % TRIAL != 0;
    }

    /** An attempt was answered after so long; {@code fresh} says whether its connection was made for it. */
    public void attemptAnswered(double nowMs, double elapsedMs, boolean atStore, boolean fresh) {
        at(atStore).answered(nowMs, elapsedMs);
        group.answered(elapsedMs, fresh, atStore);
    }

    /** An attempt was given up after so long, by us or by its client's leaving. */
    public void attemptAbandoned(double nowMs, double elapsedMs, boolean atStore) {
        at(atStore).abandoned(nowMs, elapsedMs);
    }

    /** A request of this age had its final answer. */
    public void requestAnswered(double nowMs, double ageMs) {
        patience.answered(nowMs, ageMs);
    }

    /** The client of a request of this age left. */
    public void clientLeft(double nowMs, double ageMs) {
        patience.clientLeft(nowMs, ageMs);
    }

    /** Whether an attempt that nobody waits for any more, sent so long ago, is stopped by closing its connection. */
    public boolean shouldCloseConnection(double nowMs, double elapsedMs, boolean atStore) {
        return group.closes(nowMs, elapsedMs, at(atStore), atStore);
    }
}
