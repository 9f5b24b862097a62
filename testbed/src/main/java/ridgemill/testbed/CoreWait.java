package ridgemill.testbed;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How long threads of this process were ready to run and waited for a processor, as the kernel counts it for each thread
 * (schedstat: the second field). A gateway that a test runs inside its own process stands still then without being at
 * fault, though the testbed's own loops, on other processors, may be in time. Where the kernel doesn't tell, nothing is
 * known.
 */
final class CoreWait implements AutoCloseable {

    private static final Path TASKS = Path.of("/proc/self/task");
    private static final long LOOK_MS = 200;
    /** No request and no wait of a test's clients is longer: what was waited before and after it does not count. */
    private static final double WINDOW_MS = 2000;

    private static final double NANOS_PER_MS = 1e6;

    private record Sample(double atMs, Map<String, Long> waitedNanos) {}

    private final Deque<Sample> samples = new ArrayDeque<>();
    private final Thread looker = new Thread(this::look, "core-wait");
    private volatile double worstMs;

    /** One that looks from now on, on a thread of its own. */
    static CoreWait looking() {
        CoreWait wait = new CoreWait();
        wait.looker.setDaemon(true);
        wait.looker.start();
        return wait;
    }

    private void look() {
        try {
            while (!Thread.currentThread().isInterrupted() && Files.isDirectory(TASKS)) {
                take(System.nanoTime() / NANOS_PER_MS, read());
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        } catch (InterruptedException | IOException e) {
            // Nothing more is known from now on; what was known stays.
            return;
        }
    }

    private static Map<String, Long> read() throws IOException {
        Map<String, Long> waited = new HashMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(TASKS)) {
            for (Path task : tasks) {
                try {
                    String[] fields =
                            Files.readString(task.resolve("schedstat")).trim().split(" ");
                    waited.put(task.getFileName().toString(), Long.parseLong(fields[1]));
                } catch (IOException ended) {
                    // The thread has ended since the folder was read.
                    continue;
                }
            }
        }
        return waited;
    }

    /** What each thread, by its number, has waited since its start, at a time. */
    synchronized void take(double atMs, Map<String, Long> waitedNanos) {
        samples.addLast(new Sample(atMs, waitedNanos));
        while (samples.peekFirst().atMs() < atMs - WINDOW_MS) {
            samples.removeFirst();
        }
        Map<String, Long> from = samples.peekFirst().waitedNanos();
        waitedNanos.forEach((thread, nanos) -> {
            Long before = from.get(thread);
            if (before != null) {
                worstMs = Math.max(worstMs, (nanos - before) / NANOS_PER_MS);
            }
        });
    }

    /** The most that any one thread waited within two seconds, in milliseconds. */
    double worstMs() {
        return worstMs;
    }

    /** Forgets what was waited so far. */
    synchronized void forget() {
        samples.clear();
        worstMs = 0;
    }

    @Override
    public void close() {
        looker.interrupt();
    }
}
