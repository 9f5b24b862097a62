package ridgemill.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Timers whose time advances only when a test calls {@link #pass}. */
final class ManualTimers implements Timers {

    private record Task(double atMs, long order, Runnable action) { }

    private final List<Task> tasks = new ArrayList<>();
    private double nowMs = 1000;
    private long order;

    @Override
    public double now() {
        return nowMs;
    }

    @Override
    public Timer scheduleAt(double atMs, Runnable action) {
        Task task = new Task(atMs, order++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Advances the time by {@code ms} and runs the tasks that become due, in order. */
    void pass(double ms) {
        double endMs = nowMs + ms;
        for (Optional<Task> next = due(endMs); next.isPresent(); next = due(endMs)) {
            tasks.remove(next.get());
            nowMs = Math.max(nowMs, next.get().atMs());
            next.get().action().run();
        }
        nowMs = endMs;
    }

    private Optional<Task> due(double endMs) {
        return tasks.stream().filter(t -> t.atMs() <= endMs)
                .min(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
    }
}
