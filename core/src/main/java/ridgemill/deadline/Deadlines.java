package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests' time as one proxy knows it. Fronts say what a client said and what was eaten on the way; each place that may wait
 * asks whether to go on. Not safe for use by several threads.
 */
public final class Deadlines {

    private final Map<String, GroupTimings> groups = new HashMap<>();
    private final Map<String, ReturnDelay> hops = new HashMap<>();
    private final LoopStallDetector loop = new LoopStallDetector();
    private final long[] late = new long[RequestStage.values().length];
    private final long[] unread = new long[RequestStage.values().length];
    private DeadlinePolicy policy;
    private long closed;
    private long leftToRun;

    /** One that knows nothing yet. */
    public Deadlines(DeadlinePolicy policy) {
        this.policy = policy;
    }

    /** What is made of deadlines. */
    public DeadlinePolicy policy() {
        return policy;
    }

    /** Something else is made of them from now on; what was learned stays. */
    public void setPolicy(DeadlinePolicy next) {
        policy = next;
    }

    /** Whether the loop turns. */
    public LoopStallDetector loopStalls() {
        return loop;
    }

    /** A group of nodes, by its name. */
    public GroupTimings group(String name) {
        return groups.computeIfAbsent(name, n -> new GroupTimings(this));
    }

    /** The way of answers over one hop in one direction, by a name such as {@code http} or {@code hall teku-hall}. */
    public ReturnDelay returnDelay(String name) {
        return hops.computeIfAbsent(name, n -> new ReturnDelay());
    }

    /**
     * What a request has left here, 0 or more.
     *
     * @param saidMs how long its client waits, from when it sent it
     * @param eatenMs what of that passed here before it was read: in a stall, or behind others of its connection
     * @param back what its answer's way back takes
     */
    public double remainingMs(double saidMs, double eatenMs, ReturnDelay back) {
        double left = Math.max(0, saidMs - Math.max(0, eatenMs));
        return policy.dropsLate() ? left - back.reserveMs(left, policy.maxReserveFraction()) : left;
    }

    Verdict counted(RequestStage place, Verdict verdict) {
        if (verdict == Verdict.LATE) {
            late[place.ordinal()]++;
        } else if (verdict == Verdict.UNREAD) {
            unread[place.ordinal()]++;
        }
        return verdict;
    }

    void cancelled(boolean closes) {
        closed += closes ? 1 : 0;
        leftToRun += closes ? 0 : 1;
    }

    /** How many were dropped since the start because they came too late, or as nobody would read their answer. */
    public long dropped() {
        long sum = 0;
        for (RequestStage p : RequestStage.values()) {
            sum += late[p.ordinal()] + unread[p.ordinal()];
        }
        return sum;
    }

    /** How it is, for whoever watches: what was dropped where, what is kept for each hop, the longest stall. */
    public Map<String, Number> metrics() {
        Map<String, Number> all = new TreeMap<>();
        for (RequestStage p : RequestStage.values()) {
            String name = p.name().toLowerCase(java.util.Locale.ROOT);
            all.put("late." + name, late[p.ordinal()]);
            all.put("unread." + name, unread[p.ordinal()]);
        }
        hops.forEach((name, hop) -> all.put("wayback." + name + ".ms", Math.round(1000 * hop.reserveMs()) / 1000.0));
        all.put("stall.ms", Math.round(loop.longestStallMs()));
        all.put("cancel.closed", closed);
        all.put("cancel.left", leftToRun);
        return all;
    }
}
