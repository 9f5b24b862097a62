package ridgemill.gateway;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import ridgemill.testbed.HttpText;

/** One message that is read by the letter of RFC 9112, its body as bytes: what {@link HttpText} reads as a text. */
final class WireBody {

    static final int LARGE = 3 << 20;
    private static final long SEED = 20261201;

    final DataInputStream in;
    final String head;

    /** Reads the head. */
    WireBody(InputStream from) throws IOException {
        in = new DataInputStream(from);
        head = until("\r\n\r\n");
    }

    /** A value of so many bytes, always the same. */
    static byte[] value(int bytes) {
        byte[] value = new byte[bytes];
        new Random(SEED).nextBytes(value);
        return value;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private String until(String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            text.append((char) in.readUnsignedByte());
        }
        return text.toString();
    }

    /** All of the body, or an exception where its end does not show. */
    byte[] body() throws IOException {
        String length = HttpText.header(head, "Content-Length");
        if (length != null) {
            byte[] body = new byte[Integer.parseInt(length)];
            in.readFully(body);
            return body;
        }
        if (!"chunked".equals(HttpText.header(head, "Transfer-Encoding"))) {
            return in.readAllBytes();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            byte[] chunk = new byte[Integer.parseInt(until("\r\n").trim(), 16)];
            in.readFully(chunk);
            body.write(chunk);
            in.readUnsignedShort();
            if (chunk.length == 0) {
                return body.toByteArray();
            }
        }
    }
}
