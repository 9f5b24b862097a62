package ridgemill.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * How much of its processors' time a virtual machine was not given by its host (proc(5): "steal"). A process that was to run then stood still
 * without a trace in its own clocks, and so did its threads one by one: what a testbed's own loops saw of lateness tells nothing of a
 * process on another processor. Elsewhere than on Linux nothing is known, and nothing told.
 */
final class StolenTime implements AutoCloseable {

    private static final Path STAT = Path.of("/proc/stat");
    private static final int STEAL_FIELD = 8;
    /** In what it is told: hundredths of a second, whatever the machine. */
    private static final double TICK_MS = 10;

    private static final long LOOK_MS = 50;
    /** No request and no wait of a test's clients is longer: what was stolen before and after it does not count. */
    private static final double WINDOW_MS = 2000;

    private record Sample(double atMs, long[] ticks) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private final Thread looker = new Thread(this::look, "stolen-time");
    private volatile double worstMs;

    /** One that looks from now on, on a thread of its own. */
    static StolenTime looking() {
        StolenTime stolen = new StolenTime();
        stolen.looker.setDaemon(true);
        stolen.looker.start();
        return stolen;
    }

    private void look() {
        try {
            while (!Thread.currentThread().isInterrupted() && Files.isReadable(STAT)) {
                take(System.nanoTime() / 1e6, Files.readAllLines(STAT));
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        } catch (InterruptedException | IOException e) {
            // Nothing more is known from now on; what was known stays.
            return;
        }
    }

    /** What the system tells at a time. */
    synchronized void take(double atMs, List<String> stat) {
        long[] ticks = stat.stream()
                .filter(l -> l.matches("cpu\\d+ .*"))
                .map(l -> l.split(" +"))
                .mapToLong(f -> f.length > STEAL_FIELD ? Long.parseLong(f[STEAL_FIELD]) : 0)
                .toArray();
        samples.addLast(new Sample(atMs, ticks));
        while (samples.peekFirst().atMs() < atMs - WINDOW_MS) {
            samples.removeFirst();
        }
        long[] from = samples.peekFirst().ticks();
        for (int i = 0; i < Math.min(from.length, ticks.length); i++) {
            worstMs = Math.max(worstMs, (ticks[i] - from[i]) * TICK_MS);
        }
    }

    /** The most that was stolen from any one processor within two seconds, in milliseconds. */
    double worstMs() {
        return worstMs;
    }

    /** Forgets what was stolen so far. */
    synchronized void forget() {
        samples.clear();
        worstMs = 0;
    }

    @Override
    public void close() {
        looker.interrupt();
    }
}
