package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import ridgemill.gateway.net.BodyStream;
import ridgemill.gateway.net.Content;

/**
 * Puts requests together. One whose body is no larger than what is held whole goes on as a {@link FullHttpRequest}; of a larger
 * one an {@link StreamingRequest} goes on as soon as that is known, and the rest of its body follows by its stream.
 */
final class RequestAggregator extends ChannelInboundHandlerAdapter {

    /** A request whose body is still coming; {@code first} is what there is of it and belongs to whoever takes this. */
    record StreamingRequest(HttpRequest head, ByteBuf firstPart, BodyStream rest) { }

    private HttpRequest head;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private BodyStream stream;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest begins) {
                begin(ctx, begins);
            }
            if (message instanceof HttpContent part) {
                readContent(ctx, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest begins) {
        reset();
        if (begins.decoderResult().isFailure()) {
            fireFullRequest(ctx, begins, Unpooled.EMPTY_BUFFER, begins.decoderResult());
            return;
        }
        head = begins;
        long length = HttpUtil.getContentLength(begins, -1L);
        if (length > Content.MOST_BYTES) {
            head = null;
            ctx.fireExceptionCaught(new TooLongHttpContentException("body over " + Content.MOST_BYTES + " bytes"));
        } else {
            if (HttpUtil.is100ContinueExpected(begins)) {
                ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
            }
            if (length > Content.MAX_BYTES) {
                startStreaming(ctx, length);
            }
        }
    }

    private void readContent(ChannelHandlerContext ctx, HttpContent part) {
        if (head == null) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            HttpRequest spoilt = head;
            boolean begun = stream != null;
            reset();
            if (!begun) {
                fireFullRequest(ctx, spoilt, Unpooled.EMPTY_BUFFER, part.decoderResult());
            }
            return;
        }
        if (stream == null) {
            buffer(ctx, part.content());
        } else {
            feed(part.content());
        }
        if (part instanceof LastHttpContent) {
            end(ctx);
        }
    }

    private void buffer(ChannelHandlerContext ctx, ByteBuf part) {
        buffered = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(ctx.alloc(), buffered, part.retain());
        if (buffered.readableBytes() > Content.MAX_BYTES) {
            startStreaming(ctx, -1);
        }
    }

    private void feed(ByteBuf part) {
        stream.feed(part.retain());
        if (stream.fed() > Content.MOST_BYTES) {
            stream.broke();
        }
    }

    private void end(ChannelHandlerContext ctx) {
        HttpRequest request = head;
        ByteBuf body = buffered;
        BodyStream goesOn = stream;
        head = null;
        buffered = Unpooled.EMPTY_BUFFER;
        stream = null;
        if (goesOn == null) {
            fireFullRequest(ctx, request, body, DecoderResult.SUCCESS);
        } else {
            goesOn.end();
        }
    }

    private void startStreaming(ChannelHandlerContext ctx, long length) {
        stream = new BodyStream(length, flows -> ctx.channel().config().setAutoRead(flows));
        ByteBuf first = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        ctx.fireChannelRead(new StreamingRequest(head, first, stream));
    }

    private static void fireFullRequest(ChannelHandlerContext ctx, HttpRequest head, ByteBuf body, DecoderResult result) {
        FullHttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body, head.headers(),
                new DefaultHttpHeaders());
        request.setDecoderResult(result);
        ctx.fireChannelRead(request);
    }

    private void reset() {
        head = null;
        buffered.release();
        buffered = Unpooled.EMPTY_BUFFER;
        if (stream != null) {
            BodyStream broken = stream;
            stream = null;
            broken.broke();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        reset();
        super.channelInactive(ctx);
    }
}
