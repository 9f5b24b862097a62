package ridgemill.gateway.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.limit.Limits;
import ridgemill.limit.Rate;
import ridgemill.limit.RetryBudget;

/** {@code [limits]}: what is turned away before any node is asked. */
final class LimitsSection {

    private static final int MOST_IN_FLIGHT = 1_000_000;
    private static final double MOST_BURST = 1e6;
    private static final int DEFAULT_PLACES = 100;
    private static final double DEFAULT_WAIT_MS = 20;
    private static final double DEFAULT_SHARE = 0.2;
    private static final double DEFAULT_LEAST = 3;
    private static final double DEFAULT_WINDOW_MS = 10_000;
    /** A burst that is not given is what comes in so many seconds, so that chance alone refuses little. */
    private static final double DEFAULT_BURST_S = 0.5;

    private LimitsSection() { }

    static Limits read(Section root, Map<String, ServiceClassPolicy> policies) {
        return root.table("limits").map(s -> limits(s, policies)).orElse(Limits.NONE);
    }

    private static Limits limits(Section s, Map<String, ServiceClassPolicy> policies) {
        Set<String> classes = policies.keySet();
        Optional<Integer> inFlight = s.count("in-flight", 1, MOST_IN_FLIGHT);
        Map<String, Integer> classInFlight = new HashMap<>();
        Map<String, Rate> classRate = new HashMap<>();
        s.table("class").ifPresent(all -> {
            for (Section c : all.tables()) {
                if (!classes.contains(c.ownName())) {
                    all.problem(c.ownName(), "undefined-class", "no class has the name \"" + c.ownName() + "\"",
                            "define it under [classes." + c.ownName() + "]"
                            + (classes.isEmpty() ? "" : ", or did you mean \"" + Nearest.of(c.ownName(), classes) + "\"?"));
                }
                c.count("in-flight", 1, MOST_IN_FLIGHT).ifPresent(n -> {
                    if (inFlight.isPresent() && n >= inFlight.get()) {
                        c.problem("in-flight", "never-reached", n + " is never reached: limits.in-flight is " + inFlight.get(),
                                "lower it, or leave it out");
                    }
                    classInFlight.put(c.ownName(), n);
                });
                rate(c).ifPresent(r -> classRate.put(c.ownName(), r));
                c.done();
            }
        });
        Map<String, Rate> tenantRate = new HashMap<>();
        s.table("tenant").ifPresent(all -> {
            for (Section t : all.tables()) {
                rate(t).ifPresentOrElse(r -> tenantRate.put(t.ownName(), r), () -> {
                    if (!t.has("rate")) {
                        t.problem(null, "missing", "has no rate", "set rate = \"50/s\", or take the table out");
                    }
                });
                t.done();
            }
        });
        Optional<Rate> unknown = s.table("unknown-tenant").flatMap(t -> {
            Optional<Rate> rate = rate(t);
            t.done();
            return rate;
        });
        Optional<RetryBudget.Config> retries = s.table("retries").map(LimitsSection::retries);
        Optional<Limits.Queue> queue = s.table("queue").map(q -> queue(q, inFlight, policies));
        Optional<Integer> perClient = s.count("connections-per-client", 1, MOST_IN_FLIGHT);
        s.done();
        return new Limits(inFlight.orElse(Integer.MAX_VALUE), classInFlight, classRate, tenantRate, unknown.orElse(null),
                retries.orElse(null), queue.orElse(null), perClient.orElse(Integer.MAX_VALUE));
    }

    private static Limits.Queue queue(Section s, Optional<Integer> inFlight, Map<String, ServiceClassPolicy> policies) {
        int places = s.count("places", 1, MOST_IN_FLIGHT).orElse(DEFAULT_PLACES);
        double wait = s.duration("wait").orElse(DEFAULT_WAIT_MS);
        if (inFlight.isEmpty()) {
            s.problem(null, "never-reached", "nobody ever waits: limits has no in-flight", "set in-flight, or leave it out");
        }
        policies.values().stream().filter(p -> wait >= p.targetLatencyMs()).findFirst().ifPresent(p -> s.problem("wait",
                "wait-too-long", "one of class " + p.name() + " that waited so long is past its wanted time",
                "lower it to well below " + (long) p.targetLatencyMs() + "ms"));
        s.done();
        return new Limits.Queue(places, wait);
    }

    private static Optional<Rate> rate(Section s) {
        Optional<Double> perS = s.rate("rate");
        Optional<Double> burst = s.number("burst", 1, MOST_BURST);
        if (s.has("burst") && !s.has("rate")) {
            s.problem("burst", "burst-without-rate", "a burst limits nothing without a rate", "set rate = \"50/s\" beside it");
        }
        return perS.map(r -> new Rate(r, burst.orElse(Math.max(1, r * DEFAULT_BURST_S))));
    }

    private static RetryBudget.Config retries(Section s) {
        double share = s.number("share", 0, 1).orElse(DEFAULT_SHARE);
        double least = s.rate("least").orElse(DEFAULT_LEAST);
        double window = s.duration("window").orElse(DEFAULT_WINDOW_MS);
        s.done();
        return new RetryBudget.Config(share, least, window);
    }
}
