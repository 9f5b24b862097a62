package ridgemill.lab.rollout;

import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import ridgemill.lab.MutantsFound;
import ridgemill.rollout.Rollout;
import ridgemill.testbed.mutants.Mutant;

/** The plays that find nothing wrong with rolls and with who steps aside find each mutant of these. */
@Tag("all-cores")
class RollMutantsTest extends MutantsFound {

    static final Path SOURCES = Path.of("..", "core", "src", "main", "java", "ridgemill", "rollout");
    private static final String FOLLOWER = "Follower.java";
    private static final String COORDINATOR = "RolloutCoordinator.java";
    private static final String QUARANTINE = "Quarantine.java";

    RollMutantsTest() {
        super(SOURCES, Rollout.class, RollProof.class);
    }

    static Stream<Mutant> mutants() {
        return Stream.of(
                Mutant.of("some act before all have staged", COORDINATOR, "if (staged == alive.size()) {", "if (2 * staged > alive.size()) {"),
                Mutant.of("who refuses is not heard", COORDINATOR, "r.knows(plan) && r.rejection() != null", "r.knows(plan) && r.rejection() == null && false")
                        .and(COORDINATOR, "r.knows(plan) && r.staged()", "r.knows(plan)"),
                Mutant.of("nobody waits for who is silent", COORDINATOR, "<= policy.outOfServiceMs()", "<= 0"),
                Mutant.of("a new conductor begins anew", COORDINATOR, "if (latest != null && (", "if (latest != null && latest.term() < 0 && ("),
                Mutant.of("complete before the last have moved", COORDINATOR, "if (moved < chosen.size()) {", "if (moved == 0) {"),
                Mutant.of("nobody is judged", COORDINATOR, "return servedShare < baselineShare - policy.maxDegradation() ? Verdict.WORSE : Verdict.GOOD;",
                        "return Verdict.GOOD;"),
                Mutant.of("a process that goes on looks at no clock", QUARANTINE, "return outOfService || limits.cutOffAction()", "return outOfService || now < 0 && limits.cutOffAction()"),
                Mutant.of("who lags may do so for ever", QUARANTINE, "now - differsSince < limits.maxLagMs() && !outOfService", "!outOfService"),
                Mutant.of("who only hears is led", FOLLOWER, "now - orderedAt <= withinMs", "now - coordinatorSeenAt <= withinMs"),
                Mutant.of("any that is led has its place", FOLLOWER, "(progress.plan().base().equals(own) || progress.plan().target().matches(own) || progress.plan().rollback().matches(own))",
                        "own != null"),
                Mutant.of("an end is told to nobody who missed it", COORDINATOR, "(!latest.finished() || anyReportsOpenRollout())", "!latest.finished()"));
    }
}
