package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.Invariant;
import ridgemill.cdn.edge.RefusalReason;

/** A read of an object that may be served from a copy. */
final class CachedExchange extends Exchange {

    private static final System.Logger LOG = System.getLogger(CachedExchange.class.getName());

    /** How many failed fetches of other requests a request may wait for before the next failure ends it. */
    private static final int MAX_FAILED_SHARED_FETCHES = 2;

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
            ObjectFetcher fetcher) {
        super(context, client, request, route);
        this.service = service;
        this.fetcher = fetcher;
    }

    @Override
    ServiceState service() {
        return service;
    }

    /** How long before the arrival of the request a time was, in milliseconds; 0 if it was later. */
    private String timeBeforeArrival(double atMs) {
        return Long.toString((long) Math.max(0, Math.ceil(arrivedAtMs() - atMs)));
    }

    /**
     * The maximum acceptable age of a copy for this request, in milliseconds. Infinite unless an edge proxy sent a
     * limit to this shared cache.
     */
    double maxAgeMs() {
        long limitMs = CacheHeaders.getLong(request().headers(), CacheHeaders.MAX_AGE, Long.MAX_VALUE);
        return context().isSharedCache() && limitMs < Long.MAX_VALUE ? limitMs : Double.POSITIVE_INFINITY;
    }

    /** When the request began to wait for its current fetch. */
    double requestedAtMs() {
        return requestedAtMs;
    }

    @Override
    void run() {
        requestedAtMs = context().now();
        fetches++;
        fetch = fetcher.serveOrFetch(this);
    }

    /** A usable copy is available. */
    void copyAvailable(CachedObject copy) {
        ownFetchMayHaveRun = mayHaveRun();
        fetch = null;
        context()
                .invariants()
                .check(fetcher.isNotOlderThanPurges(copy, requestedAtMs), Invariant.COPY_NEWER_THAN_PURGE, copy.key());
        if (LOG.isLoggable(System.Logger.Level.DEBUG)) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "event=copy_served request=" + request().attemptId() + ' ' + fetcher.describe(copy));
        }
        FinalResponse response = FinalResponse.of(copy, request());
        respond(context().isSharedCache() ? withCopyHeaders(response, copy) : response);
    }

    /** Adds what an edge proxy has to know about a copy of this shared cache. */
    private FinalResponse withCopyHeaders(FinalResponse response, CachedObject copy) {
        return response.addHeader(CacheHeaders.AGE, timeBeforeArrival(copy.fetchStartedMs()))
                .addHeader(CacheHeaders.UNCONFIRMED, timeBeforeArrival(fetcher.knownUntilMs(copy)))
                .addHeader(CacheHeaders.FETCHED_FROM, copy.fetchedFrom());
    }

    /** The fetch that this request started ended without a copy. */
    void ownFetchFailed(UpstreamCall.Result result) {
        fetch = null;
        respond(result);
    }

    /** The fetch of another request ended without a copy that may be used for this one. */
    void sharedFetchFailed(UpstreamCall.Result result) {
        fetch = null;
        if (isFinished()) {
            return;
        }
        boolean refused = result instanceof UpstreamCall.Result.Failed failed && !failed.mayHaveRun();
        if (refused || fetches > MAX_FAILED_SHARED_FETCHES) {
            refuse(
                    RefusalReason.SHARED_FETCH,
                    result instanceof UpstreamCall.Result.Failed failed ? failed.retryAfterMs() : 0);
        } else {
            run();
        }
    }

    @Override
    void cancel(boolean deadlinePassed) {
        if (fetch != null) {
            ownFetchMayHaveRun = fetch.isInitiatedBy(this) && fetch.mayHaveRun();
            fetch.leave(this, deadlinePassed);
            fetch = null;
        }
    }

    @Override
    boolean mayHaveRun() {
        return ownFetchMayHaveRun || fetch != null && fetch.isInitiatedBy(this) && fetch.mayHaveRun();
    }
}
