package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;

/** What is known of one group of nodes: its classes, and the way to its nodes and back. Not safe for use by several threads. */
public final class GroupTimings {

    private final Deadlines all;
    private final Map<String, ClassTimings> classes = new HashMap<>();
    private final ReturnDelay connecting = new ReturnDelay();
    private CancellationCost cachePrice;
    private CancellationCost storePrice;

    GroupTimings(Deadlines all) {
        this.all = all;
    }

    /** What is known of a class. */
    public ClassTimings forClass(String service) {
        return classes.computeIfAbsent(service, s -> new ClassTimings(this));
    }

    /** A connection to a node came up after so long: one way there and one back, and nothing of the node's own work. */
    public void recordConnectTime(double ms) {
        connecting.record(ms);
    }

    /**
     * What a node's answer needs to be here, of the time that is left: half of what connections take to come up, which systems
     * do without asking the node's program.
     */
    public double returnReserveMs(double leftMs) {
        return all.policy().dropsLate() ? connecting.reserveMs(leftMs, all.policy().maxReserveFraction()) / 2 : 0;
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
