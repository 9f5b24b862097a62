package ridgemill.gateway.front;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import ridgemill.deadline.PipelineDeadlines;

/**
 * Keeps the times of one connection's requests whose answers leave in their order, and wakes when one is due that another holds
 * up. Used on the loop alone.
 *
 * @param <T> what stands for a request
 */
public final class PipelineTimer<T> {

    /** Answers that are due in less than this are due now: what gives them up has to be written yet. */
    private static final double DEADLINE_MARGIN_MS = 8;
    /** Where one that was given up still has no answer, it is looked at again so much later. */
    private static final double RECHECK_MS = 20;

    private final EventLoop loop;
    private final DoubleSupplier clockMs;
    private final Consumer<T> onOverdue;
    private final PipelineDeadlines<T> deadlines = new PipelineDeadlines<>();
    private Future<?> wakeUp;
    private double wakeUpMs = Double.POSITIVE_INFINITY;

    /** {@code now} is the time in milliseconds; {@code givesUp} is told each request that needs its final answer now. */
    public PipelineTimer(EventLoop loop, DoubleSupplier now, Consumer<T> givesUp) {
        this.loop = loop;
        this.clockMs = now;
        this.onOverdue = givesUp;
    }

    /** One more, behind all others, whose answer must leave by then; infinite where nothing says so yet. */
    public void add(T request, double dueMs) {
        deadlines.add(request, dueMs);
    }

    /** The answer of one that is in it must leave by then, or earlier. */
    public void shortenDeadline(T request, double dueMs) {
        deadlines.shorten(request, dueMs);
    }

    /** The first has left. */
    public void removeFirst() {
        deadlines.removeFirst();
    }

    /** Requests were added: wakes in time for them. */
    public void schedule() {
        schedule(0);
    }

    private void schedule(double leastMs) {
        double at = deadlines.nextDeadlineMs();
        if (at >= wakeUpMs || at == Double.POSITIVE_INFINITY) {
            return;
        }
        cancel();
        wakeUpMs = at;
        wakeUp = loop.schedule(this::reportOverdue, (long) (1e6 * Math.max(leastMs, at - DEADLINE_MARGIN_MS - clockMs.getAsDouble())), TimeUnit.NANOSECONDS);
    }

    private void reportOverdue() {
        wakeUp = null;
        wakeUpMs = Double.POSITIVE_INFINITY;
        if (deadlines.size() > 1) {
            deadlines.overdue(clockMs.getAsDouble() + DEADLINE_MARGIN_MS).forEach(onOverdue);
        }
        schedule(RECHECK_MS);
    }

    /** Wakes no more. */
    public void cancel() {
        if (wakeUp != null) {
            wakeUp.cancel(false);
            wakeUp = null;
        }
        wakeUpMs = Double.POSITIVE_INFINITY;
    }
}
