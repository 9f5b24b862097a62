package ridgemill.testbed.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.LoadClass.Effect;
import ridgemill.testbed.ledger.Violation.Rule;
import ridgemill.testbed.ledger.WrongProxy.Wrong;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.Fault;
import ridgemill.testbed.node.NodeProfile;

/** The auditor lets a proxy pass that does right, and names the very requests that one wronged. */
class AuditorTest {

    private static final long SEED = 11;
    private static final double WINDOW_MS = 300;
    private static final double GRACE_MS = 200;
    private static final double SLACK_MS = 100;
    private static final List<LoadClass> CLASSES = List.of(
            new LoadClass("read", 10, 500, 2000, 1, Effect.SAFE, false),
            new LoadClass("pay", 5, 500, 2000, 1, Effect.KEYED, true),
            new LoadClass("once", 5, 500, 2000, 1, Effect.UNSAFE, true));

    private record Played(List<Violation> violations, Set<String> wronged, Ledger ledger) {
        Set<String> named() {
            return violations.stream().map(Violation::request).collect(Collectors.toSet());
        }
    }

    private static Played play(Wrong wrong) throws Exception {
        NodeProfile cache = NodeProfile.CACHE
                .working(wrong == Wrong.TWO_AT_ONCE ? 250 : 2, 2)
                .cores(20);
        LoadProfile profile = LoadProfile.USUAL.classes(CLASSES).rate(80, 1.5).retrying(0, 10);
        Ledger ledger;
        Set<String> wronged;
        try (Testbed bed = new Testbed(3, cache, NodeProfile.STORE.cores(10), false, WINDOW_MS, SEED)) {
            ledger = bed.ledger();
            bed.place("p0");
            List<InetSocketAddress> caches =
                    bed.fleet().caches().stream().map(n -> n.address()).toList();
            if (wrong == Wrong.REPEATS_UNSAFE || wrong == Wrong.REFUSES_AFTER_RUN) {
                bed.fleet().store().faults().share(Fault.ERROR, 0.3);
            }
            if (wrong == Wrong.PUSHES_COLD) {
                bed.fleet().node("c0").kill();
                bed.fleet().node("c0").start();
                bed.fleet().node("c0").faults().slower(1000);
            }
            try (WrongProxy proxy =
                    new WrongProxy(wrong, caches, bed.fleet().store().address(), (long) WINDOW_MS + 300)) {
                if (wrong == Wrong.SENDS_TO_DRAINED) {
                    bed.places().get("p0").discovery().close();
                    ledger.told("p0", "c0", "draining");
                }
                bed.load(profile, Map.of("p0", proxy.address())).start().get(60, TimeUnit.SECONDS);
                proxy.quiet();
                wronged = new HashSet<>(proxy.wronged);
            }
        }
        return new Played(
                new Auditor(ledger, new Auditor.Limits(SLACK_MS, GRACE_MS, WINDOW_MS)).audit(), wronged, ledger);
    }

    @Test
    void aProxyThatDoesRightPasses() throws Exception {
        Played played = play(Wrong.NOTHING);
        assertEquals(List.of(), played.violations());
        assertTrue(played.ledger().clients().size() > 50);
        assertTrue(played.ledger().clients().stream().allMatch(c -> c.replies().size() == 1));
    }

    @ParameterizedTest
    @EnumSource(
            value = Wrong.class,
            names = {"LOSES", "CLOSES", "LATE", "ANSWERS_TWICE", "OTHERS_ANSWER", "AFTER_ANSWER"})
    void anAnswerThatIsNotTheOneFinalOneIsFound(Wrong wrong) throws Exception {
        Played played = play(wrong);
        assertFalse(played.wronged().isEmpty());
        assertEquals(
                played.wronged(),
                played.violations().stream()
                        .filter(v -> v.rule() == Rule.ONE_FINAL_ANSWER)
                        .map(Violation::request)
                        .collect(Collectors.toSet()));
    }

    @ParameterizedTest
    @EnumSource(
            value = Wrong.class,
            names = {"TWO_AT_ONCE", "REPEATS_UNSAFE", "REFUSES_AFTER_RUN", "REPEATS_FORGOTTEN"})
    void aSecondEffectOrTheChanceOfOneIsFound(Wrong wrong) throws Exception {
        Played played = play(wrong);
        assertFalse(played.wronged().isEmpty());
        assertEquals(
                played.wronged(),
                played.violations().stream()
                        .filter(v -> v.rule() == Rule.NO_SECOND_EFFECT)
                        .map(Violation::request)
                        .collect(Collectors.toSet()));
        if (wrong == Wrong.REPEATS_FORGOTTEN) {
            assertTrue(played.violations().stream().anyMatch(v -> v.what().contains("recorded 2 times")));
        }
    }

    @Test
    void whatIsSentToADrainedNodeAfterTheGraceIsFound() throws Exception {
        Played played = play(Wrong.SENDS_TO_DRAINED);
        double told = played.ledger().told().stream()
                .filter(t -> t.health().equals("draining"))
                .findFirst()
                .orElseThrow()
                .at();
        Set<String> late = played.ledger().nodes().stream()
                .filter(e -> e.node().equals("c0") && e.firstByteAt() > told + GRACE_MS + SLACK_MS)
                .map(NodeEntry::id)
                .collect(Collectors.toSet());
        assertFalse(late.isEmpty());
        assertEquals(late, played.named());
        assertTrue(played.violations().stream().allMatch(v -> v.rule() == Rule.DRAINS_KEPT));
    }

    @Test
    void aColdNodeThatIsPushedOverIsFound() throws Exception {
        Played played = play(Wrong.PUSHES_COLD);
        List<Violation> pushed = played.violations().stream()
                .filter(v -> v.rule() == Rule.COLD_NODE_SPARED)
                .toList();
        assertEquals(1, pushed.size());
        assertTrue(played.ledger().clients().stream()
                .anyMatch(c -> c.id().equals(pushed.get(0).request())));
    }

    @Test
    void whatAKilledProxyHeldIsItsClientsToRetry() {
        Ledger ledger = new Ledger();
        ClientEntry held = ledger.add(new ClientEntry("a", "a", "p0", CLASSES.get(0), "k", null, 1000));
        held.sent(ledger.now());
        held.cut();
        Auditor auditor = new Auditor(ledger, Auditor.Limits.STRICT);
        assertEquals(
                List.of(Rule.ONE_FINAL_ANSWER),
                auditor.audit().stream().map(Violation::rule).toList());
        ledger.killed("p0");
        assertEquals(List.of(), auditor.audit());
    }

    /** An answer may be read, and acted on, before the stand-in hears that its own write is complete. */
    @Test
    void anAnswerIsTrueAndAnAttemptOverFromWhenItIsBeingWritten() {
        Ledger ledger = new Ledger();
        ClientEntry asked = ledger.add(new ClientEntry("a", "a", "p0", CLASSES.get(0), "k", null, 1000));
        asked.sent(1);
        NodeEntry miss = ledger.add(new NodeEntry("c0", 0, 2));
        miss.begun(2, "a", "k", false, null);
        miss.answering(3, Fate.SERVED, "");
        NodeEntry store = ledger.add(new NodeEntry("db", 0, 4 + 2 * SLACK_MS));
        store.begun(4 + 2 * SLACK_MS, "a", "k", false, null);
        store.answering(5 + 2 * SLACK_MS, Fate.SERVED, "value");
        asked.replied(new ClientEntry.Reply(200, 6 + 2 * SLACK_MS, "value", 0, true));
        assertEquals(List.of(), new Auditor(ledger, new Auditor.Limits(SLACK_MS, GRACE_MS, WINDOW_MS)).audit());

        ClientEntry refused = ledger.add(new ClientEntry("b", "b", "p0", CLASSES.get(2), "k", null, 1000));
        refused.sent(1);
        NodeEntry turnedAway = ledger.add(new NodeEntry("c0", 0, 2));
        turnedAway.begun(2, "b", "k", true, null);
        turnedAway.answering(3, Fate.REJECTED, "");
        refused.replied(new ClientEntry.Reply(429, 4, "", 0, true));
        assertEquals(List.of(), new Auditor(ledger, new Auditor.Limits(SLACK_MS, GRACE_MS, WINDOW_MS)).audit());
    }

    @Test
    void whatAStoppedProxyCouldNotAnswerIsNoFaultOfItsOwn() {
        Ledger ledger = new Ledger();
        ClientEntry held = ledger.add(new ClientEntry("a", "a", "p0", CLASSES.get(0), "k", null, 1000));
        double from = ledger.now();
        held.sent(from);
        held.cut();
        Auditor auditor = new Auditor(ledger, Auditor.Limits.STRICT);
        assertEquals(
                List.of(Rule.ONE_FINAL_ANSWER),
                auditor.audit().stream().map(Violation::rule).toList());
        ledger.stopped("p1", from);
        assertEquals(1, auditor.audit().size(), "another was stopped");
        ledger.stopped("p0", from);
        assertEquals(List.of(), auditor.audit());
    }

    @Test
    void anAttemptThatNoClientAskedForIsFound() {
        Ledger ledger = new Ledger();
        ledger.add(new NodeEntry("c0", 0, 1)).begun(1, "stray", "k", false, null);
        assertEquals(
                List.of("stray"),
                new Auditor(ledger, Auditor.Limits.STRICT)
                        .audit().stream().map(Violation::request).toList());
    }
}
