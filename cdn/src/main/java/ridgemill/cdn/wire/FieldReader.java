package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a message. A value that does not fit its type causes an exception, which closes the connection.
 */
public final class FieldReader {

    /** The largest number of elements of a list. */
    private static final int MAX_ELEMENTS = 1_000_000;

    private final MessageUnpacker unpacker;

    FieldReader(MessageUnpacker unpacker) {
        this.unpacker = unpacker;
    }

    /** Reads one element of a list. */
    public interface ElementReader<T> {

        /** Reads the element's fields. */
        T read(FieldReader in) throws IOException;
    }

    /** Reads a string, which may be null. */
    public String text() throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
    }

    /** Reads a 64-bit integer. */
    public long number() throws IOException {
        return unpacker.unpackLong();
    }

    /** Reads a 32-bit integer. */
    public int intNumber() throws IOException {
        return unpacker.unpackInt();
    }

    /** Reads a floating-point number. */
    public double real() throws IOException {
        return unpacker.unpackDouble();
    }

    /** Reads a boolean. */
    public boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    /** Reads a byte array, which may be null. */
    public byte[] bytes() throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    /** Reads a list. */
    public <T> List<T> list(ElementReader<T> element) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > MAX_ELEMENTS) {
            throw new IOException("list of " + size + " elements is too long");
        }
        List<T> values = new ArrayList<>(Math.min(size, 1024));
        for (int i = 0; i < size; i++) {
            values.add(element.read(this));
        }
        return values;
    }

    /** Reads a list of strings. */
    public List<String> texts() throws IOException {
        return list(FieldReader::text);
    }

    /** Reads an enum constant by its ordinal. */
    public <E extends Enum<E>> E enumValue(E[] values) throws IOException {
        int number = intNumber();
        if (number < 0 || number >= values.length) {
            throw new IOException("unknown enum ordinal " + number);
        }
        return values[number];
    }
}
