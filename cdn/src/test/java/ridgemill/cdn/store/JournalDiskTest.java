package ridgemill.cdn.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;

/** What the disk holds after a kill at any moment, and after a loss of power with torn files. */
final class JournalDiskTest {

    private static final int COMMITS = 150;
    private static final int KEYS = 40;

    @TempDir
    Path folder;

    private final Map<String, byte[]> written = new HashMap<>();

    @Test
    void allThatWasWrittenSurvivesALossOfPower() throws Exception {
        Random random = new Random(7);
        JournalDisk disk = new JournalDisk(folder.resolve("live"));
        disk.open();
        disk.write(DiskBatch.ofVoters(List.of("a", "b", "c")));
        Map<String, byte[]> synced = PowerLoss.contents(folder.resolve("live"));
        for (int commit = 0; commit < COMMITS; commit++) {
            Map<String, byte[]> acknowledged = new HashMap<>(written);
            disk.write(batch(random));
            Map<String, byte[]> later = PowerLoss.contents(folder.resolve("live"));
            for (int image = 0; image < 3; image++) {
                Path lost = folder.resolve("lost-" + commit + "-" + image);
                PowerLoss.write(synced, later, random, lost);
                check(lost, acknowledged);
            }
            synced = later;
        }
        disk.close();
        check(folder.resolve("live"), written);
    }

    private DiskBatch batch(Random random) {
        byte[] answer = new byte[200 + random.nextInt(3_000)];
        random.nextBytes(answer);
        String key = "key-" + random.nextInt(KEYS);
        written.put(key, answer);
        return DiskBatch.ofRecord(new KeyRecord(key, KeyState.FINISHED, "claim", answer, 1));
    }

    /** All acknowledged records are there, or a newer one that was under way. */
    private void check(Path image, Map<String, byte[]> acknowledged) throws IOException {
        JournalDisk disk = new JournalDisk(image);
        StoredState state = disk.open();
        Map<String, byte[]> found = new HashMap<>();
        state.records().forEach(held -> found.put(held.key(), held.answer()));
        assertThat(state.voters()).containsExactly("a", "b", "c");
        acknowledged.forEach((key, answer) -> assertThat(found.get(key))
                .as(image + " " + key)
                .satisfiesAnyOf(
                        bytes -> assertThat(bytes).isEqualTo(answer),
                        bytes -> assertThat(bytes).isEqualTo(written.get(key))));
        disk.write(DiskBatch.ofRecord(new KeyRecord("after", KeyState.HELD, "claim", null, 1)));
        disk.close();
    }

    @Test
    void aJournalThatHasGrownBeginsAnewAndLosesNothing() throws IOException {
        Path live = folder.resolve("live");
        JournalDisk disk = new JournalDisk(live);
        disk.open();
        byte[] answer = new byte[1 << 20];
        for (int i = 0; i < 40; i++) {
            disk.write(DiskBatch.ofRecord(new KeyRecord("key-" + i % 3, KeyState.FINISHED, "claim", answer, i)));
        }
        disk.write(DiskBatch.ofRemovedKeys(List.of("key-0")));
        disk.close();
        Map<String, byte[]> files = PowerLoss.contents(live);
        assertThat(files).hasSize(1).doesNotContainKey("journal-1");
        assertThat(files.values().iterator().next().length).isLessThan(24 << 20);
        assertThat(new JournalDisk(live).open().records())
                .extracting(KeyRecord::key)
                .containsExactlyInAnyOrder("key-1", "key-2");
    }

    @Test
    void anOlderGenerationThatComesBackIsNotTaken() throws IOException {
        Path live = folder.resolve("live");
        JournalDisk disk = new JournalDisk(live);
        disk.open();
        disk.write(DiskBatch.ofVoters(List.of("a")));
        disk.close();
        byte[] old = PowerLoss.contents(live).get("journal-1");
        TroubledDisk trouble = new TroubledDisk();
        JournalDisk again = new JournalDisk(live, trouble);
        again.open();
        trouble.refuse(true, false);
        assertThatThrownBy(() -> again.write(DiskBatch.ofVoters(List.of("b")))).isInstanceOf(IOException.class);
        trouble.refuse(false, false);
        again.write(DiskBatch.ofVoters(List.of("b")));
        again.close();
        Files.write(live.resolve("journal-1"), old);
        assertThat(new JournalDisk(live).open().voters()).containsExactly("b");
    }

    @Test
    void aNewGenerationThatIsTornIsPassedOverForTheOneBefore() throws IOException {
        Path live = folder.resolve("live");
        JournalDisk disk = new JournalDisk(live);
        disk.open();
        disk.write(DiskBatch.ofVoters(List.of("a")));
        disk.close();
        byte[] whole = PowerLoss.contents(live).get("journal-1");
        Files.write(live.resolve("journal-2"), java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThat(new JournalDisk(live).open().voters()).containsExactly("a");
    }

    @Test
    void aFolderWithoutAWholeJournalIsToldAndNotTakenForEmpty() throws IOException {
        Path live = folder.resolve("live");
        Files.createDirectories(live);
        Files.write(live.resolve("journal-7"), new byte[100]);
        assertThatThrownBy(() -> new JournalDisk(live).open()).isInstanceOf(DiskCorruptException.class);
    }
}
