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
final class ObjectFetches implements ControlListener {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    /** A copy fetched ahead of need is to be younger than this part of the time for which copies are kept. */
    private static final double AHEAD_MAX_AGE = 0.5;
    /** Why a shared cache was not asked, or could not be: the instances are asked then. */
    private static final Set<RefusalReason> MAY_ASK_INSTANCES = EnumSet.of(
            RefusalReason.NO_INSTANCE,
            RefusalReason.CONNECT_FAILED,
            RefusalReason.ROUTE_UNKNOWN,
            RefusalReason.CROWDED);

    private final ProxyContext context;
    private final ObjectCache cache;
    private final PurgeLog purges = new PurgeLog();
    private final Map<String, ObjectFetch> joinable = new HashMap<>();
    private final Set<ObjectFetch> running = new LinkedHashSet<>();

    ObjectFetches(ProxyContext context, ObjectCache cache) {
        this.context = context;
        this.cache = cache;
    }

    /** Answers a request from a copy, or lets it wait for a fetch, which is returned. */
    ObjectFetch ask(CachedExchange exchange) {
        double nowMs = context.now();
        String key = exchange.request().objectKey();
        CachedObject copy = cache.get(key);
        double oldestMs = nowMs - exchange.maxAgeMs();
        if (copy != null && copy.fetchStartedMs() >= oldestMs && isGood(copy, exchange, nowMs)) {
            context.meters().countRead(ReadSource.COPY);
            fetchAhead(exchange, copy, nowMs);
            exchange.found(copy);
            return null;
        }
        ObjectFetch underWay = joinable.get(key);
        if (underWay != null
                && underWay.startedMs() >= oldestMs
                && (!context.isSharedCache() || context.control().hearsPurges())
                && context.control().isCoveredSince(underWay.startedMs())) {
            context.meters().countRead(ReadSource.SHARED_FETCH);
            underWay.join(exchange);
            return underWay;
        }
        context.meters().countRead(ReadSource.OWN_FETCH);
        return fetch(exchange, key, copy, nowMs);
    }

    /** Whether a copy may be given out: it is fresh, and every purge of it that was acknowledged is known here. */
    private boolean isGood(CachedObject copy, CachedExchange exchange, double nowMs) {
        return copy.isFresh(nowMs, exchange.route().cacheTtlMs())
                && context.control().isCoveredSince(copy.purgeCoverageSinceMs())
                && (!context.isSharedCache() || context.control().hearsPurges());
    }

    /** Whether a copy is not older than a purge of it that was heard of before a moment. */
    boolean isAsNewAsPurges(CachedObject copy, double askedMs) {
        double purgedMs = purges.lastPurgedMs(copy);
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
        delivery(fetch, exchange, deadlineMs, nowMs - purges.lastPurgedMs(key)).start();
        return running.contains(fetch) ? fetch : null;
    }

    /**
     * The delivery of a fetch for an object that a request asks for; it has not started.
     *
     * @param maxAgeMs how old a copy of a shared cache may be, in milliseconds
     */
    private Delivery delivery(ObjectFetch fetch, CachedExchange exchange, double deadlineMs, double maxAgeMs) {
        joinable.put(fetch.key(), fetch);
        running.add(fetch);
        OutgoingRequest outgoing = OutgoingRequest.fetch(
                exchange.request(),
                fetch.older() == null ? null : fetch.older().etag(),
                RendezvousHash.hashText(fetch.key()),
                exchange.route().targetLatencyMs());
        boolean overCaches = context.caches().isAny();
        ServiceState service = exchange.service();
        OutgoingRequest sent =
                overCaches ? outgoing.toCache(service.name(), exchange.route().version(), maxAgeMs) : outgoing;
        Delivery delivery = new Delivery(
                context,
                overCaches ? context.caches().of(service) : service,
                exchange.route(),
                sent,
                !context.isSharedCache(),
                deadlineMs,
                result -> delivered(fetch, exchange, outgoing, deadlineMs, overCaches, result));
        fetch.deliverBy(delivery);
        return delivery;
    }

    /** Fetches from the instances where no shared cache could be asked; nothing has run then. */
    private void delivered(
            ObjectFetch fetch,
            CachedExchange exchange,
            OutgoingRequest outgoing,
            double deadlineMs,
            boolean overCaches,
            Delivery.Result result) {
        boolean unasked = overCaches
                && fetch.isAwaited()
                && result instanceof Delivery.Result.Failed failed
                && !failed.mayHaveRun()
                && MAY_ASK_INSTANCES.contains(failed.reason());
        if (!unasked) {
            fetched(fetch, result);
            return;
        }
        Delivery direct = new Delivery(
                context,
                exchange.service(),
                exchange.route(),
                outgoing,
                true,
                deadlineMs,
                answer -> fetched(fetch, answer));
        fetch.deliverBy(direct);
        direct.start();
    }

    /**
     * Fetches a copy anew that ends soon and is asked for often, once for all that ask. It is made only from what the
     * origin's share and the admission leave over, is sent once, and bears the id of the request that showed the need.
     */
    private void fetchAhead(CachedExchange exchange, CachedObject copy, double nowMs) {
        ServiceState service = exchange.service();
        int uses = cache.countUse(copy.key());
        boolean due = copy.isDueForRefresh(nowMs, exchange.route().cacheTtlMs(), uses)
                && !joinable.containsKey(copy.key())
                && !context.isDraining();
        if (!due
                || !context.caches().isAny() && !service.originShare().hasBackgroundCapacity(nowMs)
                || !service.admission().tryAdmitBackground(nowMs)) {
            return;
        }
        // Should it fail, the next one needs as many uses again.
        cache.resetUses(copy.key());
        ObjectFetch fetch = new ObjectFetch(copy.key(), null, copy.etag() == null ? null : copy, nowMs);
        double maxAgeMs = AHEAD_MAX_AGE * exchange.route().cacheTtlMs();
        Delivery delivery = delivery(fetch, exchange, nowMs + exchange.route().timeoutMs(), maxAgeMs);
        delivery.stopRepeating();
        delivery.start();
    }

    /** A fetch is over or was given up. */
    void ended(ObjectFetch fetch) {
        running.remove(fetch);
        joinable.remove(fetch.key(), fetch);
    }

    private void fetched(ObjectFetch fetch, Delivery.Result result) {
        ended(fetch);
        CachedObject copy = result instanceof Delivery.Result.Answered answered ? copy(fetch, answered.answer()) : null;
        if (copy == null) {
            failed(fetch, result);
            return;
        }
        double staleMs = purges.lastPurgedMs(copy);
        if (fetch.isOfOther(copy) && copy.fetchStartedMs() < staleMs && staleMs < fetch.startedMs()) {
            // The other process had not heard of a purge yet: it is asked again for a newer one.
            purges.recordPath(copy.key(), staleMs);
            fetch.takeWaiters().forEach(waiter -> waiter.again(result));
            return;
        }
        CachedObject kept = cache.get(copy.key());
        if (fetch.isStorable(copy) && (kept == null || kept.purgeCoverageSinceMs() <= copy.purgeCoverageSinceMs())) {
            cache.put(copy);
        }
        double purgedMs = fetch.purgedMs(copy);
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (waiter.askedMs() <= purgedMs) {
                waiter.found(copy);
            } else {
                waiter.again(result);
            }
        }
    }

    private void failed(ObjectFetch fetch, Delivery.Result result) {
        boolean unasked = result instanceof Delivery.Result.Answered answered
                && answered.answer().status() == NOT_MODIFIED;
        Delivery.Result told = unasked ? new Delivery.Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0) : result;
        for (CachedExchange waiter : fetch.takeWaiters()) {
            if (fetch.isOf(waiter)) {
                waiter.failed(told);
            } else {
                waiter.again(told);
            }
        }
    }

    /** The copy that an answer brings or confirms; null if it does neither. */
    private static CachedObject copy(ObjectFetch fetch, InstanceAnswer answer) {
        if (answer.status() == NOT_MODIFIED && fetch.older() != null) {
            String etag = answer.headers().get("ETag");
            boolean same = etag == null || etag.equals(fetch.older().etag());
            return same ? fetch.older().revalidated(originMs(fetch, answer), fetch.startedMs()) : null;
        }
        if (answer.status() != OK || !answer.isSealed()) {
            return null;
        }
        Headers headers = answer.headers();
        return new CachedObject(
                fetch.key(),
                OwnHeaders.without(
                        CacheHeaders.without(Headers.of(headers.lines())).lines(), true),
                headers.get("ETag"),
                tags(headers.get("X-Object-Tags")),
                answer.body(),
                originMs(fetch, answer),
                fetch.startedMs());
    }

    /** When the fetch from the instance began, at the latest: a shared cache says how old its copy was as it answered. */
    private static double originMs(ObjectFetch fetch, InstanceAnswer answer) {
        return fetch.startedMs() - CacheHeaders.number(answer.headers(), CacheHeaders.AGE, 0);
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
        purges.removeExpired(nowMs);
    }

    @Override
    public void pathPurged(String hostname, String path) {
        String key = hostname.toLowerCase(Locale.ROOT) + path;
        purges.recordPath(key, context.now());
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
        purges.recordTag(tag, nowMs);
        for (ObjectFetch fetch : running) {
            fetch.purgeTag(tag, nowMs);
        }
    }
}
