package ridgemill.gateway.net;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Keys as protocols name them, as the targets that the core carries: a bare key {@code m100001} is the target
 * {@code /api/m100001}. Bytes that may not stand in a path are percent-encoded (RFC 3986, section 3.3), so that any key has
 * one target and any target one key; a query is part of both.
 */
public final class Targets {

    /** What every target begins with. */
    public static final String API = "/api/";
    private static final String PLAIN = "-._~!$&'()*+,;=:@/";
    private static final String HEX = "0123456789ABCDEF";
    private static final int RADIX = 16;
    private static final long KEY_BITS = (1L << 53) - 1;

    private Targets() { }

    /** The target of a key's bytes, which are not read away. */
    public static String of(ByteBuf key) {
        StringBuilder target = new StringBuilder(API.length() + key.readableBytes()).append(API);
        for (int i = key.readerIndex(); i < key.writerIndex(); i++) {
            int b = key.getByte(i) & 0xff;
            if (b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || PLAIN.indexOf(b) >= 0) {
                target.append((char) b);
            } else {
                target.append('%').append(HEX.charAt(b >> 4)).append(HEX.charAt(b & 0xf));
            }
        }
        return target.toString();
    }

    /** The key's bytes of a target; a percent sign that encodes nothing stands for itself. */
    public static byte[] key(String target) {
        String text = target.startsWith(API) ? target.substring(API.length()) : target;
        if (text.indexOf('%') < 0) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
        ByteArrayOutputStream key = new ByteArrayOutputStream(text.length());
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            int high = i + 2 < text.length() && c == '%' ? Character.digit(text.charAt(i + 1), RADIX) : -1;
            int low = high >= 0 ? Character.digit(text.charAt(i + 2), RADIX) : -1;
            if (low >= 0) {
                key.write(high << 4 | low);
                i += 2;
            } else {
                key.write(c);
            }
        }
        return key.toByteArray();
    }

    /** A request's target as nodes are asked: of an absolute one (RFC 9112, section 3.2.2) what follows the authority. */
    public static String origin(String target) {
        int authority = target.startsWith("/") || target.equals("*") ? -1 : target.indexOf("://");
        if (authority < 0) {
            return target;
        }
        int path = target.indexOf('/', authority + 3);
        int query = target.indexOf('?', authority + 3);
        return path >= 0 && (query < 0 || path < query) ? target.substring(path)
                : query >= 0 ? "/" + target.substring(query) : "/";
    }

    /** A target's path, without the query that may follow it. */
    public static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Hashes the text of a path's last segment as all proxies do, so that a key goes to the same nodes from each. */
    public static long hash(String path) {
        long hash = 0xcbf29ce484222325L;
        for (int i = path.lastIndexOf('/') + 1; i < path.length(); i++) {
            hash = (hash ^ path.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & KEY_BITS;
    }
}
