package ridgemill.cdn.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A file of frames that is only ever appended to. A frame is the length of its contents and their checksum, 32 bits each
 * in network order, then the contents. Each checksum also covers the one before it, so that a frame left over from
 * before a loss of power is not taken for the next one. Used by one thread.
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
     * What a file held.
     *
     * @param journal the file, to be appended to
     * @param frames the contents of its whole frames, in order
     */
    record Opened(JournalFile journal, List<byte[]> frames) {}

    /**
     * Reads a file up to the first frame that is not whole, and cuts it there.
     *
     * @param seed takes the place of the checksum before the first frame
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
        // A killed process may leave frames that no sync covered; what was read is acted on, so it has to last.
        file.force();
        return new Opened(journal, frames);
    }

    /** Takes the next frame into the chain, or null if it is not whole. */
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
     * Appends a frame and returns once it survives a loss of power.
     *
     * @throws IOException if it may not be there; the file must not be appended to again
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

    /** The file's length in bytes. */
    long length() {
        return length;
    }

    void close() throws IOException {
        file.close();
    }
}
