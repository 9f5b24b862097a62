package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.core.Timers;

/**
 * A fetch of one object in progress and the requests that wait for it. A refresh-ahead fetch starts without a waiting
 * request.
 */
final class ObjectFetch {

    private final String key;
    private final CachedExchange initiator;
    private final CachedObject storedCopy;
    private final double startedMs;
    private final double earliestCoverageMs;
    private final List<CachedExchange> waiters = new ArrayList<>(2);
    private UpstreamCall call;
    private Timers.Timer deadlineTimer;

    /**
     * Creates a fetch that has not started.
     *
     * @param initiator the request that started it; null for a refresh-ahead fetch
     * @param storedCopy a copy that the fetch may revalidate; null if there is none
     * @param earliestCoverageMs the earliest time from which this process may have to know of all purges to keep the
     *     result
     */
    ObjectFetch(
            String key,
            CachedExchange initiator,
            CachedObject storedCopy,
            double startedMs,
            double earliestCoverageMs) {
        this.key = key;
        this.initiator = initiator;
        this.storedCopy = storedCopy;
        this.startedMs = startedMs;
        this.earliestCoverageMs = earliestCoverageMs;
        if (initiator != null) {
            waiters.add(initiator);
        }
    }

    String key() {
        return key;
    }

    CachedObject storedCopy() {
        return storedCopy;
    }

    double startedMs() {
        return startedMs;
    }

    double earliestCoverageMs() {
        return earliestCoverageMs;
    }

    void setCall(UpstreamCall newCall) {
        call = newCall;
    }

    /** Sets the timer that ends this fetch; it stops with the fetch. */
    void setDeadlineTimer(Timers.Timer timer) {
        deadlineTimer = timer;
    }

    void stopDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
    }

    /** Cancels the call because its time has run out. */
    void cancelCallAtDeadline() {
        call.cancel(true);
    }

    /** Whether any request waits for this fetch. */
    boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    boolean isInitiatedBy(CachedExchange exchange) {
        return exchange == initiator;
    }

    boolean mayHaveRun() {
        return call != null && call.mayHaveRun();
    }

    void join(CachedExchange exchange) {
        waiters.add(exchange);
    }

    /**
     * Removes a request that stopped waiting. The fetch continues if it may have reached an instance and its time has
     * not run out, because the object will be requested again.
     */
    void leave(CachedExchange exchange, boolean deadlinePassed) {
        waiters.remove(exchange);
        if (waiters.isEmpty() && call != null && (deadlinePassed || !call.mayHaveRun())) {
            call.cancel(deadlinePassed);
            exchange.context().fetcher().remove(this);
        }
    }

    /** Removes and returns the waiting requests, in order of arrival. */
    List<CachedExchange> takeWaiters() {
        List<CachedExchange> all = new ArrayList<>(waiters);
        waiters.clear();
        return all;
    }
}
