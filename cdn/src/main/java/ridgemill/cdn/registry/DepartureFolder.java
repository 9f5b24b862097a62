package ridgemill.cdn.registry;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import java.util.zip.CRC32;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.wire.ValueCodec;

/**
 * Saves all departed instances in a new file each time and then removes the older files. A file starts with a CRC-32
 * checksum of its contents, so that a file that was not written completely is recognized; the previous one counts then.
 */
final class DepartureFolder implements DepartureDisk {

    private static final System.Logger LOG = System.getLogger(DepartureFolder.class.getName());
    private static final String FILE_PREFIX = "departures-";
    private static final int CHECKSUM_BYTES = Integer.BYTES;

    private final Path folder;
    private long lastNumber;

    /** Creates a disk in a folder. The folder is created when instances are saved for the first time. */
    DepartureFolder(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<Instance> load() throws IOException {
        if (!Files.isDirectory(folder)) {
            return List.of();
        }
        NavigableMap<Long, Path> files = files();
        if (files.isEmpty()) {
            return List.of();
        }
        lastNumber = files.lastKey();
        for (Path file : files.descendingMap().values()) {
            byte[] contents = Files.readAllBytes(file);
            if (isIntact(contents)) {
                return decode(contents);
            }
            LOG.log(Level.WARNING, "event=departures_incomplete file=" + file.getFileName());
        }
        return List.of();
    }

    /** Lists the files by their numbers. */
    private NavigableMap<Long, Path> files() throws IOException {
        NavigableMap<Long, Path> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                String number = path.getFileName().toString().replace(FILE_PREFIX, "");
                if (number.matches("\\d{1,18}")) {
                    files.put(Long.parseLong(number), path);
                }
            }
        }
        return files;
    }

    private static boolean isIntact(byte[] contents) {
        return contents.length > CHECKSUM_BYTES
                && ByteBuffer.wrap(contents).getInt() == checksumOf(contents, CHECKSUM_BYTES);
    }

    private static int checksumOf(byte[] bytes, int from) {
        CRC32 checksum = new CRC32();
        checksum.update(bytes, from, bytes.length - from);
        return (int) checksum.getValue();
    }

    private static List<Instance> decode(byte[] contents) throws IOException {
        byte[] encoded = new byte[contents.length - CHECKSUM_BYTES];
        ByteBuffer.wrap(contents).position(CHECKSUM_BYTES).get(encoded);
        return ValueCodec.fromBytes(encoded, in -> in.list(ValueCodec::readInstance));
    }

    @Override
    public void save(List<Instance> departed) throws IOException {
        createFolder();
        // Each attempt has a file of its own: a sync that failed once may report success the next time.
        lastNumber++;
        Path file = folder.resolve(FILE_PREFIX + lastNumber);
        try {
            write(file, departed);
            sync(folder);
        } catch (IOException failure) {
            Files.deleteIfExists(file);
            throw failure;
        }
        removeOlder();
    }

    private void createFolder() throws IOException {
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(folder);
            sync(folder.getParent());
        }
    }

    private static void write(Path file, List<Instance> departed) throws IOException {
        byte[] encoded =
                ValueCodec.toBytes(departed, (instances, out) -> out.list(instances, ValueCodec::writeInstance));
        ByteBuffer contents = ByteBuffer.allocate(CHECKSUM_BYTES + encoded.length)
                .putInt(checksumOf(encoded, 0))
                .put(encoded)
                .flip();
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.WRITE, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING)) {
            while (contents.hasRemaining()) {
                channel.write(contents);
            }
            channel.force(true);
        }
    }

    private static void sync(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Removes the older files. One that stays does no harm and is removed the next time. */
    private void removeOlder() {
        try {
            for (Path older : files().headMap(lastNumber).values()) {
                Files.deleteIfExists(older);
            }
        } catch (IOException failure) {
            LOG.log(Level.WARNING, "event=departures_not_removed cause=\"" + failure.getMessage() + "\"");
        }
    }
}
