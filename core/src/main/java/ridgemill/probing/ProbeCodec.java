package ridgemill.probing;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.lease.DatagramFrame;

/** Encodes requests for probes and their results as {@link DatagramFrame} datagrams. */
public final class ProbeCodec {

    /** The number of nodes in one request; further ones wait until some of these are back. */
    public static final int MAX_NODES = 48;
    private static final byte KIND = 'P';
    private static final byte VERSION = 1;
    private static final byte REQUEST = 0;
    private static final byte RESULT = 1;

    /** The content of a datagram. */
    public sealed interface Message { }

    /**
     * Reports unreachable nodes and asks for the results of probes.
     *
     * @param timestamp the sender's own time, echoed in the results
     * @param nodes hashes of the nodes' names
     */
    public record ProbeRequest(int timestamp, List<Integer> nodes) implements Message {

        public ProbeRequest {
            nodes = List.copyOf(nodes);
        }
    }

    /**
     * The result of a probe.
     *
     * @param term under which it was sent
     * @param sequence numbers the results of a term, increasing
     * @param echoTimestamp the last timestamp that the prober had received from this subscriber when it began the probe
     * @param node hash of the node's name
     * @param answered whether the node answered
     * @param durationMs how long the probe took
     */
    public record ProbeResult(long term, int sequence, int echoTimestamp, int node, boolean answered,
                              int durationMs) implements Message { }

    private ProbeCodec() { }

    /** Encodes a message. */
    public static byte[] encode(Message message) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION);
        if (message instanceof ProbeRequest request) {
            List<Integer> nodes = request.nodes().subList(0, Math.min(MAX_NODES, request.nodes().size()));
            out.put(REQUEST).putInt(request.timestamp()).put((byte) nodes.size());
            nodes.forEach(out::putInt);
        } else if (message instanceof ProbeResult result) {
            out.put(RESULT).putLong(result.term()).putInt(result.sequence()).putInt(result.echoTimestamp())
                    .putInt(result.node())
                    .put((byte) (result.answered() ? 1
                    : 0)).putShort((short) Math.min(Short.MAX_VALUE, result.durationMs()));
        }
        return DatagramFrame.finish(out);
    }

    /** Decodes a message; empty if the datagram is something else, of another version or corrupt. */
    public static Optional<Message> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                byte type = in.get();
                if (type == REQUEST) {
                    int timestamp = in.getInt();
                    List<Integer> nodes = new ArrayList<>();
                    for (int i = in.get(); i > 0; i--) {
                        nodes.add(in.getInt());
                    }
                    return Optional.of(new ProbeRequest(timestamp, nodes));
                }
                return type == RESULT
                        ? Optional.of(new ProbeResult(in.getLong(), in.getInt(), in.getInt(), in.getInt(),
                                in.get() == 1, in.getShort()))
                        : Optional.empty();
            } catch (BufferUnderflowException e) {
                return Optional.empty();
            }
        });
    }
}
