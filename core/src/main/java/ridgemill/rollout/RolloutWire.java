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

/** Encodes rollout messages as {@link DatagramFrame} datagrams. */
public final class RolloutWire {

    /** Size of the chunks of a text. */
    public static final int CHUNK_BYTES = 216;
    /** Maximum number of chunks requested in one datagram. */
    public static final int MAX_CHUNKS_PER_REQUEST = 24;
    private static final byte KIND = 'V';
    private static final byte VERSION = 1;
    /** Maximum size of the reason for rejecting a text; the rest is cut off. */
    private static final int MAX_REASON_BYTES = 72;
    private static final int FLAG_STAGED = 1;
    private static final int FLAG_OUT_OF_SERVICE = 2;

    private enum MessageType { REPORT_REQUEST, REPORT, ORDER, CHUNK_REQUEST, CHUNK, VERSION_QUERY, VERSION_REPLY }

    private RolloutWire() { }

    /** Encodes a message. */
    public static byte[] encode(RolloutMessage message) {
        ByteBuffer out = DatagramFrame.begin(KIND, VERSION);
        if (message instanceof RolloutMessage.ReportRequest c) {
            putType(out, MessageType.REPORT_REQUEST).putLong(c.term());
        } else if (message instanceof RolloutMessage.Report r) {
            putType(out, MessageType.REPORT).putInt(r.timestamp()).putInt(r.incarnation())
                    .putInt(r.version().number()).putLong(r.version().digest()).putInt(r.served()).putInt(r.ended())
                    .put((byte) ((r.staged() ? FLAG_STAGED : 0) | (r.outOfService() ? FLAG_OUT_OF_SERVICE : 0)))
                    .put((byte) (r.progress() == null ? 0 : 1));
            if (r.progress() != null) {
                put(out, r.progress());
            }
            byte[] reason = r.rejection() == null ? new byte[0] : r.rejection().getBytes(StandardCharsets.US_ASCII);
            int length = Math.min(MAX_REASON_BYTES, reason.length);
            out.put((byte) (r.rejection() == null ? -1 : length)).put(reason, 0, length);
        } else if (message instanceof RolloutMessage.Order o) {
            put(putType(out, MessageType.ORDER).putInt(o.echoedTimestamp()).putInt(o.incarnation())
                    .put((byte) o.action().ordinal()), o.progress());
        } else if (message instanceof RolloutMessage.ChunkRequest w) {
            putType(out, MessageType.CHUNK_REQUEST).putLong(w.hashHigh()).put((byte) w.indexes().size());
            w.indexes().forEach(i -> out.putShort(i.shortValue()));
        } else if (message instanceof RolloutMessage.Chunk p) {
            putType(out, MessageType.CHUNK).putLong(p.hashHigh()).putShort((short) p.index())
                    .putShort((short) p.bytes().length).put(p.bytes());
        } else if (message instanceof RolloutMessage.VersionQuery s) {
            putType(out, MessageType.VERSION_QUERY).putInt(s.number());
        } else if (message instanceof RolloutMessage.VersionReply s) {
            put(putType(out, MessageType.VERSION_REPLY), s.fingerprint());
        }
        return DatagramFrame.finish(out);
    }

    private static ByteBuffer putType(ByteBuffer out, MessageType type) {
        return out.put((byte) type.ordinal());
    }

    private static void put(ByteBuffer out, FileFingerprint fingerprint) {
        out.putInt(fingerprint.number()).putLong(fingerprint.digest()).putLong(fingerprint.hashHigh())
                .putLong(fingerprint.hashLow()).putInt(fingerprint.lengthBytes());
    }

    private static void put(ByteBuffer out, Progress progress) {
        out.putInt(progress.plan().base().number()).putLong(progress.plan().base().digest());
        put(out, progress.plan().target());
        put(out, progress.plan().rollback());
        out.putLong(progress.term()).putInt(progress.sequence()).put((byte) progress.action().ordinal())
                .put((byte) progress.step()).put((byte) (progress.finished() ? 1 : 0));
    }

    private static FileFingerprint readFingerprint(ByteBuffer in) {
        FileFingerprint fingerprint = new FileFingerprint(in.getInt(), in.getLong(), in.getLong(), in.getLong(),
                in.getInt());
        if (fingerprint.lengthBytes() < 0 || fingerprint.lengthBytes() > FileFingerprint.MAX_BYTES) {
            throw new IllegalArgumentException("text length out of range: " + fingerprint.lengthBytes() + " bytes");
        }
        return fingerprint;
    }

    private static Progress readProgress(ByteBuffer in) {
        Plan plan = new Plan(new FileVersion(in.getInt(), in.getLong()), readFingerprint(in), readFingerprint(in));
        return new Progress(plan, in.getLong(), in.getInt(), Action.values()[in.get()], in.get(), in.get() != 0);
    }

    /** Decodes a datagram; empty if it is of another kind or version or is corrupt. */
    public static Optional<RolloutMessage> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION).flatMap(in -> {
            try {
                return Optional.of(readMessage(in));
            } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
                return Optional.empty();
            }
        });
    }

    private static RolloutMessage readMessage(ByteBuffer in) {
        return switch (MessageType.values()[in.get()]) {
            case REPORT_REQUEST -> new RolloutMessage.ReportRequest(in.getLong());
            case REPORT -> {
                int timestamp = in.getInt();
                int incarnation = in.getInt();
                FileVersion version = new FileVersion(in.getInt(), in.getLong());
                int served = in.getInt();
                int ended = in.getInt();
                int flags = in.get();
                Progress progress = in.get() == 0 ? null : readProgress(in);
                int length = in.get();
                String rejection = length < 0 ? null : readText(in, length);
                yield new RolloutMessage.Report(timestamp, incarnation, version, progress,
                        (flags & FLAG_STAGED) != 0, rejection, (flags & FLAG_OUT_OF_SERVICE) != 0, served, ended);
            }
            case ORDER -> {
                int timestamp = in.getInt();
                int incarnation = in.getInt();
                Action action = Action.values()[in.get()];
                yield new RolloutMessage.Order(timestamp, incarnation, readProgress(in), action);
            }
            case CHUNK_REQUEST -> {
                long hashHigh = in.getLong();
                List<Integer> indexes = new ArrayList<>();
                for (int left = in.get(); left > 0; left--) {
                    indexes.add((int) in.getShort());
                }
                yield new RolloutMessage.ChunkRequest(hashHigh, indexes);
            }
            case CHUNK -> {
                long hashHigh = in.getLong();
                int index = in.getShort();
                byte[] bytes = new byte[Math.max(0, in.getShort())];
                in.get(bytes);
                yield new RolloutMessage.Chunk(hashHigh, index, bytes);
            }
            case VERSION_QUERY -> new RolloutMessage.VersionQuery(in.getInt());
            case VERSION_REPLY -> new RolloutMessage.VersionReply(readFingerprint(in));
        };
    }

    private static String readText(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
