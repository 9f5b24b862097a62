package org.ridgemill.checks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KnownRedTest {

    private static final KnownRed.Entry ENTRY = new KnownRed.Entry("cdn", "a.b.CTest.d", "a race", "#12");

    @Test
    void aListMayBeEmptyButForComments() {
        assertThat(KnownRed.parse(List.of("# form", "", "  "))).isEmpty();
    }

    @Test
    void aLineNamesTestCauseAndIssue() {
        assertThat(KnownRed.parse(List.of("cdn#a.b.CTest.d | a race | #12"))).containsExactly(ENTRY);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "cdn#a.CTest.d",
                "cdn#a.CTest.d | a race",
                "cdn#a.CTest.d | a race | #1 | more",
                "cdn#a.CTest.d |  | #1",
                "cdn#a.CTest.d | a race | ",
                "a.CTest.d | a race | #1",
                "#a.CTest.d | a race | #1 ",
                "cdn#CTest | a race | #1",
                "cdn#a.*.d | a race | #1",
                "cdn#a.CTest.* | a race | #1",
                "cdn# | a race | #1"
            })
    void aLineOfAnotherFormIsRefused(String line) {
        List<String> lines = List.of(" " + line);
        assertThatThrownBy(() -> KnownRed.parse(lines)).hasMessageContaining("cause | issue");
    }

    @Test
    void threeTestsAreTakenAndAFourthIsRefused() {
        List<String> three = List.of("m#a.T.a | c | 1", "m#a.T.b | c | 1", "n#a.T.a | c | 1");
        List<String> four = List.of("m#a.T.a | c | 1", "m#a.T.b | c | 1", "n#a.T.a | c | 1", "n#a.T.b | c | 1");
        assertThat(KnownRed.parse(three)).hasSize(3);
        assertThatThrownBy(() -> KnownRed.parse(four)).hasMessageContaining("4 tests, 3 at most");
    }

    @Test
    void aTestThatStandsTwiceIsRefused() {
        List<String> twice = List.of("m#a.T.a | c | 1", "m#a.T.a | d | 2");
        assertThatThrownBy(() -> KnownRed.parse(twice)).hasMessageContaining("twice");
    }

    @Test
    void theListOfThisBuildHasItsFormAndNamesModules() throws IOException {
        Path root = Path.of(System.getProperty("basedir")).toAbsolutePath().getParent();
        assertThat(root.resolve(KnownRed.FILE)).exists();
        for (KnownRed.Entry entry : KnownRed.read(root)) {
            assertThat(root.resolve(entry.module()).resolve("pom.xml")).exists();
        }
    }

    @Test
    void aTestThatIsRedIsAsListed() {
        assertThat(faults(Set.of(KnownRedRecords.End.RED))).isEmpty();
    }

    @Test
    void oneRedRunOfATestWithParametersIsEnough() {
        assertThat(faults(Set.of(KnownRedRecords.End.RED, KnownRedRecords.End.GREEN)))
                .isEmpty();
    }

    @Test
    void aTestThatPassesHasToGoFromTheList() {
        assertThat(faults(Set.of(KnownRedRecords.End.GREEN)))
                .singleElement()
                .asString()
                .contains("passes", ENTRY.id());
    }

    @Test
    void aTestThatDidNotRunIsAFault() {
        assertThat(KnownRedReport.faults(
                        List.of(ENTRY), Map.of("cdn#a.b.CTest.other", Set.of(KnownRedRecords.End.RED))))
                .singleElement()
                .asString()
                .contains("did not run", ENTRY.id());
    }

    private static List<String> faults(Set<KnownRedRecords.End> ends) {
        return KnownRedReport.faults(List.of(ENTRY), Map.of(ENTRY.id(), ends));
    }

    @Test
    void whatIsWrittenDownIsReadUntilItIsCleared(@TempDir Path root) throws IOException {
        assertThat(new KnownRedRecords(root).read()).isEmpty();
        new KnownRedRecords(root).add("m#a.T.a", KnownRedRecords.End.RED);
        new KnownRedRecords(root).add("m#a.T.a", KnownRedRecords.End.GREEN);
        new KnownRedRecords(root).add("m#a.T.b", KnownRedRecords.End.GREEN);
        assertThat(new KnownRedRecords(root).read())
                .isEqualTo(Map.of(
                        "m#a.T.a",
                        Set.of(KnownRedRecords.End.RED, KnownRedRecords.End.GREEN),
                        "m#a.T.b",
                        Set.of(KnownRedRecords.End.GREEN)));
        new KnownRedRecords(root).clear();
        assertThat(new KnownRedRecords(root).read()).isEmpty();
    }

    @Test
    void aRootWithoutAListListsNothing(@TempDir Path root) throws IOException {
        assertThat(KnownRed.read(root)).isEmpty();
        Files.writeString(root.resolve(KnownRed.FILE), "cdn#a.b.CTest.d | a race | #12\n");
        assertThat(KnownRed.read(root)).containsExactly(ENTRY);
    }
}
