package ridgemill.gateway.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A machine whose clock is wrong, for tests with several processes on one machine: a file, mapped into the process, says by
 * how much its monotonic clock is off, how fast it runs and by how much its wall clock is off. Whoever holds the file changes
 * it while the process runs. Used by no process that was not started with {@code -Dridgemill.clock=FILE}.
 *
 * <p>The file has two slots and a word that says which of them holds, so that no reading takes in half of a change.
 */
public final class ClockSkew {

    /** The property that names the file. */
    public static final String PROPERTY = "ridgemill.clock";

    private static final VarHandle WORD = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.BIG_ENDIAN);
    private static final int SLOT = 4 * Long.BYTES;
    private static final int BYTES = Long.BYTES + 2 * SLOT;

    private final ByteBuffer file;

    /** Maps a file, which is made where it is not there: an honest clock until it is changed. */
    public ClockSkew(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            file = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
        }
    }

    /** The skew of this process, which has the property. */
    static ClockSkew ofProcess() {
        try {
            return new ClockSkew(Path.of(System.getProperty(PROPERTY)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int slot() {
        return Long.BYTES + (int) ((long) WORD.getVolatile(file, 0) % 2) * SLOT;
    }

    /** The monotonic clock as that machine has it. */
    public long nanos() {
        return nanos(System.nanoTime());
    }

    private long nanos(long real) {
        int slot = slot();
        long offset = file.getLong(slot);
        double faster = Double.longBitsToDouble(file.getLong(slot + Long.BYTES));
        long since = file.getLong(slot + 2 * Long.BYTES);
        return real + offset + (long) ((real - since) * faster);
    }

    /** By how much its wall clock is ahead, in milliseconds. */
    public long wallOffsetMs() {
        return file.getLong(slot() + 3 * Long.BYTES);
    }

    /** From now on it runs so many times as fast, 1 for as fast as the others. */
    public void rate(double times) {
        long real = System.nanoTime();
        put(nanos(real) - real, times - 1, real, wallOffsetMs());
    }

    /** It steps by so much, back where that is negative, as one that stood still does while others ran on. */
    public void step(long nanos) {
        long real = System.nanoTime();
        double faster = Double.longBitsToDouble(file.getLong(slot() + Long.BYTES));
        put(nanos(real) + nanos - real, faster, real, wallOffsetMs());
    }

    /** Its wall clock is so much ahead. */
    public void wall(long offsetMs) {
        int slot = slot();
        put(file.getLong(slot), Double.longBitsToDouble(file.getLong(slot + Long.BYTES)), file.getLong(slot + 2 * Long.BYTES), offsetMs);
    }

    private void put(long offset, double faster, long since, long wall) {
        long next = (long) WORD.getVolatile(file, 0) + 1;
        int slot = Long.BYTES + (int) (next % 2) * SLOT;
        file.putLong(slot, offset).putLong(slot + Long.BYTES, Double.doubleToLongBits(faster))
                .putLong(slot + 2 * Long.BYTES, since).putLong(slot + 3 * Long.BYTES, wall);
        WORD.setVolatile(file, 0, next);
    }
}
