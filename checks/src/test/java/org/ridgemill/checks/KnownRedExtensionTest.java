package org.ridgemill.checks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectClass;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.junit.platform.testkit.engine.EngineTestKit;
import org.junit.platform.testkit.engine.EventStatistics;
import org.junit.platform.testkit.engine.Events;

/** Plays classes of tests that fail on purpose, under lists of their own. */
class KnownRedExtensionTest {

    private static Path playedModule;

    @TempDir
    Path root;

    @AfterEach
    void playNoLonger() {
        playedModule = null;
    }

    @Test
    void aListedFailureIsPassedOverAndAllElseIsAsEver() throws IOException {
        Events tests = play(Sample.class, "m#" + name(Sample.class, "red"));
        tests.assertStatistics(statistics -> all(statistics, 1, 2, 1));
        assertThat(tests.aborted().list().get(0).getTestDescriptor().getDisplayName())
                .isEqualTo("red()");
        assertThat(ends()).isEqualTo(Map.of("m#" + name(Sample.class, "red"), Set.of(KnownRedRecords.End.RED)));
    }

    @Test
    void nothingIsPassedOverWithoutAList() throws IOException {
        play(Sample.class).assertStatistics(statistics -> all(statistics, 1, 3, 0));
        assertThat(ends()).isEmpty();
    }

    @Test
    void aListedTestOfAnotherModuleOrClassIsNotPassedOver() throws IOException {
        play(Sample.class, "n#" + name(Sample.class, "red"), "m#" + name(Uneven.class, "red"))
                .assertStatistics(statistics -> all(statistics, 1, 3, 0));
        assertThat(ends()).isEmpty();
    }

    @Test
    void aListedTestThatPassesIsWrittenDownAsGreen() throws IOException {
        play(Sample.class, "m#" + name(Sample.class, "green")).assertStatistics(statistics -> all(statistics, 1, 3, 0));
        assertThat(ends()).isEqualTo(Map.of("m#" + name(Sample.class, "green"), Set.of(KnownRedRecords.End.GREEN)));
    }

    @Test
    void eachRunOfATestWithParametersCounts() throws IOException {
        play(Uneven.class, "m#" + name(Uneven.class, "uneven"))
                .assertStatistics(statistics -> all(statistics, 1, 0, 1));
        assertThat(ends().get("m#" + name(Uneven.class, "uneven")))
                .containsExactlyInAnyOrder(KnownRedRecords.End.RED, KnownRedRecords.End.GREEN);
    }

    @Test
    void whatIsSetUpOrTakenDownIsNotPassedOver() throws IOException {
        play(BadSetUp.class, "m#" + name(BadSetUp.class, "red"))
                .assertStatistics(statistics -> all(statistics, 0, 1, 0));
        assertThat(ends()).isEmpty();
        play(BadTakeDown.class, "m#" + name(BadTakeDown.class, "red"))
                .assertStatistics(statistics -> all(statistics, 0, 1, 0));
    }

    @Test
    void aListedTestThatSkipsItselfDidNotRun() throws IOException {
        play(Skipping.class, "m#" + name(Skipping.class, "red"))
                .assertStatistics(statistics -> all(statistics, 0, 0, 1));
        assertThat(ends()).isEmpty();
    }

    private static String name(Class<?> type, String method) {
        return type.getName() + '.' + method;
    }

    private static EventStatistics all(EventStatistics statistics, long succeeded, long failed, long aborted) {
        return statistics.succeeded(succeeded).failed(failed).aborted(aborted).skipped(0);
    }

    private Events play(Class<?> type, String... listed) throws IOException {
        StringBuilder list = new StringBuilder();
        for (String id : listed) {
            list.append(id).append(" | cause | issue\n");
        }
        Files.writeString(root.resolve(KnownRed.FILE), list);
        playedModule = root.resolve("m");
        return EngineTestKit.engine("junit-jupiter")
                .selectors(selectClass(type))
                .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "false")
                .execute()
                .testEvents();
    }

    private Map<String, Set<KnownRedRecords.End>> ends() throws IOException {
        return new KnownRedRecords(root).read();
    }

    /** The extension under the list that is played. */
    abstract static class Played {

        @RegisterExtension
        final KnownRedExtension extension = new KnownRedExtension(playedModule);

        /** Whoever runs these classes by themselves, as by a pattern of names, finds them skipped. */
        Played() throws IOException {
            Assumptions.assumeTrue(playedModule != null, "only played by the tests round it");
        }

        static void fail() {
            throw new AssertionError("on purpose");
        }
    }

    static final class Sample extends Played {

        Sample() throws IOException {}

        @Test
        void green() {}

        @Test
        void red() {
            fail();
        }

        @Test
        void alsoRed() {
            fail();
        }

        @Test
        void redByAnException() throws IOException {
            throw new IOException("on purpose");
        }
    }

    static final class Uneven extends Played {

        Uneven() throws IOException {}

        @ParameterizedTest
        @ValueSource(ints = {1, 2})
        void uneven(int number) {
            assertThat(number).isEqualTo(1);
        }
    }

    static final class BadSetUp extends Played {

        BadSetUp() throws IOException {}

        @BeforeEach
        void setUp() {
            fail();
        }

        @Test
        void red() {
            fail();
        }
    }

    static final class BadTakeDown extends Played {

        BadTakeDown() throws IOException {}

        @AfterEach
        void takeDown() {
            fail();
        }

        @Test
        void red() {
            fail();
        }
    }

    static final class Skipping extends Played {

        Skipping() throws IOException {}

        @Test
        void red() {
            Assumptions.abort("on purpose");
        }
    }
}
