package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;

/** What is known of one group of nodes: its classes, and the way to its nodes and back. Not safe for use by several threads. */
public final class GroupTimes {

    private final Deadlines all;
    private final Map<String, ClassTimes> classes = new HashMap<>();
    private final WayBack connecting = new WayBack();
    private CancelPrice cachePrice;
    private CancelPrice storePrice;

    GroupTimes(Deadlines all) {
        this.all = all;
    }

    /** What is known of a class. */
    public ClassTimes of(String service) {
        return classes.computeIfAbsent(service, s -> new ClassTimes(this));
    }

    /** A connection to a node came up after so long: one way there and one back, and nothing of the node's own work. */
    public void connected(double ms) {
        connecting.took(ms);
    }

    /**
     * What a node's answer needs to be here, of the time that is left: half of what connections take to come up, which systems
     * do without asking the node's program.
     */
    public double wayBackMs(double leftMs) {
        return all.policy().drops() ? connecting.reserveMs(leftMs, all.policy().mostReserve()) / 2 : 0;
    }

    DeadlinePolicy policy() {
        return all.policy();
    }

    Verdict counted(Place place, Verdict verdict) {
        return all.counted(place, verdict);
    }

    void answered(double ms, boolean fresh, boolean atStore) {
        CancelPrice price = atStore ? storePrice : cachePrice;
        if (price != null) {
            price.answered(ms, fresh);
        }
    }

    boolean closes(double nowMs, double elapsedMs, AnswerTimes times, boolean atStore) {
        if (!policy().weighsCancels()) {
            return true;
        }
        if (cachePrice == null) {
            cachePrice = new CancelPrice(nowMs);
            storePrice = new CancelPrice(nowMs);
        }
        boolean closes = (atStore ? storePrice : cachePrice).closes(nowMs, elapsedMs, times);
        all.cancelled(closes);
        return closes;
    }
}
