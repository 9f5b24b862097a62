package ridgemill.lease;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Frame of the datagrams for leases and their tasks: a kind, a version, contents, a CRC-32 checksum, and zero padding
 * to a length that leaves remainder 3 when divided by 4. Other datagrams of the peers, whose lengths are multiples of
 * 4, and connection release requests, of 5 bytes, can't be mistaken for one.
 */
public final class DatagramFrame {

    /** Maximum size of a datagram. */
    public static final int MAX_BYTES = 256;
    private static final int HEADER_BYTES = 2;
    private static final int CHECKSUM_BYTES = 4;
    private static final int ALIGNMENT_BYTES = 4;
    private static final int LENGTH_REMAINDER = 3;
    /** Maximum number of bytes that {@link #finish} adds after the contents. */
    public static final int MAX_TRAILER_BYTES = CHECKSUM_BYTES + ALIGNMENT_BYTES - 1;
    /** Maximum size of contents of any length; a whole alignment unit is reserved for the padding. */
    public static final int MAX_CONTENT_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES - ALIGNMENT_BYTES;

    private DatagramFrame() { }

    /** Begins a datagram; the contents are to be put after the header. */
    public static ByteBuffer begin(int kind, int version) {
        return ByteBuffer.allocate(MAX_BYTES).put((byte) kind).put((byte) version);
    }

    /** Finishes a datagram whose contents end at the buffer's position. */
    public static byte[] finish(ByteBuffer out) {
        out.putInt(checksum(out.array(), out.position()));
        while (out.position() % ALIGNMENT_BYTES != LENGTH_REMAINDER) {
            out.put((byte) 0);
        }
        byte[] datagram = new byte[out.position()];
        out.flip().get(datagram);
        return datagram;
    }

    /** Returns whether a datagram may be of a kind, of any version. */
    public static boolean hasKind(byte[] datagram, int kind) {
        return datagram.length >= LENGTH_REMAINDER && datagram.length % ALIGNMENT_BYTES == LENGTH_REMAINDER
                && datagram[0] == (byte) kind;
    }

    /**
     * Returns the contents of a datagram, from the buffer's position to its limit; empty if the datagram has another
     * kind or version or is corrupt.
     */
    public static Optional<ByteBuffer> open(byte[] datagram, int kind, int version) {
        if (!hasKind(datagram, kind) || datagram.length < HEADER_BYTES + CHECKSUM_BYTES
                || datagram[1] != (byte) version) {
            return Optional.empty();
        }
        for (int pad = 0; pad < ALIGNMENT_BYTES; pad++) {
            int length = datagram.length - CHECKSUM_BYTES - pad;
            if (length >= HEADER_BYTES && ByteBuffer.wrap(datagram).getInt(length) == checksum(datagram, length)) {
                return Optional.of(ByteBuffer.wrap(datagram, HEADER_BYTES, length - HEADER_BYTES).slice());
            }
        }
        return Optional.empty();
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
