package ridgemill.cdn.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of a message. What does not fit its type throws an exception, which ends the connection. */
public final class FieldReader {

    /** No list in a message is longer. */
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

    /** Reads a text, which may be null. */
    public String text() throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
    }

    /** Reads an integer. */
    public long number() throws IOException {
        return unpacker.unpackLong();
    }

    /** Reads an integer that fits 32 bits. */
    public int intNumber() throws IOException {
        return unpacker.unpackInt();
    }

    /** Reads a floating-point number. */
    public double real() throws IOException {
        return unpacker.unpackDouble();
    }

    /** Reads a truth value. */
    public boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    /** Reads bytes, which may be null. */
    public byte[] bytes() throws IOException {
        return unpacker.tryUnpackNil() ? null : unpacker.readPayload(unpacker.unpackBinaryHeader());
    }

    /** Reads a list. */
    public <T> List<T> list(ElementReader<T> element) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > MAX_ELEMENTS) {
            throw new IOException("a list of " + size + " elements is too long");
        }
        List<T> values = new ArrayList<>(Math.min(size, 1024));
        for (int i = 0; i < size; i++) {
            values.add(element.read(this));
        }
        return values;
    }

    /** Reads a list of texts. */
    public List<String> texts() throws IOException {
        return list(FieldReader::text);
    }

    /** Reads one of an enumeration's values by its number. */
    public <E extends Enum<E>> E enumValue(E[] values) throws IOException {
        int number = intNumber();
        if (number < 0 || number >= values.length) {
            throw new IOException("no value has the number " + number);
        }
        return values[number];
    }
}
