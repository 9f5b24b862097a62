package ridgemill.bench.scale;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Times operations of one kind from their call to the last of the acknowledgements that they need. Any thread. */
final class Stopwatch {

    private final Map<String, Running> running = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Long> nanos = new ConcurrentLinkedQueue<>();

    private record Running(long startedNanos, AtomicInteger missing) {}

    /** Starts an operation that ends with its so many-th acknowledgement. */
    void started(String name, int acknowledgements) {
        running.put(name, new Running(System.nanoTime(), new AtomicInteger(acknowledgements)));
    }

    /** Counts an acknowledgement; those of operations that are not timed are passed over. */
    void acknowledged(String name) {
        Running operation = running.get(name);
        if (operation != null && operation.missing().decrementAndGet() == 0) {
            running.remove(name);
            nanos.add(System.nanoTime() - operation.startedNanos());
        }
    }

    /** How many operations have not ended. */
    int unfinished() {
        return running.size();
    }

    /** Forgets all. */
    void reset() {
        running.clear();
        nanos.clear();
    }

    /** The times since the last reset. */
    Times times() {
        double[] sorted = nanos.stream()
                .mapToDouble(value -> value / (double) TimeUnit.MILLISECONDS.toNanos(1))
                .toArray();
        Arrays.sort(sorted);
        return new Times(sorted.length, unfinished(), rank(sorted, 0.5), rank(sorted, 0.99), rank(sorted, 1));
    }

    private static double rank(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.ceil(share * sorted.length) - 1];
    }
}
