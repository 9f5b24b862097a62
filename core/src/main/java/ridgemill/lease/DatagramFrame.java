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
    private static final int HEAD = 2;
    private static final int SUM = 4;
    private static final int GRAIN = 4;
    private static final int REST = 3;
    /** What {@link #finish} adds to contents at most. */
    public static final int MAX_TRAILER_BYTES = SUM + GRAIN - 1;
    /** What contents may have, whatever they are; a whole number of grains is kept for the end. */
    public static final int MAX_CONTENT_BYTES = MAX_BYTES - HEAD - SUM - GRAIN;

    private DatagramFrame() { }

    /** A datagram that has been begun: contents may be put after what it has. */
    public static ByteBuffer begin(int kind, int version) {
        return ByteBuffer.allocate(MAX_BYTES).put((byte) kind).put((byte) version);
    }

    /** Ends a datagram, whose contents end where its position is. */
    public static byte[] finish(ByteBuffer out) {
        out.putInt(sum(out.array(), out.position()));
        while (out.position() % GRAIN != REST) {
            out.put((byte) 0);
        }
        byte[] datagram = new byte[out.position()];
        out.flip().get(datagram);
        return datagram;
    }

    /** Whether a datagram may be of a kind, of whatever version. */
    public static boolean hasKind(byte[] datagram, int kind) {
        return datagram.length >= REST && datagram.length % GRAIN == REST && datagram[0] == (byte) kind;
    }

    /** The contents of a datagram, from its first position to its limit; empty where it is of another kind or version, or spoilt. */
    public static Optional<ByteBuffer> open(byte[] datagram, int kind, int version) {
        if (!hasKind(datagram, kind) || datagram.length < HEAD + SUM || datagram[1] != (byte) version) {
            return Optional.empty();
        }
        for (int pad = 0; pad < GRAIN; pad++) {
            int length = datagram.length - SUM - pad;
            if (length >= HEAD && ByteBuffer.wrap(datagram).getInt(length) == sum(datagram, length)) {
                return Optional.of(ByteBuffer.wrap(datagram, HEAD, length - HEAD).slice());
            }
        }
        return Optional.empty();
    }

    private static int sum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }
}
