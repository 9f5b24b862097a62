package ridgemill.gateway.operator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import ridgemill.gateway.Service;
import ridgemill.gateway.net.Clock;
import ridgemill.limit.Lender;
import ridgemill.limit.Limits;
import ridgemill.limit.LoopShare;

/** Carries what loops used of a file's limits to the {@link Lender}, which the door owns, and what they may use back. */
final class SharedLimits {

    /** How long a loop may lack what another does not use; each round wakes every loop. */
    private static final long ROUND_MS = 20;

    /** One of the loops. */
    record Loop(Service service, OperatorGate gate) { }

    private final EventLoop door;
    private final Clock clock;
    private final List<Loop> loops;
    private final Lender lender;
    private Limits limits;

    SharedLimits(EventLoop door, Clock clock, Limits limits, List<Loop> loops) {
        this.door = door;
        this.clock = clock;
        this.limits = limits;
        this.loops = loops;
        this.lender = new Lender(limits, loops.size());
    }

    void start() {
        door.scheduleAtFixedRate(this::round, ROUND_MS, ROUND_MS, TimeUnit.MILLISECONDS);
    }

    /** Other limits hold; the loops' gates have been told. Not to be called on the door. */
    void changeTo(Limits next) {
        door.submit(() -> {
            limits = next;
            lender.changeTo(next);
        }).syncUninterruptibly();
    }

    private void round() {
        if (limits.equals(Limits.NONE)) {
            return;
        }
        List<LoopShare.Grant> grants = lender.decide();
        for (int i = 0; i < loops.size(); i++) {
            int number = i;
            Loop loop = loops.get(i);
            LoopShare.Grant grant = grants.get(i);
            try {
                loop.service().loop().execute(() -> turn(number, loop, grant));
            } catch (RejectedExecutionException e) {
                // It has ended; what it had in hand ended before it.
                continue;
            }
        }
    }

    private void turn(int number, Loop loop, LoopShare.Grant grant) {
        if (grant != null) {
            loop.gate().take(grant, clock.now());
            loop.service().intake().limitsChanged();
        }
        LoopShare.Report report = loop.gate().report(clock.now());
        try {
            door.execute(() -> lender.report(number, report));
        } catch (RejectedExecutionException e) {
            return;
        }
    }
}
