package ridgemill.gateway.datacenter;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import ridgemill.gateway.net.Content;

/** Collects the parts of a message body, up to the maximum size of a value. */
final class MessageBody {

    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /** Copies a part, whose buffer the caller keeps; returns false if the body would be too large. */
    boolean add(ByteBuf part) {
        if (bytes.readableBytes() + part.readableBytes() > Content.MAX_BYTES) {
            return false;
        }
        if (bytes == Unpooled.EMPTY_BUFFER) {
            bytes = Unpooled.buffer(part.readableBytes());
        }
        bytes.writeBytes(part);
        return true;
    }

    /** Returns the bytes received so far, without a media type. */
    Content content() {
        return new Content(bytes, null);
    }
}
