package ridgemill.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.idempotency.IdempotencyRecord.State;
import ridgemill.idempotency.IdempotencyRecords.CallResult;

/** Decisions by the record of an idempotency key, on simulated time. */
class IdempotencyRecordsTest {

    private static final double WINDOW_MS = 6000;
    private static final double RETENTION_MS = 60_000;

    private final InMemoryIdempotencyStore store = new InMemoryIdempotencyStore(1000);
    private final IdempotencyRecords records = new IdempotencyRecords(store, RETENTION_MS);

    private IdempotencyRecords.Decision begin(double now, String key, String callId) {
        return records.begin(now, key, callId, "acme", 7, WINDOW_MS);
    }

    @Test
    void firstCallRunsOthersWaitAndLaterOnesAreReplayed() {
        assertEquals(new IdempotencyRecords.Execute(true), begin(0, "k", "a"));
        assertEquals(new IdempotencyRecords.Join("a"), begin(10, "k", "b"));
        records.callEnded(20, "k", "a", CallResult.SERVED);
        assertEquals(State.RECORDED,
                assertInstanceOf(IdempotencyRecords.Replay.class, begin(30, "k", "c")).record().state());
        assertEquals("a", records.find(RETENTION_MS, "k", "acme").callId());
        assertNull(records.find(20 + RETENTION_MS + 1, "k", "acme"));
        assertNull(records.find(30, "k", "other"), "the record is another tenant's");
        assertEquals(new IdempotencyRecords.Execute(true), begin(20 + RETENTION_MS + 1, "k", "d"),
                "the record has expired, so the key is new");
    }

    @Test
    void unknownOutcomeIsRerunOnlyWithinTheWindow() {
        begin(0, "k", "a");
        records.callEnded(10, "k", "a", CallResult.NOTHING_RAN);
        assertEquals(0, store.size());
        begin(20, "k", "b");
        records.callEnded(30, "k", "b", CallResult.MAY_HAVE_RUN);
        assertEquals(new IdempotencyRecords.Execute(true), begin(5000, "k", "c"));
        assertEquals(State.RUNNING_AGAIN, store.get("k").state());
        records.callEnded(5010, "k", "c", CallResult.NOTHING_RAN);
        assertEquals(State.UNKNOWN, store.get("k").state(), "the earlier call may have run");
        assertEquals(State.UNKNOWN,
                assertInstanceOf(IdempotencyRecords.Replay.class, begin(20 + WINDOW_MS, "k", "d")).record().state(),
                "the nodes have forgotten the key, so executing it could take effect twice");
    }

    @Test
    void keyWithAnotherRequestOrTenantIsAConflict() {
        begin(0, "k", "a");
        assertInstanceOf(IdempotencyRecords.Conflict.class, records.begin(1, "k", "b", "acme", 8, WINDOW_MS));
        assertInstanceOf(IdempotencyRecords.Conflict.class, records.begin(1, "k", "b", "other", 7, WINDOW_MS));
        records.callEnded(2, "k", "x", CallResult.SERVED);
        assertTrue(store.get("k").isRunning(), "the end of another call is ignored");
    }

    @Test
    void fullStoreEvictsNoRecordWithinItsWindow() {
        InMemoryIdempotencyStore smallStore = new InMemoryIdempotencyStore(2);
        IdempotencyRecords smallRecords = new IdempotencyRecords(smallStore, RETENTION_MS);
        smallRecords.begin(0, "a", "1", "t", 7, WINDOW_MS);
        smallRecords.callEnded(1, "a", "1", CallResult.SERVED);
        smallRecords.begin(0, "b", "2", "t", 7, WINDOW_MS);
        assertEquals(new IdempotencyRecords.Execute(false), smallRecords.begin(100, "c", "3", "t", 7, WINDOW_MS));
        assertEquals(new IdempotencyRecords.Execute(true), smallRecords.begin(WINDOW_MS, "c", "4", "t", 7, WINDOW_MS),
                "the window of the first record is over");
        assertNull(smallStore.get("a"));
        assertTrue(smallStore.get("b").isRunning(), "a running call is not evicted");
        assertEquals(1, smallStore.evicted());
    }

    /**
     * Requests and ends in random order: one call of a key at a time, none after the outcome was recorded, and none of
     * unknown outcome after its window.
     */
    @Test
    void noOrderOfEventsExecutesAKeyTwice() {
        long seed = System.nanoTime();
        System.out.println("IdempotencyRecordsTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> runningCalls = new HashMap<>();
        Map<String, Double> recordedAt = new HashMap<>();
        Map<String, Double> unknownSince = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt(40);
            String key = "k" + random.nextInt(40);
            String callId = "c" + i;
            if (random.nextInt(3) > 0) {
                IdempotencyRecords.Decision decision = begin(now, key, callId);
                String message = key + " at " + now + ", seed " + seed;
                if (decision instanceof IdempotencyRecords.Execute) {
                    assertNull(runningCalls.put(key, callId), message);
                    assertTrue(!recordedAt.containsKey(key) || now - recordedAt.get(key) > RETENTION_MS, message);
                    assertTrue(!unknownSince.containsKey(key) || now - unknownSince.get(key) < WINDOW_MS
                            || now - unknownSince.get(key) > RETENTION_MS, message);
                    recordedAt.remove(key);
                } else if (decision instanceof IdempotencyRecords.Join join) {
                    assertEquals(runningCalls.get(key), join.callId(), message);
                } else {
                    assertNull(runningCalls.get(key), message);
                }
            } else if (runningCalls.containsKey(key)) {
                CallResult result = CallResult.values()[random.nextInt(3)];
                String endedCall = runningCalls.remove(key);
                double first = store.get(key).firstSentMs();
                records.callEnded(now, key, endedCall, result);
                if (result == CallResult.SERVED) {
                    recordedAt.put(key, now);
                    unknownSince.remove(key);
                } else if (store.get(key) == null) {
                    unknownSince.remove(key);
                } else {
                    unknownSince.put(key, first);
                }
            }
        }
    }
}
