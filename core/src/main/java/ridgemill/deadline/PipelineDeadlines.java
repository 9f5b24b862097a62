package ridgemill.deadline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Deadlines of the pipelined requests of one connection, whose responses are sent in the order of the requests. A
 * response that is ready cannot be sent before those ahead of it, so a request has at most the time of the shortest
 * deadline behind it: when that expires, all requests up to and including that one need their final responses.
 *
 * @param <T> a handle of a request, compared by identity
 */
public final class PipelineDeadlines<T> {

    private static final class Entry<T> {
        private final T request;
        private double deadlineMs;

        Entry(T request, double deadlineMs) {
            this.request = request;
            this.deadlineMs = deadlineMs;
        }
    }

    private final Deque<Entry<T>> entries = new ArrayDeque<>();

    /** Appends a request whose response must be sent by {@code deadlineMs}. */
    public void add(T request, double deadlineMs) {
        entries.addLast(new Entry<>(request, deadlineMs));
    }

    /** Moves the deadline of a request forward to {@code deadlineMs}; no effect if it is earlier already. */
    public void shorten(T request, double deadlineMs) {
        for (Iterator<Entry<T>> i = entries.descendingIterator(); i.hasNext();) {
            Entry<T> e = i.next();
            if (e.request == request) {
                e.deadlineMs = Math.min(e.deadlineMs, deadlineMs);
                return;
            }
        }
    }

    /** Removes the first request, whose response has been sent. */
    public void removeFirst() {
        entries.removeFirst();
    }

    /** When to call {@link #overdue} next, in milliseconds; infinite if no request holds up another. */
    public double nextDeadlineMs() {
        if (entries.size() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double earliest = Double.POSITIVE_INFINITY;
        for (Entry<T> e : entries) {
            earliest = Math.min(earliest, e.deadlineMs);
        }
        return earliest;
    }

    /**
     * All requests that need their final responses now, in order: those whose deadline has expired and all ahead of
     * them.
     */
    public List<T> overdue(double nowMs) {
        List<T> all = new ArrayList<>();
        int due = 0;
        for (Entry<T> e : entries) {
            all.add(e.request);
            if (e.deadlineMs <= nowMs) {
                due = all.size();
            }
        }
        return List.copyOf(all.subList(0, due));
    }

    /** The number of requests whose response has not been sent. */
    public int size() {
        return entries.size();
    }
}
