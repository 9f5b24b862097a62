package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.CachedObject;
import ridgemill.cdn.edge.Invariant;
import ridgemill.cdn.edge.RefusalReason;

/** A read of an object that may be answered from a copy. */
final class CachedExchange extends Exchange {

    /** How often a request may wait for fetches that others started and that failed. */
    private static final int MOST_FETCHES = 2;

    private final ServiceState service;
    private final ObjectFetches objects;
    private ObjectFetch fetch;
    private int fetches;
    private double askedMs;
    private boolean ownMayHaveRun;

    CachedExchange(
            ProxyContext context,
            FrontConnection client,
            ClientRequest request,
            Route route,
            ServiceState service,
            ObjectFetches objects) {
        super(context, client, request, route);
        this.service = service;
        this.objects = objects;
    }

    @Override
    ServiceState service() {
        return service;
    }

    /** How old a copy was as the request arrived, in milliseconds; 0 if its fetch began later. */
    private String ageOnArrival(CachedObject copy) {
        return Long.toString((long) Math.max(0, Math.ceil(arrivedMs() - copy.fetchStartedMs())));
    }

    /** How old a copy may be that answers it, in milliseconds: infinite but for what edge proxies ask shared caches. */
    double maxAgeMs() {
        long told = CacheHeaders.number(request().headers(), CacheHeaders.MAX_AGE, Long.MAX_VALUE);
        return context().isSharedCache() && told < Long.MAX_VALUE ? told : Double.POSITIVE_INFINITY;
    }

    /** When it began to wait for the fetch that it waits for. */
    double askedMs() {
        return askedMs;
    }

    @Override
    void run() {
        askedMs = context().now();
        fetches++;
        fetch = objects.ask(this);
    }

    /** The object is there. */
    void found(CachedObject copy) {
        fetch = null;
        context()
                .invariants()
                .check(objects.isAsNewAsPurges(copy, askedMs), Invariant.COPY_NEWER_THAN_PURGE, copy.key());
        FinalAnswer answer = FinalAnswer.of(copy, request());
        boolean tellsAge = context().isSharedCache();
        answer(tellsAge ? answer.with(CacheHeaders.AGE, ageOnArrival(copy)) : answer);
    }

    /** It started the fetch and this came of it, which is no copy. */
    void failed(Delivery.Result result) {
        fetch = null;
        answer(result);
    }

    /** Another one's fetch brought nothing that it may have. */
    void again(Delivery.Result result) {
        fetch = null;
        if (isOver()) {
            return;
        }
        boolean refused = result instanceof Delivery.Result.Failed failed && !failed.mayHaveRun();
        if (refused || fetches > MOST_FETCHES) {
            refuse(RefusalReason.SHARED_FETCH, result instanceof Delivery.Result.Failed failed ? failed.waitMs() : 0);
        } else {
            run();
        }
    }

    @Override
    void giveUp(boolean late) {
        if (fetch != null) {
            ownMayHaveRun = fetch.isOf(this) && fetch.mayHaveRun();
            fetch.leave(this, late);
            fetch = null;
        }
    }

    @Override
    boolean mayHaveRun() {
        return ownMayHaveRun || fetch != null && fetch.isOf(this) && fetch.mayHaveRun();
    }
}
