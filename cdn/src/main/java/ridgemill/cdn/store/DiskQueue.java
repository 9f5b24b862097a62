package ridgemill.cdn.store;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs all disk operations on one thread. Queued batches are written together with one sync. Changes that could not be
 * written are kept and written first with the next attempt, so a batch is reported as written only if all batches
 * before it are.
 */
final class DiskQueue {

    private static final System.Logger LOG = System.getLogger(DiskQueue.class.getName());
    private static final int MAX_QUEUED_BATCHES = 20_000;
    /** The delay between attempts on a disk that fails, in milliseconds. */
    private static final long RETRY_DELAY_MS = 250;

    private static final long STOP_TIMEOUT_MS = 3_000;

    private final StoreDisk disk;
    private final Executor loop;
    private final Thread thread = new Thread(this::run, "store-disk");
    private final ArrayDeque<Submission> queue = new ArrayDeque<>();
    private final PendingChanges unwritten = new PendingChanges();
    private Consumer<StoredState> onOpened;
    private Runnable onDataLost;
    private boolean failing;
    private boolean stopped;

    private record Submission(DiskBatch batch, Consumer<Boolean> done) {}

    /**
     * Creates a queue that is started by {@link #start}.
     *
     * @param loop runs the callbacks
     */
    DiskQueue(StoreDisk disk, Executor loop) {
        this.disk = disk;
        this.loop = loop;
        thread.setDaemon(true);
    }

    /**
     * Opens the disk and reports its contents. Opening is retried until it succeeds.
     *
     * @param dataLostCallback called if the disk became unreadable later and was reset: all data has to be written
     *     again
     */
    void start(Consumer<StoredState> openedCallback, Runnable dataLostCallback) {
        onOpened = openedCallback;
        onDataLost = dataLostCallback;
        thread.start();
    }

    /**
     * Queues a batch. The callback receives whether the batch is on disk; false at once if the queue is full or
     * stopped.
     */
    void submit(DiskBatch batch, Consumer<Boolean> done) {
        synchronized (queue) {
            if (!stopped && queue.size() < MAX_QUEUED_BATCHES) {
                queue.add(new Submission(batch, done));
                queue.notifyAll();
                return;
            }
        }
        done.accept(false);
    }

    /** Writes the queued batches, closes the disk and waits for both, for a bounded time in case the disk hangs. */
    void stop() {
        synchronized (queue) {
            stopped = true;
            queue.notifyAll();
        }
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            StoredState state = openDisk();
            if (state != null) {
                loop.execute(() -> onOpened.accept(state));
                writeUntilStopped();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            disk.close();
        }
    }

    /** Returns the contents of the disk, or null if the queue was stopped before it could be opened. */
    private StoredState openDisk() throws InterruptedException {
        boolean lost = false;
        while (!isStopped()) {
            try {
                StoredState state = disk.open();
                return lost ? StoredState.empty(true) : state;
            } catch (DiskCorruptException corrupt) {
                LOG.log(Level.ERROR, "event=disk_unreadable cause=\"" + corrupt.getMessage() + "\"");
                lost |= moveAside();
            } catch (IOException failure) {
                LOG.log(Level.WARNING, "event=disk_not_opened cause=\"" + failure.getMessage() + "\"");
            }
            pause();
        }
        return null;
    }

    private boolean moveAside() {
        try {
            disk.moveAside();
            return true;
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "event=disk_not_moved_aside cause=\"" + failure.getMessage() + "\"");
            return false;
        }
    }

    private void writeUntilStopped() throws InterruptedException {
        List<Submission> submissions = take();
        while (submissions != null) {
            submissions.forEach(submission -> unwritten.add(submission.batch()));
            boolean written = write();
            report(submissions, written);
            if (!written) {
                if (isStopped()) {
                    return;
                }
                pause();
            }
            submissions = take();
        }
    }

    /** Returns the queued batches, or null once the queue is stopped and empty. */
    private List<Submission> take() throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty() && !stopped && unwritten.isEmpty()) {
                queue.wait();
            }
            if (queue.isEmpty() && stopped) {
                return null;
            }
            List<Submission> submissions = new ArrayList<>(queue);
            queue.clear();
            return submissions;
        }
    }

    private boolean write() {
        if (unwritten.isEmpty()) {
            return true;
        }
        try {
            disk.write(unwritten.toBatch());
        } catch (DiskCorruptException corrupt) {
            LOG.log(Level.ERROR, "event=disk_unreadable cause=\"" + corrupt.getMessage() + "\"");
            if (moveAside()) {
                loop.execute(onDataLost);
            }
            return false;
        } catch (IOException failure) {
            if (!failing) {
                LOG.log(Level.ERROR, "event=disk_refuses cause=\"" + failure.getMessage() + "\"");
            }
            failing = true;
            return false;
        }
        unwritten.clear();
        if (failing) {
            LOG.log(Level.INFO, "event=disk_writes_again");
        }
        failing = false;
        return true;
    }

    private void report(List<Submission> submissions, boolean written) {
        if (!submissions.isEmpty()) {
            loop.execute(
                    () -> submissions.forEach(submission -> submission.done().accept(written)));
        }
    }

    private void pause() throws InterruptedException {
        synchronized (queue) {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS);
            for (long left = RETRY_DELAY_MS; left > 0 && !stopped; ) {
                queue.wait(left);
                left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            }
        }
    }

    private boolean isStopped() {
        synchronized (queue) {
            return stopped;
        }
    }
}
