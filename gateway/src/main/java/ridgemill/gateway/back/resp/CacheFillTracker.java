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
 * Which copies the gateway stores at nodes that do not fill themselves. A read that missed at a node and was answered by
 * the store leaves a copy there, for so long at most; a write drops the copies of its key. A copy is not stored if this
 * gateway has written the key since the read missed, as the store's answer may be older than the write; another gateway's
 * write is not known here, which is why a copy has an end.
 */
final class CacheFillTracker {

    /** Reads that missed and keys that were written, of which so many are remembered. */
    private static final int MAX_ENTRIES = 4096;

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
    /** Writes up to this one may have been forgotten: a read that missed before it leaves no copy. */
    private long lastEvictedWrite;

    CacheFillTracker(double ttlMs) {
        this.ttlMs = Math.max(1, Math.round(ttlMs));
    }

    void recordMiss(String request, String node, String key) {
        misses.put(request, new MissRecord(node, writeCount));
    }

    /** A write of this key has ended; {@code mayHaveRun} says whether it can have changed anything. */
    void recordWrite(String key, boolean mayHaveRun) {
        if (mayHaveRun) {
            if (lastWriteByKey.size() == MAX_ENTRIES && !lastWriteByKey.containsKey(key)) {
                lastEvictedWrite = Math.max(lastEvictedWrite, lastWriteByKey.values().iterator().next());
            }
            lastWriteByKey.remove(key);
            lastWriteByKey.put(key, ++writeCount);
        }
    }

    /** The node where the read's copy belongs; null where it is to leave none. */
    String takeFillNode(String request, String key) {
        MissRecord m = misses.remove(request);
        return m == null || m.writesSeen() < lastEvictedWrite || lastWriteByKey.getOrDefault(key, 0L) > m.writesSeen() ? null : m.node();
    }

    Resp storeCommand(String target, ByteBuf value) {
        return new Resp.Array(List.of(Resp.blob("SET"), new Resp.Blob(Unpooled.wrappedBuffer(Targets.key(target))),
                new Resp.Blob(Unpooled.copiedBuffer(value)), Resp.blob("PX"), Resp.blob(Long.toString(ttlMs))));
    }

    Resp deleteCommand(String target) {
        return new Resp.Array(List.of(new Resp.Blob(Unpooled.copiedBuffer("DEL", StandardCharsets.US_ASCII)),
                new Resp.Blob(Unpooled.wrappedBuffer(Targets.key(target)))));
    }
}
