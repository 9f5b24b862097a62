package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.Collection;
import org.msgpack.core.MessagePacker;

/** Writes the fields of a message as MessagePack values. */
public final class FieldWriter {

    private final MessagePacker packer;

    FieldWriter(MessagePacker packer) {
        this.packer = packer;
    }

    /** Writes one element of a list. */
    public interface ElementWriter<T> {

        /** Writes the element's fields. */
        void write(T element, FieldWriter out) throws IOException;
    }

    /** Writes a string, which may be null. */
    public FieldWriter text(String value) throws IOException {
        if (value == null) {
            packer.packNil();
        } else {
            packer.packString(value);
        }
        return this;
    }

    /** Writes an integer. */
    public FieldWriter number(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    /** Writes a floating-point number. */
    public FieldWriter real(double value) throws IOException {
        packer.packDouble(value);
        return this;
    }

    /** Writes a boolean. */
    public FieldWriter flag(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    /** Writes a byte array, which may be null. */
    public FieldWriter bytes(byte[] value) throws IOException {
        if (value == null) {
            packer.packNil();
        } else {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        }
        return this;
    }

    /** Writes a composite value. */
    public <T> FieldWriter value(T value, ElementWriter<T> element) throws IOException {
        element.write(value, this);
        return this;
    }

    /** Writes a list. */
    public <T> FieldWriter list(Collection<T> values, ElementWriter<T> element) throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            element.write(value, this);
        }
        return this;
    }

    /** Writes a list of strings. */
    public FieldWriter texts(Collection<String> values) throws IOException {
        return list(values, (value, out) -> out.text(value));
    }
}
