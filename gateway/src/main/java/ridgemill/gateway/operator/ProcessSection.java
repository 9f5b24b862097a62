package ridgemill.gateway.operator;

import java.util.Optional;

/** {@code [process]}: how many cores of its machine a gateway uses. */
final class ProcessSection {

    private static final int MOST_LOOPS = 128;
    private static final double LEAST_IDLE_MS = 1000;

    private ProcessSection() { }

    static ProcessSettings read(Section root, boolean halls) {
        return root.table("process").flatMap(s -> {
            Optional<Integer> loops = s.count("loops", 1, MOST_LOOPS);
            Optional<Double> idle = s.duration("idle");
            if (!s.has("loops") && !s.has("idle")) {
                s.problem(null, "missing", "has no loops", "set loops = 4 or idle = \"60s\", or take the table out");
            }
            idle.filter(ms -> ms < LEAST_IDLE_MS).ifPresent(ms -> s.problem("idle", "out-of-range", "is less than a second",
                    "set 1s or more, or leave it out"));
            if (halls && loops.orElse(1) > 1) {
                s.problem("loops", "loops-and-halls", "links between halls belong to one loop, and this names "
                        + loops.orElse(1), "take [halls] out, or set loops = 1 and start one gateway for each core");
            }
            s.done();
            return Optional.of(new ProcessSettings(loops.orElse(1), idle.orElse(0.0)));
        }).orElse(new ProcessSettings(1, 0));
    }
}
