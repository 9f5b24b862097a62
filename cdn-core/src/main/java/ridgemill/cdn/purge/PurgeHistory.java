package ridgemill.cdn.purge;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The purges that a process has published or received recently, by their identifiers. A store sends them to
 * subscribers that start, so that they know of purges from before; a cache recognizes duplicates by them. Times are in
 * milliseconds on the clock of the process.
 */
public final class PurgeHistory {

    /** How long a purge is kept, in milliseconds. */
    public static final double RETENTION_MS = 10_000;

    private record Entry(Purge purge, double atMs) {}

    private final double startedMs;
    private final Map<String, Entry> byId = new LinkedHashMap<>();

    /**
     * A history without purges.
     *
     * @param startedMs the time from which every purge will be added
     */
    public PurgeHistory(double startedMs) {
        this.startedMs = startedMs;
    }

    /** Adds a purge. Returns false if it is known already. */
    public boolean add(Purge purge, double nowMs) {
        removeExpired(nowMs);
        return byId.putIfAbsent(purge.id(), new Entry(purge, nowMs)) == null;
    }

    /** For how many milliseconds this history has been complete. */
    public long completeForMs(double nowMs) {
        return (long) Math.min(RETENTION_MS, nowMs - startedMs);
    }

    /** The purges of the time for which this history is complete, the oldest one first. */
    public List<RecentPurge> recent(double nowMs) {
        removeExpired(nowMs);
        List<RecentPurge> recent = new ArrayList<>(byId.size());
        byId.values().forEach(entry -> recent.add(new RecentPurge(entry.purge(), (long) (nowMs - entry.atMs()))));
        return recent;
    }

    private void removeExpired(double nowMs) {
        Iterator<Entry> oldest = byId.values().iterator();
        while (oldest.hasNext() && nowMs - oldest.next().atMs() > RETENTION_MS) {
            oldest.remove();
        }
    }
}
