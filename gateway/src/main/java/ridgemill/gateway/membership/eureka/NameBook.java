package ridgemill.gateway.membership.eureka;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is known of hosts' names, and which are to be looked up next. An address that was found holds until a look-up says
 * otherwise: one that fails changes nothing, as a name server that is out must not empty a fleet, and one that gives the
 * same addresses in another order moves no node. Free of I/O; the time is passed in, in milliseconds.
 */
final class NameBook {

    /** After how long a name that was found is looked up again. */
    static final double AGAIN_MS = 30_000;
    /** The same for one that was not found. */
    static final double MISSING_AGAIN_MS = 5000;
    private static final int MOST_NAMES = 10_000;
    private static final int MOST_AT_ONCE = 16;

    private static final class Entry {
        String address;
        String failure;
        double dueMs;
        boolean out;
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Set<String>> wanted = new LinkedHashMap<>();

    /** The address of a name as text; null while none is known. */
    String address(String name) {
        Entry e = entries.get(name);
        return e == null ? null : e.address;
    }

    /** Names that {@code asker} wants known from now on, in place of those that it wanted before. */
    void want(double nowMs, String asker, Set<String> names) {
        if (names.equals(wanted.put(asker, Set.copyOf(names)))) {
            return;
        }
        Set<String> all = new LinkedHashSet<>();
        wanted.values().forEach(all::addAll);
        entries.keySet().retainAll(all);
        for (String name : all) {
            if (entries.size() >= MOST_NAMES) {
                break;
            }
            entries.computeIfAbsent(name, n -> {
                Entry e = new Entry();
                e.dueMs = nowMs;
                return e;
            });
        }
    }

    /** Names to be looked up now; {@link #found} or {@link #failed} is owed for each. */
    List<String> due(double nowMs) {
        long out = entries.values().stream().filter(e -> e.out).count();
        List<String> due = new ArrayList<>();
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
            if (out + due.size() >= MOST_AT_ONCE) {
                break;
            }
            if (!e.getValue().out && e.getValue().dueMs <= nowMs) {
                e.getValue().out = true;
                due.add(e.getKey());
            }
        }
        return due;
    }

    /** A look-up found these, at least one; returns whether the name's address is another than before. */
    boolean found(double nowMs, String name, List<String> addresses) {
        Entry e = entries.get(name);
        if (e == null) {
            return false;
        }
        e.out = false;
        e.failure = null;
        e.dueMs = nowMs + AGAIN_MS;
        if (e.address != null && addresses.contains(e.address)) {
            return false;
        }
        e.address = addresses.get(0);
        return true;
    }

    /** A look-up failed; returns whether that is another reason than before. */
    boolean failed(double nowMs, String name, String why) {
        Entry e = entries.get(name);
        if (e == null) {
            return false;
        }
        e.out = false;
        e.dueMs = nowMs + MISSING_AGAIN_MS;
        boolean other = !why.equals(e.failure);
        e.failure = why;
        return other;
    }
}
