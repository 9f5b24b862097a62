package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import jetbrains.exodus.log.LogConfig;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.store.log.BrokenLogException;
import ridgemill.cdn.store.log.CheckedFolder;
import ridgemill.cdn.store.log.DiskFile;
import ridgemill.cdn.wire.FieldReader;
import ridgemill.cdn.wire.FieldWriter;
import ridgemill.cdn.wire.Fields;

/** Keeps the store's state in a Xodus environment in one folder, over files with checksums. */
final class XodusDisk implements StoreDisk {

    private static final long FORMAT = 1;
    private static final long MEMORY_BYTES = 4L << 20;
    private static final int PAGE_BYTES = 4096;
    private static final long LOG_FILE_KB = 1024;
    private static final int CLEAN_EVERY_MS = 5_000;
    private static final ByteIterable FORMAT_KEY = bytes("format");
    private static final ByteIterable VOTERS_KEY = bytes("voters");

    private final Path folder;
    private final DiskFile.Opener opener;
    private CheckedFolder files;
    /** Up to which address the log was on disk when this process closed it; what it wrote behind may be lost. */
    private long knownSynced = Long.MAX_VALUE;
    private Environment environment;
    private Store meta;
    private Store items;
    private Store records;

    /** A disk at a folder, which is made when it is opened. */
    XodusDisk(Path folder) {
        this(folder, DiskFile::of);
    }

    XodusDisk(Path folder, DiskFile.Opener opener) {
        this.folder = folder;
        this.opener = opener;
    }

    @Override
    public StoredState open() throws IOException {
        close();
        Files.createDirectories(folder);
        try {
            files = CheckedFolder.open(folder, LOG_FILE_KB << 10, knownSynced, opener);
            environment = Environments.newInstance(LogConfig.create(files, files), configuration());
            environment.executeInTransaction(this::openStores);
            StoredState state = environment.computeInReadonlyTransaction(this::readAll);
            if (state == null) {
                throw new DiskCorruptException("a value or the format is not known", null);
            }
            return state;
        } catch (RuntimeException failure) {
            close();
            throw explain(failure);
        } catch (BrokenLogException broken) {
            close();
            throw new DiskCorruptException(broken.getMessage(), broken);
        } catch (IOException failure) {
            close();
            throw failure;
        }
    }

    @Override
    public void moveAside() throws IOException {
        close();
        knownSynced = Long.MAX_VALUE;
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
    public void write(DiskBatch batch) throws IOException {
        if (environment == null) {
            open();
        }
        try {
            environment.executeInTransaction(transaction -> put(batch, transaction));
        } catch (RuntimeException failure) {
            close();
            throw explain(failure);
        }
    }

    @Override
    public void close() {
        if (environment != null) {
            try {
                environment.close();
            } catch (RuntimeException failure) {
                System.getLogger(XodusDisk.class.getName())
                        .log(System.Logger.Level.WARNING, "event=disk_not_closed cause=\"" + failure.getMessage() + "\"");
            }
            environment = null;
        }
        if (files != null) {
            files.closeBlocks();
            knownSynced = files.syncedAddress();
            files = null;
        }
    }

    private static EnvironmentConfig configuration() {
        EnvironmentConfig config = new EnvironmentConfig();
        config.setManagementEnabled(false);
        config.setProfilerEnabled(false);
        config.setEnvGatherStatistics(false);
        config.setEnvCloseForcedly(true);
        config.setMemoryUsage(MEMORY_BYTES);
        config.setLogCacheShared(false);
        config.setLogCachePageSize(PAGE_BYTES);
        config.setLogCacheWarmup(false);
        config.setLogFileSize(LOG_FILE_KB);
        config.setLogDurableWrite(true);
        config.setGcStartIn(CLEAN_EVERY_MS);
        config.setGcRunPeriod(CLEAN_EVERY_MS);
        return config;
    }

    private void openStores(Transaction transaction) {
        meta = environment.openStore("meta", StoreConfig.WITHOUT_DUPLICATES, transaction);
        items = environment.openStore("items", StoreConfig.WITHOUT_DUPLICATES, transaction);
        records = environment.openStore("keys", StoreConfig.WITHOUT_DUPLICATES, transaction);
        if (meta.get(transaction, FORMAT_KEY) == null) {
            meta.put(transaction, FORMAT_KEY, encode(FORMAT, (number, out) -> out.number(number)));
        }
    }

    /** Null if the disk holds what this build can't read. */
    private StoredState readAll(Transaction transaction) {
        try {
            if (decode(meta.get(transaction, FORMAT_KEY), FieldReader::number) != FORMAT) {
                return null;
            }
            ByteIterable voters = meta.get(transaction, VOTERS_KEY);
            return new StoredState(
                    voters == null ? List.of() : decode(voters, FieldReader::texts),
                    readAll(items, transaction, Fields::readItem),
                    readAll(records, transaction, Fields::readKeyRecord),
                    false);
        } catch (IOException unreadable) {
            return null;
        }
    }

    private static <T> List<T> readAll(Store store, Transaction transaction, FieldReader.ElementReader<T> reader)
            throws IOException {
        List<T> values = new ArrayList<>();
        try (Cursor cursor = store.openCursor(transaction)) {
            while (cursor.getNext()) {
                values.add(decode(cursor.getValue(), reader));
            }
        }
        return values;
    }

    private void put(DiskBatch batch, Transaction transaction) {
        for (Item item : batch.items()) {
            items.put(transaction, keyOf(item.name()), encode(item, Fields::writeItem));
        }
        for (KeyRecord keyRecord : batch.records()) {
            records.put(transaction, bytes(keyRecord.key()), encode(keyRecord, Fields::writeKeyRecord));
        }
        for (String key : batch.removedKeys()) {
            records.delete(transaction, bytes(key));
        }
        if (batch.voters() != null) {
            meta.put(transaction, VOTERS_KEY, encode(batch.voters(), (voters, out) -> out.texts(voters)));
        }
    }

    private static ByteIterable keyOf(ItemName name) {
        return bytes(name.kind().name() + '/' + name.name());
    }

    private static ByteIterable bytes(String text) {
        return new ArrayByteIterable(text.getBytes(StandardCharsets.UTF_8));
    }

    private static <T> ByteIterable encode(T value, FieldWriter.ElementWriter<T> writer) {
        try {
            return new ArrayByteIterable(Fields.toBytes(value, writer));
        } catch (IOException impossible) {
            throw new UncheckedWrite(impossible);
        }
    }

    private static <T> T decode(ByteIterable value, FieldReader.ElementReader<T> reader) throws IOException {
        byte[] bytes = new byte[value.getLength()];
        System.arraycopy(value.getBytesUnsafe(), 0, bytes, 0, bytes.length);
        return Fields.fromBytes(bytes, reader);
    }

    /** A failure of the disk itself may pass; any other means that the files are not what they should be. */
    private static IOException explain(RuntimeException failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof IOException refused) {
                return new IOException(refused.getMessage(), failure);
            }
        }
        return new DiskCorruptException(failure.toString(), failure);
    }

    private static final class UncheckedWrite extends RuntimeException {

        private static final long serialVersionUID = 1;

        UncheckedWrite(IOException cause) {
            super(cause);
        }
    }
}
