package ridgemill.gateway.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ridgemill.serviceclass.Backoff;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.serviceclass.ServiceClassValidator;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.policy.Router.Effect;

/** {@code [defaults]} and {@code [classes.NAME]}: what holds for each class of requests. */
final class ClassesSection {

    private static final int MOST_ATTEMPTS = 10;
    private static final double MOST_WORTH = 1e6;
    private static final double DEFAULT_TOTAL_MS = 1500;
    private static final int DEFAULT_ATTEMPTS = 1;
    private static final List<String> EFFECTS = List.of("safe", "keyed", "unsafe");

    /** The keys that a class and the defaults share, as far as they are given. */
    private record Given(Optional<Double> total, Optional<Double> wanted, Optional<Double> attempt,
                         Optional<Integer> attempts, Optional<Double> backoff, Optional<Double> backoffFactor,
                         Optional<Double> backoffMost, Optional<Double> next, Optional<Boolean> secondCopy,
                         Optional<Double> worth, Optional<Long> body) {

        static final Given NOTHING = new Given(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(),
                Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(),
                Optional.empty(), Optional.empty());

        static Given read(Section s) {
            return new Given(s.duration("total"), s.duration("wanted"), s.duration("attempt-timeout"),
                    s.count("attempts", 1, MOST_ATTEMPTS), s.duration("backoff"),
                    s.number("backoff-factor", 1, MOST_ATTEMPTS), s.duration("backoff-most"),
                    s.duration("next-attempt-after"), s.flag("second-copy"), s.number("worth", 0, MOST_WORTH),
                    s.size("largest-body"));
        }

        Given or(Given defaults) {
            return new Given(total.or(defaults::total), wanted.or(defaults::wanted), attempt.or(defaults::attempt),
                    attempts.or(defaults::attempts), backoff.or(defaults::backoff),
                    backoffFactor.or(defaults::backoffFactor), backoffMost.or(defaults::backoffMost),
                    next.or(defaults::next), secondCopy.or(defaults::secondCopy), worth.or(defaults::worth),
                    body.or(defaults::body));
        }
    }

    private ClassesSection() { }

    static Map<String, ServiceClassPolicy> read(Section root, PlatformConstraints platform) {
        Given defaults = root.table("defaults").map(s -> {
            Given given = Given.read(s);
            s.done();
            return given;
        }).orElse(Given.NOTHING);
        Map<String, ServiceClassPolicy> classes = new LinkedHashMap<>();
        root.table("classes").ifPresent(all -> {
            for (Section s : all.tables()) {
                ServiceClassPolicy policy = policy(s, Given.read(s).or(defaults));
                s.done();
                ServiceClassValidator.validate(policy, platform).forEach(f -> s.problem(f.key(), f.rule(), f.reason(), f.remedy()));
                classes.put(policy.name(), policy);
            }
        });
        return classes;
    }

    private static ServiceClassPolicy policy(Section s, Given given) {
        double total = given.total().orElse(DEFAULT_TOTAL_MS);
        int attempts = given.attempts().orElse(DEFAULT_ATTEMPTS);
        double wanted = given.wanted().orElse(total);
        Optional<String> effect = s.word("effect", EFFECTS);
        if (!s.has("effect")) {
            s.problem("effect", "effect-missing", "nothing says what repeating a request does",
                    "set effect = \"safe\", \"keyed\" or \"unsafe\"");
        }
        double first = given.backoff().orElse(0.0);
        double most = given.backoffMost().orElse(Math.max(first, total));
        Backoff backoff = Backoff.NONE;
        if (most < first) {
            s.problem("backoff-most", "backoff", "the bound is less than the first wait", "raise backoff-most or lower backoff");
        } else {
            backoff = new Backoff(first, given.backoffFactor().orElse(2.0), most);
        }
        double waits = 0;
        for (int i = 2; i <= attempts; i++) {
            waits += backoff.delayBeforeMs(i);
        }
        double attempt = given.attempt().orElse(Math.max(1, (Math.min(wanted, total) - waits) / attempts));
        return new ServiceClassPolicy(s.ownName(), total, wanted, attempt, attempts, backoff, given.next().orElse(0.0),
                given.secondCopy().orElse(false), effect.map(e -> Effect.valueOf(e.toUpperCase(java.util.Locale.ROOT)))
                .orElse(Effect.UNSAFE), s.duration("repeat-window").orElse(0.0), given.worth().orElse(1.0),
                given.body().orElse(PlatformConstraints.UNKNOWN.maxBodyBytes()));
    }
}
