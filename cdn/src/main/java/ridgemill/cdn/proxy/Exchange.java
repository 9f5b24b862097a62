package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.core.Timers;

/** One request of a client, from its arrival to its one final answer. */
abstract class Exchange {

    /** The answer leaves this long before the deadline, in milliseconds. */
    private static final double RESPONSE_MARGIN_MS = 5;

    private final ProxyContext context;
    private final ClientConnection client;
    private final ClientRequest request;
    private final Route route;
    private final double arrivedAtMs;
    private final double deadlineMs;
    private Timers.Timer deadlineTimer;
    private boolean finished;

    Exchange(ProxyContext context, ClientConnection client, ClientRequest request, Route route) {
        this.context = context;
        this.client = client;
        this.request = request;
        this.route = route;
        this.arrivedAtMs = context.now();
        this.deadlineMs = arrivedAtMs + Math.min(request.remainingMs(), route.timeoutMs()) - RESPONSE_MARGIN_MS;
    }

    /** Does what the request asks for; it answers sooner or later, or the deadline does. */
    abstract void run();

    /** The deadline has passed or the client has left: gives up what is under way. */
    abstract void cancel(boolean late);

    /** Whether the request may have run, or may be running. */
    abstract boolean mayHaveRun();

    /** The service that it asks for. */
    abstract ServiceState service();

    /** Starts the request and its deadline. */
    final void start() {
        context.addInFlight(1);
        if (deadlineMs <= arrivedAtMs) {
            refuse(RefusalReason.OUT_OF_TIME, 0);
            return;
        }
        deadlineTimer = context.timers().scheduleAt(deadlineMs, this::deadlinePassed);
        run();
    }

    private void deadlinePassed() {
        if (finished) {
            return;
        }
        boolean ran = mayHaveRun();
        finished = true;
        cancel(true);
        finished = false;
        if (ran) {
            fail(RefusalReason.OUT_OF_TIME);
        } else {
            refuse(RefusalReason.OUT_OF_TIME, 0);
        }
    }

    /** The client has closed its connection. */
    final void clientDisconnected() {
        if (!finished) {
            end();
            cancel(false);
        }
    }

    /** Gives the final answer, if none was given. */
    final void respond(FinalResponse answer) {
        if (!finished) {
            end();
            client.respond(this, answer);
        }
    }

    /** Refuses the request, which has not run and will not. */
    final void refuse(RefusalReason reason, double waitMs) {
        if (!finished) {
            service().meters().countRefused(reason);
        }
        FinalResponse refusal = FinalResponse.retryLater(503, request.attemptId(), waitMs);
        respond(context.isSharedCache() ? refusal.addHeader(CacheHeaders.REFUSAL, reason.label()) : refusal);
    }

    /** Ends the request, which may have run, without an answer of an instance. */
    private void fail(RefusalReason reason) {
        if (!finished) {
            service().meters().countFailed(reason);
        }
        respond(FinalResponse.generated(reason == RefusalReason.OUT_OF_TIME ? 504 : 502, request.attemptId()));
    }

    /** Answers with what came of a delivery. */
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

    /** Whether the client needs no answer any more. */
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

    /** When the client gives up, on the proxy's clock. */
    final double deadlineMs() {
        return deadlineMs;
    }
}
