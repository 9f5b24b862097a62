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
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.agreement.Ballot;
import ridgemill.cdn.agreement.StateId;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.FieldWriter;
import ridgemill.cdn.wire.ValueCodec;

/** Checks the contents of the disk after a kill at any moment, and after a power loss that leaves torn files. */
final class JournalDiskTest {

    private static final int COMMITS = 150;
    private static final int KEYS = 40;

    @TempDir
    Path folder;

    private final Map<String, byte[]> written = new HashMap<>();

    @Test
    void acknowledgedWritesSurviveAPowerLoss() throws Exception {
        Random random = new Random(7);
        JournalDisk disk = new JournalDisk(folder.resolve("live"));
        disk.open();
        disk.write(DiskBatch.ofIdentity(new DiskIdentity("disk", List.of())));
        Map<String, byte[]> synced = PowerLoss.contents(folder.resolve("live"));
        for (int commit = 0; commit < COMMITS; commit++) {
            Map<String, byte[]> acknowledged = new HashMap<>(written);
            disk.write(batch(random));
            Map<String, byte[]> later = PowerLoss.contents(folder.resolve("live"));
            for (int image = 0; image < 3; image++) {
                Path lost = folder.resolve("lost-" + commit + "-" + image);
                PowerLoss.writeImage(synced, later, random, lost);
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

    /** Checks that an image contains all acknowledged records, or the newer version that was being written. */
    private void check(Path image, Map<String, byte[]> acknowledged) throws IOException {
        JournalDisk disk = new JournalDisk(image);
        StoredState state = disk.open();
        Map<String, byte[]> found = new HashMap<>();
        state.records().forEach(held -> found.put(held.key(), held.answer()));
        assertThat(state.identity().id()).isEqualTo("disk");
        acknowledged.forEach((key, answer) -> assertThat(found.get(key))
                .as(image + " " + key)
                .satisfiesAnyOf(
                        bytes -> assertThat(bytes).isEqualTo(answer),
                        bytes -> assertThat(bytes).isEqualTo(written.get(key))));
        disk.write(DiskBatch.ofRecord(new KeyRecord("after", KeyState.HELD, "claim", null, 1)));
        disk.close();
    }

    @Test
    void aLargeJournalIsRewrittenWithoutLoss() throws IOException {
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
    void anOlderGenerationThatReappearsIsIgnored() throws IOException {
        Path live = folder.resolve("live");
        JournalDisk disk = new JournalDisk(live);
        disk.open();
        disk.write(DiskBatch.ofIdentity(new DiskIdentity("a", List.of())));
        disk.close();
        byte[] old = PowerLoss.contents(live).get("journal-1");
        FaultyDisk faults = new FaultyDisk();
        JournalDisk reopened = new JournalDisk(live, faults);
        reopened.open();
        faults.setFailing(true, false);
        assertThatThrownBy(() -> reopened.write(DiskBatch.ofIdentity(new DiskIdentity("b", List.of()))))
                .isInstanceOf(IOException.class);
        faults.setFailing(false, false);
        reopened.write(DiskBatch.ofIdentity(new DiskIdentity("b", List.of())));
        reopened.close();
        Files.write(live.resolve("journal-1"), old);
        assertThat(new JournalDisk(live).open().identity().id()).isEqualTo("b");
    }

    @Test
    void aTornNewGenerationIsIgnoredInFavorOfThePreviousOne() throws IOException {
        Path live = folder.resolve("live");
        JournalDisk disk = new JournalDisk(live);
        disk.open();
        disk.write(DiskBatch.ofIdentity(new DiskIdentity("a", List.of())));
        disk.close();
        byte[] whole = PowerLoss.contents(live).get("journal-1");
        Files.write(live.resolve("journal-2"), java.util.Arrays.copyOf(whole, whole.length / 2));
        assertThat(new JournalDisk(live).open().identity().id()).isEqualTo("a");
    }

    @Test
    void aFolderWithoutAnIntactJournalIsReportedAsCorrupt() throws IOException {
        Path live = folder.resolve("live");
        Files.createDirectories(live);
        Files.write(live.resolve("journal-7"), new byte[100]);
        assertThatThrownBy(() -> new JournalDisk(live).open()).isInstanceOf(DiskCorruptException.class);
    }

    @Test
    void theLatestAcceptorRecordIsRestored() throws IOException {
        JournalDisk disk = new JournalDisk(folder.resolve("live"));
        disk.open();
        StateId first = new StateId(new Ballot(3, "p"), 1);
        disk.write(DiskBatch.ofAccepted(record(first, false, entry("r1", 1), entry("r2", 1))));
        StateId second = first.next(new Ballot(4, "q"));
        disk.write(DiskBatch.ofAccepted(record(second, false, entry("r1", 2))));
        disk.close();
        AcceptorRecord read = new JournalDisk(folder.resolve("live")).open().accepted();
        assertThat(read.accepted()).isEqualTo(second);
        assertThat(read.promised()).isEqualTo(second.ballot());
        assertThat(read.voters()).isEqualTo(VOTERS);
        assertThat(read.items()).containsExactly(entry("r1", 2), entry("r2", 1));
    }

    @Test
    void aReplacingStateRemovesAllEarlierItems() throws IOException {
        JournalDisk disk = new JournalDisk(folder.resolve("live"));
        disk.open();
        StateId first = new StateId(new Ballot(3, "p"), 1);
        PendingChanges joined = new PendingChanges();
        joined.add(DiskBatch.ofAccepted(record(first, false, entry("r1", 1), entry("r2", 1))));
        joined.add(DiskBatch.ofAccepted(record(first, true, entry("r3", 1))));
        joined.add(DiskBatch.ofAccepted(record(first, false, entry("r4", 1))));
        disk.write(DiskBatch.ofAccepted(record(first, false, entry("r0", 1))));
        disk.write(joined.toBatch());
        disk.close();
        assertThat(new JournalDisk(folder.resolve("live")).open().accepted().items())
                .containsExactly(entry("r3", 1), entry("r4", 1));
    }

    private static final VoterSet VOTERS = new VoterSet(2, List.of(new Voter("a", "1")), List.of(new Voter("b", "2")));

    private static AcceptorRecord record(StateId accepted, boolean replaces, VersionedItem... entries) {
        return new AcceptorRecord(accepted.ballot(), accepted, VOTERS, List.of(entries), replaces);
    }

    private static VersionedItem entry(String name, long version) {
        return VersionedItem.first(new Item(new ItemName(ItemKind.ROUTE, name), version, "{}"));
    }

    @Test
    void foundersAreKeptWithTheIdentifierThroughARewrite() throws Exception {
        JournalDisk disk = new JournalDisk(folder.resolve("founders"));
        disk.open();
        disk.write(DiskBatch.ofIdentity(new DiskIdentity("disk", List.of("10.0.0.1", "10.0.0.2"))));
        disk.close();
        disk.write(DiskBatch.NONE);
        disk.close();
        StoredState read = new JournalDisk(folder.resolve("founders")).open();
        assertThat(read.identity().id()).isEqualTo("disk");
        assertThat(read.identity().founders()).containsExactly("10.0.0.1", "10.0.0.2");
    }

    /** A journal of the format before this one has no founders, and is continued in this format. */
    @Test
    void journalWithoutFoundersIsReadAndContinued() throws Exception {
        Path live = folder.resolve("format-2");
        Files.createDirectories(live);
        byte[] frame = ValueCodec.toBytes("disk", JournalDiskTest::writeIdentifierInFormat2);
        JournalFile old = JournalFile.open(DiskFile.of(live.resolve("journal-1")), Long.hashCode(1))
                .journal();
        old.append(frame);
        old.close();
        JournalDisk disk = new JournalDisk(live);
        assertThat(disk.open().identity()).isEqualTo(new DiskIdentity("disk", List.of()));
        disk.write(DiskBatch.ofRecord(new KeyRecord("after", KeyState.HELD, "claim", null, 1)));
        disk.close();
        StoredState read = new JournalDisk(live).open();
        assertThat(read.identity()).isEqualTo(new DiskIdentity("disk", List.of()));
        assertThat(read.records()).extracting(KeyRecord::key).containsExactly("after");
    }

    private static void writeIdentifierInFormat2(String diskId, FieldWriter out) throws IOException {
        boolean hasAcceptorRecord = false;
        out.number(2).text(diskId).flag(hasAcceptorRecord);
        out.list(List.<KeyRecord>of(), ValueCodec::writeKeyRecord).texts(List.of());
    }
}
