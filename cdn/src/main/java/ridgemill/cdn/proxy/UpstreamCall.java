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
 * Sends one request to an instance of its service and returns the response, trying as many instances as the route, the
 * deadline and the retry budget allow. Another instance is tried only if the request has not run or may run more than
 * once.
 */
final class UpstreamCall {

    /** Minimum time that must remain for an attempt, in milliseconds. */
    private static final double MIN_REMAINING_MS = 2;
    /** Number of failed connection attempts after which a request is given up. */
    private static final int MAX_CONNECT_FAILURES = 4;
    /** Fraction of the route's target latency that a request waits for capacity at an instance. */
    private static final double CAPACITY_WAIT_FRACTION = 0.2;
    /**
     * An attempt without a response ends before the deadline only if it can do so within this fraction of the
     * remaining time, which leaves the rest for another attempt.
     */
    private static final double FIRST_ATTEMPT_FRACTION = 0.6;
    /** An attempt without a response ends after this multiple of the instance's high latency. */
    private static final double LATE_FACTOR = 2;

    /** The result of a call. */
    sealed interface Result {

        /**
         * A complete response of an instance that ran the request.
         *
         * @param responderId the instance or the shared cache that sent the response
         */
        record Answered(InstanceResponse response, String responderId) implements Result {}

        /**
         * There is no response to return.
         *
         * @param mayHaveRun whether the request may have run, or may be running
         * @param reason why it failed
         * @param retryAfterMs when another attempt makes sense, in milliseconds
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
    private String lastResponderId;
    private Attempt currentAttempt;
    private Timers.Timer capacityTimer;
    private boolean capacityWaitExpired;
    private boolean finished;
    private boolean retriesDisabled;
    private boolean mayHaveRun;
    private int sentAttempts;
    private int connectFailures;

    /**
     * Creates a call that has not started.
     *
     * @param retryable whether the request may run more than once
     * @param deadlineMs when the sender of the request stops waiting, on the proxy's clock
     * @param callback receives the result exactly once, unless the call is cancelled
     */
    UpstreamCall(
            ProxyContext context,
            Upstream upstream,
            Route route,
            OutgoingRequest request,
            boolean retryable,
            double deadlineMs,
            Consumer<Result> callback) {
        this.context = context;
        this.upstream = upstream;
        this.route = route;
        this.request = request;
        this.retryable = retryable;
        this.deadlineMs = deadlineMs;
        this.callback = callback;
    }

    /** Whether the request may have run, or may be running. */
    boolean mayHaveRun() {
        return mayHaveRun || currentAttempt != null && currentAttempt.isSent();
    }

    /** Sends the request, or fails at once if that is not possible. */
    void start() {
        tryNext();
    }

    /** Makes no further attempts; an attempt in progress continues. */
    void disableRetries() {
        retriesDisabled = true;
    }

    /**
     * Cancels the call without calling the callback.
     *
     * @param deadlinePassed whether the request's time has run out, which then counts as a failure of the instance
     */
    void cancel(boolean deadlinePassed) {
        finished = true;
        stopWaiting();
        if (currentAttempt != null) {
            Attempt attempt = currentAttempt;
            currentAttempt = null;
            attempt.cancel(deadlinePassed);
        }
    }

    /** An instance may have capacity now. */
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

    /**
     * When an attempt without a response ends, on the proxy's clock. Infinite, so that only the deadline applies, if
     * no retry is possible, the instance's latency is unknown, or there would not be enough time for a retry.
     */
    private double responseTimeoutAtMs(InstanceStats instance, double nowMs) {
        boolean lastAttempt = !retryable
                || request.streamedBody() != null
                || sentAttempts + 1 >= route.maxAttempts()
                || context.isDraining();
        if (lastAttempt || Double.isNaN(instance.meanLatencyMs())) {
            return Double.POSITIVE_INFINITY;
        }
        double lateMs = Math.max(route.targetLatencyMs(), LATE_FACTOR * instance.highLatencyMs());
        double latestMs = FIRST_ATTEMPT_FRACTION * (deadlineMs - nowMs);
        return lateMs < latestMs ? nowMs + lateMs : Double.POSITIVE_INFINITY;
    }

    private void attemptEnded(Attempt attempt) {
        if (finished || attempt != currentAttempt) {
            return;
        }
        currentAttempt = null;
        AttemptOutcome outcome = attempt.outcome();
        tried.add(attempt.instance());
        sentAttempts += attempt.isSent() ? 1 : 0;
        if (!attempt.isSent() && sentAttempts > 0) {
            upstream.retryBudget().giveBack(context.now());
        }
        mayHaveRun |= outcome.mayHaveRun();
        if (outcome == AttemptOutcome.REFUSED_BY_CACHE) {
            refusedByCache(attempt.response());
        } else if (outcome == AttemptOutcome.ANSWERED) {
            lastResponderId = attempt.instance().instance().id();
            responseReceived(attempt.response());
        } else if (outcome == AttemptOutcome.NOT_HELD) {
            fail(RefusalReason.MEMORY, 0);
        } else if (outcome == AttemptOutcome.CONNECT_FAILED && ++connectFailures >= MAX_CONNECT_FAILURES) {
            fail(RefusalReason.CONNECT_FAILED, route.targetLatencyMs());
        } else {
            retryOrFail();
        }
    }

    /** The refusal is final: another shared cache would fetch what this one may not fetch. */
    private void refusedByCache(InstanceResponse response) {
        String reason = response.headers().get(CacheHeaders.REFUSAL);
        boolean unknown = RefusalReason.ROUTE_UNKNOWN.label().equals(reason);
        fail(unknown ? RefusalReason.ROUTE_UNKNOWN : RefusalReason.CACHE_REFUSED, response.retryAfterMs());
    }

    private void responseReceived(InstanceResponse response) {
        lastResponse = response;
        if (response.isFailure() && mayRetry()) {
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
        return !retriesDisabled
                && request.isRepeatable()
                && sentAttempts < route.maxAttempts()
                && (retryable || !mayHaveRun);
    }

    private void fail(RefusalReason reason, double retryAfterMs) {
        finish(lastResponse != null ? result() : new Result.Failed(mayHaveRun, reason, retryAfterMs));
    }

    /**
     * The instance's response, unless clients would conclude from its status that the request has not run, which is
     * not certain.
     */
    private Result result() {
        return switch (lastResponse.status()) {
            case 408, 421, 429, 503 -> new Result.Failed(true, RefusalReason.ATTEMPTS_FAILED, 0);
            default -> new Result.Answered(lastResponse, lastResponderId);
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
