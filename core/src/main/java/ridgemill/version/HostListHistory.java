package ridgemill.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Which host list of each group a process went by, and the last changes. Bounded. Used by one thread. */
public final class HostListHistory {

    /** So many changes are kept, of all groups together. */
    public static final int MAX_CHANGES = 64;

    /**
     * One list.
     *
     * @param number its number, as whoever gave it says
     * @param sinceMs from when on it held
     */
    public record ActiveList(String group, long number, double sinceMs) { }

    private final Map<String, ActiveList> now = new TreeMap<>();
    private final Deque<ActiveList> last = new ArrayDeque<>();
    private final Map<String, Double> lateSince = new TreeMap<>();
    private long changes;

    /** A list holds; returns the number before it where that is higher, as after a start of whoever gives the lists. */
    OptionalLong update(double nowMs, String group, long list) {
        lateSince.remove(group);
        ActiveList before = now.get(group);
        if (before != null && before.number() == list) {
            return OptionalLong.empty();
        }
        now.put(group, new ActiveList(group, list, nowMs));
        last.addLast(now.get(group));
        changes++;
        if (last.size() > MAX_CHANGES) {
            last.removeFirst();
        }
        return before != null && before.number() > list ? OptionalLong.of(before.number()) : OptionalLong.empty();
    }

    /** Whoever gives the list can't be asked. */
    void markLate(double nowMs, String group) {
        lateSince.putIfAbsent(group, nowMs);
    }

    /** For how long a group's list may have been late; 0 while it is not. */
    public double lateMs(double nowMs, String group) {
        return lateSince.containsKey(group) ? nowMs - lateSince.get(group) : 0;
    }

    /** The lists that hold, by group. */
    public List<ActiveList> current() {
        return new ArrayList<>(now.values());
    }

    /** The number of the group's list; 0 where there is none. */
    public long currentNumber(String group) {
        return now.containsKey(group) ? now.get(group).number() : 0;
    }

    /** The last changes, the oldest first. */
    public List<ActiveList> recentChanges() {
        return new ArrayList<>(last);
    }

    /** How many changes there ever were. */
    public long changeCount() {
        return changes;
    }
}
