package ridgemill.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/** Drives one router with single events and records its actions; the clock advances only on request. */
final class RouterHarness {

    /** Deadline of all classes and budget of all requests. */
    static final double BUDGET_MS = 1000;
    static final Router.PlatformRules RULES = new Router.PlatformRules(1000, 0.25, 10_000, 2.5, 2000, 20, 10_000);

    final RecordingActions actions = new RecordingActions();
    final Router router;
    double now = 100_000;
    private final Map<String, Integer> endedAttempts = new HashMap<>();
    private int nextId;

    RouterHarness(Settings settings) {
        this(settings, 7);
    }

    RouterHarness(Settings settings, long seed) {
        router = new BalancingRouter(settings, seed);
        router.onStart(now, actions);
    }

    static ServiceClass serviceClass(String name, double value, Effect effect, DeduplicationScope scope) {
        return new ServiceClass(name, 300, 0, BUDGET_MS, value, 0.2, effect, scope, 500, false);
    }

    static List<ServiceClass> serviceClasses() {
        return List.of(serviceClass("basic", 1, Effect.SAFE, DeduplicationScope.ALL),
                serviceClass("premium", 5, Effect.SAFE, DeduplicationScope.ALL),
                serviceClass("keyed", 2, Effect.KEYED, DeduplicationScope.ALL),
                serviceClass("zoned", 2, Effect.KEYED, DeduplicationScope.ZONE),
                serviceClass("unsafe", 2, Effect.UNSAFE, DeduplicationScope.ALL));
    }

    static Settings settings(boolean withOrigin, boolean subscribe) {
        return settings(withOrigin, subscribe, 6);
    }

    static Settings settings(boolean withOrigin, boolean subscribe, int maxAttempts) {
        var limits = new Router.PlatformLimits(maxAttempts, true, false, false, true, 500, false, 150);
        return new Settings(0, 2, "z", 5, serviceClasses(), List.of(), 1, false, limits, RULES, subscribe,
                Router.WeightMode.NONE, withOrigin ? "origin" : null);
    }

    /** A harness whose node list has an origin "db" and that many warm cache nodes c0, c1, ... */
    static RouterHarness withCacheNodes(int count) {
        RouterHarness harness = new RouterHarness(settings(true, false));
        harness.listNodes(count);
        return harness;
    }

    /** Sends a full node list with the origin and that many warm cache nodes. */
    void listNodes(int count) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(node("c" + i, 0, Availability.UP));
        }
        nodes.add(origin());
        router.onNodeList(now, ListUpdateKind.FULL, 1, nodes, actions);
    }

    static Node node(String id, double startedAtMs, Availability availability) {
        return new Node(id, "cache", "z", 0, 1, startedAtMs, availability);
    }

    static Node origin() {
        return new Node("db", "origin", "z", 0, 1, 0, Availability.UP);
    }

    /** Sends changed entries of the node list. */
    void updateNodes(Node... entries) {
        router.onNodeList(now, ListUpdateKind.CHANGES, 2, List.of(entries), actions);
    }

    /** Sends a read and returns its id. */
    String request(String serviceClass, long key) {
        return request(serviceClass, key, false);
    }

    String request(String serviceClass, long key, boolean write) {
        String id = "q" + nextId++;
        router.onRequest(now, new Request(id, serviceClass, null, key, 0, BUDGET_MS, write, false), actions);
        return id;
    }

    /** Ends the latest attempt of a request at the node that it was sent to. */
    void endAttempt(String id, Outcome outcome) {
        endAttempt(id, outcome, 10);
    }

    void endAttempt(String id, Outcome outcome, double elapsedMs) {
        String node = nodeOf(id);
        int attempt = endedAttempts.merge(id, 1, Integer::sum) - 1;
        router.onAttemptEnded(now, new AttemptResult(id, attempt, node, outcome, elapsedMs, outcome == Outcome.OK, 0,
                Map.of()), actions);
    }

    /** The node of the latest attempt of a request. */
    String nodeOf(String id) {
        return actions.sentAttempts.stream().filter(s -> s.request().equals(id)).reduce((a, b) -> b).orElseThrow()
                .node();
    }

    /** Whether an attempt of the request has not ended yet. */
    boolean isInFlight(String id) {
        return sendCount(id) > endedAttempts.getOrDefault(id, 0);
    }

    /** Number of attempts of a request. */
    long sendCount(String id) {
        return actions.sentAttempts.stream().filter(s -> s.request().equals(id)).count();
    }

    /** Advances the clock and fires the timers that become due. */
    void advance(double ms) {
        double until = now + ms;
        while (true) {
            RecordingActions.DueTimer due = actions.timers.stream().filter(t -> t.atMs() <= until)
                    .min((a, b) -> Double.compare(a.atMs(), b.atMs())).orElse(null);
            if (due == null) {
                break;
            }
            actions.timers.remove(due);
            now = Math.max(now, due.atMs());
            router.onTimer(now, due.token(), actions);
        }
        now = until;
    }

    /** Runs one control interval with that many good and bad fetches. */
    void runInterval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            String id = request("premium", 1_000_000 + nextId);
            while (actions.finalAnswers(id) == 0 && !nodeOf(id).equals("db")) {
                endAttempt(id, Outcome.MISS);
            }
            if (actions.finalAnswers(id) == 0) {
                endAttempt(id, i < good ? Outcome.OK : Outcome.REJECTED);
            }
        }
        advance(1000);
    }
}
