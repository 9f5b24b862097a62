package ridgemill.rollout;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ridgemill.lease.DatagramFrame;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;
import ridgemill.rollout.RolloutMessage.Progress;

/** What proxies tell each other of rolls, as {@link DatagramFrame} datagrams. */
public final class RolloutWire {

    /** What a piece of a text may have. */
    public static final int CHUNK_BYTES = 216;
    /** So many pieces are asked for in one datagram. */
    public static final int MAX_CHUNKS_PER_REQUEST = 24;
    private static final byte KIND = 'V';
    private static final byte VERSION = 1;
    /** Of the reason for which a text is refused; the rest is cut off. */
    private static final int MOST_REASON = 72;
    private static final int STAGED = 1;
    private static final int OUT = 2;

    private enum What { CALL, REPORT, ORDER, WANT, PIECE, SEEK, SETTLED }

    private RolloutWire() { }

    /** Puts it into a datagram. */
    public static byte[] encode(RolloutMessage word) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION);
        if (word instanceof RolloutMessage.ReportRequest c) {
            begin(out, What.CALL).putLong(c.term());
        } else if (word instanceof RolloutMessage.Report r) {
            begin(out, What.REPORT).putInt(r.timestamp()).putInt(r.incarnation()).putInt(r.version().number()).putLong(r.version().digest())
                    .putInt(r.served()).putInt(r.ended()).put((byte) ((r.staged() ? STAGED : 0) | (r.outOfService() ? OUT : 0))).put((byte) (r.progress() == null ? 0 : 1));
            if (r.progress() != null) {
                put(out, r.progress());
            }
            byte[] why = r.rejection() == null ? new byte[0] : r.rejection().getBytes(StandardCharsets.US_ASCII);
            int length = Math.min(MOST_REASON, why.length);
            out.put((byte) (r.rejection() == null ? -1 : length)).put(why, 0, length);
        } else if (word instanceof RolloutMessage.Order o) {
            put(begin(out, What.ORDER).putInt(o.echoedTimestamp()).putInt(o.incarnation()).put((byte) o.action().ordinal()), o.progress());
        } else if (word instanceof RolloutMessage.ChunkRequest w) {
            begin(out, What.WANT).putLong(w.hashHigh()).put((byte) w.indexes().size());
            w.indexes().forEach(i -> out.putShort(i.shortValue()));
        } else if (word instanceof RolloutMessage.Chunk p) {
            begin(out, What.PIECE).putLong(p.hashHigh()).putShort((short) p.index()).putShort((short) p.bytes().length).put(p.bytes());
        } else if (word instanceof RolloutMessage.VersionQuery s) {
            begin(out, What.SEEK).putInt(s.number());
        } else if (word instanceof RolloutMessage.VersionReply s) {
            put(begin(out, What.SETTLED), s.fingerprint());
        }
        return DatagramFrame.finish(out);
    }

    private static ByteBuffer begin(ByteBuffer out, What what) {
        return out.put((byte) what.ordinal());
    }

    private static void put(ByteBuffer out, FileFingerprint s) {
        out.putInt(s.number()).putLong(s.digest()).putLong(s.hashHigh()).putLong(s.hashLow()).putInt(s.lengthBytes());
    }

    private static void put(ByteBuffer out, Progress s) {
        out.putInt(s.plan().base().number()).putLong(s.plan().base().digest());
        put(out, s.plan().target());
        put(out, s.plan().rollback());
        out.putLong(s.term()).putInt(s.sequence()).put((byte) s.action().ordinal()).put((byte) s.step()).put((byte) (s.finished() ? 1 : 0));
    }

    private static FileFingerprint stamp(ByteBuffer in) {
        FileFingerprint stamp = new FileFingerprint(in.getInt(), in.getLong(), in.getLong(), in.getLong(), in.getInt());
        if (stamp.lengthBytes() < 0 || stamp.lengthBytes() > FileFingerprint.MAX_BYTES) {
            throw new IllegalArgumentException("a text of " + stamp.lengthBytes() + " bytes");
        }
        return stamp;
    }

    private static Progress stage(ByteBuffer in) {
        Plan plan = new Plan(new FileVersion(in.getInt(), in.getLong()), stamp(in), stamp(in));
        return new Progress(plan, in.getLong(), in.getInt(), Action.values()[in.get()], in.get(), in.get() != 0);
    }

    /** What a datagram says; empty where it is no such datagram, of another version or spoilt. */
    public static Optional<RolloutMessage> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                return Optional.of(word(in));
            } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
                return Optional.empty();
            }
        });
    }

    private static RolloutMessage word(ByteBuffer in) {
        return switch (What.values()[in.get()]) {
            case CALL -> new RolloutMessage.ReportRequest(in.getLong());
            case REPORT -> {
                int mark = in.getInt();
                int incarnation = in.getInt();
                FileVersion acting = new FileVersion(in.getInt(), in.getLong());
                int served = in.getInt();
                int ended = in.getInt();
                int flags = in.get();
                Progress stage = in.get() == 0 ? null : stage(in);
                int length = in.get();
                String refused = length < 0 ? null : text(in, length);
                yield new RolloutMessage.Report(mark, incarnation, acting, stage, (flags & STAGED) != 0, refused, (flags & OUT) != 0, served, ended);
            }
            case ORDER -> {
                int mark = in.getInt();
                int incarnation = in.getInt();
                Action what = Action.values()[in.get()];
                yield new RolloutMessage.Order(mark, incarnation, stage(in), what);
            }
            case WANT -> {
                long high = in.getLong();
                List<Integer> indexes = new ArrayList<>();
                for (int left = in.get(); left > 0; left--) {
                    indexes.add((int) in.getShort());
                }
                yield new RolloutMessage.ChunkRequest(high, indexes);
            }
            case PIECE -> {
                long high = in.getLong();
                int index = in.getShort();
                byte[] bytes = new byte[Math.max(0, in.getShort())];
                in.get(bytes);
                yield new RolloutMessage.Chunk(high, index, bytes);
            }
            case SEEK -> new RolloutMessage.VersionQuery(in.getInt());
            case SETTLED -> new RolloutMessage.VersionReply(stamp(in));
        };
    }

    private static String text(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
