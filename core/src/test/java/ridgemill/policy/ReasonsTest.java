package ridgemill.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Outcome;

/** Each final answer that the decisions give says why, and says what it was. */
class ReasonsTest {

    @Test
    void namesAreStableWordsAndEachIsItsOwn() {
        assertEquals(Reason.values().length, new HashSet<>(Arrays.stream(Reason.values()).map(Reason::code).toList()).size());
        assertTrue(Arrays.stream(Reason.values()).allMatch(r -> r.code().matches("[a-z]+(-[a-z]+)*") && !r.description().isEmpty()));
    }

    /** A reason that operators can't look up is of no use to them. */
    @Test
    void thePageHasEachReasonWithItsMeaning() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "reasons.md"));
        for (Reason r : Reason.values()) {
            assertTrue(page.contains("| `" + r.code() + "` | " + r.description() + " |"), r.code());
        }
    }

    @Test
    void aCrowdedPairIsTheReasonOfWhatItCannotTake() {
        RouterHarness b = RouterHarness.withCacheNodes(2);
        for (int i = 0; i < 60; i++) {
            b.request("dear", i);
        }
        b.advance(150);
        assertTrue(b.actions.refusedRequests.size() > 40);
        b.actions.refusedRequests.forEach(id -> assertEquals(Reason.CROWDED, b.actions.reasons.get(id)));
    }

    @Test
    void aMissWithoutAStoreSaysSo() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        b.updateNodes(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = b.request("dear", 5);
        while (b.actions.finalAnswers(id) == 0) {
            b.endAttempt(id, Outcome.MISS);
        }
        assertEquals(Reason.NO_STORE, b.actions.reasons.get(id));
    }

    @Test
    void timeThatRunsOutAndAttemptsThatMayNotBeRepeatedAreToldApart() {
        RouterHarness b = RouterHarness.withCacheNodes(3);
        String waits = b.request("dear", 5);
        b.advance(RouterHarness.BUDGET_MS);
        assertEquals(Reason.OUT_OF_TIME, b.actions.reasons.get(waits));
        b = RouterHarness.withCacheNodes(3);
        String unsafe = b.request("unsafe", 6);
        b.endAttempt(unsafe, Outcome.RESET);
        assertEquals(Reason.NO_REPEAT, b.actions.reasons.get(unsafe));
        b = RouterHarness.withCacheNodes(3);
        String store = b.request("dear", 7);
        while (!b.nodeOf(store).equals("db")) {
            b.endAttempt(store, Outcome.MISS);
        }
        b.endAttempt(store, Outcome.TIMEOUT);
        assertEquals(Reason.STORE_FAILED, b.actions.reasons.get(store));
    }

    @Test
    void aThrottledStoreIsTheReasonOfWhatGotNoToken() {
        RouterHarness b = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 8; i++) {
            b.runInterval(20, 0);
        }
        for (int i = 0; i < 4; i++) {
            b.runInterval(2, 18);
        }
        assertTrue(b.router.admissionLevel() > 0);
        assertTrue(b.actions.reasons.containsValue(Reason.NO_TOKEN), b.actions.reasons.values().toString());
    }

    /** Whatever happens, nobody is turned away without a reason. */
    @Test
    void noAnswerIsWithoutAReason() {
        long seed = System.nanoTime();
        System.out.println("ReasonsTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        RouterHarness b = RouterHarness.withCacheNodes(4);
        List<String> open = new ArrayList<>();
        String[] classes = {"cheap", "dear", "keyed", "unsafe"};
        Outcome[] outcomes = {Outcome.OK, Outcome.OK, Outcome.MISS, Outcome.MISS, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR,
            Outcome.REJECTED, Outcome.CONNECT_FAILED};
        for (int i = 0; i < 4000; i++) {
            String service = classes[random.nextInt(classes.length)];
            open.add(b.request(service, random.nextInt(50), service.equals("keyed")));
            for (int n = random.nextInt(4); n > 0; n--) {
                String id = open.get(random.nextInt(open.size()));
                long sends = b.sendCount(id);
                if (b.actions.finalAnswers(id) == 0 && sends > 0 && b.isInFlight(id)) {
                    b.endAttempt(id, outcomes[random.nextInt(outcomes.length)]);
                }
            }
            if (open.size() > 40) {
                open.remove(0);
            }
            b.advance(random.nextInt(12));
        }
        b.advance(RouterHarness.BUDGET_MS);
        assertTrue(b.actions.refusedRequests.size() + b.actions.failedRequests.size() > 100);
        for (List<String> answered : List.of(b.actions.refusedRequests, b.actions.failedRequests)) {
            answered.forEach(id -> assertNotEquals(Reason.UNSAID, b.actions.reasons.getOrDefault(id, Reason.UNSAID), id + ", seed " + seed));
        }
    }
}
