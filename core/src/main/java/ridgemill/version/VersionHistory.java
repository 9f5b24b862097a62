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
 * The versions in effect at a process since its start: a period for each version, with counts of its requests, and a
 * hash chain of entries for each change and each refused change. Bounded: of evicted periods only the sum of their
 * requests is kept, and of evicted entries the digest of the last one. Used by one thread.
 */
public final class VersionHistory implements VersionTracker {

    /** Maximum number of periods that are kept; one that still has open requests is kept longer. */
    public static final int MAX_PERIODS = 64;
    /** Maximum number of entries that are kept. */
    public static final int MAX_ENTRIES = 256;

    private final String name;
    private final int incarnation;
    private final boolean labelsAttempts;
    private final Deque<VersionPeriod> periods = new ArrayDeque<>();
    private final Deque<AuditEntry> entries = new ArrayDeque<>();
    private final HostListHistory hostLists = new HostListHistory();
    private final Map<String, RequestTrace> traces = new LinkedHashMap<>();
    private int maxTraces;
    private Consumer<AuditEntry> entryListener = entry -> { };
    private String digestBefore;
    private String digest;
    private long nextPeriod;
    private long nextEntry;
    private long evictedRequests;
    private String lastRefusal;

    /**
     * Creates the history of a process that has just started.
     *
     * @param name name of the proxy
     * @param incarnation number of this process, which no other process of the proxy has
     * @param labelsAttempts whether nodes are sent a version label with each attempt
     */
    public VersionHistory(String name, int incarnation, double nowMs, EffectiveVersion version,
            boolean labelsAttempts) {
        this.labelsAttempts = labelsAttempts;
        this.name = name;
        this.incarnation = incarnation;
        this.digestBefore = AuditEntry.origin(name, incarnation);
        this.digest = digestBefore;
        change(nowMs, version, "started");
    }

    /** Sets how many of the last requests are traced one by one; 0 for none. */
    public void keepTraces(int max) {
        maxTraces = max;
    }

    /** Sets the listener that receives each entry, beginning with the existing ones. */
    public void setEntryListener(Consumer<AuditEntry> listener) {
        entryListener = listener;
        entries.forEach(listener);
    }

    /**
     * Puts a version into effect for new requests; open requests keep the version they began under. Returns the new
     * period.
     */
    public VersionPeriod change(double nowMs, EffectiveVersion version, String cause) {
        if (!periods.isEmpty()) {
            currentPeriod().close(nowMs);
        }
        VersionPeriod period = new VersionPeriod(nextPeriod++, version, nowMs, cause,
                labelsAttempts ? label(version) : null);
        periods.addLast(period);
        while (periods.size() > MAX_PERIODS && periods.peekFirst().openRequests() == 0) {
            evictedRequests += periods.removeFirst().begun();
        }
        lastRefusal = null;
        recordEvent(nowMs, "acts under " + version.text() + " build " + version.build() + " platform "
                + version.platform() + ": " + cause);
        return period;
    }

    /** Records that a requested change was refused. */
    public void recordRefusal(double nowMs, String refusal) {
        lastRefusal = refusal;
        recordEvent(nowMs, "refused " + refusal);
    }

    @Override
    public void hostListConfirmed(double nowMs, String group, long list) {
        hostLists.update(nowMs, group, list).ifPresent(previous ->
                recordEvent(nowMs, "list of " + (group.isEmpty() ? "the platform" : group) + " fell from " + previous
                        + " to " + list));
    }

    @Override
    public void hostListUnavailable(double nowMs, String group) {
        hostLists.markLate(nowMs, group);
    }

    /** Returns the host lists that this process has used. */
    public HostListHistory hostLists() {
        return hostLists;
    }

    /** Returns the trace of the last request with this id; null if it is not kept. */
    public RequestTrace trace(String id) {
        return traces.get(id);
    }

    /** Adds an entry for another change that affects this process, such as a lease's term. */
    public void recordEvent(double nowMs, String description) {
        AuditEntry entry = AuditEntry.after(digest, nextEntry++, nowMs, description.replaceAll("[\\r\\n]+", " "));
        digest = entry.digest();
        entries.addLast(entry);
        entryListener.accept(entry);
        while (entries.size() > MAX_ENTRIES) {
            digestBefore = entries.removeFirst().digest();
        }
    }

    /** Returns the current period. */
    public VersionPeriod currentPeriod() {
        return periods.getLast();
    }

    /** Returns the periods that are kept, oldest first. */
    public List<VersionPeriod> periods() {
        return new ArrayList<>(periods);
    }

    /** Returns the entries that are kept, oldest first. */
    public List<AuditEntry> entries() {
        return new ArrayList<>(entries);
    }

    /** Returns the digest of the entry before the oldest one that is kept. */
    public String digestBefore() {
        return digestBefore;
    }

    /** Returns the digest of the last entry, which covers the whole chain. */
    public String digest() {
        return digest;
    }

    /** Returns the number of entries since the start of the process. */
    public long size() {
        return nextEntry;
    }

    /** Returns the number of requests that were taken in evicted periods. */
    public long evictedRequests() {
        return evictedRequests;
    }

    /** Returns the last refused change if no change has followed it; otherwise null. */
    public String lastRefusal() {
        return lastRefusal;
    }

    public String name() {
        return name;
    }

    public int incarnation() {
        return incarnation;
    }

    /** Returns the label that nodes are sent: proxy, process and version, such as {@code p0#1a2b3c4d/12.5f0c33a1}. */
    public String label(EffectiveVersion version) {
        return name + "#" + Integer.toHexString(incarnation) + "/" + version.text();
    }

    @Override
    public RequestVersion requestStarted(double nowMs, String id, String service, String group, long list) {
        currentPeriod().requestBegan();
        if (maxTraces == 0 || id == null) {
            return currentPeriod();
        }
        RequestTrace trace = new RequestTrace(currentPeriod(), id, service, group, list, nowMs);
        traces.remove(id);
        traces.put(id, trace);
        if (traces.size() > maxTraces) {
            Iterator<RequestTrace> oldest = traces.values().iterator();
            oldest.next();
            oldest.remove();
        }
        return trace;
    }
}
