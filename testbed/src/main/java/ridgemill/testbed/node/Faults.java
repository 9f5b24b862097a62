package ridgemill.testbed.node;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;

/** Which faults a stand-in plays: the next few requests by name, and a share of all others by chance, from a seed. */
public final class Faults {

    /** Work goes on to its end, whoever waits for it. */
    public static final double NEVER = -1;

    private final Map<Fault, Double> shares = new EnumMap<>(Fault.class);
    private final Queue<Fault> scripted = new ArrayDeque<>();
    private final SplittableRandom random;
    private double slower = 1;
    private int writeBytesPerS;
    private int readBytesPerS;
    private double stopsAfterMs = NEVER;
    private boolean keepsBudgets;

    Faults(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Plays the fault on this share of requests from now on, 0 to 1. */
    public synchronized void share(Fault fault, double share) {
        shares.put(fault, share);
    }

    /** Plays the faults on the next requests, in this order. */
    public synchronized void next(Fault... faults) {
        scripted.addAll(java.util.List.of(faults));
    }

    /** Makes all work so many times slower; 1 is as usual. */
    public synchronized void slower(double times) {
        slower = times;
    }

    /** Writes answers and reads requests at no more than so many bytes a second; 0 is without limit. */
    public synchronized void pace(int writes, int reads) {
        writeBytesPerS = writes;
        readBytesPerS = reads;
    }

    /**
     * Reads whose connection ends, or that are cancelled, are stopped so long after that, at work or waiting; {@link #NEVER}
     * has them go on. A write always goes on.
     */
    public synchronized void stopsAfter(double ms) {
        stopsAfterMs = ms;
    }

    /** What waited for its core for longer than the other side waits is turned away in place of being begun. */
    public synchronized void keepsBudgets(boolean keeps) {
        keepsBudgets = keeps;
    }

    synchronized double stopsAfterMs() {
        return stopsAfterMs;
    }

    synchronized boolean keepsBudgets() {
        return keepsBudgets;
    }

    /** Ends all faults. */
    public synchronized void clear() {
        shares.clear();
        scripted.clear();
        slower = 1;
        pace(0, 0);
    }

    synchronized double slowerBy() {
        return slower;
    }

    synchronized int writeBytesPerS() {
        return writeBytesPerS;
    }

    synchronized int readBytesPerS() {
        return readBytesPerS;
    }

    /** The fault for the next request; null for none. */
    synchronized Fault draw() {
        if (!scripted.isEmpty()) {
            return scripted.remove();
        }
        double at = random.nextDouble();
        for (Map.Entry<Fault, Double> e : shares.entrySet()) {
            at -= e.getValue();
            if (at < 0) {
                return e.getKey();
            }
        }
        return null;
    }
}
