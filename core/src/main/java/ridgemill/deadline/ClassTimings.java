package ridgemill.deadline;

/**
 * Timings of one class in one group of nodes: how long its attempts take at cache nodes and at the origin, and how long
 * its clients wait. Not thread-safe.
 */
public final class ClassTimings {

    /** An attempt whose response is less likely to be read than this is not worth the capacity that it takes. */
    private static final double LEAST_READ = 0.2;
    /**
     * One in this many attempts that would go unread is sent anyway, because an attempt that is not sent adds no
     * sample.
     */
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

    /**
     * The shortest time in which any response can be expected, from a cache node or the origin, in ms; 0 if unknown.
     */
    public double minResponseMs(double nowMs) {
        double cache = caches.minMs(nowMs);
        double fetch = store.minMs(nowMs);
        return cache == 0 ? fetch : fetch == 0 ? cache : Math.min(cache, fetch);
    }

    /**
     * The time, in ms, that must remain after a wait for another attempt to be worthwhile; 0 if unknown, or if the
     * policy does not drop late requests.
     */
    public double minRemainingMs(double nowMs) {
        return group.policy().dropsLate() ? minResponseMs(nowMs) : 0;
    }

    /** Whether a request of this class with this much time left may proceed from a stage. */
    public Verdict checkStage(RequestStage place, double nowMs, double leftMs) {
        return group.counted(place, leftMs <= 0 || group.policy().dropsLate() && leftMs < minResponseMs(nowMs)
                ? Verdict.LATE : Verdict.GO);
    }

    /**
     * Whether an attempt that is about to be written on a newly established connection may still be answered in time.
     */
    public Verdict checkWrite(double nowMs, double leftMs, boolean atStore) {
        boolean late = leftMs <= 0
                || group.policy().dropsLate() && leftMs < at(atStore).minMs(nowMs);
        return group.counted(RequestStage.CONNECT, late ? Verdict.LATE : Verdict.GO);
    }

    /**
     * Whether an attempt may be sent.
     *
     * @param ageMs time since the request arrived
     * @param remainingMs time until its response must be here
     * @param atOrigin whether the attempt goes to the origin
     * @param first whether it is the first attempt of the request
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

    /** Records an attempt that was answered; {@code newConnection} says whether its connection was opened for it. */
    public void attemptAnswered(double nowMs, double elapsedMs, boolean atStore, boolean fresh) {
        at(atStore).answered(nowMs, elapsedMs);
        group.answered(elapsedMs, fresh, atStore);
    }

    /** Records an attempt that was abandoned after {@code elapsedMs}, by this proxy or because its client left. */
    public void attemptAbandoned(double nowMs, double elapsedMs, boolean atStore) {
        at(atStore).abandoned(nowMs, elapsedMs);
    }

    /** Records a request that had its final response at this age. */
    public void requestAnswered(double nowMs, double ageMs) {
        patience.answered(nowMs, ageMs);
    }

    /** Records a request whose client disconnected at this age. */
    public void clientLeft(double nowMs, double ageMs) {
        patience.clientLeft(nowMs, ageMs);
    }

    /**
     * Whether to cancel an attempt that no client waits for by closing its connection, {@code elapsedMs} after the
     * send.
     */
    public boolean shouldCloseConnection(double nowMs, double elapsedMs, boolean atStore) {
        return group.closes(nowMs, elapsedMs, at(atStore), atStore);
    }
}
