package ridgemill.registry;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import ridgemill.lease.DatagramFrame;
import ridgemill.membership.Instance;
import ridgemill.membership.Status;

/**
 * Encodes registry updates as {@link DatagramFrame} datagrams, and the requests for them, which are of the same kind.
 */
public final class RegistryUpdateCodec {

    /** An update of more parts is sent as a single one that makes each listener poll for itself. */
    public static final int MAX_PARTS = 8;
    private static final byte KIND = 'N';
    private static final byte VERSION = 1;
    private static final byte LISTEN = 0;
    private static final byte UPDATE = 1;
    private static final byte PUT = 1;
    private static final byte REMOVED = 2;
    private static final int UPDATE_HEADER_BYTES = 1 + 4 + 8 + 4 + 8 + 4 + 2 + 3;
    private static final int MAX_CHANGES_BYTES = DatagramFrame.MAX_CONTENT_BYTES - UPDATE_HEADER_BYTES;
    private static final int MAX_TEXT_BYTES = 255;

    private RegistryUpdateCodec() { }

    /** Whether a datagram is of this kind, of any version. */
    public static boolean isUpdate(byte[] datagram) {
        return DatagramFrame.hasKind(datagram, KIND);
    }

    /** A request for updates, whose sender understands them; {@code timestamp} is echoed in the updates. */
    public static byte[] encodeListen(int timestamp) {
        return DatagramFrame.finish(DatagramFrame.begin(KIND, VERSION).put(LISTEN).putInt(timestamp));
    }

    /** The timestamp of a request for updates; empty for any other datagram. */
    public static OptionalInt decodeListen(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION)
                .filter(in -> in.limit() == 1 + Integer.BYTES && in.get(0) == LISTEN)
                .map(in -> OptionalInt.of(in.getInt(1))).orElse(OptionalInt.empty());
    }

    /** An update in as many datagrams as it needs. */
    public static List<byte[]> encode(RegistryUpdate update, int echoTimestamp) {
        List<byte[]> parts = new ArrayList<>();
        ByteBuffer part = ByteBuffer.allocate(MAX_CHANGES_BYTES);
        int count = 0;
        boolean tooLarge = false;
        List<Integer> counts = new ArrayList<>();
        for (InstanceChange c : update.changes()) {
            byte[] bytes = encodeChange(c);
            tooLarge |= bytes.length > MAX_CHANGES_BYTES;
            if (tooLarge) {
                break;
            }
            if (bytes.length > part.remaining()) {
                parts.add(drain(part));
                counts.add(count);
                count = 0;
            }
            part.put(bytes);
            count++;
        }
        parts.add(drain(part));
        counts.add(count);
        if (tooLarge || parts.size() > MAX_PARTS) {
            parts = List.of(new byte[0]);
            counts = List.of(0);
            tooLarge = true;
        }
        List<byte[]> datagrams = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            datagrams.add(DatagramFrame.finish(DatagramFrame.begin(KIND, VERSION).put(UPDATE)
                    .putInt(update.applicationId()).putLong(update.term()).putInt(update.sequence())
                    .putLong(update.digest()).putInt(echoTimestamp)
                    .putShort((short) Math.min(Short.MAX_VALUE, update.pollDurationMs())).put((byte) i)
                    .put((byte) (tooLarge ? 0 : parts.size())).put(counts.get(i).byteValue()).put(parts.get(i))));
        }
        return datagrams;
    }

    private static byte[] drain(ByteBuffer part) {
        byte[] bytes = new byte[part.position()];
        part.flip().get(bytes);
        part.clear();
        return bytes;
    }

    private static byte[] encodeChange(InstanceChange c) {
        byte[] id = text(c.id());
        if (!(c instanceof InstanceChange.Put p)) {
            return ByteBuffer.allocate(2 + id.length).put(REMOVED).put((byte) id.length).put(id).array();
        }
        Instance i = p.instance();
        byte[] address = text(i.address());
        byte[] zone = text(i.zone());
        return ByteBuffer.allocate(5 + id.length + address.length + zone.length + 3 * Long.BYTES)
                .put(PUT).put((byte) id.length).put(id)
                .put((byte) address.length).put(address).put((byte) i.status().ordinal()).put((byte) zone.length)
                .put(zone).putDouble(i.weight()).putLong((long) i.startedAtMs()).putLong(i.changedAtMs()).array();
    }

    /** Encodes a text; one that is too long yields a change too large for any datagram. */
    private static byte[] text(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return bytes.length > MAX_TEXT_BYTES ? new byte[DatagramFrame.MAX_BYTES] : bytes;
    }

    /** Decodes a part of an update; empty if the datagram is something else, of another version or corrupt. */
    public static Optional<RegistryUpdatePart> decode(byte[] datagram) {
        return DatagramFrame.open(datagram, KIND, VERSION)
                .filter(in -> in.limit() > 0 && in.get(0) == UPDATE).flatMap(in -> {
            try {
                in.position(1);
                int applicationId = in.getInt();
                long term = in.getLong();
                int sequence = in.getInt();
                long digest = in.getLong();
                int echoTimestamp = in.getInt();
                int pollDurationMs = in.getShort();
                int partIndex = in.get();
                int partCount = in.get();
                int count = in.get();
                List<InstanceChange> changes = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    changes.add(decodeChange(in));
                }
                return pollDurationMs < 0 || partIndex < 0 || partCount < 0 || partCount > MAX_PARTS
                        || partIndex >= Math.max(1, partCount) ? Optional.empty()
                        : Optional.of(new RegistryUpdatePart(applicationId, term, sequence, digest, echoTimestamp,
                        pollDurationMs, partIndex, partCount, changes));
            } catch (BufferUnderflowException | IllegalArgumentException e) {
                return Optional.empty();
            }
        });
    }

    private static InstanceChange decodeChange(ByteBuffer in) {
        int kind = in.get();
        String id = text(in);
        if (kind == REMOVED) {
            return new InstanceChange.Removed(id);
        }
        String address = text(in);
        int status = in.get();
        if (kind != PUT || status < 0 || status >= Status.values().length) {
            throw new IllegalArgumentException("unknown type of change or status");
        }
        return new InstanceChange.Put(new Instance(id, address, Status.values()[status], text(in), in.getDouble(),
                in.getLong(), in.getLong()));
    }

    private static String text(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
