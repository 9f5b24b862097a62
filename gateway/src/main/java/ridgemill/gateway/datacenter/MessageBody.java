package ridgemill.gateway.datacenter;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import ridgemill.gateway.net.Content;

/** A message's body as its parts come in, up to what a value may have. */
final class MessageBody {

    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /** Takes in a part, which stays its owner's; false where that is too much. */
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

    /** What has come; no media type is known here. */
    Content content() {
        return new Content(bytes, null);
    }
}
