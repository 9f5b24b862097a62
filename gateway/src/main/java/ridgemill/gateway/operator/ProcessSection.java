package ridgemill.gateway.operator;

import java.util.Optional;

/** {@code [process]}: how many cores of its machine a gateway uses. */
final class ProcessSection {

    private static final int MOST_LOOPS = 128;

    private ProcessSection() { }

    static int read(Section root, boolean halls) {
        return root.table("process").flatMap(s -> {
            Optional<Integer> loops = s.count("loops", 1, MOST_LOOPS);
            if (!s.has("loops")) {
                s.problem(null, "missing", "has no loops", "set loops = 4, or take the table out");
            }
            if (halls && loops.orElse(1) > 1) {
                s.problem("loops", "loops-and-halls", "links between halls belong to one loop, and this names "
                        + loops.orElse(1), "take [halls] out, or set loops = 1 and start one gateway for each core");
            }
            s.done();
            return loops;
        }).orElse(1);
    }
}
