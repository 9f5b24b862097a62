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
    void partialLineOfAKilledProcessIsEnded() throws Exception {
        Path file = Files.writeString(directory.resolve("acts.log"), "whole\nhalf a li");
        try (AuditFile auditFile = new AuditFile(file, PLENTY)) {
            auditFile.append(List.of("one", "two"));
            auditFile.append(List.of("three"));
        }
        assertEquals(List.of("whole", "half a li", "one", "two", "three"), Files.readAllLines(file));
    }

    @Test
    void twoProcessesCanWriteToOneFileWithoutMixingLines() throws Exception {
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
        // Two writers that check the end of the file at the same time may both end the line that the other has just
        // begun.
        assertEquals(all.stream().filter(l -> !l.isEmpty()).sorted().toList(),
                Files.readAllLines(file).stream().filter(l -> !l.isEmpty()).sorted().toList());
    }

    @Test
    void fullFileIsRenamed() throws Exception {
        Path file = directory.resolve("acts.log");
        try (AuditFile auditFile = new AuditFile(file, 100)) {
            IntStream.range(0, 9).forEach(i -> auditFile.append(List.of("line " + i + " of some thirty bytes")));
        }
        assertEquals(List.of("line 6 of some thirty bytes", "line 7 of some thirty bytes",
                "line 8 of some thirty bytes"), Files.readAllLines(file));
        assertEquals(3, Files.readAllLines(directory.resolve("acts.log.1")).size());
    }

    @Test
    void linesThatCannotBeWrittenAreCountedAndTheNextBatchIsTried() throws Exception {
        Path file = directory.resolve("missing").resolve("acts.log");
        try (AuditFile auditFile = new AuditFile(file, PLENTY)) {
            auditFile.append(List.of("one", "two"));
            while (auditFile.lostLines() < 2) {
                Thread.onSpinWait();
            }
            Files.createDirectory(file.getParent());
            auditFile.append(List.of("three"));
        }
        assertEquals(List.of("three"), Files.readAllLines(file));
    }

    private static boolean hasFullDisk() {
        return Files.isWritable(Path.of("/dev/full"));
    }

    /** Uses {@code /dev/full}, a Linux device on which each write fails because no space is left. */
    @Test
    @EnabledIf("hasFullDisk")
    void fullDiskLosesOnlyLines() throws Exception {
        try (AuditFile auditFile = new AuditFile(Path.of("/dev/full"), PLENTY)) {
            for (int i = 0; i < 3; i++) {
                auditFile.append(List.of("line " + i));
            }
            while (auditFile.lostLines() < 3) {
                Thread.onSpinWait();
            }
        }
    }

    /**
     * A disk that blocks the writer thread must not block callers: batches beyond the queue limit are dropped at once.
     */
    @Test
    void batchesBeyondTheQueueLimitAreDropped() throws Exception {
        Path pipe = directory.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        AuditFile auditFile = new AuditFile(pipe, PLENTY);
        for (int i = 0; i < 1000; i++) {
            auditFile.append(List.of("line " + i));
        }
        assertTrue(auditFile.lostLines() >= 700, () -> String.valueOf(auditFile.lostLines()));
        try (var reader = Files.newInputStream(pipe)) {
            assertEquals('l', reader.read());
            auditFile.close();
        }
    }
}
