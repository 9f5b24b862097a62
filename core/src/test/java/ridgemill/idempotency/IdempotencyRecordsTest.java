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

/** The one outcome of a key, on time that is passed in. */
class IdempotencyRecordsTest {

    private static final double WINDOW = 6000;
    private static final double KEEP = 60_000;

    private final InMemoryIdempotencyStore store = new InMemoryIdempotencyStore(1000);
    private final IdempotencyRecords outcomes = new IdempotencyRecords(store, KEEP);

    private IdempotencyRecords.Decision ask(double now, String key, String call) {
        return outcomes.begin(now, key, call, "acme", 7, WINDOW);
    }

    @Test
    void oneRunsOthersWaitAndLaterOnesAreTold() {
        assertEquals(new IdempotencyRecords.Execute(true), ask(0, "k", "a"));
        assertEquals(new IdempotencyRecords.Join("a"), ask(10, "k", "b"));
        outcomes.callEnded(20, "k", "a", CallResult.SERVED);
        assertEquals(State.RECORDED, assertInstanceOf(IdempotencyRecords.Replay.class, ask(30, "k", "c")).record().state());
        assertEquals("a", outcomes.find(KEEP, "k", "acme").callId());
        assertNull(outcomes.find(20 + KEEP + 1, "k", "acme"));
        assertNull(outcomes.find(30, "k", "other"), "it is not theirs");
        assertEquals(new IdempotencyRecords.Execute(true), ask(20 + KEEP + 1, "k", "d"), "as new as any");
    }

    @Test
    void whatNeverRanIsForgottenAndWhatMayHaveIsRunAgainOnlyInItsWindow() {
        ask(0, "k", "a");
        outcomes.callEnded(10, "k", "a", CallResult.NOTHING_RAN);
        assertEquals(0, store.size());
        ask(20, "k", "b");
        outcomes.callEnded(30, "k", "b", CallResult.MAY_HAVE_RUN);
        assertEquals(new IdempotencyRecords.Execute(true), ask(5000, "k", "c"));
        assertEquals(State.RUNNING_AGAIN, store.get("k").state());
        outcomes.callEnded(5010, "k", "c", CallResult.NOTHING_RAN);
        assertEquals(State.UNKNOWN, store.get("k").state(), "the one before may have run all the same");
        assertEquals(State.UNKNOWN, assertInstanceOf(IdempotencyRecords.Replay.class, ask(20 + WINDOW, "k", "d")).record().state(),
                "nodes have forgotten it, and running it could record it twice");
    }

    @Test
    void aKeyWithAnotherRequestOrOfAnotherTenantIsAConflict() {
        ask(0, "k", "a");
        assertInstanceOf(IdempotencyRecords.Conflict.class, outcomes.begin(1, "k", "b", "acme", 8, WINDOW));
        assertInstanceOf(IdempotencyRecords.Conflict.class, outcomes.begin(1, "k", "b", "other", 7, WINDOW));
        outcomes.callEnded(2, "k", "x", CallResult.SERVED);
        assertTrue(store.get("k").isRunning(), "an end of another call ends nothing");
    }

    @Test
    void aFullStoreForgetsNoneWhoseRepeatsTheNodesStillDrop() {
        InMemoryIdempotencyStore small = new InMemoryIdempotencyStore(2);
        IdempotencyRecords o = new IdempotencyRecords(small, KEEP);
        o.begin(0, "a", "1", "t", 7, WINDOW);
        o.callEnded(1, "a", "1", CallResult.SERVED);
        o.begin(0, "b", "2", "t", 7, WINDOW);
        assertEquals(new IdempotencyRecords.Execute(false), o.begin(100, "c", "3", "t", 7, WINDOW));
        assertEquals(new IdempotencyRecords.Execute(true), o.begin(WINDOW, "c", "4", "t", 7, WINDOW), "the first one's window is over");
        assertNull(small.get("a"));
        assertTrue(small.get("b").isRunning(), "one that runs stays");
        assertEquals(1, small.evicted());
    }

    /** Any order of asks and ends: one call at a time, nothing runs after it was recorded, none past its window. */
    @Test
    void noOrderOfEventsRunsAKeyTwice() {
        long seed = System.nanoTime();
        System.out.println("OutcomesTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> running = new HashMap<>();
        Map<String, Double> recordedAt = new HashMap<>();
        Map<String, Double> mayHaveRunSince = new HashMap<>();
        double now = 0;
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt(40);
            String key = "k" + random.nextInt(40);
            String call = "c" + i;
            if (random.nextInt(3) > 0) {
                IdempotencyRecords.Decision ask = ask(now, key, call);
                String where = key + " at " + now + ", seed " + seed;
                if (ask instanceof IdempotencyRecords.Execute) {
                    assertNull(running.put(key, call), where);
                    assertTrue(!recordedAt.containsKey(key) || now - recordedAt.get(key) > KEEP, where);
                    assertTrue(!mayHaveRunSince.containsKey(key) || now - mayHaveRunSince.get(key) < WINDOW
                            || now - mayHaveRunSince.get(key) > KEEP, where);
                    recordedAt.remove(key);
                } else if (ask instanceof IdempotencyRecords.Join join) {
                    assertEquals(running.get(key), join.callId(), where);
                } else {
                    assertNull(running.get(key), where);
                }
            } else if (running.containsKey(key)) {
                CallResult end = CallResult.values()[random.nextInt(3)];
                String ended = running.remove(key);
                double first = store.get(key).firstSentMs();
                outcomes.callEnded(now, key, ended, end);
                if (end == CallResult.SERVED) {
                    recordedAt.put(key, now);
                    mayHaveRunSince.remove(key);
                } else if (store.get(key) == null) {
                    mayHaveRunSince.remove(key);
                } else {
                    mayHaveRunSince.put(key, first);
                }
            }
        }
    }
}
