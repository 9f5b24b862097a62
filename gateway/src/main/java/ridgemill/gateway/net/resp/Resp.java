package ridgemill.gateway.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A value of the protocol, in either version. Values that hold bytes own them: whoever takes a value releases it, or hands
 * it on. Streamed strings and aggregates are the same as whole ones once they have ended.
 */
public sealed interface Resp {

    /** Gives back the bytes that the value owns. */
    default void release() { }

    /** A simple string: one line. */
    record Simple(String text) implements Resp { }

    /** An error, simple or blob: a code in capitals and a message (RESP3.md, "Simple error", "Blob error"). */
    record Err(String text) implements Resp {

        /** The word before the message, such as {@code LOADING}. */
        public String code() {
            int end = text.indexOf(' ');
            return end < 0 ? text : text.substring(0, end);
        }
    }

    /** A number of 64 bits. */
    record Num(long value) implements Resp { }

    /** A double; may be infinite or not a number. */
    record Dbl(double value) implements Resp { }

    /** A number of any size. */
    record Big(BigInteger value) implements Resp { }

    /** True or false. */
    record Bool(boolean value) implements Resp { }

    /** Nothing: version 3's null, and version 2's null bulk string and null array. */
    record Null() implements Resp { }

    /** A blob string. */
    record Blob(ByteBuf bytes) implements Resp {
        @Override
        public void release() {
            bytes.release();
        }

        /** The bytes as text. */
        public String text() {
            return bytes.toString(StandardCharsets.UTF_8);
        }
    }

    /** A blob with a format of three letters, such as {@code txt}. */
    record Verbatim(String format, ByteBuf bytes) implements Resp {
        @Override
        public void release() {
            bytes.release();
        }
    }

    /** An array. */
    record Array(List<Resp> items) implements Resp {
        @Override
        public void release() {
            items.forEach(Resp::release);
        }
    }

    /** A set. */
    record SetOf(List<Resp> items) implements Resp {
        @Override
        public void release() {
            items.forEach(Resp::release);
        }
    }

    /** A map: keys and values in turn, in the order that they came in. */
    record MapOf(List<Resp> pairs) implements Resp {
        @Override
        public void release() {
            pairs.forEach(Resp::release);
        }
    }

    /** What nobody asked for: it comes between replies and is none. */
    record Push(List<Resp> items) implements Resp {
        @Override
        public void release() {
            items.forEach(Resp::release);
        }
    }

    /** A value with attributes, which may be ignored. */
    record Attributed(MapOf attributes, Resp value) implements Resp {
        @Override
        public void release() {
            attributes.release();
            value.release();
        }
    }

    /** Nothing. */
    Resp NULL = new Null();
    /** The usual answer to what has no other. */
    Resp OK = new Simple("OK");

    /** A blob string of a text. */
    static Blob blob(String text) {
        return new Blob(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** A command or a reply of blob strings. */
    static Array blobs(String... texts) {
        return new Array(java.util.Arrays.stream(texts).map(t -> (Resp) blob(t)).toList());
    }
}
