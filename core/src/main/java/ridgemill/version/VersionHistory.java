package ridgemill.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import ridgemill.core.VersionTracker;

/**
 * What a process has acted under since its start: an era for each version, with counts, and a chain of entries for each change and
 * each refused one. Bounded: of the oldest eras only the sum stays, and the digest of the oldest entry that went. Used by one thread.
 */
public final class VersionHistory implements VersionTracker {

    /** So many eras are kept with their counts; one that still has open requests stays longer. */
    public static final int MAX_PERIODS = 64;
    /** So many entries are kept. */
    public static final int MAX_ENTRIES = 256;

    private final String name;
    private final int incarnation;
    private final boolean tells;
    private final Deque<VersionPeriod> eras = new ArrayDeque<>();
    private final Deque<AuditEntry> entries = new ArrayDeque<>();
    private final HostListHistory lists = new HostListHistory();
    private final Map<String, RequestTrace> trails = new LinkedHashMap<>();
    private int mostTrails;
    private Consumer<AuditEntry> keeper = entry -> { };
    private String before;
    private String digest;
    private long nextEra;
    private long nextEntry;
    private long goneRequests;
    private String refused;

    /**
     * The record of a process that has just started.
     *
     * @param name of the proxy
     * @param incarnation of this process; no other of the proxy has it
     * @param tells whether nodes are told with each attempt
     */
    public VersionHistory(String name, int incarnation, double nowMs, EffectiveVersion acting, boolean tells) {
        this.tells = tells;
        this.name = name;
        this.incarnation = incarnation;
        this.before = AuditEntry.origin(name, incarnation);
        this.digest = before;
        change(nowMs, acting, "started");
    }

    /** So many of the last requests are kept one by one; 0 keeps none. */
    public void keepTraces(int most) {
        mostTrails = most;
    }

    /** Each entry is shown there too, those that there are first. */
    public void setEntryListener(Consumer<AuditEntry> to) {
        keeper = to;
        entries.forEach(to);
    }

    /** Requests are taken under this from now on; those that are open go on as they began. Returns the era that begins. */
    public VersionPeriod change(double nowMs, EffectiveVersion acting, String cause) {
        if (!eras.isEmpty()) {
            currentPeriod().close(nowMs);
        }
        VersionPeriod era = new VersionPeriod(nextEra++, acting, nowMs, cause, tells ? label(acting) : null);
        eras.addLast(era);
        while (eras.size() > MAX_PERIODS && eras.peekFirst().openRequests() == 0) {
            goneRequests += eras.removeFirst().begun();
        }
        refused = null;
        recordEvent(nowMs, "acts under " + acting.text() + " build " + acting.build() + " platform " + acting.platform() + ": " + cause);
        return era;
    }

    /** A change was asked for and not made. */
    public void recordRefusal(double nowMs, String what) {
        refused = what;
        recordEvent(nowMs, "refused " + what);
    }

    @Override
    public void hostListConfirmed(double nowMs, String group, long list) {
        lists.update(nowMs, group, list).ifPresent(was ->
                recordEvent(nowMs, "list of " + (group.isEmpty() ? "the platform" : group) + " fell from " + was + " to " + list));
    }

    @Override
    public void hostListUnavailable(double nowMs, String group) {
        lists.markLate(nowMs, group);
    }

    /** The host lists that it went by. */
    public HostListHistory hostLists() {
        return lists;
    }

    /** What became of the last request with this id; null where it is not kept, or not any more. */
    public RequestTrace trace(String id) {
        return trails.get(id);
    }

    /** Something else that this process acts under has changed, such as a lease's term. */
    public void recordEvent(double nowMs, String what) {
        AuditEntry entry = AuditEntry.after(digest, nextEntry++, nowMs, what.replaceAll("[\\r\\n]+", " "));
        digest = entry.digest();
        entries.addLast(entry);
        keeper.accept(entry);
        while (entries.size() > MAX_ENTRIES) {
            before = entries.removeFirst().digest();
        }
    }

    /** The era that goes on. */
    public VersionPeriod currentPeriod() {
        return eras.getLast();
    }

    /** Those that are kept, the oldest first. */
    public List<VersionPeriod> periods() {
        return new ArrayList<>(eras);
    }

    /** The entries that are kept, the oldest first. */
    public List<AuditEntry> entries() {
        return new ArrayList<>(entries);
    }

    /** The digest before the oldest entry that is kept. */
    public String digestBefore() {
        return before;
    }

    /** The digest of the last entry: of all that there is. */
    public String digest() {
        return digest;
    }

    /** How many entries there ever were. */
    public long size() {
        return nextEntry;
    }

    /** Requests that were taken in eras that are kept no more. */
    public long evictedRequests() {
        return goneRequests;
    }

    /** What was refused last and has not been made up for; null for nothing. */
    public String lastRefusal() {
        return refused;
    }

    public String name() {
        return name;
    }

    public int incarnation() {
        return incarnation;
    }

    /** As nodes are told: proxy, process and version, such as {@code p0#1a2b3c4d/12.5f0c33a1}. */
    public String label(EffectiveVersion acting) {
        return name + "#" + Integer.toHexString(incarnation) + "/" + acting.text();
    }

    @Override
    public RequestVersion requestStarted(double nowMs, String id, String service, String group, long list) {
        currentPeriod().requestBegan();
        if (mostTrails == 0 || id == null) {
            return currentPeriod();
        }
        RequestTrace trail = new RequestTrace(currentPeriod(), id, service, group, list, nowMs);
        trails.remove(id);
        trails.put(id, trail);
        if (trails.size() > mostTrails) {
            Iterator<RequestTrace> oldest = trails.values().iterator();
            oldest.next();
            oldest.remove();
        }
        return trail;
    }
}
