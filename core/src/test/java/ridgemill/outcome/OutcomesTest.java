package ridgemill.outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.outcome.Known.State;
import ridgemill.outcome.Outcomes.End;

/** The one outcome of a key, on time that is passed in. */
class OutcomesTest {

    private static final double WINDOW = 6000;
    private static final double KEEP = 60_000;

    private final MemoryOutcomes store = new MemoryOutcomes(1000);
    private final Outcomes outcomes = new Outcomes(store, KEEP);

    private Outcomes.Ask ask(double now, String key, String call) {
        return outcomes.ask(now, key, call, "acme", 7, WINDOW);
    }

    @Test
    void oneRunsOthersWaitAndLaterOnesAreTold() {
        assertEquals(new Outcomes.Run(true), ask(0, "k", "a"));
        assertEquals(new Outcomes.Join("a"), ask(10, "k", "b"));
        outcomes.ended(20, "k", "a", End.SERVED);
        assertEquals(State.RECORDED, assertInstanceOf(Outcomes.Tell.class, ask(30, "k", "c")).known().state());
        assertEquals("a", outcomes.find(KEEP, "k", "acme").call());
        assertNull(outcomes.find(20 + KEEP + 1, "k", "acme"));
        assertNull(outcomes.find(30, "k", "other"), "it is not theirs");
        assertEquals(new Outcomes.Run(true), ask(20 + KEEP + 1, "k", "d"), "as new as any");
    }

    @Test
    void whatNeverRanIsForgottenAndWhatMayHaveIsRunAgainOnlyInItsWindow() {
        ask(0, "k", "a");
        outcomes.ended(10, "k", "a", End.NOTHING_RAN);
        assertEquals(0, store.size());
        ask(20, "k", "b");
        outcomes.ended(30, "k", "b", End.MAY_HAVE_RUN);
        assertEquals(new Outcomes.Run(true), ask(5000, "k", "c"));
        assertEquals(State.RUNNING_AGAIN, store.get("k").state());
        outcomes.ended(5010, "k", "c", End.NOTHING_RAN);
        assertEquals(State.UNKNOWN, store.get("k").state(), "the one before may have run all the same");
        assertEquals(State.UNKNOWN, assertInstanceOf(Outcomes.Tell.class, ask(20 + WINDOW, "k", "d")).known().state(),
                "nodes have forgotten it, and running it could record it twice");
    }

    @Test
    void aKeyWithAnotherRequestOrOfAnotherTenantIsAConflict() {
        ask(0, "k", "a");
        assertInstanceOf(Outcomes.Conflict.class, outcomes.ask(1, "k", "b", "acme", 8, WINDOW));
        assertInstanceOf(Outcomes.Conflict.class, outcomes.ask(1, "k", "b", "other", 7, WINDOW));
        outcomes.ended(2, "k", "x", End.SERVED);
        assertTrue(store.get("k").isRunning(), "an end of another call ends nothing");
    }

    @Test
    void aFullStoreForgetsNoneWhoseRepeatsTheNodesStillDrop() {
        MemoryOutcomes small = new MemoryOutcomes(2);
        Outcomes o = new Outcomes(small, KEEP);
        o.ask(0, "a", "1", "t", 7, WINDOW);
        o.ended(1, "a", "1", End.SERVED);
        o.ask(0, "b", "2", "t", 7, WINDOW);
        assertEquals(new Outcomes.Run(false), o.ask(100, "c", "3", "t", 7, WINDOW));
        assertEquals(new Outcomes.Run(true), o.ask(WINDOW, "c", "4", "t", 7, WINDOW), "the first one's window is over");
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
                Outcomes.Ask ask = ask(now, key, call);
                String where = key + " at " + now + ", seed " + seed;
                if (ask instanceof Outcomes.Run) {
                    assertNull(running.put(key, call), where);
                    assertTrue(!recordedAt.containsKey(key) || now - recordedAt.get(key) > KEEP, where);
                    assertTrue(!mayHaveRunSince.containsKey(key) || now - mayHaveRunSince.get(key) < WINDOW
                            || now - mayHaveRunSince.get(key) > KEEP, where);
                    recordedAt.remove(key);
                } else if (ask instanceof Outcomes.Join join) {
                    assertEquals(running.get(key), join.call(), where);
                } else {
                    assertNull(running.get(key), where);
                }
            } else if (running.containsKey(key)) {
                End end = End.values()[random.nextInt(3)];
                String ended = running.remove(key);
                double first = store.get(key).firstMs();
                outcomes.ended(now, key, ended, end);
                if (end == End.SERVED) {
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
