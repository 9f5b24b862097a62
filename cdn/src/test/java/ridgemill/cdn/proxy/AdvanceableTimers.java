package ridgemill.cdn.proxy;

import io.netty.channel.EventLoop;
import ridgemill.core.Timers;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.LoopTimers;

/**
 * The timers of an event loop with a clock that a test can advance, as if the process had been paused: timers then
 * fire late.
 */
final class AdvanceableTimers implements Timers {

    private final Clock clock = new Clock();
    private final LoopTimers timers;
    private volatile double advancedMs;

    AdvanceableTimers(EventLoop loop) {
        timers = new LoopTimers(loop, clock);
    }

    /** Advances the clock; timers do not fire in between. */
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
