package ridgemill.version;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.lease.DatagramFrame;

/** What proxies tell each other of versions, as {@link DatagramFrame} datagrams. */
public final class SummaryWire {

    /** So many summaries fit into a datagram. */
    public static final int MAX_SUMMARIES = 2;
    /** So many signs of life fit beside these. */
    public static final int MAX_HEARTBEATS = 7;
    private static final byte KIND = 'A';
    private static final byte VERSION = 1;

    private SummaryWire() { }

    /** What a proxy says that understands this, to one of which it does not know that it does: too short to be taken for a key. */
    public static byte[] hello() {
        return new byte[] {KIND, VERSION, 0};
    }

    /** Whether a datagram is that. */
    public static boolean isHello(byte[] datagram) {
        return datagram.length == hello().length && datagram[0] == KIND;
    }

    /** Puts it into a datagram. */
    public static byte[] encode(Gossip gossip) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION).put((byte) gossip.summaries().size()).put((byte) gossip.heartbeats().size());
        for (Summary s : gossip.summaries()) {
            out.putShort((short) s.member()).putInt(s.incarnation()).putInt(s.sequence()).putLong(s.startedMs()).putInt(s.build())
                    .putInt(s.platform()).putLong(s.fileNumber()).putLong(s.fileDigest()).putInt((int) Math.min(Integer.MAX_VALUE, s.inEffectMs()))
                    .putInt(s.entries()).putLong(s.chainDigest()).putLong(s.begun()).putLong(s.served()).putInt((int) s.refusedFile())
                    .put((byte) (s.outOfService() ? 1 : 0)).putInt(s.hostListNumber()).put((byte) s.hostListLateS());
        }
        gossip.heartbeats().forEach(a -> out.putShort((short) a.member()).putShort(a.incarnation()).putInt(a.sequence()).putShort(a.fileChecksum()));
        return DatagramFrame.finish(out);
    }

    /** What a datagram says; empty where it is no such datagram, of another version or spoilt. */
    public static Optional<Gossip> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                int summaries = in.get();
                int living = in.get();
                List<Summary> all = new ArrayList<>();
                for (int i = 0; i < summaries; i++) {
                    all.add(new Summary(in.getShort(), in.getInt(), in.getInt(), in.getLong(), in.getInt(), in.getInt(), in.getLong(), in.getLong(),
                            in.getInt(), in.getInt(), in.getLong(), in.getLong(), in.getLong(), in.getInt(), in.get() != 0,
                            in.getInt(), in.get() & 0xff));
                }
                List<Gossip.Heartbeat> alive = new ArrayList<>();
                for (int i = 0; i < living; i++) {
                    alive.add(new Gossip.Heartbeat(in.getShort(), in.getShort(), in.getInt(), in.getShort()));
                }
                return Optional.of(new Gossip(all, alive));
            } catch (BufferUnderflowException e) {
                return Optional.empty();
            }
        });
    }
}
