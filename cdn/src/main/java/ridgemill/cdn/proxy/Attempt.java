package ridgemill.cdn.proxy;

import java.util.function.Consumer;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.Invariant;
import ridgemill.core.Timers;

/**
 * One request at one instance, from the wish for a connection to its verdict. Reports what came of it to the
 * statistics.
 */
final class Attempt implements ConnectionListener {

    private static final double MIN_REMAINING_MS = 1;

    private final ProxyContext context;
    private final Upstream upstream;
    private final InstanceStats instance;
    private final ConnectionPool pool;
    private final OutgoingRequest request;
    private final boolean retryable;
    private final Consumer<Attempt> callback;
    private InstanceConnection connection;
    private Timers.Timer timer;
    private double deadlineMs;
    private double responseTimeoutAtMs;
    private double sentAtMs = Double.NaN;
    private AttemptOutcome outcome;
    private InstanceResponse response;
    private boolean finished;

    Attempt(
            ProxyContext context,
            Upstream upstream,
            InstanceStats instance,
            OutgoingRequest request,
            boolean repeatable,
            Consumer<Attempt> callback) {
        this.context = context;
        this.upstream = upstream;
        this.instance = instance;
        this.pool = upstream.pool(instance);
        this.request = request;
        this.retryable = repeatable;
        this.callback = callback;
    }

    InstanceStats instance() {
        return instance;
    }

    /** How it ended. */
    AttemptOutcome outcome() {
        return outcome;
    }

    /** The answer, if the verdict is that there is one. */
    InstanceResponse response() {
        return response;
    }

    /** Whether the request was handed to a connection, so that it may have arrived. */
    boolean isSent() {
        return !Double.isNaN(sentAtMs) && outcome != AttemptOutcome.NEVER_WRITTEN;
    }

    /**
     * Begins.
     *
     * @param requestDeadlineMs when the request's sender gives up
     * @param silentUntilMs until when silence is borne
     */
    void start(double requestDeadlineMs, double silentUntilMs) {
        deadlineMs = requestDeadlineMs;
        responseTimeoutAtMs = silentUntilMs;
        instance.requestStarted();
        pool.acquire(retryable, this::connected);
    }

    private void connected(InstanceConnection given) {
        double nowMs = context.now();
        if (finished) {
            connectedAfterCancel(given);
        } else if (given == null) {
            end(AttemptOutcome.CONNECT_FAILED, null);
        } else if (pool.isClosed() || deadlineMs - nowMs < MIN_REMAINING_MS) {
            // The instance began to leave while the connection came up, or this process stood still: what is sent now
            // would run too late.
            pool.release(given);
            end(AttemptOutcome.NEVER_WRITTEN, null);
        } else {
            connection = given;
            sentAtMs = nowMs;
            upstream.meters().countSent();
            context.invariants()
                    .check(
                            upstream.originShare().isWithinShare(),
                            Invariant.REQUESTS_WITHIN_PART,
                            instance.instance().service());
            if (responseTimeoutAtMs < Double.POSITIVE_INFINITY) {
                timer = context.timers().scheduleAt(responseTimeoutAtMs, this::timedOut);
            }
            given.send(
                    request.encode(context.allocator(), instance.instance().id(), deadlineMs - nowMs),
                    request.attemptId(),
                    request.isHead(),
                    nowMs,
                    this);
        }
    }

    /** It was cancelled while its connection came up: the place that this held is free from now on. */
    private void connectedAfterCancel(InstanceConnection given) {
        instance.requestWithdrawn();
        if (given != null) {
            pool.release(given);
        }
        upstream.retryWaiting();
    }

    private void timedOut() {
        if (!finished) {
            connection.abort();
            end(AttemptOutcome.SILENT, null);
        }
    }

    /** Gives it up without a word to the callback. A connection that is coming up holds its place until it is there. */
    void cancel(boolean late) {
        if (finished) {
            return;
        }
        finished = true;
        stopTimer();
        if (connection != null) {
            connection.abort();
        }
        if (isSent() && late) {
            report(AttemptOutcome.SILENT);
        } else {
            if (connection != null) {
                instance.requestWithdrawn();
            }
            returnOriginShare();
        }
        upstream.retryWaiting();
    }

    @Override
    public void exchangeEnded(AttemptOutcome how, InstanceResponse whole, String load) {
        if (load != null) {
            LoadHeader.apply(instance, load, context.now());
        }
        boolean broke = how == AttemptOutcome.RESET || how == AttemptOutcome.NEVER_WRITTEN;
        if (broke && connection.idleBeforeMs() == 0) {
            upstream.meters().countBrokenUnused();
        }
        pool.exchangeEnded(connection, broke);
        end(how, whole);
    }

    private void end(AttemptOutcome how, InstanceResponse whole) {
        if (finished) {
            return;
        }
        finished = true;
        stopTimer();
        outcome = how;
        response = whole;
        if (connection == null && how == AttemptOutcome.NEVER_WRITTEN) {
            instance.requestWithdrawn();
        } else {
            report(how);
        }
        returnOriginShare();
        callback.accept(this);
        upstream.retryWaiting();
    }

    private void returnOriginShare() {
        if (!isSent()) {
            upstream.originShare().giveBack(context.now());
        }
    }

    private void report(AttemptOutcome how) {
        double nowMs = context.now();
        double elapsedMs = nowMs - sentAtMs;
        boolean failedInside = response != null && response.isFailure();
        boolean timely = elapsedMs <= request.targetLatencyMs();
        instance.requestEnded(
                nowMs, how, elapsedMs, failedInside, upstream.picker().mayEject(nowMs));
        switch (how) {
            case ANSWERED -> upstream.admission().countAttempt(!failedInside && timely);
            case SILENT, GARBLED -> upstream.admission().countAttempt(false);
            case RESET, CONNECT_FAILED -> upstream.admission().countConnectionFailure();
            case DECLINED -> upstream.admission().countAttempt(false);
            case REFUSED_BY_CACHE, MISDIRECTED, NEVER_WRITTEN -> {}
            default -> throw new IllegalStateException(how.name());
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
