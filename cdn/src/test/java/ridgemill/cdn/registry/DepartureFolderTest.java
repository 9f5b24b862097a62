package ridgemill.cdn.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;

/** Tests that the departures that were saved last are read again, whatever a crash left of a later file. */
class DepartureFolderTest {

    private static final List<Instance> FIRST = List.of(instance("a", InstanceState.DRAINING));
    private static final List<Instance> SECOND =
            List.of(instance("a", InstanceState.GONE), instance("b", InstanceState.DRAINING));

    @TempDir
    private Path parent;

    private static Instance instance(String id, InstanceState state) {
        return new Instance(id, "s", "127.0.0.9:1", "z", "v", 4, state, 7, 8);
    }

    private DepartureFolder open() {
        return new DepartureFolder(parent.resolve("data").resolve("registry"));
    }

    private Path newestFile() throws IOException {
        try (Stream<Path> files = Files.list(parent.resolve("data").resolve("registry"))) {
            return files.max(Comparator.comparing(Path::toString)).orElseThrow();
        }
    }

    @Test
    void emptyFolderHasNoDepartures() throws IOException {
        assertThat(open().load()).isEmpty();
    }

    @Test
    void departuresSavedLastAreRead() throws IOException {
        DepartureFolder disk = open();
        disk.save(FIRST);
        disk.save(SECOND);
        assertThat(open().load()).isEqualTo(SECOND);
        try (Stream<Path> files = Files.list(newestFile().getParent())) {
            assertThat(files).as("older files are removed").hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4, 5, 20})
    void incompleteFileIsSkippedAndItsNumberIsUsedUp(int bytes) throws IOException {
        open().save(FIRST);
        Path intact = newestFile();
        byte[] contents = Files.readAllBytes(intact);
        Path torn = intact.resolveSibling("departures-2");
        Files.write(torn, java.util.Arrays.copyOf(contents, bytes));
        DepartureFolder disk = open();
        assertThat(disk.load()).isEqualTo(FIRST);
        disk.save(SECOND);
        assertThat(open().load()).isEqualTo(SECOND);
    }

    @Test
    void changedByteIsFound() throws IOException {
        open().save(FIRST);
        byte[] contents = Files.readAllBytes(newestFile());
        contents[contents.length - 1] ^= 1;
        Files.write(newestFile(), contents);
        assertThat(open().load()).isEmpty();
    }

    @Test
    void otherFilesAreIgnored() throws IOException {
        open().save(FIRST);
        Files.writeString(newestFile().resolveSibling("departures-x"), "x");
        assertThat(open().load()).isEqualTo(FIRST);
    }
}
