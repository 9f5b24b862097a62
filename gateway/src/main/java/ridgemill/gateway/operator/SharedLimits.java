package ridgemill.gateway.operator;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import ridgemill.gateway.Service;
import ridgemill.gateway.net.Clock;
import ridgemill.limit.ShareAllocator;
import ridgemill.limit.Limits;
import ridgemill.limit.LoopShare;

/** Carries what loops used of a file's limits to the {@link ShareAllocator}, which the door owns, and what they may use back. */
final class SharedLimits {

    /** How long a loop may lack what another does not use; each round wakes every loop. */
    private static final long ROUND_MS = 20;

    /** One of the loops. */
    record Loop(Service service, OperatorGate gate) { }

    private final EventLoop door;
    private final Clock clock;
    private final List<Loop> loops;
    private final ShareAllocator lender;
    private Limits limits;
    private int rounds;
    /** Answers that are due before the next step of a round. */
    private int awaited;

    SharedLimits(EventLoop door, Clock clock, Limits limits, List<Loop> loops) {
        this.door = door;
        this.clock = clock;
        this.limits = limits;
        this.loops = loops;
        this.lender = new ShareAllocator(limits, loops.size());
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

    /**
     * Asks each loop what it used. What is decided of that goes out once all have told, or with the next round where one is
     * stuck; and as soon as those whose share has shrunk have told what they still need, the rest is lent on.
     */
    private void round() {
        if (limits.equals(Limits.NONE)) {
            return;
        }
        if (awaited > 0) {
            lendOn();
        }
        int asked = ++rounds;
        awaited = 0;
        for (int i = 0; i < loops.size(); i++) {
            int number = i;
            Loop loop = loops.get(i);
            awaited += ask(loop, () -> loop.gate().report(clock.now()), report -> {
                lender.report(number, report);
                arrived(asked, () -> decide(this::lendOn));
            }) ? 1 : 0;
        }
    }

    private void arrived(int round, Runnable then) {
        if (round == rounds && --awaited == 0) {
            then.run();
        }
    }

    private void lendOn() {
        decide(() -> { });
    }

    /** Sends out what is decided; {@code then} runs when the loops that it is for have told what they hold. */
    private void decide(Runnable then) {
        List<LoopShare.Grant> grants = lender.allocate();
        int round = rounds;
        awaited = 0;
        for (int i = 0; i < grants.size(); i++) {
            int number = i;
            LoopShare.Grant grant = grants.get(i);
            Loop loop = loops.get(i);
            if (grant != null) {
                awaited += ask(loop, () -> take(loop, grant), held -> {
                    lender.reportInFlight(number, held);
                    arrived(round, then);
                }) ? 1 : 0;
            }
        }
    }

    private LoopShare.InFlightReport take(Loop loop, LoopShare.Grant grant) {
        loop.gate().take(grant, clock.now());
        loop.service().intake().limitsChanged();
        return loop.gate().held();
    }

    /** Asks a loop something and has the answer on the door; false where the loop has ended, with what it had in hand. */
    private <T> boolean ask(Loop loop, Supplier<T> question, Consumer<T> answer) {
        try {
            loop.service().loop().execute(() -> {
                T told = question.get();
                try {
                    door.execute(() -> answer.accept(told));
                } catch (RejectedExecutionException e) {
                    return;
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }
}
