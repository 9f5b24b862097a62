package ridgemill.gateway.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Writes values in either version. What version 2 has no type for is written as the type that Redis itself gives to its
 * clients of that version: null as a null blob, a map as an array of its pairs, a boolean as 0 or 1, a double as a blob.
 */
public final class RespWriter {

    private static final byte[] END = {'\r', '\n'};
    /** The older version. */
    public static final int V2 = 2;
    /** The newer version. */
    public static final int V3 = 3;

    private RespWriter() { }

    /** Writes a value; it is not released. */
    public static void write(ByteBuf out, Resp value, int version) {
        boolean v3 = version >= V3;
        if (value instanceof Resp.Blob b) {
            blob(out, '$', b.bytes());
        } else if (value instanceof Resp.Simple s) {
            line(out, '+', s.text());
        } else if (value instanceof Resp.Err e) {
            line(out, '-', oneLine(e.text()));
        } else if (value instanceof Resp.Num n) {
            line(out, ':', Long.toString(n.value()));
        } else if (value instanceof Resp.Null) {
            out.writeCharSequence(v3 ? "_\r\n" : "$-1\r\n", StandardCharsets.US_ASCII);
        } else if (value instanceof Resp.Bool b) {
            line(out, v3 ? '#' : ':', v3 ? b.value() ? "t" : "f" : b.value() ? "1" : "0");
        } else if (value instanceof Resp.Dbl d) {
            text(out, v3 ? ',' : '$', v3, decimal(d.value()));
        } else if (value instanceof Resp.Big b) {
            text(out, v3 ? '(' : '$', v3, b.value().toString());
        } else if (value instanceof Resp.Verbatim v) {
            if (v3) {
                line(out, '=', Integer.toString(v.bytes().readableBytes() + 4));
                out.writeCharSequence(v.format() + ":", StandardCharsets.US_ASCII);
                out.writeBytes(v.bytes(), v.bytes().readerIndex(), v.bytes().readableBytes());
                out.writeBytes(END);
            } else {
                blob(out, '$', v.bytes());
            }
        } else if (value instanceof Resp.Array a) {
            aggregate(out, '*', a.items().size(), a.items(), version);
        } else if (value instanceof Resp.SetOf s) {
            aggregate(out, v3 ? '~' : '*', s.items().size(), s.items(), version);
        } else if (value instanceof Resp.MapOf m) {
            aggregate(out, v3 ? '%' : '*', v3 ? m.pairs().size() / 2 : m.pairs().size(), m.pairs(), version);
        } else if (value instanceof Resp.Push p) {
            aggregate(out, v3 ? '>' : '*', p.items().size(), p.items(), version);
        } else if (value instanceof Resp.Attributed a) {
            if (v3) {
                aggregate(out, '|', a.attributes().pairs().size() / 2, a.attributes().pairs(), version);
            }
            write(out, a.value(), version);
        }
    }

    /** The head of an array of so many elements. */
    public static void arrayHead(ByteBuf out, int length) {
        line(out, '*', Integer.toString(length));
    }

    /** A blob of a text in ASCII. */
    public static void blob(ByteBuf out, String text) {
        line(out, '$', Integer.toString(ByteBufUtil.utf8Bytes(text)));
        ByteBufUtil.writeUtf8(out, text);
        out.writeBytes(END);
    }

    /** A blob of bytes, which are not read away. */
    public static void blob(ByteBuf out, ByteBuf bytes) {
        blob(out, '$', bytes);
    }

    private static void blob(ByteBuf out, char type, ByteBuf bytes) {
        line(out, type, Integer.toString(bytes.readableBytes()));
        out.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
        out.writeBytes(END);
    }

    private static void text(ByteBuf out, char type, boolean line, String text) {
        if (!line) {
            line(out, type, Integer.toString(text.length()));
            out.writeCharSequence(text, StandardCharsets.US_ASCII);
            out.writeBytes(END);
        } else {
            line(out, type, text);
        }
    }

    private static void aggregate(ByteBuf out, char type, int length, List<Resp> items, int version) {
        line(out, type, Integer.toString(length));
        for (Resp item : items) {
            write(out, item, version);
        }
    }

    private static void line(ByteBuf out, char type, String text) {
        out.writeByte(type);
        ByteBufUtil.writeUtf8(out, text);
        out.writeBytes(END);
    }

    /** An error's text may come from elsewhere, and a line's end within it would be taken for another reply. */
    private static String oneLine(String text) {
        return text.indexOf('\r') < 0 && text.indexOf('\n') < 0 ? text : text.replace('\r', ' ').replace('\n', ' ');
    }

    private static String decimal(double d) {
        return Double.isNaN(d) ? "nan" : Double.isInfinite(d) ? d > 0 ? "inf" : "-inf" : Double.toString(d);
    }
}
