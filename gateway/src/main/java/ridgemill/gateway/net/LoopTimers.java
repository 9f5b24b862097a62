package ridgemill.gateway.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import ridgemill.core.Timers;

/** The time and the timers of an event loop. */
public final class LoopTimers implements Timers {

    private final EventLoop loop;
    private final Clock clock;

    public LoopTimers(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public double now() {
        return clock.now();
    }

    @Override
    public Timer scheduleAt(double atMs, Runnable task) {
        Future<?> scheduled = loop.schedule(task, clock.nanosUntil(atMs), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
