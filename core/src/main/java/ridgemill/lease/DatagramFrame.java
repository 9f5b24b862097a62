package ridgemill.lease;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Datagrams of what is done under leases: a kind, a version, contents, a check sum (CRC-32), and bytes of nothing up to a length of
 * which four leave three. So none is taken for one of the decisions' own, which are whole numbers of four, or for a call for room.
 */
public final class DatagramFrame {

    /** What a datagram may have. */
    public static final int MAX_BYTES = 256;
    private static final int HEADER_BYTES = 2;
    private static final int CHECKSUM_BYTES = 4;
    private static final int ALIGNMENT_BYTES = 4;
    private static final int LENGTH_REMAINDER = 3;
    /** What {@link #finish} adds to contents at most. */
    public static final int MAX_TRAILER_BYTES = CHECKSUM_BYTES + ALIGNMENT_BYTES - 1;
    /** What contents may have, whatever they are; a whole number of grains is kept for the end. */
    public static final int MAX_CONTENT_BYTES = MAX_BYTES - HEADER_BYTES - CHECKSUM_BYTES - ALIGNMENT_BYTES;

    private DatagramFrame() { }

    /** A datagram that has been begun: contents may be put after what it has. */
    public static ByteBuffer begin(int kind, int version) {
        return ByteBuffer.allocate(MAX_BYTES).put((byte) kind).put((byte) version);
    }

    /** Ends a datagram, whose contents end where its position is. */
    public static byte[] finish(ByteBuffer out) {
        out.putInt(checksum(out.array(), out.position()));
        while (out.position() % ALIGNMENT_BYTES != LENGTH_REMAINDER) {
            out.put((byte) 0);
        }
        byte[] datagram = new byte[out.position()];
        out.flip().get(datagram);
        return datagram;
    }

    /** Whether a datagram may be of a kind, of whatever version. */
    public static boolean hasKind(byte[] datagram, int kind) {
        return datagram.length >= LENGTH_REMAINDER && datagram.length % ALIGNMENT_BYTES == LENGTH_REMAINDER && datagram[0] == (byte) kind;
    }

    /** The contents of a datagram, from its first position to its limit; empty where it is of another kind or version, or spoilt. */
    public static Optional<ByteBuffer> open(byte[] datagram, int kind, int version) {
        if (!hasKind(datagram, kind) || datagram.length < HEADER_BYTES + CHECKSUM_BYTES || datagram[1] != (byte) version) {
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
