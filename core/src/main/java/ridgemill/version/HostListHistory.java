package ridgemill.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The current host list of each group that a process uses, and the recent changes. Bounded. Used by one thread. */
public final class HostListHistory {

    /** Maximum number of changes that are kept, for all groups together. */
    public static final int MAX_CHANGES = 64;

    /**
     * A host list in use.
     *
     * @param number number that its source gave it
     * @param sinceMs time since which it has been in use
     */
    public record ActiveList(String group, long number, double sinceMs) { }

    private final Map<String, ActiveList> current = new TreeMap<>();
    private final Deque<ActiveList> recentChanges = new ArrayDeque<>();
    private final Map<String, Double> lateSince = new TreeMap<>();
    private long changeCount;

    /** Sets a group's list; returns the previous number if that is higher, as after a restart of the lists' source. */
    OptionalLong update(double nowMs, String group, long number) {
        lateSince.remove(group);
        ActiveList previous = current.get(group);
        if (previous != null && previous.number() == number) {
            return OptionalLong.empty();
        }
        current.put(group, new ActiveList(group, number, nowMs));
        recentChanges.addLast(current.get(group));
        changeCount++;
        if (recentChanges.size() > MAX_CHANGES) {
            recentChanges.removeFirst();
        }
        return previous != null && previous.number() > number ? OptionalLong.of(previous.number())
                : OptionalLong.empty();
    }

    /** Records that the source of the list could not be reached. */
    void markLate(double nowMs, String group) {
        lateSince.putIfAbsent(group, nowMs);
    }

    /** Returns for how long a group's list may have been outdated; 0 while its source is reachable. */
    public double lateMs(double nowMs, String group) {
        return lateSince.containsKey(group) ? nowMs - lateSince.get(group) : 0;
    }

    /** Returns the current lists, ordered by group. */
    public List<ActiveList> current() {
        return new ArrayList<>(current.values());
    }

    /** Returns the number of the group's current list; 0 if there is none. */
    public long currentNumber(String group) {
        return current.containsKey(group) ? current.get(group).number() : 0;
    }

    /** Returns the recent changes, oldest first. */
    public List<ActiveList> recentChanges() {
        return new ArrayList<>(recentChanges);
    }

    /** Returns the number of changes since the start. */
    public long changeCount() {
        return changeCount;
    }
}
