package ridgemill.gateway.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIf;
import org.junit.jupiter.api.io.TempDir;

class AuditFileTest {

    private static final long PLENTY = 1 << 20;

    @TempDir
    private Path directory;

    @Test
    void whatAKilledProcessLeftOfALineIsEnded() throws Exception {
        Path file = Files.writeString(directory.resolve("acts.log"), "whole\nhalf a li");
        try (AuditFile acts = new AuditFile(file, PLENTY)) {
            acts.append(List.of("one", "two"));
            acts.append(List.of("three"));
        }
        assertEquals(List.of("whole", "half a li", "one", "two", "three"), Files.readAllLines(file));
    }

    @Test
    void twoProcessesMayWriteToOneFileAndNoLineOfTheirsIsMixed() throws Exception {
        Path file = directory.resolve("acts.log");
        List<String> all = new ArrayList<>();
        try (AuditFile first = new AuditFile(file, PLENTY); AuditFile second = new AuditFile(file, PLENTY)) {
            for (int i = 0; i < 100; i++) {
                List<String> lines = List.of("first " + i, "x".repeat(i));
                first.append(lines);
                second.append(List.of("second " + i));
                all.addAll(lines);
                all.add("second " + i);
            }
        }
        // Two that look at the end of the file at one moment may both end what the other has just begun.
        assertEquals(all.stream().filter(l -> !l.isEmpty()).sorted().toList(), Files.readAllLines(file).stream().filter(l -> !l.isEmpty()).sorted().toList());
    }

    @Test
    void oneThatIsFullGoesAside() throws Exception {
        Path file = directory.resolve("acts.log");
        try (AuditFile acts = new AuditFile(file, 100)) {
            IntStream.range(0, 9).forEach(i -> acts.append(List.of("line " + i + " of some thirty bytes")));
        }
        assertEquals(List.of("line 6 of some thirty bytes", "line 7 of some thirty bytes", "line 8 of some thirty bytes"), Files.readAllLines(file));
        assertEquals(3, Files.readAllLines(directory.resolve("acts.log.1")).size());
    }

    @Test
    void whatCanNotBeWrittenIsCountedAndTheNextIsTriedAgain() throws Exception {
        Path file = directory.resolve("missing").resolve("acts.log");
        try (AuditFile acts = new AuditFile(file, PLENTY)) {
            acts.append(List.of("one", "two"));
            while (acts.lostLines() < 2) {
                Thread.onSpinWait();
            }
            Files.createDirectory(file.getParent());
            acts.append(List.of("three"));
        }
        assertEquals(List.of("three"), Files.readAllLines(file));
    }

    private static boolean hasFullDisk() {
        return Files.isWritable(Path.of("/dev/full"));
    }

    /** Linux has a device on which no space is left. */
    @Test
    @EnabledIf("hasFullDisk")
    void aFullDiskLosesLinesAndNothingElse() throws Exception {
        try (AuditFile acts = new AuditFile(Path.of("/dev/full"), PLENTY)) {
            for (int i = 0; i < 3; i++) {
                acts.append(List.of("line " + i));
            }
            while (acts.lostLines() < 3) {
                Thread.onSpinWait();
            }
        }
    }

    /** A disk that holds up whoever writes holds up nobody else: what too many batches wait for is lost at once. */
    @Test
    void moreThanSomeWaitForNoDisk() throws Exception {
        Path pipe = directory.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        AuditFile acts = new AuditFile(pipe, PLENTY);
        for (int i = 0; i < 1000; i++) {
            acts.append(List.of("line " + i));
        }
        assertTrue(acts.lostLines() >= 700, () -> String.valueOf(acts.lostLines()));
        try (var reader = Files.newInputStream(pipe)) {
            assertEquals('l', reader.read());
            acts.close();
        }
    }
}
