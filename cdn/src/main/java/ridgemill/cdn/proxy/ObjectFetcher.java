package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.ObjectCache;
import ridgemill.cdn.edge.PurgeLog;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.cdn.proxy.ProxyMeters.ReadSource;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.proxy.http.Headers;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.PurgeCoverage;
import ridgemill.policy.RendezvousHash;

/**
 * The cached copies of objects and the fetches in progress: one fetch at a time per object, shared by all requests for
 * it.
 */
final class ObjectFetcher implements ControlListener {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    /** The fraction of the permitted delay of purges for which any fetch may be joined. */
    private static final double UNCOVERED_JOIN_FRACTION = 0.5;
    /** The maximum age of a copy that a refresh-ahead fetch accepts from a shared cache, as a fraction of the TTL. */
    private static final double REFRESH_MAX_AGE_FRACTION = 0.5;
    /**
     * Failures after which the instances are used directly: no shared cache could be asked, or none could process the
     * request.
     */
    private static final Set<RefusalReason> FALLBACK_REASONS = EnumSet.of(
            RefusalReason.NO_INSTANCE,
            RefusalReason.CONNECT_FAILED,
            RefusalReason.ROUTE_UNKNOWN,
            RefusalReason.CROWDED);

    private final ProxyContext context;
    private final ObjectCache cache;
    private final PurgeLog purgeLog = new PurgeLog();
    private final double purgeDeadlineMs;
    private final Map<String, ObjectFetch> joinable = new HashMap<>();
    private final Set<ObjectFetch> running = new LinkedHashSet<>();

    ObjectFetcher(ProxyContext context, ObjectCache cache) {
        this.context = context;
        this.cache = cache;
        this.purgeDeadlineMs =
                PurgeCoverage.maxUnconfirmedMs(context.settings().bounds().purgeDeadlineMs());
    }

    /** Serves a request from a copy or lets it wait for a fetch. Returns that fetch; null if the request has ended. */
    ObjectFetch serveOrFetch(CachedExchange exchange) {
        double nowMs = context.now();
        String key = exchange.request().cacheKey();
        CachedObject copy = cache.get(key);
        double oldestMs = nowMs - exchange.maxAgeMs();
        if (copy != null && copy.fetchStartedMs() >= oldestMs && isUsable(copy, exchange, nowMs)) {
            context.meters().countRead(ReadSource.COPY);
            refreshAhead(exchange, copy, nowMs);
            exchange.copyAvailable(copy);
            return null;
        }
        ObjectFetch current = joinable.get(key);
        if (current != null && current.startedMs() >= oldestMs && isJoinable(current, nowMs)) {
            context.meters().countRead(ReadSource.SHARED_FETCH);
            current.join(exchange);
            return current;
        }
        context.meters().countRead(ReadSource.OWN_FETCH);
        return fetch(exchange, key, copy, nowMs);
    }

    /** Whether a copy may be served: it is fresh, and no acknowledged purge of it can have been missed. */
    private boolean isUsable(CachedObject copy, CachedExchange exchange, double nowMs) {
        return copy.isFresh(nowMs, exchange.route().cacheTtlMs())
                && context.control().isCoveredSince(copy.purgeCoverageSinceMs());
    }

    /**
     * Whether the result of a fetch can be expected to serve a request that joins it now. This process has to know of
     * all purges; else the fetch must be recent, as a shared cache may answer that it has been without some purges.
     */
    private boolean isJoinable(ObjectFetch fetch, double nowMs) {
        return nowMs - fetch.startedMs() <= UNCOVERED_JOIN_FRACTION * purgeDeadlineMs
                || context.control().isCoveredSince(fetch.earliestCoverageMs());
    }

    /** Until when every acknowledged purge of a copy is known here. */
    double knownUntilMs(CachedObject copy) {
        double confirmedUntilMs = context.control().purgesConfirmedUntilMs();
        boolean covered = context.control().isCoveredSince(copy.purgeCoverageSinceMs());
        return covered ? Math.max(copy.knownUntilMs(), confirmedUntilMs) : copy.knownUntilMs();
    }

    /** Whether a copy is not older than any purge of it that was received before the request was made. */
    boolean isNotOlderThanPurges(CachedObject copy, double requestedAtMs) {
        return !purgeLog.isPurged(copy, requestedAtMs);
    }

    private ObjectFetch fetch(CachedExchange exchange, String key, CachedObject copy, double nowMs) {
        ServiceState service = exchange.service();
        if (!service.admission().tryAdmit(nowMs, exchange.route().priorityLevel())) {
            exchange.refuse(RefusalReason.ADMISSION, service.admission().retryAfterMs());
            return null;
        }
        CachedObject storedCopy = copy != null && copy.etag() != null ? copy : null;
        ObjectFetch fetch = new ObjectFetch(key, exchange, storedCopy, nowMs, earliestCoverageMs(nowMs));
        double deadlineMs =
                Math.max(exchange.deadlineMs(), nowMs + exchange.route().timeoutMs());
        newCall(fetch, exchange, deadlineMs, nowMs - purgeLog.lastPurgedMs(key)).start();
        return running.contains(fetch) ? fetch : null;
    }

    /**
     * The earliest time from which this process may have to know of all purges to keep the result of a fetch, see
     * {@link CachedObject#purgeCoverageSinceMs}.
     */
    private double earliestCoverageMs(double startedMs) {
        double unconfirmedMs = purgeDeadlineMs + Purge.ACKNOWLEDGEMENT_TIMEOUT_MS;
        return context.caches().isAvailable() ? startedMs - unconfirmedMs : startedMs;
    }

    /**
     * Creates the call for a fetch of the object that a request asks for; the call has not started.
     *
     * @param maxAgeMs the maximum age of a copy from a shared cache, in milliseconds
     */
    private UpstreamCall newCall(ObjectFetch fetch, CachedExchange exchange, double deadlineMs, double maxAgeMs) {
        joinable.put(fetch.key(), fetch);
        running.add(fetch);
        OutgoingRequest outgoing = OutgoingRequest.fetch(
                exchange.request(),
                fetch.storedCopy() == null ? null : fetch.storedCopy().etag(),
                RendezvousHash.hashText(fetch.key()),
                exchange.route().targetLatencyMs());
        boolean viaSharedCaches = context.caches().isAvailable();
        ServiceState service = exchange.service();
        OutgoingRequest sentRequest = viaSharedCaches
                ? outgoing.forSharedCache(service.name(), exchange.route().version(), maxAgeMs)
                : outgoing;
        UpstreamCall call = new UpstreamCall(
                context,
                viaSharedCaches ? context.caches().upstreamFor(service) : service,
                exchange.route(),
                sentRequest,
                !context.isSharedCache(),
                deadlineMs,
                result -> callEnded(fetch, exchange, outgoing, deadlineMs, viaSharedCaches, result));
        fetch.setCall(call);
        fetch.setDeadlineTimer(context.timers().scheduleAt(deadlineMs, () -> deadlinePassed(fetch)));
        return call;
    }

    /**
     * Ends a fetch that was not answered in time. Requests that wait for it and have time left fetch again; without an
     * end they would join it for as long as the instance is silent.
     */
    private void deadlinePassed(ObjectFetch fetch) {
        boolean mayHaveRun = fetch.mayHaveRun();
        fetch.cancelCallAtDeadline();
        fetchEnded(fetch, new UpstreamCall.Result.Failed(mayHaveRun, RefusalReason.OUT_OF_TIME, 0));
    }

    /** Fetches from the instances if no shared cache could be used and nothing has run. */
    private void callEnded(
            ObjectFetch fetch,
            CachedExchange exchange,
            OutgoingRequest outgoing,
            double deadlineMs,
            boolean viaSharedCaches,
            UpstreamCall.Result result) {
        boolean fallBackToInstances = viaSharedCaches
                && fetch.hasWaiters()
                && result instanceof UpstreamCall.Result.Failed failed
                && !failed.mayHaveRun()
                && FALLBACK_REASONS.contains(failed.reason());
        if (!fallBackToInstances) {
            fetchEnded(fetch, result);
            return;
        }
        UpstreamCall directCall = new UpstreamCall(
                context,
                exchange.service(),
                exchange.route(),
                outgoing,
                true,
                deadlineMs,
                directResult -> fetchEnded(fetch, directResult));
        fetch.setCall(directCall);
        directCall.start();
    }

    /**
     * Refreshes a frequently used copy that expires soon, once for all requests. The fetch uses only spare capacity of
     * the origin share and the admission, is sent once, and carries the attempt identifier of the request that
     * triggered it.
     */
    private void refreshAhead(CachedExchange exchange, CachedObject copy, double nowMs) {
        ServiceState service = exchange.service();
        int uses = cache.countUse(copy.key());
        boolean due = copy.isDueForRefresh(nowMs, exchange.route().cacheTtlMs(), uses)
                && !joinable.containsKey(copy.key())
                && !context.isDraining();
        if (!due
                || !context.caches().isAvailable() && !service.originShare().hasBackgroundCapacity(nowMs)
                || !service.admission().tryAdmitBackground(nowMs)) {
            return;
        }
        // If the fetch fails, the same number of uses is needed before the next one.
        cache.resetUses(copy.key());
        CachedObject storedCopy = copy.etag() == null ? null : copy;
        ObjectFetch fetch = new ObjectFetch(copy.key(), null, storedCopy, nowMs, earliestCoverageMs(nowMs));
        double maxAgeMs = REFRESH_MAX_AGE_FRACTION * exchange.route().cacheTtlMs();
        UpstreamCall call = newCall(fetch, exchange, nowMs + exchange.route().timeoutMs(), maxAgeMs);
        call.disableRetries();
        call.start();
    }

    /** Removes a fetch that ended or was cancelled. */
    void remove(ObjectFetch fetch) {
        fetch.stopDeadlineTimer();
        running.remove(fetch);
        joinable.remove(fetch.key(), fetch);
    }

    private void fetchEnded(ObjectFetch fetch, UpstreamCall.Result result) {
        remove(fetch);
        CachedObject copy = result instanceof UpstreamCall.Result.Answered answered ? toCopy(fetch, answered) : null;
        if (copy == null) {
            fetchFailed(fetch, result);
            return;
        }
        if (purgeLog.isPurged(copy, Double.POSITIVE_INFINITY)) {
            // Requests that fetch again ask a shared cache for a copy that is newer than a purge by tag, too.
            purgeLog.recordPath(copy.key(), purgeLog.lastPurgedMs(copy));
        } else {
            store(copy);
        }
        if (!context.control().isCoveredSince(copy.purgeCoverageSinceMs())) {
            context.meters().countUncoveredFetch();
        }
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (maySatisfy(fetch, copy, waiter)) {
                waiter.copyAvailable(copy);
            } else {
                waiter.sharedFetchFailed(result);
            }
        }
    }

    /**
     * Whether the result of a fetch may be passed to a request that waits for it. Whatever this process knows, no
     * purge is missing that the responder knew of, and one that was acknowledged later is within the permitted delay.
     */
    private boolean maySatisfy(ObjectFetch fetch, CachedObject copy, CachedExchange waiter) {
        double requestedAtMs = waiter.requestedAtMs();
        boolean isNew = copy.fetchStartedMs() >= fetch.startedMs();
        boolean isFresh = isNew
                || requestedAtMs <= fetch.startedMs()
                || copy.isFresh(requestedAtMs, waiter.route().cacheTtlMs());
        boolean knowsPurges = requestedAtMs - purgeDeadlineMs <= copy.knownUntilMs()
                || context.control().isCoveredSince(copy.purgeCoverageSinceMs());
        return isFresh && knowsPurges && isNotOlderThanPurges(copy, requestedAtMs);
    }

    private void store(CachedObject copy) {
        CachedObject existing = cache.get(copy.key());
        if (existing == null || existing.purgeCoverageSinceMs() <= copy.purgeCoverageSinceMs()) {
            cache.put(copy);
        }
    }

    private void fetchFailed(ObjectFetch fetch, UpstreamCall.Result result) {
        boolean unexpectedNotModified = result instanceof UpstreamCall.Result.Answered answered
                && answered.response().status() == NOT_MODIFIED;
        UpstreamCall.Result reported =
                unexpectedNotModified ? new UpstreamCall.Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0) : result;
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (fetch.isInitiatedBy(waiter)) {
                waiter.ownFetchFailed(reported);
            } else {
                waiter.sharedFetchFailed(reported);
            }
        }
    }

    /** The copy that a response contains or revalidates; null if it does neither. */
    private static CachedObject toCopy(ObjectFetch fetch, UpstreamCall.Result.Answered answered) {
        InstanceResponse response = answered.response();
        if (response.status() == NOT_MODIFIED && fetch.storedCopy() != null) {
            String etag = response.headers().get("ETag");
            boolean same = etag == null || etag.equals(fetch.storedCopy().etag());
            return same
                    ? fetch.storedCopy()
                            .revalidated(
                                    originFetchStartedMs(fetch, response),
                                    knownUntilMs(fetch, response),
                                    fetchedFrom(answered))
                    : null;
        }
        if (response.status() != OK || !response.isSealed()) {
            return null;
        }
        Headers headers = response.headers();
        return new CachedObject(
                fetch.key(),
                RequestSpecificHeaders.removeFrom(
                        CacheHeaders.removeFrom(Headers.of(headers.lines())).lines(), true),
                headers.get("ETag"),
                tags(headers.get("X-Object-Tags")),
                response.body(),
                originFetchStartedMs(fetch, response),
                knownUntilMs(fetch, response),
                fetchedFrom(answered));
    }

    private static String fetchedFrom(UpstreamCall.Result.Answered answered) {
        String instanceId = answered.response().headers().get(CacheHeaders.FETCHED_FROM);
        return instanceId == null ? answered.responderId() : instanceId + " via " + answered.responderId();
    }

    /**
     * The latest time at which the fetch from the instance may have started: a shared cache states the age of its copy
     * in the response.
     */
    private static double originFetchStartedMs(ObjectFetch fetch, InstanceResponse response) {
        return fetch.startedMs() - CacheHeaders.getLong(response.headers(), CacheHeaders.AGE, 0);
    }

    /** Until when the responder knew of all purges of the object; a shared cache states it in the response. */
    private static double knownUntilMs(ObjectFetch fetch, InstanceResponse response) {
        long unconfirmedMs = CacheHeaders.getLong(response.headers(), CacheHeaders.UNCONFIRMED, Long.MAX_VALUE);
        return Math.max(originFetchStartedMs(fetch, response), fetch.startedMs() - unconfirmedMs);
    }

    private static List<String> tags(String header) {
        List<String> tags = new ArrayList<>(4);
        int start = 0;
        while (header != null && start < header.length()) {
            int space = header.indexOf(' ', start);
            int end = space < 0 ? header.length() : space;
            if (end > start) {
                tags.add(header.substring(start, end));
            }
            start = end + 1;
        }
        return tags;
    }

    /** What is known about a copy that is served now, for logs. */
    String describe(CachedObject copy) {
        double nowMs = context.now();
        return "object=" + copy.key() + " etag=" + copy.etag() + " fetched_from=\"" + copy.fetchedFrom()
                + "\" fetched_ms_ago=" + Math.round(nowMs - copy.fetchStartedMs()) + " covered_from_ms_ago="
                + Math.round(nowMs - copy.purgeCoverageSinceMs()) + " known_until_ms_ago="
                + Math.round(nowMs - copy.knownUntilMs()) + " purged_ms_ago="
                + Math.round(nowMs - purgeLog.lastPurgedMs(copy)) + " stores=\""
                + context.control().describePurgeCoverage() + '"';
    }

    /** Removes purges that are too old for the result of any fetch. */
    void tick(double nowMs) {
        double oldestFetchMs = nowMs;
        for (ObjectFetch fetch : running) {
            oldestFetchMs = Math.min(oldestFetchMs, fetch.startedMs());
        }
        purgeLog.removeExpired(oldestFetchMs);
    }

    @Override
    public void pathPurged(String hostname, String path, double purgedAtMs) {
        String key = hostname.toLowerCase(Locale.ROOT) + path;
        purgeLog.recordPath(key, purgedAtMs);
        CachedObject copy = cache.get(key);
        if (copy != null && copy.fetchStartedMs() < purgedAtMs) {
            cache.remove(key);
        }
        joinable.remove(key);
    }

    @Override
    public void tagPurged(String tag, double purgedAtMs) {
        cache.removeByTag(tag, purgedAtMs);
        purgeLog.recordTag(tag, purgedAtMs);
    }
}
