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

    private static final double LEAST_LEFT_MS = 1;

    private final ProxyContext context;
    private final Upstream upstream;
    private final InstanceStats instance;
    private final InstancePool pool;
    private final OutgoingRequest request;
    private final boolean repeatable;
    private final Consumer<Attempt> callback;
    private InstanceConnection connection;
    private Timers.Timer timer;
    private double deadlineMs;
    private double endMs;
    private double sentAtMs = Double.NaN;
    private AttemptOutcome verdict;
    private InstanceAnswer answer;
    private boolean over;

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
        this.repeatable = repeatable;
        this.callback = callback;
    }

    InstanceStats instance() {
        return instance;
    }

    /** How it ended. */
    AttemptOutcome verdict() {
        return verdict;
    }

    /** The answer, if the verdict is that there is one. */
    InstanceAnswer answer() {
        return answer;
    }

    /** Whether the request was handed to a connection, so that it may have arrived. */
    boolean isSent() {
        return !Double.isNaN(sentAtMs) && verdict != AttemptOutcome.NEVER_WRITTEN;
    }

    /**
     * Begins.
     *
     * @param requestDeadlineMs when the request's sender gives up
     * @param silentUntilMs until when silence is borne
     */
    void start(double requestDeadlineMs, double silentUntilMs) {
        deadlineMs = requestDeadlineMs;
        endMs = silentUntilMs;
        instance.requestStarted();
        pool.acquire(repeatable, this::connected);
    }

    private void connected(InstanceConnection given) {
        double nowMs = context.now();
        if (over) {
            abandoned(given);
        } else if (given == null) {
            end(AttemptOutcome.CONNECT_FAILED, null);
        } else if (pool.isClosed() || deadlineMs - nowMs < LEAST_LEFT_MS) {
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
            if (endMs < Double.POSITIVE_INFINITY) {
                timer = context.timers().scheduleAt(endMs, this::silent);
            }
            given.send(
                    request.bytes(context.allocator(), instance.instance().id(), deadlineMs - nowMs),
                    request.attemptId(),
                    request.isHead(),
                    nowMs,
                    this);
        }
    }

    /** It was cancelled while its connection came up: the place that this held is free from now on. */
    private void abandoned(InstanceConnection given) {
        instance.requestWithdrawn();
        if (given != null) {
            pool.release(given);
        }
        upstream.recall();
    }

    private void silent() {
        if (!over) {
            connection.abort();
            end(AttemptOutcome.SILENT, null);
        }
    }

    /** Gives it up without a word to the callback. A connection that is coming up holds its place until it is there. */
    void cancel(boolean late) {
        if (over) {
            return;
        }
        over = true;
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
            giveBackShare();
        }
        upstream.recall();
    }

    @Override
    public void ended(AttemptOutcome how, InstanceAnswer whole, String load) {
        if (load != null) {
            LoadHeader.tell(instance, load, context.now());
        }
        boolean broke = how == AttemptOutcome.RESET || how == AttemptOutcome.NEVER_WRITTEN;
        if (broke && connection.idleBeforeMs() == 0) {
            upstream.meters().countBrokenUnused();
        }
        pool.used(connection, broke);
        end(how, whole);
    }

    private void end(AttemptOutcome how, InstanceAnswer whole) {
        if (over) {
            return;
        }
        over = true;
        stopTimer();
        verdict = how;
        answer = whole;
        if (connection == null && how == AttemptOutcome.NEVER_WRITTEN) {
            instance.requestWithdrawn();
        } else {
            report(how);
        }
        giveBackShare();
        callback.accept(this);
        upstream.recall();
    }

    private void giveBackShare() {
        if (!isSent()) {
            upstream.originShare().giveBack(context.now());
        }
    }

    private void report(AttemptOutcome how) {
        double nowMs = context.now();
        double elapsedMs = nowMs - sentAtMs;
        boolean failedInside = answer != null && answer.isFailure();
        boolean timely = elapsedMs <= request.targetMs();
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
