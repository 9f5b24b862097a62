package ridgemill.deadline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * The times of requests on one connection whose answers leave in the order of the requests. An answer that is there can't leave
 * before those ahead of it, so whoever is ahead has no more time than the shortest of all behind: when that is up, all up to
 * it need their final answers.
 *
 * @param <T> what stands for a request
 */
public final class PipelineDeadlines<T> {

    private static final class Entry<T> {
        private final T request;
        private double dueMs;

        Entry(T request, double dueMs) {
            this.request = request;
            this.dueMs = dueMs;
        }
    }

    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    /** One more, behind all others, whose answer must leave by then. */
    public void add(T request, double dueMs) {
        entries.addLast(new Entry<>(request, dueMs));
    }

    /** The answer of one that is in it must leave by then, or earlier. */
    public void shorten(T request, double dueMs) {
        for (Iterator<Entry<T>> i = entries.descendingIterator(); i.hasNext();) {
            Entry<T> e = i.next();
            if (e.request == request) {
                e.dueMs = Math.min(e.dueMs, dueMs);
                return;
            }
        }
    }

    /** The first has left. */
    public void removeFirst() {
        entries.removeFirst();
    }

    /** When to ask {@link #overdue}, in milliseconds; infinite where nobody holds anybody up. */
    public double nextDeadlineMs() {
        if (entries.size() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Entry<T> e : entries) {
            least = Math.min(least, e.dueMs);
        }
        return least;
    }

    /** All that need their final answers now: those that are due, and whatever is ahead of them; in order. */
    public List<T> overdue(double nowMs) {
        List<T> all = new ArrayList<>();
        int due = 0;
        for (Entry<T> e : entries) {
            all.add(e.request);
            if (e.dueMs <= nowMs) {
                due = all.size();
            }
        }
        return List.copyOf(all.subList(0, due));
    }

    /** How many have not left. */
    public int size() {
        return entries.size();
    }
}
