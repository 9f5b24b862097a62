package ridgemill.cdn.proxy;

import io.netty.channel.EventLoop;
import ridgemill.core.Timers;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.LoopTimers;

/** A loop's timers whose time a test may move on, as if the process had stood still: timers are late then. */
final class JumpingTimers implements Timers {

    private final Clock clock = new Clock();
    private final LoopTimers timers;
    private volatile double jumpedMs;

    JumpingTimers(EventLoop loop) {
        timers = new LoopTimers(loop, clock);
    }

    /** Time passes without anything being done. */
    void jump(double ms) {
        jumpedMs += ms;
    }

    @Override
    public double now() {
        return clock.now() + jumpedMs;
    }

    @Override
    public Timer scheduleAt(double atMs, Runnable task) {
        return timers.scheduleAt(atMs - jumpedMs, task);
    }
}
