package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.core.Timers;

/** One request of a client, from its arrival to its one final answer. */
abstract class Exchange {

    /** The answer leaves this long before the deadline, in milliseconds. */
    private static final double GUARD_MS = 5;

    private final ProxyContext context;
    private final FrontConnection client;
    private final ClientRequest request;
    private final Route route;
    private final double arrivedMs;
    private final double deadlineMs;
    private Timers.Timer deadline;
    private boolean over;

    Exchange(ProxyContext context, FrontConnection client, ClientRequest request, Route route) {
        this.context = context;
        this.client = client;
        this.request = request;
        this.route = route;
        this.arrivedMs = context.now();
        this.deadlineMs = arrivedMs + Math.min(request.remainingMs(), route.timeoutMs()) - GUARD_MS;
    }

    /** Does what the request asks for; it answers sooner or later, or the deadline does. */
    abstract void run();

    /** The deadline has passed or the client has left: gives up what is under way. */
    abstract void giveUp(boolean late);

    /** Whether the request may have run, or may be running. */
    abstract boolean mayHaveRun();

    /** The service that it asks for. */
    abstract ServiceState service();

    /** Starts the request and its deadline. */
    final void start() {
        context.countInFlight(1);
        if (deadlineMs <= arrivedMs) {
            refuse(RefusalReason.OUT_OF_TIME, 0);
            return;
        }
        deadline = context.timers().scheduleAt(deadlineMs, this::deadlinePassed);
        run();
    }

    private void deadlinePassed() {
        if (over) {
            return;
        }
        boolean ran = mayHaveRun();
        over = true;
        giveUp(true);
        over = false;
        if (ran) {
            fail(RefusalReason.OUT_OF_TIME);
        } else {
            refuse(RefusalReason.OUT_OF_TIME, 0);
        }
    }

    /** The client has closed its connection. */
    final void clientGone() {
        if (!over) {
            end();
            giveUp(false);
        }
    }

    /** Gives the final answer, if none was given. */
    final void answer(FinalAnswer answer) {
        if (!over) {
            end();
            client.answer(this, answer);
        }
    }

    /** Refuses the request, which has not run and will not. */
    final void refuse(RefusalReason reason, double waitMs) {
        if (!over) {
            service().meters().countRefused(reason);
        }
        FinalAnswer refusal = FinalAnswer.later(503, request.attemptId(), waitMs);
        answer(context.isSharedCache() ? refusal.with(CacheHeaders.REFUSAL, reason.label()) : refusal);
    }

    /** Ends the request, which may have run, without an answer of an instance. */
    private void fail(RefusalReason reason) {
        if (!over) {
            service().meters().countFailed(reason);
        }
        answer(FinalAnswer.own(reason == RefusalReason.OUT_OF_TIME ? 504 : 502, request.attemptId()));
    }

    /** Answers with what came of a delivery. */
    final void answer(Delivery.Result result) {
        if (result instanceof Delivery.Result.Answered answered) {
            answer(FinalAnswer.of(answered.answer(), request.method().equals("HEAD")));
        } else if (result instanceof Delivery.Result.Failed failed) {
            if (failed.mayHaveRun()) {
                fail(failed.reason());
            } else {
                refuse(failed.reason(), failed.waitMs());
            }
        }
    }

    private void end() {
        over = true;
        if (deadline != null) {
            deadline.cancel();
        }
        context.countInFlight(-1);
    }

    /** Whether the client needs no answer any more. */
    final boolean isOver() {
        return over;
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

    final double arrivedMs() {
        return arrivedMs;
    }

    /** When the client gives up, on the proxy's clock. */
    final double deadlineMs() {
        return deadlineMs;
    }
}
