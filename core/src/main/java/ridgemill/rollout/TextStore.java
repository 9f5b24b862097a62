package ridgemill.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Complete texts, and the received chunks of texts that are being fetched. Bounded: the text that was put first is
 * evicted, except for the pinned one.
 */
final class TextStore {

    /** Room for the proxy's own text, the two of a rollout, and one to catch up with the others. */
    private static final int MAX_TEXTS = 5;

    private final Map<Long, byte[]> texts = new LinkedHashMap<>();
    private final Map<Long, byte[][]> partialTexts = new LinkedHashMap<>();
    private long pinnedHash;

    /** Stores a complete text. */
    void put(FileFingerprint fingerprint, String text) {
        store(fingerprint.hashHigh(), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Pins a text in place of the one pinned before: other members may request it, and a rollback is made from it. */
    void pin(FileFingerprint fingerprint) {
        pinnedHash = fingerprint.hashHigh();
    }

    private void store(long hashHigh, byte[] text) {
        texts.remove(hashHigh);
        texts.put(hashHigh, text);
        if (texts.size() > MAX_TEXTS) {
            texts.keySet().stream().filter(h -> h != pinnedHash).findFirst().ifPresent(texts::remove);
        }
    }

    /** Returns a text; null if it is not complete here. */
    String text(FileFingerprint fingerprint) {
        byte[] text = texts.get(fingerprint.hashHigh());
        return text == null ? null : new String(text, StandardCharsets.UTF_8);
    }

    /** Returns the indexes of up to {@code maxChunks} missing chunks of a text; none if it is complete. */
    List<Integer> missingChunks(FileFingerprint fingerprint, int maxChunks) {
        List<Integer> missing = new ArrayList<>();
        if (texts.containsKey(fingerprint.hashHigh())) {
            return missing;
        }
        byte[][] received = partialTexts.computeIfAbsent(fingerprint.hashHigh(),
                h -> new byte[chunkCount(fingerprint.lengthBytes())][]);
        if (partialTexts.size() > MAX_TEXTS) {
            partialTexts.remove(partialTexts.keySet().iterator().next());
        }
        for (int i = 0; i < received.length && missing.size() < maxChunks; i++) {
            if (received[i] == null) {
                missing.add(i);
            }
        }
        return missing;
    }

    private static int chunkCount(int lengthBytes) {
        return (lengthBytes + RolloutWire.CHUNK_BYTES - 1) / RolloutWire.CHUNK_BYTES;
    }

    /**
     * Adds a requested chunk; drops it if it does not fit. If the completed text does not match its fingerprint,
     * discards all chunks.
     */
    void addChunk(FileFingerprint fingerprint, RolloutMessage.Chunk chunk) {
        byte[][] received = partialTexts.get(chunk.hashHigh());
        byte[] bytes = chunk.bytes();
        if (received == null || chunk.hashHigh() != fingerprint.hashHigh() || chunk.index() < 0
                || chunk.index() >= received.length
                || bytes.length != Math.min(RolloutWire.CHUNK_BYTES,
                        fingerprint.lengthBytes() - chunk.index() * RolloutWire.CHUNK_BYTES)) {
            return;
        }
        received[chunk.index()] = bytes;
        if (Arrays.stream(received).allMatch(p -> p != null)) {
            partialTexts.remove(fingerprint.hashHigh());
            ByteBuffer all = ByteBuffer.allocate(fingerprint.lengthBytes());
            Arrays.stream(received).forEach(all::put);
            if (fingerprint.matchesBytes(all.array())) {
                store(fingerprint.hashHigh(), all.array());
            }
        }
    }

    /** Returns the requested chunks of a text that is complete here. */
    List<RolloutMessage.Chunk> chunks(RolloutMessage.ChunkRequest request) {
        byte[] text = texts.get(request.hashHigh());
        List<RolloutMessage.Chunk> result = new ArrayList<>();
        if (text != null) {
            request.indexes().stream().filter(i -> i >= 0 && i < chunkCount(text.length))
                    .limit(RolloutWire.MAX_CHUNKS_PER_REQUEST)
                    .forEach(i -> result.add(new RolloutMessage.Chunk(request.hashHigh(), i, Arrays.copyOfRange(text,
                            i * RolloutWire.CHUNK_BYTES, Math.min(text.length, (i + 1) * RolloutWire.CHUNK_BYTES)))));
        }
        return result;
    }
}
