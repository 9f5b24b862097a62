package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.Invariant;
import ridgemill.cdn.edge.RefusalReason;

/** A read of an object that may be answered from a copy. */
final class CachedExchange extends Exchange {

    /** How often a request may wait for fetches that others started and that failed. */
    private static final int MAX_FETCHES = 2;

    private final ServiceState service;
    private final ObjectFetcher fetcher;
    private ObjectFetch fetch;
    private int fetches;
    private double requestedAtMs;
    private boolean ownFetchMayHaveRun;

    CachedExchange(
            ProxyContext context,
            ClientConnection client,
            ClientRequest request,
            Route route,
            ServiceState service,
            ObjectFetcher objects) {
        super(context, client, request, route);
        this.service = service;
        this.fetcher = objects;
    }

    @Override
    ServiceState service() {
        return service;
    }

    /** How old a copy was as the request arrived, in milliseconds; 0 if its fetch began later. */
    private String ageOnArrival(CachedObject copy) {
        return Long.toString((long) Math.max(0, Math.ceil(arrivedAtMs() - copy.fetchStartedMs())));
    }

    /** How old a copy may be that answers it, in milliseconds: infinite but for what edge proxies ask shared caches. */
    double maxAgeMs() {
        long told = CacheHeaders.getLong(request().headers(), CacheHeaders.MAX_AGE, Long.MAX_VALUE);
        return context().isSharedCache() && told < Long.MAX_VALUE ? told : Double.POSITIVE_INFINITY;
    }

    /** When it began to wait for the fetch that it waits for. */
    double requestedAtMs() {
        return requestedAtMs;
    }

    @Override
    void run() {
        requestedAtMs = context().now();
        fetches++;
        fetch = fetcher.serveOrFetch(this);
    }

    /** The object is there. */
    void copyAvailable(CachedObject copy) {
        fetch = null;
        context()
                .invariants()
                .check(fetcher.isNotOlderThanPurges(copy, requestedAtMs), Invariant.COPY_NEWER_THAN_PURGE, copy.key());
        FinalResponse answer = FinalResponse.of(copy, request());
        boolean tellsAge = context().isSharedCache();
        respond(tellsAge ? answer.addHeader(CacheHeaders.AGE, ageOnArrival(copy)) : answer);
    }

    /** It started the fetch and this came of it, which is no copy. */
    void ownFetchFailed(UpstreamCall.Result result) {
        fetch = null;
        respond(result);
    }

    /** Another one's fetch brought nothing that it may have. */
    void sharedFetchFailed(UpstreamCall.Result result) {
        fetch = null;
        if (isFinished()) {
            return;
        }
        boolean refused = result instanceof UpstreamCall.Result.Failed failed && !failed.mayHaveRun();
        if (refused || fetches > MAX_FETCHES) {
            refuse(
                    RefusalReason.SHARED_FETCH,
                    result instanceof UpstreamCall.Result.Failed failed ? failed.retryAfterMs() : 0);
        } else {
            run();
        }
    }

    @Override
    void cancel(boolean late) {
        if (fetch != null) {
            ownFetchMayHaveRun = fetch.isInitiatedBy(this) && fetch.mayHaveRun();
            fetch.leave(this, late);
            fetch = null;
        }
    }

    @Override
    boolean mayHaveRun() {
        return ownFetchMayHaveRun || fetch != null && fetch.isInitiatedBy(this) && fetch.mayHaveRun();
    }
}
