package ridgemill.deadline;

/**
 * Timings of one class in one group of nodes: how long its attempts take at cache nodes and at the origin, and how long
 * its clients wait. Not thread-safe.
 */
public final class ClassTimings {

    /** An attempt whose response is less likely to be read than this is not worth the capacity that it takes. */
    private static final double MIN_READ_PROBABILITY = 0.2;
    /**
     * One in this many attempts that would go unread is sent anyway, because an attempt that is not sent adds no
     * sample.
     */
    private static final int TRIAL_INTERVAL = 16;

    private final GroupTimings group;
    private final ResponseTimes cacheTimes = new ResponseTimes();
    private final ResponseTimes originTimes = new ResponseTimes();
    private final ClientPatience patience = new ClientPatience();
    private int unread;

    ClassTimings(GroupTimings group) {
        this.group = group;
    }

    private ResponseTimes timesOf(boolean atOrigin) {
        return atOrigin ? originTimes : cacheTimes;
    }

    /**
     * The shortest time in which any response can be expected, from a cache node or the origin, in ms; 0 if unknown.
     */
    public double minResponseMs(double nowMs) {
        double cacheMs = cacheTimes.minMs(nowMs);
        double originMs = originTimes.minMs(nowMs);
        return cacheMs == 0 ? originMs : originMs == 0 ? cacheMs : Math.min(cacheMs, originMs);
    }

    /**
     * The time, in ms, that must remain after a wait for another attempt to be worthwhile; 0 if unknown, or if the
     * policy does not drop late requests.
     */
    public double minRemainingMs(double nowMs) {
        return group.policy().dropsLate() ? minResponseMs(nowMs) : 0;
    }

    /** Whether a request of this class with this much time left may proceed from a stage. */
    public Verdict checkStage(RequestStage stage, double nowMs, double remainingMs) {
        return group.counted(stage, remainingMs <= 0 || group.policy().dropsLate() && remainingMs < minResponseMs(nowMs)
                ? Verdict.LATE : Verdict.GO);
    }

    /**
     * Whether an attempt that is about to be written on a newly established connection may still be answered in time.
     */
    public Verdict checkWrite(double nowMs, double remainingMs, boolean atOrigin) {
        boolean late = remainingMs <= 0
                || group.policy().dropsLate() && remainingMs < timesOf(atOrigin).minMs(nowMs);
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
    public Verdict checkSend(double nowMs, double ageMs, double remainingMs, boolean atOrigin, boolean first) {
        ResponseTimes times = timesOf(atOrigin);
        Verdict verdict = Verdict.GO;
        if (remainingMs <= 0 || group.policy().dropsLate() && remainingMs < times.minMs(nowMs)) {
            verdict = Verdict.LATE;
        } else if (group.policy().dropsUnread() && (atOrigin || !first) && endsUnread(nowMs, ageMs, times)) {
            verdict = Verdict.UNREAD;
        }
        return group.counted(RequestStage.SEND, verdict);
    }

    private boolean endsUnread(double nowMs, double ageMs, ResponseTimes times) {
        if (patience.probabilityOfStaying(nowMs, ageMs, ageMs + times.medianMs(nowMs)) >= MIN_READ_PROBABILITY) {
            return false;
        }
        return ++unread % TRIAL_INTERVAL != 0;
    }

    /** Records an attempt that was answered; {@code newConnection} says whether its connection was opened for it. */
    public void attemptAnswered(double nowMs, double elapsedMs, boolean atOrigin, boolean newConnection) {
        timesOf(atOrigin).answered(nowMs, elapsedMs);
        group.answered(elapsedMs, newConnection, atOrigin);
    }

    /** Records an attempt that was abandoned after {@code elapsedMs}, by this proxy or because its client left. */
    public void attemptAbandoned(double nowMs, double elapsedMs, boolean atOrigin) {
        timesOf(atOrigin).abandoned(nowMs, elapsedMs);
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
    public boolean shouldCloseConnection(double nowMs, double elapsedMs, boolean atOrigin) {
        return group.shouldCloseConnection(nowMs, elapsedMs, timesOf(atOrigin), atOrigin);
    }
}
