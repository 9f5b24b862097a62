package ridgemill.testbed;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** HTTP/1.1 messages as texts, read one at a time and no byte further: what scripted peers and simple clients need. */
public final class HttpText {

    private static final String END = "\r\n\r\n";

    private HttpText() {}

    /** The next message with its body, by its Content-Length; null when the other side has ended first. */
    public static String read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < END.length()) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
            matched = b == END.charAt(matched) ? matched + 1 : b == END.charAt(0) ? 1 : 0;
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String length = header(text, "Content-Length");
        return text
                + new String(in.readNBytes(length == null ? 0 : Integer.parseInt(length)), StandardCharsets.ISO_8859_1);
    }

    /** What a message's header says; null where it has none of this name. */
    public static String header(String message, String name) {
        String start = name.toLowerCase(Locale.ROOT) + ":";
        return message.lines()
                .takeWhile(l -> !l.isEmpty())
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith(start))
                .map(l -> l.substring(start.length()).trim())
                .findFirst()
                .orElse(null);
    }

    /** What stands behind a message's head. */
    public static String body(String message) {
        return message.substring(message.indexOf(END) + END.length());
    }
}
