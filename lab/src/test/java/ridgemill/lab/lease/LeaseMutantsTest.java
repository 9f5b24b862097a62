package ridgemill.lab.lease;

import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import ridgemill.lab.MutantsFound;
import ridgemill.lease.LeaseManager;
import ridgemill.testbed.mutants.Mutant;

/** The plays that find nothing wrong with the module find each mutant of it. */
@Tag("all-cores")
class LeaseMutantsTest extends MutantsFound {

    LeaseMutantsTest() {
        super(LeaseMutants.SOURCES, LeaseManager.class, Proof.class);
    }

    static Stream<Mutant> mutants() {
        return LeaseMutants.all().stream();
    }
}
