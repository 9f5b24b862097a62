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
final class Bench {

    static final double BUDGET = 1000;
    static final Router.PlatformRules RULES = new Router.PlatformRules(1000, 0.25, 10_000, 2.5, 2000, 20, 10_000);

    final Sink out = new Sink();
    final Router router;
    double now = 100_000;
    private final Map<String, Integer> attempts = new HashMap<>();
    private int next;

    Bench(Settings settings) {
        this(settings, 7);
    }

    Bench(Settings settings, long seed) {
        router = new BalancingRouter(settings, seed);
        router.onStart(now, out);
    }

    static ServiceClass service(String name, double gain, Effect effect, DeduplicationScope group) {
        return new ServiceClass(name, 300, 0, BUDGET, gain, 0.2, effect, group, 500, false);
    }

    static List<ServiceClass> services() {
        return List.of(service("cheap", 1, Effect.SAFE, DeduplicationScope.ALL), service("dear", 5, Effect.SAFE, DeduplicationScope.ALL),
                service("keyed", 2, Effect.KEYED, DeduplicationScope.ALL), service("zoned", 2, Effect.KEYED, DeduplicationScope.ZONE),
                service("unsafe", 2, Effect.UNSAFE, DeduplicationScope.ALL));
    }

    static Settings settings(boolean withOrigin, boolean subscribe) {
        return settings(withOrigin, subscribe, 6);
    }

    static Settings settings(boolean withOrigin, boolean subscribe, int maxAttempts) {
        var limits = new Router.PlatformLimits(maxAttempts, true, false, false, true, 500, false, 150);
        return new Settings(0, 2, "z", 5, services(), List.of(), 1, false, limits, RULES, subscribe,
                Router.WeightMode.NONE, withOrigin ? "origin" : null);
    }

    /** A bench with an origin "db" and {@code caches} warm nodes c0, c1, ... */
    static Bench withCaches(int caches) {
        Bench b = new Bench(settings(true, false));
        b.list(caches);
        return b;
    }

    void list(int caches) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < caches; i++) {
            nodes.add(node("c" + i, 0, Availability.UP));
        }
        nodes.add(origin());
        router.onNodeList(now, ListUpdateKind.FULL, 1, nodes, out);
    }

    static Node node(String id, double startedAt, Availability availability) {
        return new Node(id, "cache", "z", 0, 1, startedAt, availability);
    }

    static Node origin() {
        return new Node("db", "origin", "z", 0, 1, 0, Availability.UP);
    }

    void change(Node... entries) {
        router.onNodeList(now, ListUpdateKind.CHANGES, 2, List.of(entries), out);
    }

    String ask(String service, long key) {
        return ask(service, key, false);
    }

    String ask(String service, long key, boolean write) {
        String id = "q" + next++;
        router.onRequest(now, new Request(id, service, null, key, 0, BUDGET, write, false), out);
        return id;
    }

    /** Ends the request's attempt that is out at the node it was last sent to. */
    void end(String id, Outcome outcome) {
        end(id, outcome, 10);
    }

    void end(String id, Outcome outcome, double elapsed) {
        String node = nodeOf(id);
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        router.onAttemptEnded(now, new AttemptResult(id, attempt, node, outcome, elapsed, outcome == Outcome.OK, 0,
                Map.of()), out);
    }

    String nodeOf(String id) {
        return out.sent.stream().filter(s -> s.request().equals(id)).reduce((a, b) -> b).orElseThrow().node();
    }

    /** Whether an attempt of it has not ended yet. */
    boolean isOut(String id) {
        return sendsOf(id) > attempts.getOrDefault(id, 0);
    }

    long sendsOf(String id) {
        return out.sent.stream().filter(s -> s.request().equals(id)).count();
    }

    /** Moves the clock, firing the timers that fall due on the way. */
    void advance(double ms) {
        double until = now + ms;
        while (true) {
            Sink.Due due = out.timers.stream().filter(t -> t.atMs() <= until)
                    .min((a, b) -> Double.compare(a.atMs(), b.atMs())).orElse(null);
            if (due == null) {
                break;
            }
            out.timers.remove(due);
            now = Math.max(now, due.atMs());
            router.onTimer(now, due.token(), out);
        }
        now = until;
    }

    /** Drives fetches with the given outcomes through one control interval. */
    void interval(int good, int bad) {
        for (int i = 0; i < good + bad; i++) {
            String id = ask("dear", 1_000_000 + next);
            while (out.answers(id) == 0 && !nodeOf(id).equals("db")) {
                end(id, Outcome.MISS);
            }
            if (out.answers(id) == 0) {
                end(id, i < good ? Outcome.OK : Outcome.REJECTED);
            }
        }
        advance(1000);
    }
}
