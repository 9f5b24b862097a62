package ridgemill.connections;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;

/**
 * Messages by which one proxy asks the others to release idle connections to a node that has reached its connection
 * limit. A kept-alive connection is harmless if one proxy keeps it. If all do, some proxies hold every slot of the
 * node, idle most of the time, and the node rejects the others again and again, which the holders do not notice. A
 * proxy that is rejected on a new connection therefore sends a release request, and each proxy that receives it closes
 * its long idle connections to the node. Requests are neither answered nor tracked; if one is lost, the next rejection
 * causes another.
 *
 * <p>A request has five bytes: a message type, and a hash of the node's name. It cannot be confused with the messages
 * of the routing policy, whose lengths are multiples of four. This class does no I/O and reads no clock; times are in
 * milliseconds.
 */
public final class ConnectionReleaseRequests {

    /** Connections that have been idle for longer than this are closed when a release is requested. */
    public static final double IDLE_THRESHOLD_MS = 300;
    /**
     * Minimum interval between requests for the same node: a request takes some time to arrive and to have an effect.
     */
    private static final double MIN_INTERVAL_MS = 100;
    private static final byte TYPE = 'R';
    private static final int LENGTH_BYTES = 1 + Integer.BYTES;
    /** With more nodes than this, those whose minimum interval has passed are forgotten. */
    private static final int MAX_NODES = 4096;

    private final Map<String, Double> lastRequestMs = new HashMap<>();

    /**
     * Called when a node rejected an attempt on a connection that was opened for it; a rejection on a reused connection
     * has other causes than the connection limit. Returns the request to send to the other proxies, or null if none is
     * due.
     */
    public byte[] connectionRejected(String node, double nowMs) {
        Double lastMs = lastRequestMs.get(node);
        if (lastMs != null && nowMs - lastMs < MIN_INTERVAL_MS) {
            return null;
        }
        if (lastRequestMs.size() >= MAX_NODES) {
            lastRequestMs.values().removeIf(atMs -> nowMs - atMs >= MIN_INTERVAL_MS);
        }
        lastRequestMs.put(node, nowMs);
        return ByteBuffer.allocate(LENGTH_BYTES).put(TYPE).putInt(hash(node)).array();
    }

    /** Whether a message from another proxy is a release request. */
    public static boolean isReleaseRequest(byte[] message) {
        return message.length == LENGTH_BYTES && message[0] == TYPE;
    }

    /** Whether a message is a release request for this node. */
    public static boolean isForNode(byte[] message, String node) {
        return isReleaseRequest(message) && ByteBuffer.wrap(message, 1, Integer.BYTES).getInt() == hash(node);
    }

    private static int hash(String node) {
        // String.hashCode is the same in every JVM. The multiplication spreads it, because node names differ in few
        // places.
        int h = node.hashCode() * 0x9e3779b9;
        return h ^ (h >>> 15);
    }
}
