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

/** Each final answer of the router comes with a reason, and with the right one. */
class ReasonsTest {

    @Test
    void codesAreWellFormedAndUnique() {
        assertEquals(Reason.values().length,
                new HashSet<>(Arrays.stream(Reason.values()).map(Reason::code).toList()).size());
        assertTrue(Arrays.stream(Reason.values())
                .allMatch(r -> r.code().matches("[a-z]+(-[a-z]+)*") && !r.description().isEmpty()));
    }

    /** Operators must be able to look up each reason. */
    @Test
    void documentationListsEachReason() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "reasons.md"));
        for (Reason r : Reason.values()) {
            assertTrue(page.contains("| `" + r.code() + "` | " + r.description() + " |"), r.code());
        }
    }

    @Test
    void overloadedNodesAreReportedAsReason() {
        RouterHarness harness = RouterHarness.withCacheNodes(2);
        for (int i = 0; i < 60; i++) {
            harness.request("premium", i);
        }
        harness.advance(150);
        assertTrue(harness.actions.refusedRequests.size() > 40);
        harness.actions.refusedRequests.forEach(id -> assertEquals(Reason.CROWDED, harness.actions.reasons.get(id)));
    }

    @Test
    void missWithoutOriginIsReported() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        harness.updateNodes(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = harness.request("premium", 5);
        while (harness.actions.finalAnswers(id) == 0) {
            harness.endAttempt(id, Outcome.MISS);
        }
        assertEquals(Reason.NO_STORE, harness.actions.reasons.get(id));
    }

    @Test
    void expiredTimeAndForbiddenRetryAreDistinguished() {
        RouterHarness harness = RouterHarness.withCacheNodes(3);
        String expired = harness.request("premium", 5);
        harness.advance(RouterHarness.BUDGET_MS);
        assertEquals(Reason.OUT_OF_TIME, harness.actions.reasons.get(expired));
        harness = RouterHarness.withCacheNodes(3);
        String unsafe = harness.request("unsafe", 6);
        harness.endAttempt(unsafe, Outcome.RESET);
        assertEquals(Reason.NO_REPEAT, harness.actions.reasons.get(unsafe));
        harness = RouterHarness.withCacheNodes(3);
        String fetched = harness.request("premium", 7);
        while (!harness.nodeOf(fetched).equals("db")) {
            harness.endAttempt(fetched, Outcome.MISS);
        }
        harness.endAttempt(fetched, Outcome.TIMEOUT);
        assertEquals(Reason.STORE_FAILED, harness.actions.reasons.get(fetched));
    }

    @Test
    void missingTokenIsReportedWhileOriginIsThrottled() {
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        for (int i = 0; i < 8; i++) {
            harness.runInterval(20, 0);
        }
        for (int i = 0; i < 4; i++) {
            harness.runInterval(2, 18);
        }
        assertTrue(harness.router.admissionLevel() > 0);
        assertTrue(harness.actions.reasons.containsValue(Reason.NO_TOKEN), harness.actions.reasons.values().toString());
    }

    /** Random requests and outcomes: no request is refused or failed without a reason. */
    @Test
    void everyRefusalAndFailureHasAReason() {
        long seed = System.nanoTime();
        System.out.println("ReasonsTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        RouterHarness harness = RouterHarness.withCacheNodes(4);
        List<String> open = new ArrayList<>();
        String[] classes = {"basic", "premium", "keyed", "unsafe"};
        Outcome[] outcomes = {Outcome.OK, Outcome.OK, Outcome.MISS, Outcome.MISS, Outcome.RESET, Outcome.TIMEOUT,
            Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED};
        for (int i = 0; i < 4000; i++) {
            String service = classes[random.nextInt(classes.length)];
            open.add(harness.request(service, random.nextInt(50), service.equals("keyed")));
            for (int n = random.nextInt(4); n > 0; n--) {
                String id = open.get(random.nextInt(open.size()));
                long sends = harness.sendCount(id);
                if (harness.actions.finalAnswers(id) == 0 && sends > 0 && harness.isInFlight(id)) {
                    harness.endAttempt(id, outcomes[random.nextInt(outcomes.length)]);
                }
            }
            if (open.size() > 40) {
                open.remove(0);
            }
            harness.advance(random.nextInt(12));
        }
        harness.advance(RouterHarness.BUDGET_MS);
        assertTrue(harness.actions.refusedRequests.size() + harness.actions.failedRequests.size() > 100);
        for (List<String> answered : List.of(harness.actions.refusedRequests, harness.actions.failedRequests)) {
            answered.forEach(id -> assertNotEquals(Reason.UNSAID,
                    harness.actions.reasons.getOrDefault(id, Reason.UNSAID), id + ", seed " + seed));
        }
    }
}
