package ridgemill.lab.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import ridgemill.lab.fleet.FleetRig;
import ridgemill.lab.fleet.LeasePlay.Result;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.lab.fleet.LeasePlay;
import ridgemill.lab.fleet.Timeline;
import ridgemill.testbed.mutants.Mutant;

/**
 * Processes find mutants too: the rig and its judge see what they are there to see. {@code bench/lease-mutants} tries all; one
 * that shows at once, whatever befalls it, is tried here.
 */
class LeaseMutantProcessesTest {

    private static final String NONE = "none";
    private static final int MUTANTS = Integer.getInteger("lease.process.mutants", 1);
    private static final int TIMELINES = Integer.getInteger("lease.process.timelines", 6);

    @TempDir
    private Path classes;

    static Stream<Mutant> mutants() {
        Stream<Mutant> all = LeaseMutants.all().stream();
        return MUTANTS == 1 ? all.filter(m -> m.name().equals("half is enough"))
                : Stream.concat(all.limit(MUTANTS), Stream.of(new Mutant(NONE, List.of())));
    }

    @ParameterizedTest
    @MethodSource("mutants")
    void isFound(Mutant mutant) throws Exception {
        mutant.compile(LeaseMutants.SOURCES, classes);
        assertTrue(Files.exists(classes.resolve("ridgemill/lease/LeaseManager.class")));
        // One alone is tried in CI, beside other tests.
        Times times = MUTANTS == 1 ? Times.QUICK : Times.TIGHT;
        int acts = 0;
        boolean found = false;
        int played = 0;
        try (FleetRig rig = FleetRig.start(FleetRig.Plan.operated(3, 1, times.operatorFile()).mutated(classes.toString()))) {
            LeasePlay play = new LeasePlay(rig, times);
            play.awaitAct();
            for (long seed = 1; seed <= TIMELINES && !found; seed++, played++) {
                Result result = play.play(seed <= Timeline.STRIKES && MUTANTS != 1
                        ? Timeline.striking((int) seed - 1, rig.size(), times.lengthMs(), times.drift())
                        : Timeline.ofSeed(seed, rig.size(), times.lengthMs(), 3 * times.lengthMs(), times.drift()));
                acts += result.verdict().acts();
                found = !result.verdict().faults().isEmpty();
                if (found) {
                    System.out.println(mutant.name() + ": found by timeline " + seed + ", " + result.verdict().faults().size() + " faults, "
                            + result.verdict().faults().get(0));
                }
            }
        }
        System.out.println(mutant.name() + ": " + (found ? "found" : "NOT FOUND") + " in " + played + " timelines, " + acts + " acts");
        // The module as it is goes through the same, or what is found in mutants says nothing.
        assertTrue(mutant.name().equals(NONE) ? !found : found || MUTANTS != 1, mutant.name());
    }
}
