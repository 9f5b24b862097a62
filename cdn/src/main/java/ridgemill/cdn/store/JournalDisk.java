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
 * Keeps the store's state in one journal file. The first frame holds the complete state, each later frame a batch of
 * changes. When the journal has grown too much, or a write failed, a new file with the complete state replaces it. File
 * names contain the generation number. The newest file whose first frame is intact holds the state, because the
 * previous file is removed only after that frame is on disk.
 */
final class JournalDisk implements StoreDisk {

    private static final System.Logger LOG = System.getLogger(JournalDisk.class.getName());
    private static final long FORMAT_VERSION = 3;
    /** The oldest format that is read; it has no founders. */
    private static final long FORMAT_WITHOUT_FOUNDERS = 2;

    private static final String FILE_PREFIX = "journal-";
    /** The journal is rewritten once it exceeds its first frame by this many bytes. */
    private static final long MAX_GROWTH_BYTES = 16L << 20;

    private final Path folder;
    private final DiskFile.Opener opener;
    private final Map<ItemName, VersionedItem> items = new TreeMap<>();
    private final Map<String, KeyRecord> records = new HashMap<>();
    private DiskIdentity identity;
    private AcceptorRecord accepted = AcceptorRecord.EMPTY;
    private JournalFile journal;
    private long generation;
    private long firstFrameBytes;

    /** Creates a disk in a folder. The folder is created when the disk is opened. */
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
            throw new DiskCorruptException("no journal has an intact first frame", null);
        }
        // No write is acknowledged before the first generation is complete, so nothing is lost by starting over.
        startGeneration(1);
        return state();
    }

    /** Lists the generations that have a file, newest first. */
    private List<Long> generations() throws IOException {
        List<Long> generations = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                String name = path.getFileName().toString();
                if (name.startsWith(FILE_PREFIX)) {
                    generations.add(Long.parseLong(name.substring(FILE_PREFIX.length())));
                }
            }
        } catch (NumberFormatException notAGeneration) {
            throw new DiskCorruptException("unexpected file name in the data folder", notAGeneration);
        }
        generations.sort(Comparator.reverseOrder());
        return generations;
    }

    private Path pathOf(long number) {
        return folder.resolve(FILE_PREFIX + number);
    }

    /** Loads a generation. Returns false if its first frame is not intact. */
    private boolean loadGeneration(long number) throws IOException {
        JournalFile.Opened opened = JournalFile.open(opener.open(pathOf(number)), Long.hashCode(number));
        if (opened.frames().isEmpty()) {
            opened.journal().close();
            return false;
        }
        items.clear();
        records.clear();
        identity = null;
        accepted = AcceptorRecord.EMPTY;
        for (byte[] frame : opened.frames()) {
            try {
                apply(ValueCodec.fromBytes(frame, JournalDisk::readBatch));
            } catch (IOException unreadable) {
                opened.journal().close();
                throw new DiskCorruptException("malformed frame: " + unreadable.getMessage(), unreadable);
            }
        }
        journal = opened.journal();
        generation = number;
        firstFrameBytes = opened.frames().get(0).length;
        return true;
    }

    private StoredState state() {
        return new StoredState(identity, fullAcceptorRecord(), List.copyOf(records.values()), false);
    }

    /** Returns the acceptor record with all items. */
    private AcceptorRecord fullAcceptorRecord() {
        return new AcceptorRecord(
                accepted.promised(), accepted.accepted(), accepted.voters(), List.copyOf(items.values()), true);
    }

    /** Applies a batch to the state in memory. */
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
        if (batch.identity() != null) {
            identity = batch.identity();
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
        } catch (IOException failure) {
            // The end of the file is unknown after a failure, and a sync that failed once may report success the next
            // time.
            close();
            throw failure;
        }
        apply(batch);
        if (journal.length() - firstFrameBytes > MAX_GROWTH_BYTES) {
            startGeneration(generation + 1);
            removeOthers(generation);
        }
    }

    /** Writes a batch as part of the complete state, for when the journal can no longer be appended to. */
    private void rewrite(DiskBatch batch) throws IOException {
        apply(batch);
        startGeneration(generation + 1);
        removeOthers(generation);
    }

    /** Starts a new generation with the complete state. */
    private void startGeneration(long number) throws IOException {
        close();
        Files.deleteIfExists(pathOf(number));
        JournalFile next = JournalFile.open(opener.open(pathOf(number)), Long.hashCode(number))
                .journal();
        DiskBatch completeState =
                new DiskBatch(identity, fullAcceptorRecord(), List.copyOf(records.values()), List.of());
        try {
            byte[] frame = ValueCodec.toBytes(completeState, JournalDisk::writeBatch);
            next.append(frame);
            syncFolder();
            firstFrameBytes = frame.length;
        } catch (IOException failure) {
            next.close();
            Files.deleteIfExists(pathOf(number));
            throw failure;
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

    /** Syncs the folder: returns once created and removed file names would survive a power loss. */
    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static void writeBatch(DiskBatch batch, FieldWriter out) throws IOException {
        out.number(FORMAT_VERSION);
        writeIdentity(batch.identity(), out);
        out.flag(batch.accepted() != null);
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

    private static void writeIdentity(DiskIdentity identity, FieldWriter out) throws IOException {
        boolean unchanged = identity == null;
        out.text(unchanged ? null : identity.id()).texts(unchanged ? List.of() : identity.founders());
    }

    private static DiskIdentity readIdentity(FieldReader in, long format) throws IOException {
        String id = in.text();
        List<String> founders = format == FORMAT_WITHOUT_FOUNDERS ? List.of() : in.texts();
        return id == null ? null : new DiskIdentity(id, founders);
    }

    private static DiskBatch readBatch(FieldReader in) throws IOException {
        long format = in.number();
        if (format != FORMAT_VERSION && format != FORMAT_WITHOUT_FOUNDERS) {
            throw new IOException("unknown format version " + format);
        }
        DiskIdentity newIdentity = readIdentity(in, format);
        AcceptorRecord next = null;
        if (in.flag()) {
            next = new AcceptorRecord(
                    AgreementCodec.readBallot(in),
                    AgreementCodec.readStateId(in),
                    AgreementCodec.readVoterSet(in),
                    in.list(AgreementCodec::readVersionedItem),
                    in.flag());
        }
        return new DiskBatch(newIdentity, next, in.list(ValueCodec::readKeyRecord), in.texts());
    }

    @Override
    public void moveAside() throws IOException {
        close();
        items.clear();
        records.clear();
        identity = null;
        accepted = AcceptorRecord.EMPTY;
        Path movedFolder = folder.resolveSibling(folder.getFileName() + ".unreadable");
        if (Files.exists(movedFolder)) {
            try (Stream<Path> paths = Files.walk(movedFolder)) {
                for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        Files.move(folder, movedFolder);
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
