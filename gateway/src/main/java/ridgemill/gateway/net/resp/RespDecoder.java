package ridgemill.gateway.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Turns a connection's bytes into values. What makes no sense is told of once, by an exception, and all that follows is
 * dropped: after it no byte can be placed.
 */
public final class RespDecoder extends ByteToMessageDecoder {

    private final RespParser parser;
    private boolean lost;

    public RespDecoder(RespParser parser) {
        this.parser = parser;
    }

    /** Whether bytes of a value have come that is not whole yet. */
    public boolean isWithin() {
        return parser.isWithin() || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (lost) {
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            Resp value = parser.next(in);
            if (value != null) {
                out.add(value);
            }
        } catch (RespException e) {
            lost = true;
            parser.release();
            in.skipBytes(in.readableBytes());
            throw e;
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext ctx) {
        parser.release();
    }
}
