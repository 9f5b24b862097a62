package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;

/** Timings of one group of nodes: those of its classes, and the network delay to its nodes. Not thread-safe. */
public final class GroupTimings {

    private final Deadlines all;
    private final Map<String, ClassTimings> classes = new HashMap<>();
    private final ReturnDelay connecting = new ReturnDelay();
    private CancellationCost cachePrice;
    private CancellationCost storePrice;

    GroupTimings(Deadlines all) {
        this.all = all;
    }

    /** The timings of a class, created on first use. */
    public ClassTimings forClass(String service) {
        return classes.computeIfAbsent(service, s -> new ClassTimings(this));
    }

    /**
     * Records how long a connection to a node took to be established: one network round trip without work of the node.
     */
    public void recordConnectTime(double ms) {
        connecting.record(ms);
    }

    /**
     * The part of the remaining time to reserve for the way back of a node's response, in milliseconds: half of the
     * time in which connections are established, which operating systems do without the node's program.
     */
    public double returnReserveMs(double leftMs) {
        return all.policy().dropsLate()
                ? connecting.reserveMs(leftMs, all.policy().maxReserveFraction()) / 2 : 0;
    }

    DeadlinePolicy policy() {
        return all.policy();
    }

    Verdict counted(RequestStage place, Verdict verdict) {
        return all.counted(place, verdict);
    }

    void answered(double ms, boolean fresh, boolean atStore) {
        CancellationCost price = atStore ? storePrice : cachePrice;
        if (price != null) {
            price.answered(ms, fresh);
        }
    }

    boolean closes(double nowMs, double elapsedMs, ResponseTimes times, boolean atStore) {
        if (!policy().weighsCancellationCost()) {
            return true;
        }
        if (cachePrice == null) {
            cachePrice = new CancellationCost(nowMs);
            storePrice = new CancellationCost(nowMs);
        }
        boolean closes = (atStore ? storePrice : cachePrice).shouldCloseConnection(nowMs, elapsedMs, times);
        all.cancelled(closes);
        return closes;
    }
}
