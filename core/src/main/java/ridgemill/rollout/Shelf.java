package ridgemill.rollout;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Texts that a proxy has whole, and pieces of those that it fetches. Bounded: of many the one that was put first goes, but for the one that is held. */
final class Shelf {

    /** A proxy's own, a roll's two, and one that a straggler takes. */
    private static final int MOST = 5;

    private final Map<Long, byte[]> whole = new LinkedHashMap<>();
    private final Map<Long, byte[][]> parts = new LinkedHashMap<>();
    private long held;

    /** A whole text. */
    void put(FileFingerprint stamp, String text) {
        keep(stamp.hashHigh(), text.getBytes(StandardCharsets.UTF_8));
    }

    /** This one stays, in place of the one that was held before: others may want it, and the way back is made of it. */
    void hold(FileFingerprint stamp) {
        held = stamp.hashHigh();
    }

    private void keep(long high, byte[] text) {
        whole.remove(high);
        whole.put(high, text);
        if (whole.size() > MOST) {
            whole.keySet().stream().filter(h -> h != held).findFirst().ifPresent(whole::remove);
        }
    }

    /** A text that is here whole; null for one that is not. */
    String text(FileFingerprint stamp) {
        byte[] text = whole.get(stamp.hashHigh());
        return text == null ? null : new String(text, StandardCharsets.UTF_8);
    }

    /** Which pieces of a text are still to be had, so many at most; none where it is whole. */
    List<Integer> missing(FileFingerprint stamp, int most) {
        List<Integer> missing = new ArrayList<>();
        if (whole.containsKey(stamp.hashHigh())) {
            return missing;
        }
        byte[][] got = parts.computeIfAbsent(stamp.hashHigh(), h -> new byte[pieces(stamp.lengthBytes())][]);
        if (parts.size() > MOST) {
            parts.remove(parts.keySet().iterator().next());
        }
        for (int i = 0; i < got.length && missing.size() < most; i++) {
            if (got[i] == null) {
                missing.add(i);
            }
        }
        return missing;
    }

    private static int pieces(int bytes) {
        return (bytes + RolloutWire.CHUNK_BYTES - 1) / RolloutWire.CHUNK_BYTES;
    }

    /** A piece that was asked for; what does not fit is dropped. Once all are there and are not the text, all are forgotten. */
    void take(FileFingerprint stamp, RolloutMessage.Chunk piece) {
        byte[][] got = parts.get(piece.hashHigh());
        byte[] bytes = piece.bytes();
        if (got == null || piece.hashHigh() != stamp.hashHigh() || piece.index() < 0 || piece.index() >= got.length
                || bytes.length != Math.min(RolloutWire.CHUNK_BYTES, stamp.lengthBytes() - piece.index() * RolloutWire.CHUNK_BYTES)) {
            return;
        }
        got[piece.index()] = bytes;
        if (Arrays.stream(got).allMatch(p -> p != null)) {
            parts.remove(stamp.hashHigh());
            ByteBuffer all = ByteBuffer.allocate(stamp.lengthBytes());
            Arrays.stream(got).forEach(all::put);
            if (stamp.matchesBytes(all.array())) {
                keep(stamp.hashHigh(), all.array());
            }
        }
    }

    /** The pieces that somebody wants, of what is here whole. */
    List<RolloutMessage.Chunk> pieces(RolloutMessage.ChunkRequest want) {
        byte[] text = whole.get(want.hashHigh());
        List<RolloutMessage.Chunk> pieces = new ArrayList<>();
        if (text != null) {
            want.indexes().stream().filter(i -> i >= 0 && i < pieces(text.length)).limit(RolloutWire.MAX_CHUNKS_PER_REQUEST).forEach(i -> pieces.add(
                    new RolloutMessage.Chunk(want.hashHigh(), i, Arrays.copyOfRange(text, i * RolloutWire.CHUNK_BYTES, Math.min(text.length, (i + 1) * RolloutWire.CHUNK_BYTES)))));
        }
        return pieces;
    }
}
