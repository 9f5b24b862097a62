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

/** Whatever the module asks for: one final answer a request, one attempt out at a time, none past its limits. */
class DispatcherTest {

    private static final int MAX_ATTEMPTS = 4;
    private static final double SLACK_MS = 20;
    private static final Settings SETTINGS = new Settings(0, 1, "a", 1,
            List.of(new ServiceClass("read", 500, 0, 1500, 1, 0, Effect.SAFE, DeduplicationScope.ALL, 0, false)), List.of(), 1, false,
            new PlatformLimits(MAX_ATTEMPTS, true, true, false, true, 1000, false, 100), new PlatformRules(0, 1, 0, 1, 1000, SLACK_MS, 0),
            false, WeightMode.NONE, null);

    /** One exchange as a scripted back has it. */
    private final class Sent implements Backend.Exchange {
        private final Attempt<String> attempt;
        private final Backend.Listener<String> done;
        private boolean over;

        Sent(Attempt<String> attempt, Backend.Listener<String> done) {
            this.attempt = attempt;
            this.done = done;
        }

        void end(Outcome outcome) {
            if (!over) {
                over = true;
                out.remove(this);
                done.ended(outcome, outcome == Outcome.OK ? new NodeResponse<>("v", NodeResponse.HIT) : null);
            }
        }

        @Override
        public void cancel() {
            end(Outcome.CANCELLED);
        }
    }

    private final class ScriptedBack implements Backend<String> {
        @Override
        public Exchange send(String node, Attempt<String> attempt, double timeoutMs, Listener<String> done) {
            Sent sent = new Sent(attempt, done);
            assertTrue(out.stream().noneMatch(o -> o.attempt.requestId().equals(attempt.requestId())),
                    "two attempts are out at once");
            assertTrue(attempt.remainingMs() > 0);
            out.add(sent);
            all.add(sent);
            timers.scheduleAt(timers.now() + timeoutMs, () -> sent.end(Outcome.TIMEOUT));
            if (node.equals("refuses")) {
                sent.end(Outcome.CONNECT_FAILED);
            }
            return sent;
        }

        @Override
        public void probe(String node, double timeoutMs, Listener<String> done) {
            done.ended(Outcome.OK, null);
        }

        @Override
        public void closeIdleConnections(String node) {
            closed.add(node);
        }
    }

    /** A client that keeps what it was told. */
    private static final class Told implements ResponseHandler<String> {
        final List<String> answers = new ArrayList<>();

        @Override
        public void served(NodeResponse<String> answer) {
            answers.add("served " + answer.content());
        }

        @Override
        public void refused(double retryAfterMs) {
            answers.add("refused " + retryAfterMs);
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    }

    /** A module that does as the test says on a request and on the end of an attempt. */
    private interface Script {
        void decide(String event, String request, Actions actions);
    }

    private final class ScriptedRouter implements Router {
        @Override
        public void onStart(double now, Actions actions) { }

        @Override
        public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions actions) { }

        @Override
        public void onRequest(double now, Request request, Actions actions) {
            script.decide("request", request.id(), actions);
        }

        @Override
        public void onStreamStarted(double now, String request, int attempt, String node, Actions actions) { }

        @Override
        public void onAttemptEnded(double now, AttemptResult end, Actions actions) {
            ends.add(end);
            script.decide(end.requestFinished() ? "late" : end.outcome().name(), end.request(), actions);
        }

        @Override
        public void onClientDisconnected(double now, String request, Actions actions) {
            script.decide("gone", request, actions);
        }

        @Override
        public void onTimer(double now, String token, Actions actions) {
            script.decide("timer", token, actions);
        }

        @Override
        public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                           Actions actions) {
            script.decide("probed", node, actions);
        }

        @Override
        public void onPeerMessage(double now, int from, byte[] contents, Actions actions) { }
    }

    private final ManualTimers timers = new ManualTimers();
    private final List<Sent> out = new ArrayList<>();
    private final List<Sent> all = new ArrayList<>();
    private final List<String> closed = new ArrayList<>();
    private final List<AttemptResult> ends = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private Script script = (event, request, actions) -> { };
    private final Dispatcher<String> dispatcher = new Dispatcher<>(timers, SETTINGS, new ScriptedRouter(),
            new ScriptedBack(), quiet(), service -> { }, 100);

    private FaultReporter quiet() {
        return new FaultReporter() {
            @Override
            public void error(String what, Throwable cause) {
                faults.add(what);
            }

            @Override
            public void warning(String what) {
                faults.add(what);
            }
        };
    }

    private Told ask(String id) {
        Told told = new Told();
        dispatcher.submit(new Request(id, "read", null, 1, 0, 1000, false, false),
                new Command<>(false, "/api/k", null, ""), told);
        return told;
    }

    @Test
    void anAnswerIsServedOnceAndReported() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        Told told = ask("a");
        assertEquals(1, dispatcher.pendingRequests());
        out.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), told.answers);
        assertTrue(ends.get(0).requestFinished());
        assertEquals(NodeResponse.HIT, ends.get(0).cacheStatus());
        assertEquals(0, dispatcher.pendingRequests());
        timers.pass(5000);
        assertEquals(List.of("served v"), told.answers);
    }

    @Test
    void aBackThatEndsBeforeItReturnsIsUnderstood() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "refuses", 0);
            } else {
                actions.refuse(request, 12);
            }
        };
        assertEquals(List.of("refused 12.0"), ask("a").answers);
    }

    @Test
    void whatTheModuleForgetsIsAnsweredAtItsDeadline() {
        Told told = ask("a");
        timers.pass(1000 + SLACK_MS - 1);
        assertEquals(List.of(), told.answers);
        timers.pass(1);
        assertEquals(List.of("refused 0.0"), told.answers, "nothing ran, so a refusal is a true promise");
        assertEquals(1, faults.size());
    }

    @Test
    void aModuleThatFailsCostsItsOwnRequestAlone() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            } else if (event.equals("RESET") && request.equals("a")) {
                throw new IllegalStateException("planned in this test");
            }
        };
        Told a = ask("a");
        Told b = ask("b");
        out.get(0).end(Outcome.RESET);
        assertEquals(List.of("failed"), a.answers, "it may have run, so nothing is promised");
        out.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), b.answers);
    }

    /** An error, as a class that can't be loaded: the module is not asked again, and nobody waits for it. */
    @Test
    void aModuleThatCannotGoOnIsNotAskedAgainAndOwesNothing() {
        List<String> asked = new ArrayList<>();
        script = (event, request, actions) -> {
            asked.add(event + " " + request);
            if (request.equals("out")) {
                actions.send(request, "c0", 0);
            } else if (request.equals("bad")) {
                throw new NoClassDefFoundError("planned in this test");
            }
        };
        Told waits = ask("waits");
        Told sent = ask("out");
        Told bad = ask("bad");
        assertEquals(List.of("refused 0.0"), bad.answers);
        assertEquals(List.of("refused 0.0"), waits.answers, "nothing ran, and nobody decides on it any more");
        assertEquals(List.of(), sent.answers, "its attempt is out and may still be answered");
        Told later = ask("later");
        assertEquals(List.of("refused 0.0"), later.answers);
        out.get(0).end(Outcome.OK);
        assertEquals(List.of("served v"), sent.answers);
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(1, faults.size());
        assertEquals(List.of("request waits", "request out", "request bad"), asked);
    }

    @Test
    void aClientThatLeavesIsOwedNothing() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            } else if (event.equals("gone")) {
                actions.cancel(request, 0);
            }
        };
        Told told = ask("a");
        dispatcher.clientGone("a");
        assertEquals(0, dispatcher.pendingRequests());
        assertEquals(Outcome.CANCELLED, ends.get(0).outcome());
        assertEquals(List.of(), told.answers);
        assertTrue(out.isEmpty());
    }

    /** What can't be answered in time has its final answer before it is sent, and the module hears that it is over. */
    @Test
    void whatComesTooLateIsNotSent() {
        Deadlines deadlines = new Deadlines(DeadlinePolicy.DEFAULT);
        Dispatcher<String> timed = new Dispatcher<>(timers, SETTINGS, new ScriptedRouter(), new ScriptedBack(), quiet(),
                service -> { }, 100, deadlines.group(""));
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        for (int i = 0; i < 60; i++) {
            Told told = new Told();
            timed.submit(new Request("r" + i, "read", null, 1, 0, 1000, false, false), new Command<>(false, "/api/k", null, ""), told);
            timers.pass(100);
            out.get(0).end(Outcome.OK);
        }
        int sent = all.size();
        Told late = new Told();
        timed.submit(new Request("late", "read", null, 1, 0, 50, false, false), new Command<>(false, "/api/k", null, ""), late);
        assertEquals(List.of("refused 0.0"), late.answers, "at once, and nothing ran");
        assertEquals(sent, all.size());
        assertEquals(Outcome.NEVER_SENT, ends.get(ends.size() - 1).outcome());
        assertTrue(ends.get(ends.size() - 1).requestFinished());
        assertEquals(0, timed.pendingRequests());
        assertEquals(1, deadlines.dropped());
    }

    /** A connection that took longer to come up than its request had: nothing is written on it. */
    @Test
    void whatItsClientLeftOrIsTooLateMayNotBeWrittenAnyMore() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        ask("a");
        ask("b");
        assertTrue(out.get(0).attempt.mayBeWritten());
        dispatcher.clientGone("a");
        assertFalse(out.get(0).attempt.mayBeWritten(), "its client has left");
        Sent second = out.get(1);
        timers.pass(999);
        assertTrue(second.attempt.mayBeWritten());
        timers.pass(1);
        assertFalse(second.attempt.mayBeWritten(), "its time is up");
    }

    @Test
    void oneThatIsGivenUpHasItsAnswerAtOnceAndWhatIsOutIsCancelled() {
        script = (event, request, actions) -> {
            if (event.equals("request")) {
                actions.send(request, "c0", 0);
            }
        };
        Told told = ask("a");
        dispatcher.answerNow("a");
        assertEquals(1, told.answers.size());
        assertEquals(Outcome.CANCELLED, ends.get(0).outcome());
        assertTrue(out.isEmpty());
        dispatcher.answerNow("a");
        assertEquals(1, told.answers.size());
        assertEquals(0, dispatcher.pendingRequests());
    }

    /** A module that asks for anything at any time, from a seed. */
    @Test
    void noWishOfTheModuleBreaksWhatIsKept() {
        long seed = System.nanoTime();
        System.out.println("DispatcherTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        List<String> ids = new ArrayList<>();
        script = (event, request, actions) -> {
            for (int wishes = random.nextInt(4); wishes > 0; wishes--) {
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
        List<Told> told = new ArrayList<>();
        List<Boolean> left = new ArrayList<>();
        Outcome[] outcomes = Outcome.values();
        for (int i = 0; i < 2000; i++) {
            ids.add("r" + i);
            if (ids.size() > 20) {
                ids.remove(0);
            }
            told.add(ask("r" + i));
            left.add(false);
            if (!out.isEmpty() && random.nextBoolean()) {
                out.get(random.nextInt(out.size())).end(outcomes[random.nextInt(outcomes.length)]);
            }
            if (random.nextInt(10) == 0) {
                int gone = random.nextInt(told.size());
                if (told.get(gone).answers.isEmpty() && dispatcher.isOpen("r" + gone)) {
                    left.set(gone, true);
                    dispatcher.clientGone("r" + gone);
                }
            }
            timers.pass(random.nextInt(40));
        }
        timers.pass(1000 + SLACK_MS);
        for (int i = 0; i < told.size(); i++) {
            assertEquals(left.get(i) ? 0 : 1, told.get(i).answers.size(), "r" + i + ", seed " + seed);
        }
        all.stream().map(s -> s.attempt.requestId()).distinct().forEach(id -> assertTrue(
                all.stream().filter(s -> s.attempt.requestId().equals(id)).count() <= MAX_ATTEMPTS, "seed " + seed));
        assertEquals(0, dispatcher.pendingRequests());
    }
}
