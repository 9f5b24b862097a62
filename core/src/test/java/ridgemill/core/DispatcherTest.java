package ridgemill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Actions;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.PlatformLimits;
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
 * Checks that, whatever the routing policy requests, each request gets one final response, has one attempt in flight at
 * a time and stays within its limits.
 */
class DispatcherTest {

    private static final int MAX_ATTEMPTS = 4;
    private static final double SLACK_MS = 20;
    private static final Settings SETTINGS = new Settings(0, 1, "a", 1,
            List.of(new ServiceClass("read", 500, 0, 1500, 1, 0, Effect.SAFE, DeduplicationScope.ALL, 0, false)),
            List.of(), 1, false,
            new PlatformLimits(MAX_ATTEMPTS, true, true, false, true, 1000, false, 100),
            new PlatformRules(0, 1, 0, 1, 1000, SLACK_MS, 0),
            false, WeightMode.NONE, null);

    /** An exchange of the scripted backend. */
    private final class SentAttempt implements Backend.Exchange {
        private final Attempt<String> attempt;
        private final Backend.Listener<String> listener;
        private boolean ended;

        SentAttempt(Attempt<String> attempt, Backend.Listener<String> listener) {
            this.attempt = attempt;
            this.listener = listener;
        }

        void end(Outcome outcome) {
            if (!ended) {
                ended = true;
                inFlight.remove(this);
                listener.ended(outcome, outcome == Outcome.OK ? new NodeResponse<>("v", NodeResponse.HIT) : null);
            }
        }

        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }
    }

    private final class ScriptedBackend implements Backend<String> {
        @Override
        public Exchange send(String node, Attempt<String> attempt, double timeoutMs, Listener<String> listener) {
            SentAttempt sent = new SentAttempt(attempt, listener);
            assertTrue(inFlight.stream().noneMatch(o -> o.attempt.requestId().equals(attempt.requestId())),
                    "two attempts in flight at once");
            assertTrue(attempt.remainingMs() > 0);
            inFlight.add(sent);
            sentAttempts.add(sent);
            timers.scheduleAt(timers.now() + timeoutMs, () -> sent.end(Outcome.TIMEOUT));
            if (node.equals("refuses")) {
                sent.end(Outcome.CONNECT_FAILED);
            }
            return sent;
        }

        @Override
        public void probe(String node, double timeoutMs, Listener<String> listener) {
            listener.ended(Outcome.OK, null);
        }

        @Override
        public void closeIdleConnections(String node) {
            closedNodes.add(node);
        }
    }

    /** Records the responses that a client gets. */
    private static final class RecordingHandler implements ResponseHandler<String> {
        final List<String> responses = new ArrayList<>();

        @Override
        public void served(NodeResponse<String> response) {
            responses.add("served " + response.content());
        }

        @Override
        public void refused(double retryAfterMs) {
            responses.add("refused " + retryAfterMs);
        }

        @Override
        public void failed() {
            responses.add("failed");
        }
    }

    /** The policy of a test: reacts to an event of a request. */
    private interface Script {
        void handle(String event, String request, Actions actions);
    }

    private final class ScriptedRouter implements Router {
        @Override
        public void onStart(double now, Actions actions) { }

        @Override
        public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions actions) { }

        @Override
        public void onRequest(double now, Request request, Actions actions) {
            script.handle("request", request.id(), actions);
        }

        @Override
        public void onStreamStarted(double now, String request, int attempt, String node, Actions actions) { }

        @Override
        public void onAttemptEnded(double now, AttemptResult result, Actions actions) {
            results.add(result);
            script.handle(result.requestFinished() ? "late" : result.outcome().name(), result.request(), actions);
        }

        @Override
        public void onClientDisconnected(double now, String request, Actions actions) {
            script.handle("gone", request, actions);
        }

        @Override
        public void onTimer(double now, String token, Actions actions) {
            script.handle("timer", token, actions);
        }

        @Override
        public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                           Actions actions) {
            script.handle("probed", node, actions);
        }

        @Override
        public void onPeerMessage(double now, int from, byte[] contents, Actions actions) { }
    }

    private final ManualTimers timers = new ManualTimers();
    private final List<SentAttempt> inFlight = new ArrayList<>();
    private final List<SentAttempt> sentAttempts = new ArrayList<>();
    private final List<String> closedNodes = new ArrayList<>();
    private final List<AttemptResult> results = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private Script script = (event, request, actions) -> { };
    private final Dispatcher<String> dispatcher = new Dispatcher<>(timers, SETTINGS, new ScriptedRouter(),
            new ScriptedBackend(), recordingFaults(), service -> { }, 100);

    private FaultReporter recordingFaults() {
        return new FaultReporter() {
            @Override
            public void error(String message, Throwable cause) {
                faults.add(message);
            }

            @Override
            public void warning(String message) {
                faults.add(message);
            }
        };
    }

    private RecordingHandler submit(String id) {
        RecordingHandler handler = new RecordingHandler();
        dispatcher.submit(new Request(id, "read", null, 1, 0, 1000, false, false),
                new Command<>(false, "/api/k", null, ""), handler);
        return handler;
    }

    @Test
    void responseIsDeliveredOnceAndReported() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        RecordingHandler handler = submit("a");
        assertEquals(1, dispatcher.pendingRequests());
        inFlight.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), handler.responses);
        assertTrue(results.get(0).requestFinished());
        assertEquals(NodeResponse.HIT, results.get(0).cacheStatus());
        assertEquals(0, dispatcher.pendingRequests());
        timers.pass(5000);
        assertEquals(List.of("served v"), handler.responses);
    }

    @Test
    void exchangeThatEndsBeforeSendReturnsIsHandled() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "refuses", 0);
            } else {
                actions.refuse(request, 12);
            }
        };
        assertEquals(List.of("refused 12.0"), submit("a").responses);
    }

    @Test
    void requestWithoutDecisionIsAnsweredAfterItsDeadline() {
        RecordingHandler handler = submit("a");
        timers.pass(1000 + SLACK_MS - 1);
        assertEquals(List.of(), handler.responses);
        timers.pass(1);
        assertEquals(List.of("refused 0.0"), handler.responses, "nothing ran, so the request is refused");
        assertEquals(1, faults.size());
    }

    @Test
    void exceptionInThePolicyAffectsOnlyItsRequest() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            } else if (event.equals("RESET") && request.equals("a")) {
                throw new IllegalStateException("planned in this test");
            }
        };
        RecordingHandler a = submit("a");
        RecordingHandler b = submit("b");
        inFlight.get(0).end(Outcome.RESET);
        assertEquals(List.of("failed"), a.responses, "the attempt may have run, so the request fails");
        inFlight.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), b.responses);
    }

    /**
     * After an error such as a class that cannot be loaded, the policy is not called again and no request waits for it.
     */
    @Test
    void policyIsNotCalledAgainAfterAFatalError() {
        List<String> calls = new ArrayList<>();
        script = (event, request, actions) -> {
            calls.add(event + " " + request);
            if (request.equals("out")) {
                actions.send(request, "c0", 0);
            } else if (request.equals("bad")) {
                throw new NoClassDefFoundError("planned in this test");
            }
        };
        RecordingHandler waiting = submit("waits");
        RecordingHandler sent = submit("out");
        RecordingHandler bad = submit("bad");
        assertEquals(List.of("refused 0.0"), bad.responses);
        assertEquals(List.of("refused 0.0"), waiting.responses, "nothing ran, and the policy will not decide");
        assertEquals(List.of(), sent.responses, "its attempt is in flight and may still be answered");
        RecordingHandler later = submit("later");
        assertEquals(List.of("refused 0.0"), later.responses);
        inFlight.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), sent.responses);
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(1, faults.size());
        assertEquals(List.of("request waits", "request out", "request bad"), calls);
    }

    @Test
    void disconnectedClientGetsNoResponse() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            } else if (event.equals("gone")) {
                actions.cancel(request, 0);
            }
        };
        RecordingHandler handler = submit("a");
        dispatcher.clientDisconnected("a");
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(Outcome.CANCELLED, results.get(0).outcome());
        assertEquals(List.of(), handler.responses);
        assertTrue(inFlight.isEmpty());
    }

    /** A request that cannot be answered in time gets its final response without a send, and the policy is informed. */
    @Test
    void lateRequestIsNotSent() {
        Deadlines deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        Dispatcher<String> dispatcherWithDeadlines = new Dispatcher<>(timers, SETTINGS, new ScriptedRouter(),
                new ScriptedBackend(), recordingFaults(), service -> { }, 100, deadlines.group(""));
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        for (int i = 0; i < 60; i++) {
            RecordingHandler handler = new RecordingHandler();
            dispatcherWithDeadlines.submit(new Request("r" + i, "read", null, 1, 0, 1000, false, false),
                    new Command<>(false, "/api/k", null, ""), handler);
            timers.pass(100);
            inFlight.get(0).end(Outcome.OK);
        }
        int sent = sentAttempts.size();
        RecordingHandler late = new RecordingHandler();
        dispatcherWithDeadlines.submit(new Request("late", "read", null, 1, 0, 50, false, false),
                new Command<>(false, "/api/k", null, ""), late);
        assertEquals(List.of("refused 0.0"), late.responses, "refused at once, and nothing ran");
        assertEquals(sent, sentAttempts.size());
        assertEquals(Outcome.NEVER_SENT, results.get(results.size() - 1).outcome());
        assertTrue(results.get(results.size() - 1).requestFinished());
        assertEquals(0, dispatcherWithDeadlines.pendingRequests());
        assertEquals(1, deadlines.dropped());
    }

    /** Nothing is written to a connection that took longer to establish than its request had left. */
    @Test
    void attemptMayNotBeWrittenAfterDisconnectOrDeadline() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        submit("a");
        submit("b");
        assertTrue(inFlight.get(0).attempt.mayBeWritten());
        dispatcher.clientDisconnected("a");
        assertFalse(inFlight.get(0).attempt.mayBeWritten(), "the client has disconnected");
        SentAttempt second = inFlight.get(1);
        timers.pass(999);
        assertTrue(second.attempt.mayBeWritten());
        timers.pass(1);
        assertFalse(second.attempt.mayBeWritten(), "the deadline has passed");
    }

    @Test
    void answerNowRespondsAtOnceAndCancelsTheAttempt() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        RecordingHandler handler = submit("a");
        dispatcher.answerNow("a");
        assertEquals(1, handler.responses.size());
        assertEquals(Outcome.CANCELLED, results.get(0).outcome());
        assertTrue(inFlight.isEmpty());
        dispatcher.answerNow("a");
        assertEquals(1, handler.responses.size());
        assertEquals(0, dispatcher.pendingRequests());
    }

    /** The policy requests random actions at random times; the seed is printed. */
    @Test
    void invariantsHoldForRandomPolicyActions() {
        long seed = System.nanoTime();
        System.out.println("DispatcherTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<String> ids = new ArrayList<>();
        script = (event, request, actions) -> {
            for (int n = random.nextInt(4); n > 0; n--) {
                String id = ids.isEmpty() ? request : ids.get(random.nextInt(ids.size()));
                switch (random.nextInt(9)) {
                    case 0, 1, 2 -> actions.send(id, random.nextInt(4) == 0 ? "refuses" : "c0", random.nextInt(300));
                    case 3 -> actions.refuse(id, random.nextInt(100));
                    case 4 -> actions.fail(id);
                    case 5 -> actions.cancel(id, random.nextInt(MAX_ATTEMPTS));
                    case 6 -> actions.setTimer(timers.now() + 1 + random.nextInt(50), id);
                    case 7 -> actions.probe("c0");
                    default -> {
                        if (random.nextInt(10) == 0) {
                            throw new IllegalStateException("planned in this test");
                        }
                    }
                }
            }
        };
        List<RecordingHandler> handlers = new ArrayList<>();
        List<Boolean> disconnected = new ArrayList<>();
        Outcome[] outcomes = Outcome.values();
        for (int i = 0; i < 2000; i++) {
            ids.add("r" + i);
            if (ids.size() > 20) {
                ids.remove(0);
            }
            handlers.add(submit("r" + i));
            disconnected.add(false);
            if (!inFlight.isEmpty() && random.nextBoolean()) {
                inFlight.get(random.nextInt(inFlight.size())).end(outcomes[random.nextInt(outcomes.length)]);
            }
            if (random.nextInt(10) == 0) {
                int index = random.nextInt(handlers.size());
                if (handlers.get(index).responses.isEmpty() && dispatcher.isOpen("r" + index)) {
                    disconnected.set(index, true);
                    dispatcher.clientDisconnected("r" + index);
                }
            }
            timers.pass(random.nextInt(40));
        }
        timers.pass(1000 + SLACK_MS);
        for (int i = 0; i < handlers.size(); i++) {
            assertEquals(disconnected.get(i) ? 0 : 1, handlers.get(i).responses.size(), "r" + i + ", seed " + seed);
        }
        sentAttempts.stream().map(s -> s.attempt.requestId()).distinct().forEach(id -> assertTrue(
                sentAttempts.stream().filter(s -> s.attempt.requestId().equals(id)).count() <= MAX_ATTEMPTS,
                "seed " + seed));
        assertEquals(0, dispatcher.pendingRequests());
    }
}
