package ridgemill.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Texts that a proxy has whole, and pieces of those that it fetches. Bounded: of many the one that was put first goes, but for the one that is held. */
final class TextStore {

    /** A proxy's own, a roll's two, and one that a straggler takes. */
    private static final int MAX_TEXTS = 5;

    private final Map<Long, byte[]> texts = new LinkedHashMap<>();
    private final Map<Long, byte[][]> partialTexts = new LinkedHashMap<>();
    private long pinnedHash;

    /** A whole text. */
    void put(FileFingerprint stamp, String text) {
        store(stamp.hashHigh(), text.getBytes(StandardCharsets.UTF_8));
    }

    /** This one stays, in place of the one that was held before: others may want it, and the way back is made of it. */
    void pin(FileFingerprint stamp) {
        pinnedHash = stamp.hashHigh();
    }

    private void store(long high, byte[] text) {
        texts.remove(high);
        texts.put(high, text);
        if (texts.size() > MAX_TEXTS) {
            texts.keySet().stream().filter(h -> h != pinnedHash).findFirst().ifPresent(texts::remove);
        }
    }

    /** A text that is here whole; null for one that is not. */
    String text(FileFingerprint stamp) {
        byte[] text = texts.get(stamp.hashHigh());
        return text == null ? null : new String(text, StandardCharsets.UTF_8);
    }

    /** Which pieces of a text are still to be had, so many at most; none where it is whole. */
    List<Integer> missingChunks(FileFingerprint stamp, int most) {
        List<Integer> missing = new ArrayList<>();
        if (texts.containsKey(stamp.hashHigh())) {
            return missing;
        }
        byte[][] got = partialTexts.computeIfAbsent(stamp.hashHigh(), h -> new byte[chunks(stamp.lengthBytes())][]);
        if (partialTexts.size() > MAX_TEXTS) {
            partialTexts.remove(partialTexts.keySet().iterator().next());
        }
        for (int i = 0; i < got.length && missing.size() < most; i++) {
            if (got[i] == null) {
                missing.add(i);
            }
        }
        return missing;
    }

    private static int chunks(int bytes) {
        return (bytes + RolloutWire.CHUNK_BYTES - 1) / RolloutWire.CHUNK_BYTES;
    }

    /** A piece that was asked for; what does not fit is dropped. Once all are there and are not the text, all are forgotten. */
    void addChunk(FileFingerprint stamp, RolloutMessage.Chunk piece) {
        byte[][] got = partialTexts.get(piece.hashHigh());
        byte[] bytes = piece.bytes();
        if (got == null || piece.hashHigh() != stamp.hashHigh() || piece.index() < 0 || piece.index() >= got.length
                || bytes.length != Math.min(RolloutWire.CHUNK_BYTES, stamp.lengthBytes() - piece.index() * RolloutWire.CHUNK_BYTES)) {
            return;
        }
        got[piece.index()] = bytes;
        if (Arrays.stream(got).allMatch(p -> p != null)) {
            partialTexts.remove(stamp.hashHigh());
            ByteBuffer all = ByteBuffer.allocate(stamp.lengthBytes());
            Arrays.stream(got).forEach(all::put);
            if (stamp.matchesBytes(all.array())) {
                store(stamp.hashHigh(), all.array());
            }
        }
    }

    /** The pieces that somebody wants, of what is here whole. */
    List<RolloutMessage.Chunk> chunks(RolloutMessage.ChunkRequest want) {
        byte[] text = texts.get(want.hashHigh());
        List<RolloutMessage.Chunk> pieces = new ArrayList<>();
        if (text != null) {
            want.indexes().stream().filter(i -> i >= 0 && i < chunks(text.length)).limit(RolloutWire.MAX_CHUNKS_PER_REQUEST).forEach(i -> pieces.add(
                    new RolloutMessage.Chunk(want.hashHigh(), i, Arrays.copyOfRange(text, i * RolloutWire.CHUNK_BYTES, Math.min(text.length, (i + 1) * RolloutWire.CHUNK_BYTES)))));
        }
        return pieces;
    }
}
