package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;

/** Timings of one group of nodes: those of its classes, and the network delay to its nodes. Not thread-safe. */
public final class GroupTimings {

    private final Deadlines deadlines;
    private final Map<String, ClassTimings> classes = new HashMap<>();
    private final ReturnDelay connectTime = new ReturnDelay();
    private CancellationCost cacheCost;
    private CancellationCost originCost;

    GroupTimings(Deadlines deadlines) {
        this.deadlines = deadlines;
    }

    /** The timings of a class, created on first use. */
    public ClassTimings forClass(String service) {
        return classes.computeIfAbsent(service, s -> new ClassTimings(this));
    }

    /**
     * Records how long a connection to a node took to be established: one network round trip without work of the node.
     */
    public void recordConnectTime(double ms) {
        connectTime.record(ms);
    }

    /**
     * The part of the remaining time to reserve for the way back of a node's response, in milliseconds: half of the
     * time in which connections are established, which operating systems do without the node's program.
     */
    public double returnReserveMs(double remainingMs) {
        return deadlines.policy().dropsLate()
                ? connectTime.reserveMs(remainingMs, deadlines.policy().maxReserveFraction()) / 2 : 0;
    }

    DeadlinePolicy policy() {
        return deadlines.policy();
    }

    Verdict counted(RequestStage stage, Verdict verdict) {
        return deadlines.counted(stage, verdict);
    }

    void answered(double ms, boolean newConnection, boolean atOrigin) {
        CancellationCost cost = atOrigin ? originCost : cacheCost;
        if (cost != null) {
            cost.answered(ms, newConnection);
        }
    }

    boolean shouldCloseConnection(double nowMs, double elapsedMs, ResponseTimes times, boolean atOrigin) {
        if (!policy().weighsCancellationCost()) {
            return true;
        }
        if (cacheCost == null) {
            cacheCost = new CancellationCost(nowMs);
            originCost = new CancellationCost(nowMs);
        }
        boolean closes = (atOrigin ? originCost : cacheCost).shouldCloseConnection(nowMs, elapsedMs, times);
        deadlines.cancelled(closes);
        return closes;
    }
}
