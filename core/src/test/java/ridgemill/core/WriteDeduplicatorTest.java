package ridgemill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.idempotency.InMemoryIdempotencyStore;
import ridgemill.idempotency.IdempotencyRecords;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.WeightMode;
import ridgemill.policy.Router;

/** Keyed writes whose clients leave, ask again or never come back, under the project's own decisions on passed-in time. */
class WriteDeduplicatorTest {

    private static final ServiceClass PAY = new ServiceClass("pay", 500, 0, 1500, 1, 0, Effect.KEYED, DeduplicationScope.ALL, 6000, false);
    private static final Settings SETTINGS = new Settings(0, 1, "a", 1, List.of(PAY), List.of(), 1, false,
            new Router.PlatformLimits(4, true, true, false, true, 1000, false, 100), new PlatformRules(0, 1, 0, 1, 1000, 20, 0), false,
            WeightMode.NONE, "origin");

    /** A store that drops the repeats of a key for its window, and answers, resets or stays silent as it is told. */
    private final class StoreBack implements Backend<String> {
        private final Map<String, Listener<String>> out = new LinkedHashMap<>();
        private final Map<String, Double> firstRan = new HashMap<>();
        private final Map<String, Integer> effects = new HashMap<>();
        private final List<String> sent = new ArrayList<>();
        private final Map<String, Attempt<String>> attempts = new HashMap<>();

        @Override
        public Exchange send(String node, Attempt<String> attempt, double timeoutMs, Listener<String> done) {
            String id = attempt.requestId();
            assertFalse(out.containsKey(id), "two attempts out at once");
            sent.add(id);
            out.put(id, done);
            attempts.put(id, attempt);
            timers.scheduleAt(timers.now() + timeoutMs, () -> end(id, Outcome.TIMEOUT));
            return () -> end(id, Outcome.CANCELLED);
        }

        /** It runs, whether or not its answer comes. */
        void run(String id) {
            String key = attempts.get(id).command().idempotencyKey();
            Double first = firstRan.get(key);
            if (first == null || timers.now() - first >= PAY.deduplicationWindowMs()) {
                firstRan.put(key, timers.now());
                effects.merge(key, 1, Integer::sum);
            }
        }

        void end(String id, Outcome outcome) {
            Listener<String> done = out.remove(id);
            if (done != null) {
                done.ended(outcome, outcome == Outcome.OK ? new NodeResponse<>("v", NodeResponse.NO_CACHE_STATUS) : null);
            }
        }

        @Override
        public void probe(String node, double timeoutMs, Listener<String> done) { }

        @Override
        public void closeIdleConnections(String node) { }
    }

    private static final class Told implements ResponseHandler<String> {
        final List<String> answers = new ArrayList<>();

        @Override
        public void served(NodeResponse<String> answer) {
            answers.add("served");
        }

        @Override
        public void recorded(String call) {
            answers.add("served");
        }

        @Override
        public void refused(double retryAfterMs) {
            answers.add("refused");
        }

        @Override
        public void conflict() {
            answers.add("conflict");
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final StoreBack store = new StoreBack();
    private final InMemoryIdempotencyStore kept = new InMemoryIdempotencyStore(10_000);
    private final Intake<String> intake;
    private int open;

    WriteDeduplicatorTest() {
        intake = new Intake<>(timers, new AdmissionController() {
            @Override
            public Decision admit(double nowMs, AdmissionRequest arrival) {
                return new Admitted(PAY, arrival.budgetMs());
            }

            @Override
            public void requestEnded(double nowMs, String service) {
                open--;
            }
        }, new Deadlines(DeadlinePolicy.DEFAULT));
        Dispatcher<String> dispatcher = new Dispatcher<>(timers, SETTINGS, new BalancingRouter(SETTINGS, 3), store, new FaultReporter() {
            @Override
            public void error(String what, Throwable cause) {
                throw new AssertionError(what, cause);
            }

            @Override
            public void warning(String what) {
                throw new AssertionError(what);
            }
        }, intake::requestFinished, 1000, intake.deadlines().group(Intake.PLATFORM_GROUP));
        intake.addGroup(Intake.PLATFORM_GROUP, dispatcher);
        intake.setDeduplicator(new WriteDeduplicator<>(timers, new IdempotencyRecords(kept, 60_000), c -> c.content().hashCode()));
        dispatcher.start();
        dispatcher.updateNodes(ListUpdateKind.FULL, 1, List.of(new Node("db", "origin", "a", 0, 1, 0, Availability.UP),
                new Node("c0", "std", "a", 0, 1, 0, Availability.UP)));
    }

    private Told pay(String id, String key, double budgetMs) {
        return pay(id, key, budgetMs, "100");
    }

    private Told pay(String id, String key, double budgetMs, String content) {
        Told told = new Told();
        open++;
        intake.submit(new AdmissionController.Admitted(PAY, budgetMs), new Request(id, "pay", "acme", 1, 0, budgetMs, true, false),
                new Command<>(true, "/api/k", key, content), told);
        return told;
    }

    private void settled() {
        assertEquals(0, intake.pendingRequests());
        assertEquals(0, open, "each place was given back once");
    }

    @Test
    void aClientThatLeavesAfterTheSendIsToldByItsNextTry() {
        pay("a", "k", 1000);
        intake.clientGone("a");
        assertTrue(store.out.containsKey("a"), "it goes on to its end");
        store.run("a");
        store.end("a", Outcome.OK);
        assertEquals(List.of("served"), pay("b", "k", 1000).answers);
        assertEquals(List.of("a"), store.sent, "nothing of the second ran");
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("k", "acme").state());
        assertNull(intake.findLocalOutcome("k", "other"));
        settled();
    }

    @Test
    void anotherTryWaitsForTheFirstAndIsToldTheSame() {
        Told a = pay("a", "k", 1000);
        Told b = pay("b", "k", 1000);
        Told c = pay("c", "k", 100);
        assertTrue(intake.isOpen("b"));
        timers.pass(100);
        assertEquals(List.of("refused"), c.answers, "its own time is up, and asking again is harmless");
        intake.clientGone("a");
        store.run("a");
        store.end("a", Outcome.OK);
        assertEquals(List.of("served"), b.answers);
        assertEquals(List.of(), a.answers);
        assertEquals(1, store.effects.get("k"));
        settled();
    }

    @Test
    void aClientThatLeavesWhileItsRetryIsInFlightStillHasOneOutcome() {
        pay("a", "k", 1000);
        store.run("a");
        store.end("a", Outcome.RESET);
        assertEquals(List.of("a", "a"), store.sent, "the store drops the repeat");
        intake.clientGone("a");
        store.run("a");
        store.end("a", Outcome.OK);
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("k", "acme").state());
        assertEquals(1, store.effects.get("k"));
        settled();
    }

    @Test
    void aClientThatLeavesBeforeAnyByteIsOutTakesItsRequestAlong() {
        pay("a", "k", 1000);
        store.end("a", Outcome.CONNECT_FAILED);
        // A second attempt is out or not; where none may have run, nothing is recorded.
        if (store.out.containsKey("a")) {
            store.end("a", Outcome.CONNECT_FAILED);
        }
        assertNull(intake.findLocalOutcome("k", "acme"), "nothing ran");
        assertEquals(0, kept.size());
        settled();
    }

    @Test
    void whatMayHaveRunIsRunAgainInItsWindowAndNeverAfterIt() {
        Told a = pay("a", "k", 1000);
        store.run("a");
        timers.pass(1100);
        assertEquals(1, a.answers.size());
        assertEquals(IdempotencyRecord.State.UNKNOWN, intake.findLocalOutcome("k", "acme").state());
        timers.pass(PAY.deduplicationWindowMs());
        assertEquals(List.of("failed"), pay("late", "k", 1000).answers, "nodes have forgotten it: nobody can find out by running it");
        assertEquals(1, store.effects.get("k"));
        settled();
    }

    @Test
    void theSameKeyWithAnotherAmountIsAConflict() {
        pay("a", "k", 1000);
        assertEquals(List.of("conflict"), pay("b", "k", 1000, "200").answers);
        store.end("a", Outcome.OK);
        settled();
    }

    @Test
    void anAnswerInTheTurnInWhichItsClientLeavesIsRecordedOnce() {
        Told a = pay("a", "k", 1000);
        store.run("a");
        store.end("a", Outcome.OK);
        intake.clientGone("a");
        Told b = pay("b", "j", 1000);
        intake.clientGone("b");
        store.run("b");
        store.end("b", Outcome.OK);
        assertEquals(List.of("served"), a.answers);
        assertEquals(List.of(), b.answers);
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("j", "acme").state());
        settled();
    }

    /** Leaving, asking again, resets, silence and late asks in any order: one effect a key, one answer a client that stays. */
    @Test
    void whateverClientsAndTheStoreDoEachKeyHasOneEffect() {
        long seed = System.nanoTime();
        System.out.println("RecorderTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<Told> told = new ArrayList<>();
        List<Boolean> left = new ArrayList<>();
        Map<String, List<Integer>> asked = new HashMap<>();
        for (int i = 0; i < 5000; i++) {
            String key = "k" + i / 6 + "-" + random.nextInt(3);
            asked.computeIfAbsent(key, k -> new ArrayList<>()).add(i);
            told.add(pay("r" + i, key, 200 + random.nextInt(1200)));
            left.add(false);
            for (int n = random.nextInt(3); n > 0 && !store.out.isEmpty(); n--) {
                String id = List.copyOf(store.out.keySet()).get(random.nextInt(store.out.size()));
                switch (random.nextInt(5)) {
                    case 0 -> store.end(id, Outcome.CONNECT_FAILED);
                    case 1 -> {
                        store.run(id);
                        store.end(id, Outcome.RESET);
                    }
                    case 2 -> store.run(id);
                    default -> {
                        store.run(id);
                        store.end(id, Outcome.OK);
                    }
                }
            }
            int gone = random.nextInt(told.size());
            if (random.nextInt(4) == 0 && told.get(gone).answers.isEmpty() && !left.get(gone)) {
                left.set(gone, true);
                intake.clientGone("r" + gone);
            }
            timers.pass(random.nextInt(60));
        }
        timers.pass(10_000);
        for (int i = 0; i < told.size(); i++) {
            assertEquals(left.get(i) ? 0 : 1, told.get(i).answers.size(), "r" + i + ", seed " + seed);
        }
        store.effects.forEach((key, n) -> assertEquals(1, n, key + ", seed " + seed));
        asked.forEach((key, of) -> {
            boolean served = of.stream().anyMatch(i -> told.get(i).answers.contains("served"));
            assertTrue(!served || store.effects.containsKey(key), key + " was told as done and never ran, seed " + seed);
        });
        settled();
    }
}
