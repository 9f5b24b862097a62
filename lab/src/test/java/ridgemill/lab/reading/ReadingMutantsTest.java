package ridgemill.lab.reading;

import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import ridgemill.lab.MutantsFound;
import ridgemill.registry.ElectedRegistryReader;
import ridgemill.testbed.mutants.Mutant;

/** The plays that find nothing wrong with reading by one find each mutant of it. */
@Tag("all-cores")
class ReadingMutantsTest extends MutantsFound {

    static final Path SOURCES = Path.of("..", "core", "src", "main", "java", "ridgemill", "registry");
    private static final String READER = "ElectedRegistryReader.java";

    ReadingMutantsTest() {
        super(SOURCES, ElectedRegistryReader.class, ReadingProof.class);
    }

    static Stream<Mutant> mutants() {
        return Stream.of(
                Mutant.of("what is told is believed unchecked", READER, "update.partCount() > 0 && next.digest() == update.digest() && !next.hasOlderRecordThan(app.snapshot, changes)",
                        "update.partCount() > 0"),
                Mutant.of("news of any age is believed", READER, " || age - update.pollDurationMs() > MAX_AGE_INTERVALS * policy.pollIntervalMs()", "")
                        .and(READER, "updateConfirmed(sentAtMs + update.pollDurationMs(), app);\n            return;", "updateConfirmed(now, app);\n            return;"),
                Mutant.of("news of before, and older records, are believed", READER, "!isLater && !isSame || age", "age")
                        .and(READER, " && !next.hasOlderRecordThan(app.snapshot, changes)", ""),
                Mutant.of("nobody reads when nobody tells", READER, "Math.min(app.confirmedAtMs + policy.updateTimeoutMs(), app.nextCheckMs)", "app.nextCheckMs"),
                Mutant.of("nobody checks", READER, "Math.min(app.confirmedAtMs + policy.updateTimeoutMs(), app.nextCheckMs)", "app.confirmedAtMs + policy.updateTimeoutMs()"),
                Mutant.of("what is older than one's own reading is believed", READER, "sentAtMs < app.snapshotAtMs && ", "sentAtMs < 0 && "),
                Mutant.of("an old poll undoes what was told", READER, "if (startedMs < app.updateAppliedMs) {", "if (startedMs < 0) {"),
                Mutant.of("a part is taken for the whole", READER, "if (update.partCount() > 0 && app.parts.size() < update.partCount()) {", "if (update.partCount() < 0) {")
                        .and(READER, "next.digest() == update.digest() && ", ""),
                Mutant.of("what one's own reading says of a reader that is behind is forgotten", READER, "        mismatches++;\n", "")
                        .and(READER, "        app.suspectSinceMs = now;\n", "        app.snapshot = app.snapshot;\n"));
    }
}
