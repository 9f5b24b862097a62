package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.edge.InstancePicker.Pick;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.core.Timers;

/**
 * Brings one request to an instance of its service and its answer back, over as many instances as the route, the
 * deadline and the retry budget allow. Another one is tried only where the request has not run, or may run more than
 * once.
 */
final class Delivery {

    /** Time that must be left for an attempt to make sense, in milliseconds. */
    private static final double LEAST_LEFT_MS = 2;
    /** Connections that may fail to come up before a request is given up. */
    private static final int MOST_CONNECT_FAILURES = 4;
    /** Part of the route's target that a request waits for room at an instance. */
    private static final double PATIENCE = 0.2;
    /** Part of the time left after which a silent attempt is given up where another one is possible. */
    private static final double FIRST_PART = 0.6;
    /** How much later than nearly all answers a silent attempt is given up. */
    private static final double LATE = 2;

    /** How a delivery ended. */
    sealed interface Result {

        /** A whole answer of an instance that ran the request. */
        record Answered(InstanceAnswer answer) implements Result {}

        /**
         * There is no answer to pass on.
         *
         * @param mayHaveRun whether the request may have run, or may still
         * @param reason what stopped it
         * @param waitMs when another try makes sense, in milliseconds
         */
        record Failed(boolean mayHaveRun, RefusalReason reason, double waitMs) implements Result {}
    }

    private final ProxyContext context;
    private final Upstream upstream;
    private final Route route;
    private final OutgoingRequest request;
    private final boolean repeatable;
    private final double deadlineMs;
    private final Consumer<Result> callback;
    private final List<InstanceStats> tried = new ArrayList<>(2);
    private InstanceAnswer lastAnswer;
    private Attempt current;
    private Timers.Timer patience;
    private boolean outOfPatience;
    private boolean over;
    private boolean noRepeats;
    private boolean mayHaveRun;
    private int sent;
    private int connectFailures;

    /**
     * A delivery that has not started.
     *
     * @param repeatable whether the request may run more than once
     * @param deadlineMs when its sender gives up, on the proxy's clock
     * @param callback told the result exactly once, unless the delivery is cancelled
     */
    Delivery(
            ProxyContext context,
            Upstream upstream,
            Route route,
            OutgoingRequest request,
            boolean repeatable,
            double deadlineMs,
            Consumer<Result> callback) {
        this.context = context;
        this.upstream = upstream;
        this.route = route;
        this.request = request;
        this.repeatable = repeatable;
        this.deadlineMs = deadlineMs;
        this.callback = callback;
    }

    /** Whether the request may have run, or may be running. */
    boolean mayHaveRun() {
        return mayHaveRun || current != null && current.isSent();
    }

    /** Sends the request, or tells at once why it can't. */
    void start() {
        tryNext();
    }

    /** Lets an attempt that is under way end, and makes no further one. */
    void stopRepeating() {
        noRepeats = true;
    }

    /**
     * Gives the request up without a word to the callback.
     *
     * @param late whether its time has passed, which tells of the instance
     */
    void cancel(boolean late) {
        over = true;
        stopWaiting();
        if (current != null) {
            Attempt ended = current;
            current = null;
            ended.cancel(late);
        }
    }

    /** An instance may have room now. */
    void roomAgain() {
        if (!over && current == null) {
            tryNext();
        }
    }

    private void tryNext() {
        double nowMs = context.now();
        if (deadlineMs - nowMs < LEAST_LEFT_MS) {
            fail(RefusalReason.OUT_OF_TIME, 0);
            return;
        }
        Pick pick = upstream.picker().pick(nowMs, request.placeKey(), tried);
        if (pick instanceof Pick.Chosen chosen) {
            stopWaiting();
            begin(chosen.instance(), nowMs);
        } else if (pick instanceof Pick.Saturated && !outOfPatience) {
            awaitRoom(nowMs);
        } else {
            stopWaiting();
            RefusalReason reason = pick instanceof Pick.Saturated ? RefusalReason.CROWDED : RefusalReason.NO_INSTANCE;
            fail(reason, route.targetLatencyMs() * PATIENCE);
        }
    }

    private void awaitRoom(double nowMs) {
        upstream.await(this);
        if (patience == null) {
            double untilMs = Math.min(deadlineMs - LEAST_LEFT_MS, nowMs + PATIENCE * route.targetLatencyMs());
            patience = context.timers().scheduleAt(untilMs, () -> {
                outOfPatience = true;
                upstream.forget(this);
                roomAgain();
            });
        }
    }

    private void stopWaiting() {
        if (patience != null) {
            patience.cancel();
            patience = null;
            upstream.forget(this);
        }
    }

    private void begin(InstanceStats instance, double nowMs) {
        if (!upstream.originShare().tryTake(nowMs)) {
            fail(RefusalReason.ORIGIN_RATE, upstream.originShare().waitMs(nowMs));
        } else if (sent > 0
                && !upstream.budget().tryRetry(nowMs, context.control().fleet().senderCount())) {
            upstream.originShare().giveBack(nowMs);
            fail(RefusalReason.RETRY_BUDGET, route.targetLatencyMs());
        } else {
            current = new Attempt(context, upstream, instance, request, repeatable, this::ended);
            current.start(deadlineMs, attemptEndMs(instance, nowMs));
        }
    }

    /** When a silent attempt is given up: at the deadline, or sooner if a repeat makes sense. */
    private double attemptEndMs(InstanceStats instance, double nowMs) {
        boolean last = !repeatable || sent + 1 >= route.maxAttempts() || context.isDraining();
        if (last || Double.isNaN(instance.meanLatencyMs())) {
            return Double.POSITIVE_INFINITY;
        }
        double late = Math.max(route.targetLatencyMs(), LATE * instance.highLatencyMs());
        double part = FIRST_PART * (deadlineMs - nowMs);
        return late < part ? nowMs + late : Double.POSITIVE_INFINITY;
    }

    private void ended(Attempt attempt) {
        if (over || attempt != current) {
            return;
        }
        current = null;
        AttemptOutcome verdict = attempt.verdict();
        tried.add(attempt.instance());
        sent += attempt.isSent() ? 1 : 0;
        if (!attempt.isSent() && sent > 0) {
            upstream.budget().giveBack(context.now());
        }
        mayHaveRun |= verdict.mayHaveRun();
        if (verdict == AttemptOutcome.REFUSED_BY_CACHE) {
            refusedByCache(attempt.answer());
        } else if (verdict == AttemptOutcome.ANSWERED) {
            answered(attempt.answer());
        } else if (verdict == AttemptOutcome.CONNECT_FAILED && ++connectFailures >= MOST_CONNECT_FAILURES) {
            fail(RefusalReason.CONNECT_FAILED, route.targetLatencyMs());
        } else {
            repeatOrFail();
        }
    }

    /** Another shared cache would fetch what this one may not: the refusal stands. */
    private void refusedByCache(InstanceAnswer answer) {
        String reason = answer.headers().get(CacheHeaders.REFUSAL);
        boolean unknown = RefusalReason.ROUTE_UNKNOWN.label().equals(reason);
        fail(unknown ? RefusalReason.ROUTE_UNKNOWN : RefusalReason.CACHE_REFUSED, answer.retryAfterMs());
    }

    private void answered(InstanceAnswer answer) {
        lastAnswer = answer;
        if (answer.isFailure() && mayRepeat()) {
            tryNext();
        } else {
            finish(result());
        }
    }

    private void repeatOrFail() {
        if (mayRepeat()) {
            tryNext();
        } else {
            boolean outOfTime = context.now() >= deadlineMs - LEAST_LEFT_MS;
            fail(outOfTime ? RefusalReason.OUT_OF_TIME : RefusalReason.ATTEMPTS_FAILED, 0);
        }
    }

    private boolean mayRepeat() {
        return !noRepeats && sent < route.maxAttempts() && (repeatable || !mayHaveRun);
    }

    private void fail(RefusalReason reason, double waitMs) {
        finish(lastAnswer != null ? result() : new Result.Failed(mayHaveRun, reason, waitMs));
    }

    /** An instance's answer, unless its status would promise what is not so: that the request has not run. */
    private Result result() {
        return switch (lastAnswer.status()) {
            case 408, 421, 429, 503 -> new Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0);
            default -> new Result.Answered(lastAnswer);
        };
    }

    private void finish(Result result) {
        if (!over) {
            over = true;
            stopWaiting();
            callback.accept(result);
        }
    }
}
