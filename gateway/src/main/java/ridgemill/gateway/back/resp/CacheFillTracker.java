package ridgemill.gateway.back.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.gateway.net.Targets;
import ridgemill.gateway.net.resp.Resp;

/**
 * Tracks which copies the gateway stores at cache nodes that do not fill themselves. After a read that missed at a node
 * and was answered by the origin, a copy is stored at that node for a limited time; a write deletes the copies of its
 * key. No copy is stored if this gateway has written the key since the read missed, as the origin's response may be
 * older than the write. Writes of other gateways are not seen here, which is why copies expire.
 */
final class CacheFillTracker {

    /** The maximum number of missed reads, and of written keys, that are remembered. */
    private static final int MAX_ENTRIES = 4096;

    /** A read that missed at {@code node} when {@code writesSeen} writes had been recorded. */
    private record MissRecord(String node, long writesSeen) { }

    private static final class Bounded<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > MAX_ENTRIES;
        }
    }

    private final long ttlMs;
    private final Map<String, MissRecord> misses = new Bounded<>();
    private final Map<String, Long> lastWriteByKey = new Bounded<>();
    private long writeCount;
    /** Writes up to this one may have been evicted: a read that missed before it leaves no copy. */
    private long lastEvictedWrite;

    CacheFillTracker(double ttlMs) {
        this.ttlMs = Math.max(1, Math.round(ttlMs));
    }

    /** Records that a read missed at a node. */
    void recordMiss(String requestId, String node, String key) {
        misses.put(requestId, new MissRecord(node, writeCount));
    }

    /** Records a write of this key; {@code mayHaveRun} says whether it can have changed the value. */
    void recordWrite(String key, boolean mayHaveRun) {
        if (mayHaveRun) {
            if (lastWriteByKey.size() == MAX_ENTRIES && !lastWriteByKey.containsKey(key)) {
                lastEvictedWrite = Math.max(lastEvictedWrite, lastWriteByKey.values().iterator().next());
            }
            lastWriteByKey.remove(key);
            lastWriteByKey.put(key, ++writeCount);
        }
    }

    /** Removes the record of a missed read and returns the node to store its copy at; null if none is to be stored. */
    String takeFillNode(String requestId, String key) {
        MissRecord miss = misses.remove(requestId);
        return miss == null || miss.writesSeen() < lastEvictedWrite
                || lastWriteByKey.getOrDefault(key, 0L) > miss.writesSeen() ? null : miss.node();
    }

    /** The command that stores a copy at a node. */
    Resp storeCommand(String target, ByteBuf value) {
        return new Resp.Array(List.of(Resp.blob("SET"), new Resp.Blob(Unpooled.wrappedBuffer(Targets.key(target))),
                new Resp.Blob(Unpooled.copiedBuffer(value)), Resp.blob("PX"), Resp.blob(Long.toString(ttlMs))));
    }

    /** The command that deletes the copy at a node. */
    Resp deleteCommand(String target) {
        return new Resp.Array(List.of(new Resp.Blob(Unpooled.copiedBuffer("DEL", StandardCharsets.US_ASCII)),
                new Resp.Blob(Unpooled.wrappedBuffer(Targets.key(target)))));
    }
}
