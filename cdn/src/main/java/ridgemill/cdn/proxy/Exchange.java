package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.core.Timers;

/** One request of a client, from its arrival to its one final response. */
abstract class Exchange {

    /** How long before the deadline the response is sent, in milliseconds. */
    private static final double RESPONSE_MARGIN_MS = 5;

    private final ProxyContext context;
    private final ClientConnection client;
    private final ClientRequest request;
    private final Route route;
    private final double arrivedAtMs;
    private double deadlineMs;
    private Timers.Timer deadlineTimer;
    private boolean finished;

    Exchange(ProxyContext context, ClientConnection client, ClientRequest request, Route route) {
        this.context = context;
        this.client = client;
        this.request = request;
        this.route = route;
        this.arrivedAtMs = context.now();
        this.deadlineMs = deadlineFrom(arrivedAtMs);
    }

    /** The deadline of a request whose last byte arrives at the given time. */
    private double deadlineFrom(double completeAtMs) {
        return completeAtMs + Math.min(request.remainingMs(), route.timeoutMs()) - RESPONSE_MARGIN_MS;
    }

    /** Starts processing the request. It responds later, unless the deadline passes first. */
    abstract void run();

    /**
     * Cancels the work in progress.
     *
     * @param deadlinePassed true if the instance has not responded in time, false if the client has disconnected or
     *     stalled
     */
    abstract void cancel(boolean deadlinePassed);

    /** Whether the request may have run, or may be running. */
    abstract boolean mayHaveRun();

    /** The service that the request is for. */
    abstract ServiceState service();

    /** Starts the request and its deadline timer. */
    final void start() {
        context.addInFlight(1);
        if (deadlineMs <= arrivedAtMs) {
            refuse(RefusalReason.OUT_OF_TIME, 0);
            return;
        }
        if (!context.drainWindow().allows(arrivedAtMs, latestResponseMs())) {
            refuseStopping();
            return;
        }
        deadlineTimer = context.timers().scheduleAt(deadlineMs, this::deadlinePassed);
        run();
    }

    /** When the response is sent at the latest; infinite while a body has to arrive, which moves the deadline. */
    private double latestResponseMs() {
        return request.streamedBody() == null ? deadlineMs : Double.POSITIVE_INFINITY;
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        if (request.streamedBody() == null || !request.streamedBody().isFlowing()) {
            timeOut(true);
        }
    }

    /** The last byte of a streamed body has arrived; the time of the request begins now. */
    final void bodyArrived() {
        if (!finished && deadlineTimer != null) {
            deadlineTimer.cancel();
            deadlineMs = deadlineFrom(context.now());
            deadlineTimer = context.timers().scheduleAt(deadlineMs, this::deadlinePassed);
        }
    }

    /** A streamed body has stalled, by the fault of the instance or of the client. */
    final void bodyStalled(boolean byInstance) {
        if (!finished) {
            timeOut(byInstance);
        }
    }

    private void timeOut(boolean byInstance) {
        boolean mayHaveRun = mayHaveRun();
        finished = true;
        cancel(byInstance);
        finished = false;
        if (mayHaveRun) {
            fail(RefusalReason.OUT_OF_TIME);
        } else {
            refuse(RefusalReason.OUT_OF_TIME, 0);
        }
    }

    /** Called when the client has closed its connection. */
    final void clientDisconnected() {
        if (!finished) {
            end();
            cancel(false);
        }
    }

    /** Sends the final response unless the exchange is finished. */
    final void respond(FinalResponse response) {
        if (!finished) {
            end();
            client.respond(this, response);
        }
    }

    /** Refuses the request, which has not run and will not run. */
    final void refuse(RefusalReason reason, double retryAfterMs) {
        if (!finished) {
            service().meters().countRefused(reason);
        }
        FinalResponse refusal = FinalResponse.retryLater(503, request.attemptId(), retryAfterMs);
        respond(context.isSharedCache() ? refusal.addHeader(CacheHeaders.REFUSAL, reason.label()) : refusal);
    }

    /**
     * Refuses the request because this process is stopping. An edge proxy that asked a shared cache tries another one,
     * as nothing has run.
     */
    private void refuseStopping() {
        service().meters().countRefused(RefusalReason.STOPPING);
        FinalResponse refusal = FinalResponse.retryLater(503, request.attemptId(), 0);
        respond(context.isSharedCache() ? refusal.addHeader(InstanceResponse.NOT_EXECUTED, "1") : refusal);
    }

    /** Ends a request that may have run without a response from an instance. */
    private void fail(RefusalReason reason) {
        if (!finished) {
            service().meters().countFailed(reason);
        }
        respond(FinalResponse.generated(reason == RefusalReason.OUT_OF_TIME ? 504 : 502, request.attemptId()));
    }

    /** Responds with the result of an upstream call. */
    final void respond(UpstreamCall.Result result) {
        if (result instanceof UpstreamCall.Result.Answered answered) {
            respond(FinalResponse.of(answered.response(), request.method().equals("HEAD")));
        } else if (result instanceof UpstreamCall.Result.Failed failed) {
            if (failed.mayHaveRun()) {
                fail(failed.reason());
            } else {
                refuse(failed.reason(), failed.retryAfterMs());
            }
        }
    }

    private void end() {
        finished = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        context.addInFlight(-1);
    }

    /** Whether the response was sent or the client has disconnected. */
    final boolean isFinished() {
        return finished;
    }

    final ProxyContext context() {
        return context;
    }

    final ClientRequest request() {
        return request;
    }

    final Route route() {
        return route;
    }

    final double arrivedAtMs() {
        return arrivedAtMs;
    }

    /** When the client stops waiting, on the proxy's clock, less the margin for sending the response. */
    final double deadlineMs() {
        return deadlineMs;
    }
}
