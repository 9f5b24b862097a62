package ridgemill.connections;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Calls of one proxy to the others for room at a node that has as many connections as it takes. A kept connection is
 * harmless where one proxy keeps it. Where all do, some hold every place of a node, idle for most of the time, and the
 * others are turned away by it again and again: those that hold see nothing of it. So who is turned away on a new
 * connection says so, and whoever hears of it closes what has long been idle there. Nobody answers or keeps count;
 * a lost call is made again at the next refusal.
 *
 * <p>A call has five bytes, by which it can't be taken for one of the decisions' own messages, whose lengths are
 * multiples of four: a kind, and a hash of the node's name. Without I/O or a clock; times are milliseconds.
 */
public final class ConnectionReleaseRequests {

    /** A connection that has been idle for longer than this is closed when its node is called for, in milliseconds. */
    public static final double IDLE_THRESHOLD_MS = 300;
    /** The same node is called for again after so long: a call takes some time to be heard and to have its effect. */
    private static final double AGAIN_MS = 100;
    private static final byte KIND = 'R';
    private static final int BYTES = 1 + Integer.BYTES;
    /** Past this many nodes those called for longest ago are forgotten. */
    private static final int MOST_NODES = 4096;

    private final Map<String, Double> called = new HashMap<>();

    /**
     * A node turned an attempt away on a connection that was opened for it; on a kept one it is not for want of places.
     * Returns the call to make, or null where none is due.
     */
    public byte[] connectionRejected(String node, double nowMs) {
        Double last = called.get(node);
        if (last != null && nowMs - last < AGAIN_MS) {
            return null;
        }
        if (called.size() >= MOST_NODES) {
            called.values().removeIf(at -> nowMs - at >= AGAIN_MS);
        }
        called.put(node, nowMs);
        return ByteBuffer.allocate(BYTES).put(KIND).putInt(hash(node)).array();
    }

    /** Whether a message of a peer is such a call. */
    public static boolean isReleaseRequest(byte[] message) {
        return message.length == BYTES && message[0] == KIND;
    }

    /** Whether a call is for this node. */
    public static boolean isForNode(byte[] call, String node) {
        return isReleaseRequest(call) && ByteBuffer.wrap(call, 1, Integer.BYTES).getInt() == hash(node);
    }

    private static int hash(String node) {
        // The text's own hash is the same in every Java machine; spread, as names differ in few places.
        int h = node.hashCode() * 0x9e3779b9;
        return h ^ (h >>> 15);
    }
}
