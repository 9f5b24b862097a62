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

/**
 * Writes with idempotency keys whose clients disconnect, retry or never return, with the real routing policy on
 * simulated time.
 */
class WriteDeduplicatorTest {

    private static final ServiceClass PAY = new ServiceClass("pay", 500, 0, 1500, 1, 0, Effect.KEYED,
            DeduplicationScope.ALL, 6000, false);
    private static final Settings SETTINGS = new Settings(0, 1, "a", 1, List.of(PAY), List.of(), 1, false,
            new Router.PlatformLimits(4, true, true, false, true, 1000, false, 100),
            new PlatformRules(0, 1, 0, 1, 1000, 20, 0), false,
            WeightMode.NONE, "origin");

    /**
     * An origin that drops duplicates of a key for its window; the test decides when it executes and how an exchange
     * ends.
     */
    private final class OriginBackend implements Backend<String> {
        private final Map<String, Listener<String>> inFlight = new LinkedHashMap<>();
        private final Map<String, Double> firstRunMs = new HashMap<>();
        private final Map<String, Integer> effects = new HashMap<>();
        private final List<String> sentIds = new ArrayList<>();
        private final Map<String, Attempt<String>> attempts = new HashMap<>();

        @Override
        public Exchange send(String node, Attempt<String> attempt, double timeoutMs, Listener<String> listener) {
            String id = attempt.requestId();
            assertFalse(inFlight.containsKey(id), "two attempts in flight at once");
            sentIds.add(id);
            inFlight.put(id, listener);
            attempts.put(id, attempt);
            timers.scheduleAt(timers.now() + timeoutMs, () -> end(id, Outcome.TIMEOUT));
            return () -> end(id, Outcome.CANCELLED);
        }

        /** Executes a write, independent of whether its response arrives. */
        void execute(String id) {
            String key = attempts.get(id).command().idempotencyKey();
            Double firstMs = firstRunMs.get(key);
            if (firstMs == null || timers.now() - firstMs >= PAY.deduplicationWindowMs()) {
                firstRunMs.put(key, timers.now());
                effects.merge(key, 1, Integer::sum);
            }
        }

        void end(String id, Outcome outcome) {
            Listener<String> listener = inFlight.remove(id);
            if (listener != null) {
                listener.ended(outcome, outcome == Outcome.OK ? new NodeResponse<>("v", NodeResponse.NO_CACHE_STATUS)
                        : null);
            }
        }

        @Override
        public void probe(String node, double timeoutMs, Listener<String> listener) { }

        @Override
        public void closeIdleConnections(String node) { }
    }

    private static final class RecordingHandler implements ResponseHandler<String> {
        final List<String> responses = new ArrayList<>();

        @Override
        public void served(NodeResponse<String> response) {
            responses.add("served");
        }

        @Override
        public void recorded(String callId) {
            responses.add("served");
        }

        @Override
        public void refused(double retryAfterMs) {
            responses.add("refused");
        }

        @Override
        public void conflict() {
            responses.add("conflict");
        }

        @Override
        public void failed() {
            responses.add("failed");
        }
    }

    private final ManualTimers timers = new ManualTimers();
    private final OriginBackend backend = new OriginBackend();
    private final InMemoryIdempotencyStore records = new InMemoryIdempotencyStore(10_000);
    private final Intake<String> intake;
    private int admitted;

    WriteDeduplicatorTest() {
        intake = new Intake<>(timers, new AdmissionController() {
            @Override
            public Decision admit(double nowMs, AdmissionRequest arrival) {
                return new Admitted(PAY, arrival.budgetMs());
            }

            @Override
            public void requestEnded(double nowMs, String service) {
                admitted--;
            }
        }, new Deadlines(DeadlinePolicy.DEFAULT));
        Dispatcher<String> dispatcher = new Dispatcher<>(timers, SETTINGS, new BalancingRouter(SETTINGS, 3), backend,
                new FaultReporter() {
            @Override
            public void error(String message, Throwable cause) {
                throw new AssertionError(message, cause);
            }

            @Override
            public void warning(String message) {
                throw new AssertionError(message);
            }
        }, intake::requestFinished, 1000, intake.deadlines().group(Intake.PLATFORM_GROUP));
        intake.addGroup(Intake.PLATFORM_GROUP, dispatcher);
        intake.setDeduplicator(new WriteDeduplicator<>(timers, new IdempotencyRecords(records, 60_000),
                c -> c.content().hashCode()));
        dispatcher.start();
        dispatcher.updateNodes(ListUpdateKind.FULL, 1, List.of(new Node("db", "origin", "a", 0, 1, 0, Availability.UP),
                new Node("c0", "std", "a", 0, 1, 0, Availability.UP)));
    }

    private RecordingHandler pay(String id, String key, double budgetMs) {
        return pay(id, key, budgetMs, "100");
    }

    private RecordingHandler pay(String id, String key, double budgetMs, String content) {
        RecordingHandler handler = new RecordingHandler();
        admitted++;
        intake.submit(new AdmissionController.Admitted(PAY, budgetMs),
                new Request(id, "pay", "acme", 1, 0, budgetMs, true, false),
                new Command<>(true, "/api/k", key, content), handler);
        return handler;
    }

    private void assertSettled() {
        assertEquals(0, intake.pendingRequests());
        assertEquals(0, admitted, "each admission was ended once");
    }

    @Test
    void retryAfterDisconnectIsAnsweredFromTheRecord() {
        pay("a", "k", 1000);
        intake.clientDisconnected("a");
        assertTrue(backend.inFlight.containsKey("a"), "the call continues to its end");
        backend.execute("a");
        backend.end("a", Outcome.OK);
        assertEquals(List.of("served"), pay("b", "k", 1000).responses);
        assertEquals(List.of("a"), backend.sentIds, "the second request did not run");
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("k", "acme").state());
        assertNull(intake.findLocalOutcome("k", "other"));
        assertSettled();
    }

    @Test
    void duplicateWaitsForTheFirstCallAndGetsItsOutcome() {
        RecordingHandler a = pay("a", "k", 1000);
        RecordingHandler b = pay("b", "k", 1000);
        RecordingHandler c = pay("c", "k", 100);
        assertTrue(intake.isOpen("b"));
        timers.pass(100);
        assertEquals(List.of("refused"), c.responses, "its own time is up, and a retry is harmless");
        intake.clientDisconnected("a");
        backend.execute("a");
        backend.end("a", Outcome.OK);
        assertEquals(List.of("served"), b.responses);
        assertEquals(List.of(), a.responses);
        assertEquals(1, backend.effects.get("k"));
        assertSettled();
    }

    @Test
    void disconnectDuringARetryLeavesOneOutcome() {
        pay("a", "k", 1000);
        backend.execute("a");
        backend.end("a", Outcome.RESET);
        assertEquals(List.of("a", "a"), backend.sentIds, "the origin drops the duplicate");
        intake.clientDisconnected("a");
        backend.execute("a");
        backend.end("a", Outcome.OK);
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("k", "acme").state());
        assertEquals(1, backend.effects.get("k"));
        assertSettled();
    }

    @Test
    void failedConnectsLeaveNoRecord() {
        pay("a", "k", 1000);
        backend.end("a", Outcome.CONNECT_FAILED);
        // A second attempt may be in flight. If none can have run, nothing is recorded.
        if (backend.inFlight.containsKey("a")) {
            backend.end("a", Outcome.CONNECT_FAILED);
        }
        assertNull(intake.findLocalOutcome("k", "acme"), "nothing ran");
        assertEquals(0, records.size());
        assertSettled();
    }

    @Test
    void unknownOutcomeIsNotRerunAfterTheWindow() {
        RecordingHandler a = pay("a", "k", 1000);
        backend.execute("a");
        timers.pass(1100);
        assertEquals(1, a.responses.size());
        assertEquals(IdempotencyRecord.State.UNKNOWN, intake.findLocalOutcome("k", "acme").state());
        timers.pass(PAY.deduplicationWindowMs());
        assertEquals(List.of("failed"), pay("late", "k", 1000).responses,
                "the nodes have forgotten the key, so executing it would prove nothing");
        assertEquals(1, backend.effects.get("k"));
        assertSettled();
    }

    @Test
    void sameKeyWithAnotherAmountIsAConflict() {
        pay("a", "k", 1000);
        assertEquals(List.of("conflict"), pay("b", "k", 1000, "200").responses);
        backend.end("a", Outcome.OK);
        assertSettled();
    }

    @Test
    void responseAndDisconnectInTheSameIterationAreRecordedOnce() {
        RecordingHandler a = pay("a", "k", 1000);
        backend.execute("a");
        backend.end("a", Outcome.OK);
        intake.clientDisconnected("a");
        RecordingHandler b = pay("b", "j", 1000);
        intake.clientDisconnected("b");
        backend.execute("b");
        backend.end("b", Outcome.OK);
        assertEquals(List.of("served"), a.responses);
        assertEquals(List.of(), b.responses);
        assertEquals(IdempotencyRecord.State.RECORDED, intake.findLocalOutcome("j", "acme").state());
        assertSettled();
    }

    /**
     * Disconnects, retries, resets, timeouts and late requests in random order: one effect per key, one response per
     * client.
     */
    @Test
    void everyKeyTakesEffectOnceForRandomEvents() {
        long seed = System.nanoTime();
        System.out.println("WriteDeduplicatorTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<RecordingHandler> handlers = new ArrayList<>();
        List<Boolean> disconnected = new ArrayList<>();
        Map<String, List<Integer>> requestsByKey = new HashMap<>();
        for (int i = 0; i < 5000; i++) {
            String key = "k" + i / 6 + "-" + random.nextInt(3);
            requestsByKey.computeIfAbsent(key, k -> new ArrayList<>()).add(i);
            handlers.add(pay("r" + i, key, 200 + random.nextInt(1200)));
            disconnected.add(false);
            for (int n = random.nextInt(3); n > 0 && !backend.inFlight.isEmpty(); n--) {
                String id = List.copyOf(backend.inFlight.keySet()).get(random.nextInt(backend.inFlight.size()));
                switch (random.nextInt(5)) {
                    case 0 -> backend.end(id, Outcome.CONNECT_FAILED);
                    case 1 -> {
                        backend.execute(id);
                        backend.end(id, Outcome.RESET);
                    }
                    case 2 -> backend.execute(id);
                    default -> {
                        backend.execute(id);
                        backend.end(id, Outcome.OK);
                    }
                }
            }
            int index = random.nextInt(handlers.size());
            if (random.nextInt(4) == 0 && handlers.get(index).responses.isEmpty() && !disconnected.get(index)) {
                disconnected.set(index, true);
                intake.clientDisconnected("r" + index);
            }
            timers.pass(random.nextInt(60));
        }
        timers.pass(10_000);
        for (int i = 0; i < handlers.size(); i++) {
            assertEquals(disconnected.get(i) ? 0 : 1, handlers.get(i).responses.size(), "r" + i + ", seed " + seed);
        }
        backend.effects.forEach((key, n) -> assertEquals(1, n, key + ", seed " + seed));
        requestsByKey.forEach((key, requests) -> {
            boolean served = requests.stream().anyMatch(i -> handlers.get(i).responses.contains("served"));
            assertTrue(!served || backend.effects.containsKey(key),
                    key + " was reported as done and never ran, seed " + seed);
        });
        assertSettled();
    }
}
