package ridgemill.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Time that passes when a test says so. */
final class ManualTimers implements Timers {

    private record Task(double atMs, long order, Runnable run) { }

    private final List<Task> tasks = new ArrayList<>();
    private double now = 1000;
    private long order;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer scheduleAt(double atMs, Runnable run) {
        Task task = new Task(atMs, order++, run);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Lets so much time pass and runs what comes due, in order. */
    void pass(double ms) {
        double end = now + ms;
        for (Optional<Task> next = due(end); next.isPresent(); next = due(end)) {
            tasks.remove(next.get());
            now = Math.max(now, next.get().atMs());
            next.get().run().run();
        }
        now = end;
    }

    private Optional<Task> due(double end) {
        return tasks.stream().filter(t -> t.atMs() <= end)
                .min(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
    }
}
