package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;

/**
 * Keeps on disk which instances are draining or gone, so that a departure that was acknowledged outlives a kill of all
 * registries. Ready instances are not kept: their heartbeats come again. Methods are called on the event loop, except
 * for {@link #load} and {@link #close}; the disk has a thread of its own, and changes that come while it writes are
 * written together.
 */
final class DepartureLog {

    private static final System.Logger LOG = System.getLogger(DepartureLog.class.getName());
    /** The delay between attempts on a disk that fails, in milliseconds. */
    private static final long RETRY_DELAY_MS = 250;

    private static final long STOP_TIMEOUT_MS = 3_000;

    private final DepartureDisk disk;
    private final EventLoop loop;
    private final ExecutorService writer = Executors.newSingleThreadExecutor(DepartureLog::newThread);
    private final Map<String, Entry> departed = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long lastNumber;
    private long savedNumber;
    private boolean writing;
    private boolean failing;
    private boolean retryScheduled;

    /**
     * A departed instance.
     *
     * @param number the number of the change that recorded it; it is on disk once {@code savedNumber} has reached it
     */
    private record Entry(Instance instance, long number) {}

    private record Waiter(long number, Consumer<Boolean> callback) {}

    DepartureLog(DepartureDisk disk, EventLoop loop) {
        this.disk = disk;
        this.loop = loop;
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "registry-disk");
        thread.setDaemon(true);
        return thread;
    }

    /** Reads the departed instances from disk and blocks until that succeeds. Called before anything else. */
    List<Instance> load() throws InterruptedException {
        while (true) {
            try {
                return disk.load();
            } catch (IOException failure) {
                LOG.log(Level.WARNING, "event=departures_not_read cause=\"" + failure.getMessage() + "\"");
                Thread.sleep(RETRY_DELAY_MS);
            }
        }
    }

    /**
     * Records the departed ones of some instances. The callback receives once whether they are on disk; at once if
     * nothing has to be written. What could not be written is tried again, whatever the callback received.
     */
    void save(Collection<Instance> instances, Consumer<Boolean> callback) {
        long number = 0;
        for (Instance instance : instances) {
            if (instance.state() != InstanceState.READY) {
                number = Math.max(number, record(instance));
            }
        }
        if (number <= savedNumber) {
            callback.accept(true);
            return;
        }
        waiters.add(new Waiter(number, callback));
        writeNext();
    }

    /** Records an instance, and returns the number of the change that recorded its state. */
    private long record(Instance instance) {
        Entry entry = departed.get(instance.id());
        if (entry == null || instance.state().compareTo(entry.instance().state()) > 0) {
            entry = new Entry(instance, ++lastNumber);
            departed.put(instance.id(), entry);
        }
        return entry.number();
    }

    /** Forgets the instances that are not known any more; the next write leaves them out. */
    void retain(Predicate<String> isKnown) {
        departed.keySet().removeIf(id -> !isKnown.test(id));
    }

    private void writeNext() {
        if (writing || savedNumber == lastNumber) {
            return;
        }
        writing = true;
        long number = lastNumber;
        List<Instance> snapshot =
                departed.values().stream().map(Entry::instance).toList();
        writer.execute(() -> {
            boolean saved = trySave(snapshot);
            loop.execute(() -> written(number, saved));
        });
    }

    private boolean trySave(List<Instance> snapshot) {
        try {
            disk.save(snapshot);
            return true;
        } catch (IOException failure) {
            LOG.log(Level.DEBUG, "event=departures_refused cause=\"" + failure.getMessage() + "\"");
            return false;
        }
    }

    private void written(long number, boolean saved) {
        writing = false;
        savedNumber = saved ? number : savedNumber;
        if (saved == failing) {
            failing = !saved;
            LOG.log(
                    saved ? Level.INFO : Level.ERROR,
                    saved ? "event=departures_saved_again" : "event=departures_not_saved");
        }
        List<Waiter> answered =
                waiters.stream().filter(waiter -> waiter.number() <= number).toList();
        waiters.removeAll(answered);
        answered.forEach(waiter -> waiter.callback().accept(saved));
        if (saved) {
            writeNext();
        } else if (!retryScheduled) {
            retryScheduled = true;
            loop.schedule(this::retry, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retryScheduled = false;
        writeNext();
    }

    /** Waits until the write in progress has ended, for a bounded time in case the disk hangs. */
    void close() {
        writer.shutdown();
        try {
            if (!writer.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "event=departures_not_closed");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
