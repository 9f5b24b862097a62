package ridgemill.cdn.wire;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.RecentPurge;

/** Encodes and decodes the values that several messages contain. The disk of the store uses the same encoding. */
public final class ValueCodec {

    private ValueCodec() {}

    /** Encodes one value, for the disk. */
    public static <T> byte[] toBytes(T value, FieldWriter.ElementWriter<T> writer) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writer.write(value, new FieldWriter(packer));
            return packer.toByteArray();
        }
    }

    /**
     * Decodes a value that was encoded by {@link #toBytes}.
     *
     * @throws IOException if the bytes are not a valid encoding
     */
    public static <T> T fromBytes(byte[] bytes, FieldReader.ElementReader<T> reader) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(new FieldReader(unpacker));
        } catch (RuntimeException malformed) {
            throw new IOException("malformed stored value: " + malformed.getMessage(), malformed);
        }
    }

    /** Writes an item version. */
    public static void writeItem(Item item, FieldWriter out) throws IOException {
        out.number(item.name().kind().ordinal())
                .text(item.name().name())
                .number(item.version())
                .text(item.content());
    }

    /** Reads an item version. */
    public static Item readItem(FieldReader in) throws IOException {
        ItemName name = new ItemName(in.enumValue(ItemKind.values()), in.text());
        return new Item(name, in.number(), in.text());
    }

    /** Writes a purge. */
    public static void writePurge(Purge purge, FieldWriter out) throws IOException {
        out.text(purge.id()).text(purge.hostname()).text(purge.path()).text(purge.tag());
    }

    /** Reads a purge. */
    public static Purge readPurge(FieldReader in) throws IOException {
        return new Purge(in.text(), in.text(), in.text(), in.text());
    }

    /** Writes a purge with its age. */
    public static void writeRecentPurge(RecentPurge recent, FieldWriter out) throws IOException {
        writePurge(recent.purge(), out);
        out.number(recent.ageMs());
    }

    /** Reads a purge with its age. */
    public static RecentPurge readRecentPurge(FieldReader in) throws IOException {
        return new RecentPurge(readPurge(in), in.number());
    }

    /** Writes a key record. */
    public static void writeKeyRecord(KeyRecord record, FieldWriter out) throws IOException {
        out.text(record.key())
                .number(record.state().ordinal())
                .text(record.claimId())
                .bytes(record.answer())
                .number(record.updatedAtMs());
    }

    /** Reads a key record. */
    public static KeyRecord readKeyRecord(FieldReader in) throws IOException {
        return new KeyRecord(in.text(), in.enumValue(KeyState.values()), in.text(), in.bytes(), in.number());
    }

    /** Writes an instance. */
    public static void writeInstance(Instance instance, FieldWriter out) throws IOException {
        out.text(instance.id())
                .text(instance.service())
                .text(instance.address())
                .text(instance.zone())
                .text(instance.softwareVersion())
                .number(instance.slots())
                .number(instance.state().ordinal())
                .number(instance.sequence())
                .number(instance.coldUntilMs());
    }

    /** Reads an instance. */
    public static Instance readInstance(FieldReader in) throws IOException {
        return new Instance(
                in.text(),
                in.text(),
                in.text(),
                in.text(),
                in.text(),
                in.intNumber(),
                in.enumValue(InstanceState.values()),
                in.number(),
                in.number());
    }
}
