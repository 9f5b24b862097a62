package ridgemill.gateway.datacenter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.DefaultHttp2WindowUpdateFrame;
import io.netty.handler.codec.http2.Http2ChannelDuplexHandler;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameStream;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.util.ReferenceCountUtil;

/** The common part of both ends of a connection between gateways: flow control, batched writes, dispatch of frames. */
abstract class DatacenterConnection extends Http2ChannelDuplexHandler {

    /**
     * Enlarges the connection window beyond the initial 64 KiB of HTTP/2 (RFC 9113, section 6.9.2), which would limit
     * all responses together to 1.6 MB/s at a round trip of 40 ms.
     */
    private static final int EXTRA_WINDOW_BYTES = 8 * 1024 * 1024;

    private ChannelHandlerContext context;
    private boolean flushing;

    /** Handles the headers of a message, or its trailers. */
    abstract void headers(Http2HeadersFrame frame);

    /** Handles a part of a body; its bytes were already returned to the flow control window. */
    abstract void data(Http2DataFrame frame);

    /** Handles the reset of a stream by the other side. */
    abstract void reset(Http2ResetFrame frame);

    /** Handles the announcement that the other side accepts no further streams. */
    void goAway(Http2GoAwayFrame frame) { }

    @Override
    protected void handlerAdded0(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
        super.channelActive(ctx);
        ctx.writeAndFlush(new DefaultHttp2WindowUpdateFrame(EXTRA_WINDOW_BYTES));
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof Http2HeadersFrame h) {
                headers(h);
            } else if (message instanceof Http2DataFrame d) {
                write(new DefaultHttp2WindowUpdateFrame(d.initialFlowControlledBytes()).stream(d.stream()));
                data(d);
            } else if (message instanceof Http2ResetFrame r) {
                reset(r);
            } else if (message instanceof Http2GoAwayFrame g) {
                goAway(g);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Writes a whole message and releases its body, which may be null; the future completes with its last byte. */
    final ChannelFuture send(Http2FrameStream stream, Http2Headers headers, ByteBuf body) {
        if (body == null || !body.isReadable()) {
            ReferenceCountUtil.release(body);
            return write(new DefaultHttp2HeadersFrame(headers, true).stream(stream));
        }
        write(new DefaultHttp2HeadersFrame(headers, false).stream(stream));
        return write(new DefaultHttp2DataFrame(body, true).stream(stream));
    }

    /** Resets a stream. */
    final void resetStream(Http2FrameStream stream, Http2Error error) {
        write(new DefaultHttp2ResetFrame(error).stream(stream));
    }

    /** Writes a frame; all frames written in one turn of the event loop are flushed together. */
    final ChannelFuture write(Object frame) {
        ChannelFuture written = context.write(frame);
        if (!flushing) {
            flushing = true;
            context.executor().execute(() -> {
                flushing = false;
                context.flush();
            });
        }
        return written;
    }
}
