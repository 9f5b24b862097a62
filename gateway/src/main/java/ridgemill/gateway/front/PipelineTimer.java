package ridgemill.gateway.front;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import ridgemill.deadline.PipelineDeadlines;

/**
 * Tracks the response deadlines of one connection's pipelined requests, whose responses are sent in request order.
 * Fires when a response is due that an earlier request blocks. Used on the event loop only.
 *
 * @param <T> the type that represents a request
 */
public final class PipelineTimer<T> {

    /** Fires this long before a deadline, as the blocking request's response has to be written first. */
    private static final double DEADLINE_MARGIN_MS = 8;
    /** Interval of further checks while a reported request still has no response. */
    private static final double RECHECK_MS = 20;

    private final EventLoop loop;
    private final DoubleSupplier clockMs;
    private final Consumer<T> onOverdue;
    private final PipelineDeadlines<T> deadlines = new PipelineDeadlines<>();
    private Future<?> wakeUp;
    private double wakeUpMs = Double.POSITIVE_INFINITY;

    /**
     * @param clockMs the current time in milliseconds
     * @param onOverdue called with each request that needs its final response now
     */
    public PipelineTimer(EventLoop loop, DoubleSupplier clockMs, Consumer<T> onOverdue) {
        this.loop = loop;
        this.clockMs = clockMs;
        this.onOverdue = onOverdue;
    }

    /** Appends a request whose response is due at {@code deadlineMs}; infinite if it has no deadline yet. */
    public void add(T request, double deadlineMs) {
        deadlines.add(request, deadlineMs);
    }

    /** Moves a request's deadline forward to {@code deadlineMs}; no effect if it is earlier already. */
    public void shortenDeadline(T request, double deadlineMs) {
        deadlines.shorten(request, deadlineMs);
    }

    /** Removes the first request, whose response was sent. */
    public void removeFirst() {
        deadlines.removeFirst();
    }

    /** Schedules the timer for requests that were added. */
    public void schedule() {
        schedule(0);
    }

    private void schedule(double minDelayMs) {
        double deadlineMs = deadlines.nextDeadlineMs();
        if (deadlineMs >= wakeUpMs || deadlineMs == Double.POSITIVE_INFINITY) {
            return;
        }
        cancel();
        wakeUpMs = deadlineMs;
        wakeUp = loop.schedule(this::reportOverdue, (long) (1e6 * Math.max(minDelayMs,
                deadlineMs - DEADLINE_MARGIN_MS - clockMs.getAsDouble())), TimeUnit.NANOSECONDS);
    }

    private void reportOverdue() {
        wakeUp = null;
        wakeUpMs = Double.POSITIVE_INFINITY;
        if (deadlines.size() > 1) {
            deadlines.overdue(clockMs.getAsDouble() + DEADLINE_MARGIN_MS).forEach(onOverdue);
        }
        schedule(RECHECK_MS);
    }

    /** Cancels the timer. */
    public void cancel() {
        if (wakeUp != null) {
            wakeUp.cancel(false);
            wakeUp = null;
        }
        wakeUpMs = Double.POSITIVE_INFINITY;
    }
}
