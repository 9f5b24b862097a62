package ridgemill.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;

/** Writes a body on by parts, as it is or in chunks (RFC 9112, section 7.1). */
public final class BodyWriter {

    private static final byte[] LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int CHUNK_HEAD = 16;

    private final ChannelHandlerContext context;
    private final boolean chunked;

    /** Writes to what is before {@code context}, whatever codec is behind it. */
    public BodyWriter(ChannelHandlerContext context, boolean chunked) {
        this.context = context;
        this.chunked = chunked;
    }

    /** Whether the body is written in chunks. */
    public boolean isChunked() {
        return chunked;
    }

    /** Writes the next part, which it takes over. */
    public ChannelFuture part(ByteBuf part) {
        if (!chunked) {
            return context.writeAndFlush(part);
        }
        ByteBuf size = context.alloc().ioBuffer(CHUNK_HEAD);
        size.writeCharSequence(Integer.toHexString(part.readableBytes()), StandardCharsets.US_ASCII);
        context.write(size.writeBytes(LINE), context.voidPromise());
        context.write(part, context.voidPromise());
        return context.writeAndFlush(Unpooled.wrappedBuffer(LINE));
    }

    /** The body is whole: the promise is kept when all of it is with the system. */
    public ChannelFuture end(ChannelPromise whole) {
        return context.writeAndFlush(chunked ? Unpooled.wrappedBuffer(LAST_CHUNK) : Unpooled.EMPTY_BUFFER, whole);
    }
}
