package ridgemill.probing;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.lease.DatagramFrame;

/** What is said of probes, as {@link DatagramFrame} datagrams. */
public final class ProbeCodec {

    /** So many nodes are asked for at most; what is more waits until some of them are back. */
    public static final int MAX_NODES = 48;
    private static final byte KIND = 'P';
    private static final byte VERSION = 1;
    private static final byte REQUEST = 0;
    private static final byte RESULT = 1;

    /** What a datagram may say. */
    public sealed interface Message { }

    /**
     * Its sender spares these and wants to be told of them.
     *
     * @param timestamp its own time; given back with what it is told
     * @param nodes what stands for their names
     */
    public record ProbeRequest(int timestamp, List<Integer> nodes) implements Message {

        public ProbeRequest {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * A probe has ended.
     *
     * @param term under which it was told
     * @param sequence grows with each telling of a term
     * @param echoTimestamp the last that the teller had heard from this listener when it began the probe
     * @param node what stands for its name
     * @param answered whether it did
     * @param durationMs how long that took
     */
    public record ProbeResult(long term, int sequence, int echoTimestamp, int node, boolean answered, int durationMs) implements Message { }

    private ProbeCodec() { }

    /** Puts something into a datagram. */
    public static byte[] encode(Message said) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION);
        if (said instanceof ProbeRequest a) {
            List<Integer> nodes = a.nodes().subList(0, Math.min(MAX_NODES, a.nodes().size()));
            out.put(REQUEST).putInt(a.timestamp()).put((byte) nodes.size());
            nodes.forEach(out::putInt);
        } else if (said instanceof ProbeResult t) {
            out.put(RESULT).putLong(t.term()).putInt(t.sequence()).putInt(t.echoTimestamp()).putInt(t.node()).put((byte) (t.answered() ? 1 : 0))
                    .putShort((short) Math.min(Short.MAX_VALUE, t.durationMs()));
        }
        return DatagramFrame.finish(out);
    }

    /** Reads a datagram; empty where it says nothing of probes, is of another version or spoilt. */
    public static Optional<Message> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                byte what = in.get();
                if (what == REQUEST) {
                    int mark = in.getInt();
                    List<Integer> nodes = new ArrayList<>();
                    for (int i = in.get(); i > 0; i--) {
                        nodes.add(in.getInt());
                    }
                    return Optional.of(new ProbeRequest(mark, nodes));
                }
                return what == RESULT ? Optional.of(new ProbeResult(in.getLong(), in.getInt(), in.getInt(), in.getInt(), in.get() == 1, in.getShort()))
                        : Optional.empty();
            } catch (BufferUnderflowException e) {
                return Optional.empty();
            }
        });
    }
}
