package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;
import ridgemill.cdn.edge.CachedObject;

/** A fetch of one object under way, and the requests that wait for it; none at first if it is made ahead of need. */
final class ObjectFetch {

    private record PurgedTag(String tag, double atMs) {}

    private final String key;
    private final CachedExchange initiator;
    private final CachedObject storedCopy;
    private final double startedMs;
    private final List<CachedExchange> waiters = new ArrayList<>(2);
    private final List<PurgedTag> purgedTags = new ArrayList<>(0);
    private UpstreamCall call;
    private boolean purged;

    /**
     * A fetch that has not started.
     *
     * @param starter the request that it is made for; null if no client waits for it
     * @param older a copy that it may confirm; null if there is none
     */
    ObjectFetch(String key, CachedExchange starter, CachedObject older, double startedMs) {
        this.key = key;
        this.initiator = starter;
        this.storedCopy = older;
        this.startedMs = startedMs;
        if (starter != null) {
            waiters.add(starter);
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

    void setCall(UpstreamCall by) {
        call = by;
    }

    /** Whether a copy that it brought had been fetched by another process before. */
    boolean isFromOtherProcess(CachedObject copy) {
        return copy.fetchStartedMs() < startedMs;
    }

    /** Whether a request waits for it. */
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

    /** A request does not wait any more. The fetch goes on, as its object will be asked for again. */
    void leave(CachedExchange exchange, boolean late) {
        waiters.remove(exchange);
        if (waiters.isEmpty() && call != null && (late || !call.mayHaveRun())) {
            call.cancel(late);
            exchange.context().fetcher().remove(this);
        }
    }

    /** Those that wait, from the first; they are handed over. */
    List<CachedExchange> takeWaiters() {
        List<CachedExchange> all = new ArrayList<>(waiters);
        waiters.clear();
        return all;
    }

    /** The object was purged: what comes may be given to those that wait already, and is not kept. */
    void purge() {
        purged = true;
    }

    /** Objects with this tag were purged. */
    void purgeTag(String tag, double nowMs) {
        purgedTags.add(new PurgedTag(tag, nowMs));
    }

    /** Whether what came may be kept. */
    boolean isStorable(CachedObject copy) {
        return !purged && Double.isInfinite(purgedMs(copy));
    }

    /** When the first purge of this copy came while it was under way; infinite if none came. */
    double purgedMs(CachedObject copy) {
        for (PurgedTag purge : purgedTags) {
            if (copy.tags().contains(purge.tag())) {
                return purge.atMs();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
