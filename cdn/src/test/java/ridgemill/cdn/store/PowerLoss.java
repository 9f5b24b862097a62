package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Creates possible contents of a disk after a power loss: all bytes that the last sync covered, and for each sector
 * written after it the new contents, the old contents, zeros or garbage.
 */
final class PowerLoss {

    private static final int SECTOR_BYTES = 512;

    private PowerLoss() {}

    /** Returns the contents of all files of a folder. */
    static Map<String, byte[]> contents(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.toList()) {
                files.put(path.getFileName().toString(), Files.readAllBytes(path));
            }
        }
        return files;
    }

    /** Writes an image of a folder whose last sync was at one moment and that lost power at a later moment. */
    static void writeImage(Map<String, byte[]> synced, Map<String, byte[]> later, Random random, Path folder)
            throws IOException {
        Files.createDirectories(folder);
        for (Map.Entry<String, byte[]> file : later.entrySet()) {
            byte[] before = synced.get(file.getKey());
            if (before != null || random.nextInt(3) > 0) {
                byte[] old = before == null ? new byte[0] : before;
                Files.write(folder.resolve(file.getKey()), tearFile(old, file.getValue(), random));
            }
        }
        for (Map.Entry<String, byte[]> file : synced.entrySet()) {
            if (!later.containsKey(file.getKey()) && random.nextBoolean()) {
                Files.write(folder.resolve(file.getKey()), file.getValue());
            }
        }
    }

    private static byte[] tearFile(byte[] before, byte[] after, Random random) {
        int length = switch (random.nextInt(3)) {
            case 0 -> after.length;
            case 1 -> before.length;
            default ->
                Math.min(before.length, after.length) + random.nextInt(Math.abs(after.length - before.length) + 1);
        };
        byte[] image = Arrays.copyOf(after, length);
        int kept = Math.min(Arrays.mismatch(before, after) < 0 ? length : Arrays.mismatch(before, after), length);
        int start = kept;
        while (start < length) {
            int end = Math.min(length, (start / SECTOR_BYTES + 1) * SECTOR_BYTES);
            tearSector(image, before, start, end, random);
            start = end;
        }
        return image;
    }

    private static void tearSector(byte[] image, byte[] before, int start, int end, Random random) {
        switch (random.nextInt(6)) {
            case 0 -> Arrays.fill(image, start, end, (byte) 0);
            case 1 -> {
                for (int i = start + random.nextInt(end - start); i < end; i++) {
                    image[i] = i < before.length ? before[i] : (byte) random.nextInt();
                }
            }
            case 2 -> Arrays.fill(image, start + random.nextInt(end - start), end, (byte) 0);
            default -> {}
        }
    }
}
