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
public final class OrderWatch<T> {

    /** Answers that are due in less than this are due now: what gives them up has to be written yet. */
    private static final double DUE_MS = 8;
    /** Where one that was given up still has no answer, it is looked at again so much later. */
    private static final double AGAIN_MS = 20;

    private final EventLoop loop;
    private final DoubleSupplier now;
    private final Consumer<T> givesUp;
    private final PipelineDeadlines<T> order = new PipelineDeadlines<>();
    private Future<?> wake;
    private double wakeMs = Double.POSITIVE_INFINITY;

    /** {@code now} is the time in milliseconds; {@code givesUp} is told each request that needs its final answer now. */
    public OrderWatch(EventLoop loop, DoubleSupplier now, Consumer<T> givesUp) {
        this.loop = loop;
        this.now = now;
        this.givesUp = givesUp;
    }

    /** One more, behind all others, whose answer must leave by then; infinite where nothing says so yet. */
    public void add(T request, double dueMs) {
        order.add(request, dueMs);
    }

    /** The answer of one that is in it must leave by then, or earlier. */
    public void due(T request, double dueMs) {
        order.shorten(request, dueMs);
    }

    /** The first has left. */
    public void left() {
        order.removeFirst();
    }

    /** Requests were added: wakes in time for them. */
    public void watch() {
        watch(0);
    }

    private void watch(double leastMs) {
        double at = order.nextDeadlineMs();
        if (at >= wakeMs || at == Double.POSITIVE_INFINITY) {
            return;
        }
        close();
        wakeMs = at;
        wake = loop.schedule(this::giveUp, (long) (1e6 * Math.max(leastMs, at - DUE_MS - now.getAsDouble())), TimeUnit.NANOSECONDS);
    }

    private void giveUp() {
        wake = null;
        wakeMs = Double.POSITIVE_INFINITY;
        if (order.size() > 1) {
            order.overdue(now.getAsDouble() + DUE_MS).forEach(givesUp);
        }
        watch(AGAIN_MS);
    }

    /** Wakes no more. */
    public void close() {
        if (wake != null) {
            wake.cancel(false);
            wake = null;
        }
        wakeMs = Double.POSITIVE_INFINITY;
    }
}
