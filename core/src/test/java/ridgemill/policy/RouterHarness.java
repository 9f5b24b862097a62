package ridgemill.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;

/** One router with a fake sink, told events one by one; time moves only when a test says so. */
final class RouterHarness {

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

    static ServiceClass serviceClass(String name, double gain, Effect effect, DeduplicationScope group) {
        return new ServiceClass(name, 300, 0, BUDGET_MS, gain, 0.2, effect, group, 500, false);
    }

    static List<ServiceClass> serviceClasses() {
        return List.of(serviceClass("cheap", 1, Effect.SAFE, DeduplicationScope.ALL), serviceClass("dear", 5, Effect.SAFE, DeduplicationScope.ALL),
                serviceClass("keyed", 2, Effect.KEYED, DeduplicationScope.ALL), serviceClass("zoned", 2, Effect.KEYED, DeduplicationScope.ZONE),
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

    /** A bench with an origin "db" and {@code caches} warm nodes c0, c1, ... */
    static RouterHarness withCacheNodes(int caches) {
        RouterHarness b = new RouterHarness(settings(true, false));
        b.listNodes(caches);
        return b;
    }

    void listNodes(int caches) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            nodes.add(node("c" + i, 0, Availability.UP));
        }
        nodes.add(origin());
        router.onNodeList(now, ListUpdateKind.FULL, 1, nodes, actions);
    }

    static Node node(String id, double startedAt, Availability availability) {
        return new Node(id, "cache", "z", 0, 1, startedAt, availability);
    }

    static Node origin() {
        return new Node("db", "origin", "z", 0, 1, 0, Availability.UP);
    }

    void updateNodes(Node... entries) {
        router.onNodeList(now, ListUpdateKind.CHANGES, 2, List.of(entries), actions);
    }

    String request(String service, long key) {
        return request(service, key, false);
    }

    String request(String service, long key, boolean write) {
        String id = "q" + nextId++;
        router.onRequest(now, new Request(id, service, null, key, 0, BUDGET_MS, write, false), actions);
        return id;
    }

    /** Ends the request's attempt that is out at the node it was last sent to. */
    void endAttempt(String id, Outcome outcome) {
        endAttempt(id, outcome, 10);
    }

    void endAttempt(String id, Outcome outcome, double elapsed) {
        String node = nodeOf(id);
        int attempt = endedAttempts.merge(id, 1, Integer::sum) - 1;
        router.onAttemptEnded(now, new AttemptResult(id, attempt, node, outcome, elapsed, outcome == Outcome.OK, 0,
                Map.of()), actions);
    }

    String nodeOf(String id) {
        return actions.sentAttempts.stream().filter(s -> s.request().equals(id)).reduce((a, b) -> b).orElseThrow().node();
    }

    /** Whether an attempt of it has not ended yet. */
    boolean isInFlight(String id) {
        return sendCount(id) > endedAttempts.getOrDefault(id, 0);
    }

    long sendCount(String id) {
        return actions.sentAttempts.stream().filter(s -> s.request().equals(id)).count();
    }

    /** Moves the clock, firing the timers that fall due on the way. */
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

    /** Drives fetches with the given outcomes through one control interval. */
    void runInterval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            String id = request("dear", 1_000_000 + nextId);
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
