package ridgemill.deadline;

/**
 * What is known of one class in one group of nodes: how long its attempts take at cache nodes and at the store, and how long
 * its clients stay. Not safe for use by several threads.
 */
public final class ClassTimes {

    /** Below this chance that its answer is read an attempt is not worth what it takes from others. */
    private static final double LEAST_READ = 0.2;
    /** One of so many that would end unread goes all the same, as what is not sent teaches nothing. */
    private static final int TRIAL = 16;

    private final GroupTimes group;
    private final AnswerTimes caches = new AnswerTimes();
    private final AnswerTimes store = new AnswerTimes();
    private final Patience patience = new Patience();
    private int unread;

    ClassTimes(GroupTimes group) {
        this.group = group;
    }

    private AnswerTimes at(boolean atStore) {
        return atStore ? store : caches;
    }

    /** The least time in which any answer may be hoped for, whoever gives it; 0 where that is not known. */
    public double leastMs(double nowMs) {
        double cache = caches.leastMs(nowMs);
        double fetch = store.leastMs(nowMs);
        return cache == 0 ? fetch : fetch == 0 ? cache : Math.min(cache, fetch);
    }

    /** What must be left after a wait for another attempt to be worth it; 0 where that is not known, or nobody asked for it. */
    public double backOffMs(double nowMs) {
        return group.policy().drops() ? leastMs(nowMs) : 0;
    }

    /** Whether one of this class that has so much left may go on from a place. */
    public Verdict mayGoOn(Place place, double nowMs, double leftMs) {
        return group.counted(place, leftMs <= 0 || group.policy().drops() && leftMs < leastMs(nowMs) ? Verdict.LATE : Verdict.GO);
    }

    /** Whether an attempt that is about to be written on a connection that has just come up may still be answered in time. */
    public Verdict mayWrite(double nowMs, double leftMs, boolean atStore) {
        boolean late = leftMs <= 0 || group.policy().drops() && leftMs < at(atStore).leastMs(nowMs);
        return group.counted(Place.CONNECT, late ? Verdict.LATE : Verdict.GO);
    }

    /**
     * Whether an attempt may be sent.
     *
     * @param ageMs since the request came
     * @param leftMs until its answer must be here
     * @param atStore whether it goes to the store
     * @param first whether it is the request's first
     */
    public Verdict maySend(double nowMs, double ageMs, double leftMs, boolean atStore, boolean first) {
        AnswerTimes times = at(atStore);
        Verdict verdict = Verdict.GO;
        if (leftMs <= 0 || group.policy().drops() && leftMs < times.leastMs(nowMs)) {
            verdict = Verdict.LATE;
        } else if (group.policy().unread() && (atStore || !first) && endsUnread(nowMs, ageMs, times)) {
            verdict = Verdict.UNREAD;
        }
        return group.counted(Place.SEND, verdict);
    }

    private boolean endsUnread(double nowMs, double ageMs, AnswerTimes times) {
        if (patience.staysUntil(nowMs, ageMs, ageMs + times.usualMs(nowMs)) >= LEAST_READ) {
            return false;
        }
        return ++unread % TRIAL != 0;
    }

    /** An attempt was answered after so long; {@code fresh} says whether its connection was made for it. */
    public void answered(double nowMs, double elapsedMs, boolean atStore, boolean fresh) {
        at(atStore).answered(nowMs, elapsedMs);
        group.answered(elapsedMs, fresh, atStore);
    }

    /** An attempt was given up after so long, by us or by its client's leaving. */
    public void givenUp(double nowMs, double elapsedMs, boolean atStore) {
        at(atStore).cut(nowMs, elapsedMs);
    }

    /** A request of this age had its final answer. */
    public void finished(double nowMs, double ageMs) {
        patience.answered(nowMs, ageMs);
    }

    /** The client of a request of this age left. */
    public void left(double nowMs, double ageMs) {
        patience.left(nowMs, ageMs);
    }

    /** Whether an attempt that nobody waits for any more, sent so long ago, is stopped by closing its connection. */
    public boolean closes(double nowMs, double elapsedMs, boolean atStore) {
        return group.closes(nowMs, elapsedMs, at(atStore), atStore);
    }
}
