package ridgemill.gateway.operator;

import java.util.Map;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.policy.Router.Effect;

/** {@code [outcomes]}: what keyed writes came to is recorded, and told to who asks again. */
final class OutcomesSection {

    private static final int LEAST = 100;
    private static final int MOST = 10_000_000;
    private static final int USUAL = 100_000;
    private static final double KEEP_MS = 60_000;

    private OutcomesSection() { }

    /** Null where the file has no such table. */
    static OutcomeSettings read(Section root, Map<String, ServiceClassPolicy> classes, int loops) {
        return root.table("outcomes").map(s -> {
            double keep = s.duration("keep").orElse(KEEP_MS);
            int most = s.count("most", LEAST, MOST).orElse(USUAL);
            if (loops > 1) {
                s.problem(null, "outcomes-and-loops", "a key's outcome is known to one loop alone, and this file names " + loops
                        + " loops", "set process.loops = 1, or take the table out");
            }
            classes.values().stream().filter(c -> c.effect() == Effect.KEYED && c.deduplicationWindowMs() > keep).findFirst().ifPresent(c ->
                    s.problem("keep", "shorter-than-window", "an outcome must be kept as long as repeats are dropped, and "
                            + c.name() + " has " + Math.round(c.deduplicationWindowMs()) + " ms", "raise keep, or lower that class's repeat-window"));
            s.done();
            return new OutcomeSettings(keep, most);
        }).orElse(null);
    }
}
