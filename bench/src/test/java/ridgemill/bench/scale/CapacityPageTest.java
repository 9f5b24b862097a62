package ridgemill.bench.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The capacity page says what its stored points say. */
class CapacityPageTest {

    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

    @Test
    void theFiguresAreThoseOfTheStoredPoints() throws IOException {
        CapacityPage page = CapacityPage.of(ROOT);
        assertThat(page.figures()).isEqualTo(page.expected());
    }

    @Test
    void theFileOfPointsIsReadAsItWasWritten(@org.junit.jupiter.api.io.TempDir Path directory) throws IOException {
        Path stored = CapacityPage.of(ROOT).points();
        Path copy = directory.resolve("copy.csv");
        ScaleFile.write(copy, ScaleFile.read(stored));
        assertThat(copy).hasSameTextualContentAs(stored);
    }
}
