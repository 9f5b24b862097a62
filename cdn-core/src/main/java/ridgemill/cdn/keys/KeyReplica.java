package ridgemill.cdn.keys;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * One voter's register of operation keys. A voter grants a key to one claim at a time, so of all claims to a key at
 * most one obtains a majority of the voters. Times are Unix milliseconds and are passed in.
 */
public final class KeyReplica {

    private static final int WITHDRAWN_CAPACITY = 20_000;
    /** The estimated memory of a record besides its texts and its answer, in bytes. */
    private static final int RECORD_OVERHEAD_BYTES = 200;

    private final KeyLimits limits;
    private final TreeMap<String, KeyRecord> records = new TreeMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(Comparator.comparingLong(Expiry::atMs));
    private final WithdrawnClaims withdrawn = new WithdrawnClaims(WITHDRAWN_CAPACITY);
    private long bytes;

    private record Expiry(long atMs, String key) {}

    /** An empty register. */
    public KeyReplica(KeyLimits limits) {
        this.limits = limits;
    }

    /**
     * Votes on a claim. A claim that holds the key is granted again, so a repeated call has the same answer as the
     * first. A claim that was released is never granted.
     */
    public KeyVote claim(String key, String claimId, long nowMs) {
        KeyRecord held = get(key, nowMs);
        if (held != null && held.state() != KeyState.RELEASED) {
            boolean own = held.state() == KeyState.HELD && held.claimId().equals(claimId);
            return new KeyVote(own ? KeyVote.Outcome.GRANTED : KeyVote.Outcome.DENIED, held, false);
        }
        if (withdrawn.contains(claimId) || held != null && held.claimId().equals(claimId)) {
            return new KeyVote(KeyVote.Outcome.DENIED, released(key, claimId, nowMs), false);
        }
        if (held == null && isFull()) {
            return new KeyVote(KeyVote.Outcome.FULL, null, false);
        }
        KeyRecord granted = new KeyRecord(key, KeyState.HELD, claimId, null, nowMs);
        put(granted);
        return new KeyVote(KeyVote.Outcome.GRANTED, granted, true);
    }

    /**
     * Records the answer of an operation that ran. It replaces a record in any other state, since only a claim that a
     * majority granted can have run. An answer that is already recorded is kept.
     *
     * @return the record that is held now; that of another claim if its answer was recorded before
     */
    public KeyRecord finish(String key, String claimId, byte[] answer, long nowMs) {
        Objects.requireNonNull(answer, "answer");
        KeyRecord held = get(key, nowMs);
        if (held != null && held.state() == KeyState.FINISHED) {
            return held;
        }
        KeyRecord finished = new KeyRecord(key, KeyState.FINISHED, claimId, answer, nowMs);
        put(finished);
        return finished;
    }

    /**
     * Releases a claim under which nothing ran and nothing will run.
     *
     * @return the record to store; null if there is a record of the key that this claim does not hold, which is not
     *     changed
     */
    public KeyRecord release(String key, String claimId, long nowMs) {
        withdrawn.add(claimId);
        KeyRecord held = get(key, nowMs);
        boolean own =
                held != null && held.state() == KeyState.HELD && held.claimId().equals(claimId);
        if (!own && held != null) {
            return null;
        }
        KeyRecord released = released(key, claimId, nowMs);
        put(released);
        return released;
    }

    /** Stores records unchanged, from the disk or from a recovery. */
    public void restore(Collection<KeyRecord> restored) {
        restored.forEach(this::put);
    }

    /**
     * Merges the records of other voters with those held here, key by key by {@link KeyMerge}.
     *
     * @return all records that are held afterwards
     */
    public List<KeyRecord> merge(Collection<KeyRecord> others) {
        Map<String, KeyMerge> merges = new TreeMap<>();
        Stream.concat(others.stream(), records.values().stream())
                .forEach(record ->
                        merges.computeIfAbsent(record.key(), KeyMerge::new).add(record));
        List<KeyRecord> joined = merges.values().stream().map(KeyMerge::result).toList();
        restore(joined);
        return joined;
    }

    /** The record of a key; null if there is none or it has expired. */
    public KeyRecord get(String key, long nowMs) {
        KeyRecord held = records.get(key);
        return held == null || expiresAt(held) <= nowMs ? null : held;
    }

    /**
     * A page of the records in order of their keys.
     *
     * @param afterKey the last key of the page before; empty for the first page
     * @param maxRecords the maximum number of records in the page
     * @param maxBytes the size, in bytes, at which the page ends
     */
    public List<KeyRecord> page(String afterKey, int maxRecords, long maxBytes) {
        List<KeyRecord> page = new ArrayList<>();
        long pageBytes = 0;
        for (KeyRecord record : records.tailMap(afterKey, false).values()) {
            if (page.size() >= maxRecords || pageBytes >= maxBytes) {
                break;
            }
            page.add(record);
            pageBytes += sizeOf(record);
        }
        return page;
    }

    /** Whether no record has a higher key. */
    public boolean isLast(String key) {
        return records.higherKey(key) == null;
    }

    /**
     * Removes expired records.
     *
     * @param atMost the maximum number of records to check in this call
     * @return the removed keys
     */
    public List<String> expire(long nowMs, int atMost) {
        List<String> expired = new ArrayList<>();
        for (int i = 0; i < atMost && !expiries.isEmpty() && expiries.peek().atMs() <= nowMs; i++) {
            Expiry due = expiries.poll();
            KeyRecord record = records.get(due.key());
            if (record != null && expiresAt(record) <= nowMs) {
                records.remove(due.key());
                bytes -= sizeOf(record);
                expired.add(due.key());
            }
        }
        return expired;
    }

    /** All records in the order of their keys. */
    public List<KeyRecord> all() {
        return new ArrayList<>(records.values());
    }

    /** The number of records. */
    public int size() {
        return records.size();
    }

    /** The estimated size of the records, in bytes. */
    public long bytes() {
        return bytes;
    }

    private boolean isFull() {
        return records.size() >= limits.maxRecords() || bytes >= limits.maxBytes();
    }

    private void put(KeyRecord record) {
        KeyRecord before = records.put(record.key(), record);
        bytes += sizeOf(record) - (before == null ? 0 : sizeOf(before));
        if (before == null || before.updatedAtMs() != record.updatedAtMs()) {
            expiries.add(new Expiry(expiresAt(record), record.key()));
        }
    }

    private long expiresAt(KeyRecord record) {
        return record.updatedAtMs() + limits.retentionMs();
    }

    private static KeyRecord released(String key, String claimId, long nowMs) {
        return new KeyRecord(key, KeyState.RELEASED, claimId, null, nowMs);
    }

    private static long sizeOf(KeyRecord record) {
        int answer = record.answer() == null ? 0 : record.answer().length;
        return RECORD_OVERHEAD_BYTES + record.key().length() + record.claimId().length() + answer;
    }
}
