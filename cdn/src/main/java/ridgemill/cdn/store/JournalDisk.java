package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.config.VersionedItem;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.wire.AgreementCodec;
import ridgemill.cdn.wire.FieldReader;
import ridgemill.cdn.wire.FieldWriter;
import ridgemill.cdn.wire.ValueCodec;

/**
 * Keeps the store's state in one journal file: its first frame holds the whole state, each later one a batch of changes.
 * When the journal has grown, or the disk refused a write, a new file with the whole state takes its place. Files carry
 * the number of their generation; the newest one whose first frame is whole holds the state, as the one before it is
 * removed only after that frame is on disk.
 */
final class JournalDisk implements StoreDisk {

    private static final System.Logger LOG = System.getLogger(JournalDisk.class.getName());
    private static final long FORMAT_VERSION = 2;
    private static final String FILE_PREFIX = "journal-";
    /** A journal begins anew once it is this much longer than its first frame, in bytes. */
    private static final long MAX_GROWTH_BYTES = 16L << 20;

    private final Path folder;
    private final DiskFile.Opener opener;
    private final Map<ItemName, VersionedItem> items = new TreeMap<>();
    private final Map<String, KeyRecord> records = new HashMap<>();
    private String diskId;
    private AcceptorRecord accepted = AcceptorRecord.EMPTY;
    private JournalFile journal;
    private long generation;
    private long firstFrameBytes;

    /** A disk at a folder, which is made when it is opened. */
    JournalDisk(Path folder) {
        this(folder, DiskFile::of);
    }

    JournalDisk(Path folder, DiskFile.Opener opener) {
        this.folder = folder;
        this.opener = opener;
    }

    @Override
    public StoredState open() throws IOException {
        close();
        Files.createDirectories(folder);
        List<Long> generations = generations();
        for (long candidate : generations) {
            if (loadGeneration(candidate)) {
                removeOthers(candidate);
                return state();
            }
        }
        if (!generations.isEmpty() && generations.get(0) > 1) {
            throw new DiskCorruptException("no journal is whole", null);
        }
        // Nothing was acknowledged before the first generation was whole.
        startGeneration(1);
        return state();
    }

    /** The generations that have a file, newest first. */
    private List<Long> generations() throws IOException {
        List<Long> generations = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                String name = path.getFileName().toString();
                if (name.startsWith(FILE_PREFIX)) {
                    generations.add(Long.parseLong(name.substring(FILE_PREFIX.length())));
                }
            }
        } catch (NumberFormatException foreign) {
            throw new DiskCorruptException("a file has a foreign name", foreign);
        }
        generations.sort(Comparator.reverseOrder());
        return generations;
    }

    private Path pathOf(long number) {
        return folder.resolve(FILE_PREFIX + number);
    }

    /** Whether the generation's first frame is whole; then its state is taken. */
    private boolean loadGeneration(long number) throws IOException {
        JournalFile.Opened opened = JournalFile.open(opener.open(pathOf(number)), Long.hashCode(number));
        if (opened.frames().isEmpty()) {
            opened.journal().close();
            return false;
        }
        items.clear();
        records.clear();
        diskId = null;
        accepted = AcceptorRecord.EMPTY;
        for (byte[] frame : opened.frames()) {
            try {
                apply(ValueCodec.fromBytes(frame, JournalDisk::readBatch));
            } catch (IOException unreadable) {
                opened.journal().close();
                throw new DiskCorruptException("a frame can't be read: " + unreadable.getMessage(), unreadable);
            }
        }
        journal = opened.journal();
        generation = number;
        firstFrameBytes = opened.frames().get(0).length;
        return true;
    }

    private StoredState state() {
        return new StoredState(diskId, fullAcceptorRecord(), List.copyOf(records.values()), false);
    }

    /** What was promised and accepted, with all items. */
    private AcceptorRecord fullAcceptorRecord() {
        return new AcceptorRecord(
                accepted.promised(), accepted.accepted(), accepted.voters(), List.copyOf(items.values()), true);
    }

    /** Takes a batch into the state in memory. */
    private void apply(DiskBatch batch) {
        if (batch.accepted() != null) {
            AcceptorRecord next = batch.accepted();
            accepted = new AcceptorRecord(next.promised(), next.accepted(), next.voters(), List.of(), false);
            if (next.replaces()) {
                items.clear();
            }
            next.items().forEach(entry -> items.put(entry.item().name(), entry));
        }
        for (KeyRecord keyRecord : batch.records()) {
            records.put(keyRecord.key(), keyRecord);
        }
        for (String key : batch.removedKeys()) {
            records.remove(key);
        }
        if (batch.diskId() != null) {
            diskId = batch.diskId();
        }
    }

    @Override
    public void write(DiskBatch batch) throws IOException {
        if (journal == null) {
            rewrite(batch);
            return;
        }
        try {
            journal.append(ValueCodec.toBytes(batch, JournalDisk::writeBatch));
        } catch (IOException refused) {
            // The file's end is not known any more, and a sync that failed once may report success the next time.
            close();
            throw refused;
        }
        apply(batch);
        if (journal.length() - firstFrameBytes > MAX_GROWTH_BYTES) {
            startGeneration(generation + 1);
            removeOthers(generation);
        }
    }

    /** Writes a batch as part of the whole state, where the journal can't be appended to any more. */
    private void rewrite(DiskBatch batch) throws IOException {
        apply(batch);
        startGeneration(generation + 1);
        removeOthers(generation);
    }

    /** Begins a new generation with the whole state. */
    private void startGeneration(long number) throws IOException {
        close();
        Files.deleteIfExists(pathOf(number));
        JournalFile next = JournalFile.open(opener.open(pathOf(number)), Long.hashCode(number))
                .journal();
        DiskBatch whole = new DiskBatch(diskId, fullAcceptorRecord(), List.copyOf(records.values()), List.of());
        try {
            byte[] frame = ValueCodec.toBytes(whole, JournalDisk::writeBatch);
            next.append(frame);
            syncFolder();
            firstFrameBytes = frame.length;
        } catch (IOException refused) {
            next.close();
            Files.deleteIfExists(pathOf(number));
            throw refused;
        }
        journal = next;
        generation = number;
    }

    private void removeOthers(long kept) throws IOException {
        boolean removed = false;
        for (long other : generations()) {
            if (other != kept) {
                removed |= Files.deleteIfExists(pathOf(other));
            }
        }
        if (removed) {
            syncFolder();
        }
    }

    /** Returns once the names of files that were made and removed survive a loss of power. */
    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeBatch(DiskBatch batch, FieldWriter out) throws IOException {
        out.number(FORMAT_VERSION).text(batch.diskId()).flag(batch.accepted() != null);
        if (batch.accepted() != null) {
            AcceptorRecord next = batch.accepted();
            out.value(next.promised(), AgreementCodec::writeBallot)
                    .value(next.accepted(), AgreementCodec::writeStateId)
                    .value(next.voters(), AgreementCodec::writeVoterSet)
                    .list(next.items(), AgreementCodec::writeVersionedItem)
                    .flag(next.replaces());
        }
        out.list(batch.records(), ValueCodec::writeKeyRecord).texts(batch.removedKeys());
    }

    private static DiskBatch readBatch(FieldReader in) throws IOException {
        long format = in.number();
        if (format != FORMAT_VERSION) {
            throw new IOException("format " + format + " is not known");
        }
        String name = in.text();
        AcceptorRecord next = null;
        if (in.flag()) {
            next = new AcceptorRecord(
                    AgreementCodec.readBallot(in),
                    AgreementCodec.readStateId(in),
                    AgreementCodec.readVoterSet(in),
                    in.list(AgreementCodec::readVersionedItem),
                    in.flag());
        }
        return new DiskBatch(name, next, in.list(ValueCodec::readKeyRecord), in.texts());
    }

    @Override
    public void moveAside() throws IOException {
        close();
        items.clear();
        records.clear();
        diskId = null;
        accepted = AcceptorRecord.EMPTY;
        Path aside = folder.resolveSibling(folder.getFileName() + ".unreadable");
        if (Files.exists(aside)) {
            try (Stream<Path> inside = Files.walk(aside)) {
                for (Path path : inside.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.move(folder, aside);
    }

    @Override
    public void close() {
        if (journal != null) {
            try {
                journal.close();
            } catch (IOException failure) {
                LOG.log(System.Logger.Level.WARNING, "event=disk_not_closed cause=\"" + failure.getMessage() + "\"");
            }
            journal = null;
        }
    }
}
