package ridgemill.deadline;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Deadline handling of one proxy: its policy, the learned timings and the counts. Frontends report the timeout that a
 * client sent and the part that has passed unseen; each stage at which a request may wait checks whether it may
 * proceed. Not thread-safe.
 */
public final class Deadlines {

    private final Map<String, GroupTimings> groups = new HashMap<>();
    private final Map<String, ReturnDelay> hops = new HashMap<>();
    private final LoopStallDetector loopStalls = new LoopStallDetector();
    private final long[] late = new long[RequestStage.values().length];
    private final long[] unread = new long[RequestStage.values().length];
    private DeadlinePolicy policy;
    private long closed;
    private long leftToRun;

    /** Creates an instance without any samples. */
    public Deadlines(DeadlinePolicy policy) {
        this.policy = policy;
    }

    /** The policy in effect. */
    public DeadlinePolicy policy() {
        return policy;
    }

    /** Replaces the policy; learned timings are kept. */
    public void setPolicy(DeadlinePolicy next) {
        policy = next;
    }

    /** Detects stalls of the event loop. */
    public LoopStallDetector loopStalls() {
        return loopStalls;
    }

    /** The timings of a group of nodes, created on first use. */
    public GroupTimings group(String name) {
        return groups.computeIfAbsent(name, n -> new GroupTimings(this));
    }

    /**
     * The return delay of responses over one hop in one direction, created on first use. The name, such as {@code http}
     * or {@code hall teku-hall}, is part of a metric's name.
     */
    public ReturnDelay returnDelay(String name) {
        return hops.computeIfAbsent(name, n -> new ReturnDelay());
    }

    /**
     * The time that remains for a request, in milliseconds, 0 or more.
     *
     * @param timeoutMs the client's timeout, counted from when it sent the request
     * @param elapsedMs time that passed here before the request was read: in a stall, or behind other requests of its
     *     connection
     * @param back delay of the response on the way back
     */
    public double remainingMs(double timeoutMs, double elapsedMs, ReturnDelay back) {
        double remaining = Math.max(0, timeoutMs - Math.max(0, elapsedMs));
        return policy.dropsLate() ? remaining - back.reserveMs(remaining, policy.maxReserveFraction()) : remaining;
    }

    Verdict counted(RequestStage stage, Verdict verdict) {
        if (verdict == Verdict.LATE) {
            late[stage.ordinal()]++;
        } else if (verdict == Verdict.UNREAD) {
            unread[stage.ordinal()]++;
        }
        return verdict;
    }

    void cancelled(boolean closes) {
        closed += closes ? 1 : 0;
        leftToRun += closes ? 0 : 1;
    }

    /** The number of requests and attempts dropped since the start as late or as likely to go unread. */
    public long dropped() {
        long sum = 0;
        for (RequestStage stage : RequestStage.values()) {
            sum += late[stage.ordinal()] + unread[stage.ordinal()];
        }
        return sum;
    }

    /**
     * Metrics by name: drops per stage, the reserve for the way back per hop in milliseconds, the longest stall in
     * milliseconds, and cancelled attempts whose connection was closed or left open.
     */
    public Map<String, Number> metrics() {
        Map<String, Number> all = new TreeMap<>();
        for (RequestStage stage : RequestStage.values()) {
            String name = stage.name().toLowerCase(java.util.Locale.ROOT);
            all.put("late." + name, late[stage.ordinal()]);
            all.put("unread." + name, unread[stage.ordinal()]);
        }
        hops.forEach((name, hop) -> all.put("wayback." + name + ".ms", Math.round(1000 * hop.reserveMs()) / 1000.0));
        all.put("stall.ms", Math.round(loopStalls.longestStallMs()));
        all.put("cancel.closed", closed);
        all.put("cancel.left", leftToRun);
        return all;
    }
}
