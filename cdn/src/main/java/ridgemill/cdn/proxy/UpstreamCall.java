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
final class UpstreamCall {

    /** Time that must be left for an attempt to make sense, in milliseconds. */
    private static final double MIN_REMAINING_MS = 2;
    /** Connections that may fail to come up before a request is given up. */
    private static final int MAX_CONNECT_FAILURES = 4;
    /** Part of the route's target that a request waits for room at an instance. */
    private static final double CAPACITY_WAIT_FRACTION = 0.2;
    /** Part of the time left after which a silent attempt is given up where another one is possible. */
    private static final double FIRST_ATTEMPT_FRACTION = 0.6;
    /** How much later than nearly all answers a silent attempt is given up. */
    private static final double LATE_FACTOR = 2;

    /** How a delivery ended. */
    sealed interface Result {

        /** A whole answer of an instance that ran the request. */
        record Answered(InstanceResponse response) implements Result {}

        /**
         * There is no answer to pass on.
         *
         * @param mayHaveRun whether the request may have run, or may still
         * @param reason what stopped it
         * @param retryAfterMs when another try makes sense, in milliseconds
         */
        record Failed(boolean mayHaveRun, RefusalReason reason, double retryAfterMs) implements Result {}
    }

    private final ProxyContext context;
    private final Upstream upstream;
    private final Route route;
    private final OutgoingRequest request;
    private final boolean retryable;
    private final double deadlineMs;
    private final Consumer<Result> callback;
    private final List<InstanceStats> tried = new ArrayList<>(2);
    private InstanceResponse lastResponse;
    private Attempt currentAttempt;
    private Timers.Timer capacityTimer;
    private boolean capacityWaitExpired;
    private boolean finished;
    private boolean retriesDisabled;
    private boolean mayHaveRun;
    private int sentAttempts;
    private int connectFailures;

    /**
     * A delivery that has not started.
     *
     * @param repeatable whether the request may run more than once
     * @param deadlineMs when its sender gives up, on the proxy's clock
     * @param callback told the result exactly once, unless the delivery is cancelled
     */
    UpstreamCall(
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
        this.retryable = repeatable;
        this.deadlineMs = deadlineMs;
        this.callback = callback;
    }

    /** Whether the request may have run, or may be running. */
    boolean mayHaveRun() {
        return mayHaveRun || currentAttempt != null && currentAttempt.isSent();
    }

    /** Sends the request, or tells at once why it can't. */
    void start() {
        tryNext();
    }

    /** Lets an attempt that is under way end, and makes no further one. */
    void disableRetries() {
        retriesDisabled = true;
    }

    /**
     * Gives the request up without a word to the callback.
     *
     * @param late whether its time has passed, which tells of the instance
     */
    void cancel(boolean late) {
        finished = true;
        stopWaiting();
        if (currentAttempt != null) {
            Attempt ended = currentAttempt;
            currentAttempt = null;
            ended.cancel(late);
        }
    }

    /** An instance may have room now. */
    void capacityAvailable() {
        if (!finished && currentAttempt == null) {
            tryNext();
        }
    }

    private void tryNext() {
        double nowMs = context.now();
        if (deadlineMs - nowMs < MIN_REMAINING_MS) {
            fail(RefusalReason.OUT_OF_TIME, 0);
            return;
        }
        Pick pick = upstream.picker().pick(nowMs, request.hashKey(), tried);
        if (pick instanceof Pick.Chosen chosen) {
            stopWaiting();
            startAttempt(chosen.instance(), nowMs);
        } else if (pick instanceof Pick.Saturated && !capacityWaitExpired) {
            awaitCapacity(nowMs);
        } else {
            stopWaiting();
            RefusalReason reason = pick instanceof Pick.Saturated ? RefusalReason.CROWDED : RefusalReason.NO_INSTANCE;
            fail(reason, route.targetLatencyMs() * CAPACITY_WAIT_FRACTION);
        }
    }

    private void awaitCapacity(double nowMs) {
        upstream.awaitCapacity(this);
        if (capacityTimer == null) {
            double untilMs =
                    Math.min(deadlineMs - MIN_REMAINING_MS, nowMs + CAPACITY_WAIT_FRACTION * route.targetLatencyMs());
            capacityTimer = context.timers().scheduleAt(untilMs, () -> {
                capacityWaitExpired = true;
                upstream.stopAwaiting(this);
                capacityAvailable();
            });
        }
    }

    private void stopWaiting() {
        if (capacityTimer != null) {
            capacityTimer.cancel();
            capacityTimer = null;
            upstream.stopAwaiting(this);
        }
    }

    private void startAttempt(InstanceStats instance, double nowMs) {
        if (!upstream.originShare().tryTake(nowMs)) {
            fail(RefusalReason.ORIGIN_RATE, upstream.originShare().waitMs(nowMs));
        } else if (sentAttempts > 0
                && !upstream.retryBudget()
                        .tryRetry(nowMs, context.control().fleet().senderCount())) {
            upstream.originShare().giveBack(nowMs);
            fail(RefusalReason.RETRY_BUDGET, route.targetLatencyMs());
        } else {
            currentAttempt = new Attempt(context, upstream, instance, request, retryable, this::attemptEnded);
            currentAttempt.start(deadlineMs, responseTimeoutAtMs(instance, nowMs));
        }
    }

    /** When a silent attempt is given up: at the deadline, or sooner if a repeat makes sense. */
    private double responseTimeoutAtMs(InstanceStats instance, double nowMs) {
        boolean last = !retryable || sentAttempts + 1 >= route.maxAttempts() || context.isDraining();
        if (last || Double.isNaN(instance.meanLatencyMs())) {
            return Double.POSITIVE_INFINITY;
        }
        double late = Math.max(route.targetLatencyMs(), LATE_FACTOR * instance.highLatencyMs());
        double part = FIRST_ATTEMPT_FRACTION * (deadlineMs - nowMs);
        return late < part ? nowMs + late : Double.POSITIVE_INFINITY;
    }

    private void attemptEnded(Attempt attempt) {
        if (finished || attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        AttemptOutcome verdict = attempt.outcome();
        tried.add(attempt.instance());
        sentAttempts += attempt.isSent() ? 1 : 0;
        if (!attempt.isSent() && sentAttempts > 0) {
            upstream.retryBudget().giveBack(context.now());
        }
        mayHaveRun |= verdict.mayHaveRun();
        if (verdict == AttemptOutcome.REFUSED_BY_CACHE) {
            refusedByCache(attempt.response());
        } else if (verdict == AttemptOutcome.ANSWERED) {
            responseReceived(attempt.response());
        } else if (verdict == AttemptOutcome.CONNECT_FAILED && ++connectFailures >= MAX_CONNECT_FAILURES) {
            fail(RefusalReason.CONNECT_FAILED, route.targetLatencyMs());
        } else {
            retryOrFail();
        }
    }

    /** Another shared cache would fetch what this one may not: the refusal stands. */
    private void refusedByCache(InstanceResponse answer) {
        String reason = answer.headers().get(CacheHeaders.REFUSAL);
        boolean unknown = RefusalReason.ROUTE_UNKNOWN.label().equals(reason);
        fail(unknown ? RefusalReason.ROUTE_UNKNOWN : RefusalReason.CACHE_REFUSED, answer.retryAfterMs());
    }

    private void responseReceived(InstanceResponse answer) {
        lastResponse = answer;
        if (answer.isFailure() && mayRetry()) {
            tryNext();
        } else {
            finish(result());
        }
    }

    private void retryOrFail() {
        if (mayRetry()) {
            tryNext();
        } else {
            boolean outOfTime = context.now() >= deadlineMs - MIN_REMAINING_MS;
            fail(outOfTime ? RefusalReason.OUT_OF_TIME : RefusalReason.ATTEMPTS_FAILED, 0);
        }
    }

    private boolean mayRetry() {
        return !retriesDisabled && sentAttempts < route.maxAttempts() && (retryable || !mayHaveRun);
    }

    private void fail(RefusalReason reason, double waitMs) {
        finish(lastResponse != null ? result() : new Result.Failed(mayHaveRun, reason, waitMs));
    }

    /** An instance's answer, unless its status would promise what is not so: that the request has not run. */
    private Result result() {
        return switch (lastResponse.status()) {
            case 408, 421, 429, 503 -> new Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0);
            default -> new Result.Answered(lastResponse);
        };
    }

    private void finish(Result result) {
        if (!finished) {
            finished = true;
            stopWaiting();
            callback.accept(result);
        }
    }
}
