package ridgemill.cdn.store.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32;
import jetbrains.exodus.ExodusException;
import jetbrains.exodus.io.Block;

/**
 * One file of the log: frames of a length and a checksum of 32 bits each, and the bytes that were written at once. The
 * log's own positions leave the frames' heads out. Safe for several threads.
 */
final class CheckedBlock implements Block {

    private static final int HEAD_BYTES = 2 * Integer.BYTES;
    private static final int FORMAT = 0x524d0001;

    private final long address;
    private final DiskFile file;
    /** Where frames begin: in the log's positions, and how their checksums are. */
    private int[] starts = new int[64];
    private int[] checksums = new int[64];
    private int frames;
    private int length;
    private boolean dirty;

    private CheckedBlock(long address, DiskFile file) {
        this.address = address;
        this.file = file;
    }

    /** Reads a file and ends it at the first frame that is not whole. */
    static CheckedBlock read(long address, DiskFile file) throws IOException {
        CheckedBlock block = new CheckedBlock(address, file);
        ByteBuffer contents = ByteBuffer.allocate((int) file.size());
        file.read(contents, 0);
        contents.flip();
        while (block.takeFrame(contents)) {
            continue;
        }
        if (block.physicalLength() != file.size()) {
            file.truncate(block.physicalLength());
            block.dirty = true;
        }
        return block;
    }

    private boolean takeFrame(ByteBuffer contents) {
        if (contents.remaining() < HEAD_BYTES) {
            return false;
        }
        int frameLength = contents.getInt();
        int checksum = contents.getInt();
        if (frameLength <= 0 || frameLength > contents.remaining()) {
            return false;
        }
        if (checksum != checksumOf(contents.array(), contents.position(), frameLength)) {
            return false;
        }
        contents.position(contents.position() + frameLength);
        addFrame(frameLength, checksum);
        return true;
    }

    /** Built on the checksum before, so that a frame left over from before a cut fits no new one. */
    private int checksumOf(byte[] bytes, int offset, int count) {
        int before = frames == 0 ? FORMAT ^ Long.hashCode(address) : checksums[frames - 1];
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(HEAD_BYTES).putInt(before).putInt(count).array());
        crc.update(bytes, offset, count);
        return (int) crc.getValue();
    }

    private void addFrame(int frameLength, int checksum) {
        if (frames == starts.length) {
            starts = Arrays.copyOf(starts, 2 * frames);
            checksums = Arrays.copyOf(checksums, 2 * frames);
        }
        starts[frames] = length;
        checksums[frames] = checksum;
        frames++;
        length += frameLength;
    }

    private long physicalLength() {
        return length + (long) frames * HEAD_BYTES;
    }

    /** Adds a frame. Xodus also writes nothing at times, which makes none: a frame of no bytes ends the block. */
    synchronized void append(byte[] bytes, int offset, int count) throws IOException {
        if (count == 0) {
            return;
        }
        int checksum = checksumOf(bytes, offset, count);
        ByteBuffer frame = ByteBuffer.allocate(HEAD_BYTES + count)
                .putInt(count)
                .putInt(checksum)
                .put(bytes, offset, count)
                .flip();
        dirty = true;
        file.write(frame, physicalLength());
        addFrame(count, checksum);
    }

    /** Cuts the block to a length in the log's positions; a frame in which that lies is written anew. */
    synchronized void truncate(int to) throws IOException {
        if (to >= length) {
            return;
        }
        int frame = frameOf(to);
        byte[] kept = new byte[to - starts[frame]];
        read(kept, starts[frame], 0, kept.length);
        frames = frame;
        length = starts[frame];
        dirty = true;
        file.truncate(physicalLength());
        if (kept.length > 0) {
            append(kept, 0, kept.length);
        }
    }

    synchronized void force() throws IOException {
        if (dirty) {
            file.force();
            dirty = false;
        }
    }

    synchronized void close() throws IOException {
        file.close();
    }

    @Override
    public long getAddress() {
        return address;
    }

    @Override
    public synchronized long length() {
        return length;
    }

    @Override
    public synchronized int read(byte[] output, long position, int offset, int count) {
        int wanted = (int) Math.min(count, length - position);
        int done = 0;
        try {
            while (done < wanted) {
                done += readInFrame(output, (int) position + done, offset + done, wanted - done);
            }
        } catch (IOException refused) {
            throw new ExodusException("a block can't be read", refused);
        }
        return Math.max(0, done);
    }

    private int readInFrame(byte[] output, int position, int offset, int count) throws IOException {
        int frame = frameOf(position);
        int end = frame + 1 < frames ? starts[frame + 1] : length;
        ByteBuffer into = ByteBuffer.wrap(output, offset, Math.min(count, end - position));
        int wanted = into.remaining();
        file.read(into, position + (long) (frame + 1) * HEAD_BYTES);
        if (into.hasRemaining()) {
            throw new IOException("a block is shorter than it was");
        }
        return wanted;
    }

    /** The frame that holds a position. */
    private int frameOf(int position) {
        int found = Arrays.binarySearch(starts, 0, frames, position);
        return found >= 0 ? found : -found - 2;
    }

    @Override
    public Block refresh() {
        return this;
    }
}
