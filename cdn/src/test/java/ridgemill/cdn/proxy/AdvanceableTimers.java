package ridgemill.cdn.proxy;

import io.netty.channel.EventLoop;
import ridgemill.core.Timers;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.LoopTimers;

/** A loop's timers whose time a test may move on, as if the process had stood still: timers are late then. */
final class AdvanceableTimers implements Timers {

    private final Clock clock = new Clock();
    private final LoopTimers timers;
    private volatile double advancedMs;

    AdvanceableTimers(EventLoop loop) {
        timers = new LoopTimers(loop, clock);
    }

    /** Time passes without anything being done. */
    void advance(double ms) {
        advancedMs += ms;
    }

    @Override
    public double now() {
        return clock.now() + advancedMs;
    }

    @Override
    public Timer scheduleAt(double atMs, Runnable task) {
        return timers.scheduleAt(atMs - advancedMs, task);
    }
}
