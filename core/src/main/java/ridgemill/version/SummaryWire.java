package ridgemill.version;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.lease.DatagramFrame;

/** Encodes gossip as {@link DatagramFrame} datagrams. */
public final class SummaryWire {

    /** Maximum number of summaries in a datagram. */
    public static final int MAX_SUMMARIES = 2;
    /** Maximum number of heartbeats in a datagram beside these. */
    public static final int MAX_HEARTBEATS = 7;
    private static final byte KIND = 'A';
    private static final byte VERSION = 1;

    private SummaryWire() { }

    /**
     * Returns the datagram by which a proxy announces its support to a peer that may not support gossip. It is too
     * short to be taken for a key.
     */
    public static byte[] hello() {
        return new byte[] {KIND, VERSION, 0};
    }

    /** Returns whether a datagram is such an announcement. */
    public static boolean isHello(byte[] datagram) {
        return datagram.length == hello().length && datagram[0] == KIND;
    }

    /** Encodes the contents of a datagram. */
    public static byte[] encode(Gossip gossip) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION).put((byte) gossip.summaries().size())
                .put((byte) gossip.heartbeats().size());
        for (Summary s : gossip.summaries()) {
            out.putShort((short) s.member()).putInt(s.incarnation()).putInt(s.sequence()).putLong(s.startedMs())
                    .putInt(s.build()).putInt(s.platform()).putLong(s.fileNumber()).putLong(s.fileDigest())
                    .putInt((int) Math.min(Integer.MAX_VALUE, s.inEffectMs()))
                    .putInt(s.entries()).putLong(s.chainDigest()).putLong(s.begun()).putLong(s.served())
                    .putInt((int) s.refusedFile())
                    .put((byte) (s.outOfService() ? 1 : 0)).putInt(s.hostListNumber()).put((byte) s.hostListLateS());
        }
        gossip.heartbeats().forEach(heartbeat -> out.putShort((short) heartbeat.member())
                .putShort(heartbeat.incarnation()).putInt(heartbeat.sequence()).putShort(heartbeat.fileChecksum()));
        return DatagramFrame.finish(out);
    }

    /** Decodes a datagram; empty if it is of another kind or version or is corrupt. */
    public static Optional<Gossip> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                int summaryCount = in.get();
                int heartbeatCount = in.get();
                List<Summary> summaries = new ArrayList<>();
                for (int i = 0; i < summaryCount; i++) {
                    summaries.add(new Summary(in.getShort(), in.getInt(), in.getInt(), in.getLong(), in.getInt(),
                            in.getInt(), in.getLong(), in.getLong(), in.getInt(), in.getInt(), in.getLong(),
                            in.getLong(), in.getLong(), in.getInt(), in.get() != 0, in.getInt(), in.get() & 0xff));
                }
                List<Gossip.Heartbeat> heartbeats = new ArrayList<>();
                for (int i = 0; i < heartbeatCount; i++) {
                    heartbeats.add(new Gossip.Heartbeat(in.getShort(), in.getShort(), in.getInt(), in.getShort()));
                }
                return Optional.of(new Gossip(summaries, heartbeats));
            } catch (BufferUnderflowException e) {
                return Optional.empty();
            }
        });
    }
}
