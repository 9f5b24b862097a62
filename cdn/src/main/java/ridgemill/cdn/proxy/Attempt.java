package ridgemill.cdn.proxy;

import java.util.function.Consumer;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.Invariant;
import ridgemill.core.Timers;

/**
 * One attempt to send a request to one instance, from acquiring a connection to the outcome, which it reports to the
 * instance's statistics and the service's admission.
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
            boolean retryable,
            Consumer<Attempt> callback) {
        this.context = context;
        this.upstream = upstream;
        this.instance = instance;
        this.pool = upstream.pool(instance);
        this.request = request;
        this.retryable = retryable;
        this.callback = callback;
    }

    InstanceStats instance() {
        return instance;
    }

    /** How the attempt ended; null while it is in progress or if it was cancelled. */
    AttemptOutcome outcome() {
        return outcome;
    }

    /** The response; null unless the instance or shared cache sent a complete one. */
    InstanceResponse response() {
        return response;
    }

    /** Whether the request was passed to a connection, so that it may have reached the instance. */
    boolean isSent() {
        return !Double.isNaN(sentAtMs) && outcome != AttemptOutcome.NEVER_WRITTEN;
    }

    /**
     * Starts the attempt.
     *
     * @param requestDeadlineMs when the sender of the request stops waiting, on the proxy's clock
     * @param timeoutAtMs when the attempt ends as {@code SILENT} if no response has arrived; infinite for no such
     *     timeout
     */
    void start(double requestDeadlineMs, double timeoutAtMs) {
        deadlineMs = requestDeadlineMs;
        responseTimeoutAtMs = timeoutAtMs;
        instance.requestStarted();
        pool.acquire(retryable && request.streamedBody() == null, this::connected);
    }

    private void connected(InstanceConnection newConnection) {
        double nowMs = context.now();
        if (finished) {
            connectedAfterCancel(newConnection);
        } else if (newConnection == null) {
            end(AttemptOutcome.CONNECT_FAILED, null);
        } else if (pool.isClosed() || deadlineMs - nowMs < MIN_REMAINING_MS) {
            // The instance began to drain while the connection was being established, or this process was paused: a
            // request sent now would run too late.
            pool.release(newConnection);
            end(AttemptOutcome.NEVER_WRITTEN, null);
        } else {
            connection = newConnection;
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
            newConnection.send(
                    request.encode(context.allocator(), instance.instance().id(), deadlineMs - nowMs),
                    request.streamedBody(),
                    request.attemptId(),
                    request.isHead(),
                    nowMs,
                    this);
        }
    }

    /**
     * The attempt was cancelled while its connection was being established. The slot that it held at the instance is
     * released now.
     */
    private void connectedAfterCancel(InstanceConnection newConnection) {
        instance.requestWithdrawn();
        if (newConnection != null) {
            pool.release(newConnection);
        }
        upstream.retryWaiting();
    }

    private void timedOut() {
        if (!finished) {
            connection.abort();
            end(AttemptOutcome.SILENT, null);
        }
    }

    /**
     * Cancels the attempt without calling the callback. If its connection is still being established, it keeps its
     * slot at the instance until that ends.
     *
     * @param deadlinePassed whether the request's time has run out, which then counts as a failure of the instance
     */
    void cancel(boolean deadlinePassed) {
        if (finished) {
            return;
        }
        finished = true;
        stopTimer();
        if (connection != null) {
            connection.abort();
        }
        if (isSent() && deadlinePassed) {
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
    public void responseBegun() {
        stopTimer();
    }

    @Override
    public void exchangeEnded(AttemptOutcome result, InstanceResponse completeResponse, String load) {
        if (load != null) {
            LoadHeader.apply(instance, load, context.now());
        }
        boolean connectionBroke = result == AttemptOutcome.RESET || result == AttemptOutcome.NEVER_WRITTEN;
        if (connectionBroke && connection.idleBeforeMs() == 0) {
            upstream.meters().countBrokenUnused();
        }
        pool.exchangeEnded(connection, connectionBroke);
        end(result, completeResponse);
    }

    private void end(AttemptOutcome result, InstanceResponse completeResponse) {
        if (finished) {
            return;
        }
        finished = true;
        stopTimer();
        outcome = result;
        response = completeResponse;
        if (connection == null && result == AttemptOutcome.NEVER_WRITTEN) {
            instance.requestWithdrawn();
        } else {
            report(result);
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

    private void report(AttemptOutcome result) {
        double nowMs = context.now();
        double elapsedMs = nowMs - request.completeAtMs(sentAtMs);
        boolean serverFailed = response != null && response.isFailure();
        boolean timely = elapsedMs <= request.targetLatencyMs();
        instance.requestEnded(
                nowMs, result, elapsedMs, serverFailed, upstream.picker().mayEject(nowMs));
        switch (result) {
            case ANSWERED -> upstream.admission().countAttempt(!serverFailed && timely);
            case SILENT, GARBLED -> upstream.admission().countAttempt(false);
            case RESET, CONNECT_FAILED -> upstream.admission().countConnectionFailure();
            case DECLINED -> upstream.admission().countAttempt(false);
            case REFUSED_BY_CACHE, MISDIRECTED, NEVER_WRITTEN, NOT_HELD -> {}
            default -> throw new IllegalStateException(result.name());
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
