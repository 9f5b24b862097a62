package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * An append-only file of frames. A frame is the length of its contents and a CRC-32 checksum, 32 bits each in network
 * byte order, followed by the contents. Each checksum also covers the previous checksum, so that a stale frame left
 * over from before a power loss is not taken for the next one. Not thread-safe.
 */
final class JournalFile {

    private static final int FRAME_HEADER_BYTES = 2 * Integer.BYTES;

    private final DiskFile file;
    private int lastChecksum;
    private long length;

    private JournalFile(DiskFile file, int seed) {
        this.file = file;
        this.lastChecksum = seed;
    }

    /**
     * The result of opening a file.
     *
     * @param journal the file, ready for appending
     * @param frames the contents of its intact frames, in order
     */
    record Opened(JournalFile journal, List<byte[]> frames) {}

    /**
     * Reads a file up to the first frame that is not intact, and truncates it there.
     *
     * @param seed the initial value of the checksum chain, used as the checksum before the first frame
     */
    static Opened open(DiskFile file, int seed) throws IOException {
        JournalFile journal = new JournalFile(file, seed);
        ByteBuffer contents = ByteBuffer.allocate((int) file.size());
        file.read(contents, 0);
        contents.flip();
        List<byte[]> frames = new ArrayList<>();
        byte[] frame = journal.nextFrame(contents);
        while (frame != null) {
            frames.add(frame);
            frame = journal.nextFrame(contents);
        }
        if (file.size() != journal.length) {
            file.truncate(journal.length);
        }
        // A killed process may leave frames that were never synced. They have to be durable before the store acts on
        // them.
        file.force();
        return new Opened(journal, frames);
    }

    /** Reads the next frame and adds it to the checksum chain. Returns null if the frame is not intact. */
    private byte[] nextFrame(ByteBuffer contents) {
        if (contents.remaining() < FRAME_HEADER_BYTES) {
            return null;
        }
        int frameLength = contents.getInt();
        int checksum = contents.getInt();
        if (frameLength <= 0 || frameLength > contents.remaining()) {
            return null;
        }
        byte[] frame = new byte[frameLength];
        contents.get(frame);
        if (checksum != checksumOf(frame)) {
            return null;
        }
        lastChecksum = checksum;
        length += FRAME_HEADER_BYTES + frameLength;
        return frame;
    }

    private int checksumOf(byte[] frame) {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(FRAME_HEADER_BYTES)
                .putInt(lastChecksum)
                .putInt(frame.length)
                .array());
        crc.update(frame);
        return (int) crc.getValue();
    }

    /**
     * Appends a frame and returns once it would survive a power loss.
     *
     * @throws IOException if the frame may not be on disk; the file must not be appended to again
     */
    void append(byte[] frame) throws IOException {
        int checksum = checksumOf(frame);
        ByteBuffer bytes = ByteBuffer.allocate(FRAME_HEADER_BYTES + frame.length)
                .putInt(frame.length)
                .putInt(checksum)
                .put(frame)
                .flip();
        file.write(bytes, length);
        file.force();
        lastChecksum = checksum;
        length += FRAME_HEADER_BYTES + frame.length;
    }

    /** Returns the length of the intact frames in bytes. */
    long length() {
        return length;
    }

    void close() throws IOException {
        file.close();
    }
}
