package ridgemill.cdn.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Ends a process that serves clients so that each request that it reads is answered before its end. New connections
 * are accepted until the clients have learned that the process stops. On them any request is served for a while; then
 * connections without a request are closed, and a request that might take too long is refused. The process ends once
 * nothing is unfinished, or at the end of its time. Used on the event loop.
 */
final class GracefulShutdown {

    private static final long CHECK_INTERVAL_MS = 20;
    /** How long before the end requests that have not arrived completely are refused, in milliseconds. */
    private static final long REFUSAL_MS = 400;
    /** How long before the end the last response is written, in milliseconds. */
    private static final long RESPONSE_MARGIN_MS = 100;

    /**
     * When each step begins, in milliseconds from the start of the shutdown.
     *
     * @param drainAtMs when connections begin to be closed after their next response
     * @param acceptUntilMs when no more connections are accepted
     * @param openUntilMs when connections without a request are closed, and requests that might not be answered in time
     *     are refused
     * @param endMs when the process ends even if requests are unfinished
     */
    record Schedule(long drainAtMs, long acceptUntilMs, long openUntilMs, long endMs) {}

    private final EventLoop loop;
    private final DataPath dataPath;
    private final Schedule schedule;
    private final Runnable exitTask;
    private boolean ended;

    /**
     * Creates a shutdown that has not started.
     *
     * @param exitTask ends the process; runs once
     */
    GracefulShutdown(EventLoop loop, DataPath dataPath, Schedule schedule, Runnable exitTask) {
        this.loop = loop;
        this.dataPath = dataPath;
        this.schedule = schedule;
        this.exitTask = exitTask;
    }

    /** Starts the shutdown. */
    void start() {
        runAt(schedule.drainAtMs, this::drain);
        runAt(schedule.acceptUntilMs, dataPath::stopAccepting);
        runAt(schedule.openUntilMs, this::closeIdle);
        runAt(schedule.endMs - REFUSAL_MS, dataPath::refuseIncompleteRequests);
        runAt(schedule.endMs, this::end);
    }

    private void runAt(long delayMs, Runnable step) {
        loop.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }

    private void drain() {
        long openMs = schedule.openUntilMs - schedule.drainAtMs;
        long responseMs = schedule.endMs - RESPONSE_MARGIN_MS - schedule.drainAtMs;
        dataPath.drain(openMs, responseMs);
    }

    private void closeIdle() {
        dataPath.closeIdleConnections();
        runAt(CHECK_INTERVAL_MS, this::endWhenIdle);
    }

    private void endWhenIdle() {
        if (dataPath.isIdle()) {
            end();
        } else {
            runAt(CHECK_INTERVAL_MS, this::endWhenIdle);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            exitTask.run();
        }
    }
}
