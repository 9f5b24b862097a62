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
 * The one thread that uses the disk. Batches that wait are written together with one sync. What could not be written is
 * kept and written first with the next attempt, so a batch is reported as written only if all before it are.
 */
final class DiskQueue {

    private static final System.Logger LOG = System.getLogger(DiskQueue.class.getName());
    private static final int MAX_QUEUED_BATCHES = 20_000;
    /** The least time between attempts on a disk that refuses. */
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
     * A queue that is started by {@link #start}.
     *
     * @param loop runs the callbacks
     */
    DiskQueue(StoreDisk disk, Executor loop) {
        this.disk = disk;
        this.loop = loop;
        thread.setDaemon(true);
    }

    /**
     * Opens the disk and reports what it holds; repeated until the disk lets itself be opened.
     *
     * @param whenLost called if the disk became unreadable later and was begun anew: all has to be written again
     */
    void start(Consumer<StoredState> whenOpened, Runnable whenLost) {
        onOpened = whenOpened;
        onDataLost = whenLost;
        thread.start();
    }

    /** Queues a batch; the callback is told whether it is on disk. */
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

    /** Writes what waits, closes the disk and waits for that, but not for ever if the disk hangs. */
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

    /** Null if the queue was stopped before. */
    private StoredState openDisk() throws InterruptedException {
        boolean lost = false;
        while (!isStopped()) {
            try {
                StoredState state = disk.open();
                return lost ? StoredState.empty(true) : state;
            } catch (DiskCorruptException corrupt) {
                LOG.log(Level.ERROR, "event=disk_unreadable cause=\"" + corrupt.getMessage() + "\"");
                lost |= moveAside();
            } catch (IOException refused) {
                LOG.log(Level.WARNING, "event=disk_not_opened cause=\"" + refused.getMessage() + "\"");
            }
            pause();
        }
        return null;
    }

    private boolean moveAside() {
        try {
            disk.moveAside();
            return true;
        } catch (IOException refused) {
            LOG.log(Level.WARNING, "event=disk_not_moved_aside cause=\"" + refused.getMessage() + "\"");
            return false;
        }
    }

    private void writeUntilStopped() throws InterruptedException {
        List<Submission> taken = take();
        while (taken != null) {
            taken.forEach(submission -> unwritten.add(submission.batch()));
            boolean written = write();
            report(taken, written);
            if (!written) {
                if (isStopped()) {
                    return;
                }
                pause();
            }
            taken = take();
        }
    }

    /** Null once the queue was stopped and nothing waits. */
    private List<Submission> take() throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty() && !stopped && unwritten.isEmpty()) {
                queue.wait();
            }
            if (queue.isEmpty() && stopped) {
                return null;
            }
            List<Submission> taken = new ArrayList<>(queue);
            queue.clear();
            return taken;
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
        } catch (IOException refused) {
            if (!failing) {
                LOG.log(Level.ERROR, "event=disk_refuses cause=\"" + refused.getMessage() + "\"");
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

    private void report(List<Submission> taken, boolean written) {
        if (!taken.isEmpty()) {
            loop.execute(() -> taken.forEach(submission -> submission.done().accept(written)));
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
