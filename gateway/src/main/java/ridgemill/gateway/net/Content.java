package ridgemill.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A value as fronts and backs hand it to one another.
 *
 * @param bytes the value; whoever passes it on owns it, and whoever keeps it past the call retains it
 * @param mediaType its media type (RFC 9110, section 8.3); null where none was named
 * @param rest what comes of it by and by, behind {@code bytes}; null where it is whole
 */
public record Content(ByteBuf bytes, String mediaType, BodyStream rest) {

    /** A value that is whole. */
    public Content(ByteBuf bytes, String mediaType) {
        this(bytes, mediaType, null);
    }

    /** The greatest value that is held whole, in bytes; larger ones stream where both sides can. */
    public static final int MAX_BYTES = 64 * 1024;
    /** The greatest value that is carried at all: a length beyond it is a spoilt one. */
    public static final long MOST_BYTES = 64L * 1024 * 1024;
    public static final Content EMPTY = new Content(Unpooled.EMPTY_BUFFER, null);
    /** The answer that there is no value. */
    public static final Content ABSENT = new Content(Unpooled.EMPTY_BUFFER, null);

    /** Whether this is the answer that there is no value, which is not the same as an empty one. */
    public boolean isAbsent() {
        return this == ABSENT;
    }
}
