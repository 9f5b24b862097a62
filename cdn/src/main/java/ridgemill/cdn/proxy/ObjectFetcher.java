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
import ridgemill.policy.RendezvousHash;

/** Copies of objects and the fetches that bring them: one fetch at a time for each object, for all that ask for it. */
final class ObjectFetcher implements ControlListener {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    /** A copy fetched ahead of need is to be younger than this part of the time for which copies are kept. */
    private static final double REFRESH_MAX_AGE_FRACTION = 0.5;
    /** Why a shared cache was not asked, or could not be: the instances are asked then. */
    private static final Set<RefusalReason> FALLBACK_REASONS = EnumSet.of(
            RefusalReason.NO_INSTANCE,
            RefusalReason.CONNECT_FAILED,
            RefusalReason.ROUTE_UNKNOWN,
            RefusalReason.CROWDED);

    private final ProxyContext context;
    private final ObjectCache cache;
    private final PurgeLog purgeLog = new PurgeLog();
    private final Map<String, ObjectFetch> joinable = new HashMap<>();
    private final Set<ObjectFetch> running = new LinkedHashSet<>();

    ObjectFetcher(ProxyContext context, ObjectCache cache) {
        this.context = context;
        this.cache = cache;
    }

    /** Answers a request from a copy, or lets it wait for a fetch, which is returned. */
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
        ObjectFetch underWay = joinable.get(key);
        if (underWay != null
                && underWay.startedMs() >= oldestMs
                && (!context.isSharedCache() || context.control().receivesPurges())
                && context.control().isCoveredSince(underWay.startedMs())) {
            context.meters().countRead(ReadSource.SHARED_FETCH);
            underWay.join(exchange);
            return underWay;
        }
        context.meters().countRead(ReadSource.OWN_FETCH);
        return fetch(exchange, key, copy, nowMs);
    }

    /** Whether a copy may be given out: it is fresh, and every purge of it that was acknowledged is known here. */
    private boolean isUsable(CachedObject copy, CachedExchange exchange, double nowMs) {
        return copy.isFresh(nowMs, exchange.route().cacheTtlMs())
                && context.control().isCoveredSince(copy.purgeCoverageSinceMs())
                && (!context.isSharedCache() || context.control().receivesPurges());
    }

    /** Whether a copy is not older than a purge of it that was heard of before a moment. */
    boolean isNotOlderThanPurges(CachedObject copy, double askedMs) {
        double purgedMs = purgeLog.lastPurgedMs(copy);
        return copy.fetchStartedMs() >= purgedMs || purgedMs >= askedMs;
    }

    private ObjectFetch fetch(CachedExchange exchange, String key, CachedObject copy, double nowMs) {
        ServiceState service = exchange.service();
        if (!service.admission().tryAdmit(nowMs, exchange.route().priorityLevel())) {
            exchange.refuse(RefusalReason.ADMISSION, service.admission().retryAfterMs());
            return null;
        }
        CachedObject older = copy != null && copy.etag() != null ? copy : null;
        ObjectFetch fetch = new ObjectFetch(key, exchange, older, nowMs);
        double deadlineMs =
                Math.max(exchange.deadlineMs(), nowMs + exchange.route().timeoutMs());
        newCall(fetch, exchange, deadlineMs, nowMs - purgeLog.lastPurgedMs(key)).start();
        return running.contains(fetch) ? fetch : null;
    }

    /**
     * The delivery of a fetch for an object that a request asks for; it has not started.
     *
     * @param maxAgeMs how old a copy of a shared cache may be, in milliseconds
     */
    private UpstreamCall newCall(ObjectFetch fetch, CachedExchange exchange, double deadlineMs, double maxAgeMs) {
        joinable.put(fetch.key(), fetch);
        running.add(fetch);
        OutgoingRequest outgoing = OutgoingRequest.fetch(
                exchange.request(),
                fetch.storedCopy() == null ? null : fetch.storedCopy().etag(),
                RendezvousHash.hashText(fetch.key()),
                exchange.route().targetLatencyMs());
        boolean overCaches = context.caches().isAvailable();
        ServiceState service = exchange.service();
        OutgoingRequest sent = overCaches
                ? outgoing.forSharedCache(service.name(), exchange.route().version(), maxAgeMs)
                : outgoing;
        UpstreamCall delivery = new UpstreamCall(
                context,
                overCaches ? context.caches().upstreamFor(service) : service,
                exchange.route(),
                sent,
                !context.isSharedCache(),
                deadlineMs,
                result -> callEnded(fetch, exchange, outgoing, deadlineMs, overCaches, result));
        fetch.setCall(delivery);
        return delivery;
    }

    /** Fetches from the instances where no shared cache could be asked; nothing has run then. */
    private void callEnded(
            ObjectFetch fetch,
            CachedExchange exchange,
            OutgoingRequest outgoing,
            double deadlineMs,
            boolean overCaches,
            UpstreamCall.Result result) {
        boolean unasked = overCaches
                && fetch.hasWaiters()
                && result instanceof UpstreamCall.Result.Failed failed
                && !failed.mayHaveRun()
                && FALLBACK_REASONS.contains(failed.reason());
        if (!unasked) {
            fetchEnded(fetch, result);
            return;
        }
        UpstreamCall direct = new UpstreamCall(
                context,
                exchange.service(),
                exchange.route(),
                outgoing,
                true,
                deadlineMs,
                answer -> fetchEnded(fetch, answer));
        fetch.setCall(direct);
        direct.start();
    }

    /**
     * Fetches a copy anew that ends soon and is asked for often, once for all that ask. It is made only from what the
     * origin's share and the admission leave over, is sent once, and bears the id of the request that showed the need.
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
        // Should it fail, the next one needs as many uses again.
        cache.resetUses(copy.key());
        ObjectFetch fetch = new ObjectFetch(copy.key(), null, copy.etag() == null ? null : copy, nowMs);
        double maxAgeMs = REFRESH_MAX_AGE_FRACTION * exchange.route().cacheTtlMs();
        UpstreamCall delivery =
                newCall(fetch, exchange, nowMs + exchange.route().timeoutMs(), maxAgeMs);
        delivery.disableRetries();
        delivery.start();
    }

    /** A fetch is over or was given up. */
    void remove(ObjectFetch fetch) {
        running.remove(fetch);
        joinable.remove(fetch.key(), fetch);
    }

    private void fetchEnded(ObjectFetch fetch, UpstreamCall.Result result) {
        remove(fetch);
        CachedObject copy =
                result instanceof UpstreamCall.Result.Answered answered ? toCopy(fetch, answered.response()) : null;
        if (copy == null) {
            fetchFailed(fetch, result);
            return;
        }
        double staleMs = purgeLog.lastPurgedMs(copy);
        if (fetch.isFromOtherProcess(copy) && copy.fetchStartedMs() < staleMs && staleMs < fetch.startedMs()) {
            // The other process had not heard of a purge yet: it is asked again for a newer one.
            purgeLog.recordPath(copy.key(), staleMs);
            fetch.takeWaiters().forEach(waiter -> waiter.sharedFetchFailed(result));
            return;
        }
        CachedObject kept = cache.get(copy.key());
        if (fetch.isStorable(copy) && (kept == null || kept.purgeCoverageSinceMs() <= copy.purgeCoverageSinceMs())) {
            cache.put(copy);
        }
        double purgedMs = fetch.purgedMs(copy);
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (waiter.requestedAtMs() <= purgedMs) {
                waiter.copyAvailable(copy);
            } else {
                waiter.sharedFetchFailed(result);
            }
        }
    }

    private void fetchFailed(ObjectFetch fetch, UpstreamCall.Result result) {
        boolean unasked = result instanceof UpstreamCall.Result.Answered answered
                && answered.response().status() == NOT_MODIFIED;
        UpstreamCall.Result told =
                unasked ? new UpstreamCall.Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0) : result;
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (fetch.isInitiatedBy(waiter)) {
                waiter.ownFetchFailed(told);
            } else {
                waiter.sharedFetchFailed(told);
            }
        }
    }

    /** The copy that an answer brings or confirms; null if it does neither. */
    private static CachedObject toCopy(ObjectFetch fetch, InstanceResponse answer) {
        if (answer.status() == NOT_MODIFIED && fetch.storedCopy() != null) {
            String etag = answer.headers().get("ETag");
            boolean same = etag == null || etag.equals(fetch.storedCopy().etag());
            return same ? fetch.storedCopy().revalidated(originFetchStartedMs(fetch, answer), fetch.startedMs()) : null;
        }
        if (answer.status() != OK || !answer.isSealed()) {
            return null;
        }
        Headers headers = answer.headers();
        return new CachedObject(
                fetch.key(),
                RequestSpecificHeaders.removeFrom(
                        CacheHeaders.removeFrom(Headers.of(headers.lines())).lines(), true),
                headers.get("ETag"),
                tags(headers.get("X-Object-Tags")),
                answer.body(),
                originFetchStartedMs(fetch, answer),
                fetch.startedMs());
    }

    /** When the fetch from the instance began, at the latest: a shared cache says how old its copy was as it answered. */
    private static double originFetchStartedMs(ObjectFetch fetch, InstanceResponse answer) {
        return fetch.startedMs() - CacheHeaders.getLong(answer.headers(), CacheHeaders.AGE, 0);
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

    /** What is due from time to time. */
    void tick(double nowMs) {
        purgeLog.removeExpired(nowMs);
    }

    @Override
    public void pathPurged(String hostname, String path) {
        String key = hostname.toLowerCase(Locale.ROOT) + path;
        purgeLog.recordPath(key, context.now());
        cache.remove(key);
        joinable.remove(key);
        for (ObjectFetch fetch : running) {
            if (fetch.key().equals(key)) {
                fetch.purge();
            }
        }
    }

    @Override
    public void tagPurged(String tag) {
        cache.removeByTag(tag);
        double nowMs = context.now();
        purgeLog.recordTag(tag, nowMs);
        for (ObjectFetch fetch : running) {
            fetch.purgeTag(tag, nowMs);
        }
    }
}
