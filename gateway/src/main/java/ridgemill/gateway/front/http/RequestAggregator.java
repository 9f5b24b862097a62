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
 * Assembles requests from their parts. A request whose body is within the buffer limit is passed on as a
 * {@link FullHttpRequest}. For a larger body, a {@link StreamingRequest} is passed on as soon as the size is known to
 * exceed the limit, and the rest of the body follows through its stream.
 */
final class RequestAggregator extends ChannelInboundHandlerAdapter {

    /**
     * A request whose body is still being received. {@code firstPart} is the body received so far; the receiver of this
     * record releases it.
     */
    record StreamingRequest(HttpRequest head, ByteBuf firstPart, BodyStream rest) { }

    private HttpRequest head;
    private ByteBuf buffered = Unpooled.EMPTY_BUFFER;
    private BodyStream stream;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(ctx, request);
            }
            if (message instanceof HttpContent part) {
                readContent(ctx, part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        reset();
        if (request.decoderResult().isFailure()) {
            fireFullRequest(ctx, request, Unpooled.EMPTY_BUFFER, request.decoderResult());
            return;
        }
        head = request;
        long length = HttpUtil.getContentLength(request, -1L);
        if (length > Content.MOST_BYTES) {
            head = null;
            ctx.fireExceptionCaught(new TooLongHttpContentException("body over " + Content.MOST_BYTES + " bytes"));
        } else {
            if (HttpUtil.is100ContinueExpected(request)) {
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
            HttpRequest corrupt = head;
            boolean streaming = stream != null;
            reset();
            if (!streaming) {
                fireFullRequest(ctx, corrupt, Unpooled.EMPTY_BUFFER, part.decoderResult());
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
        BodyStream streaming = stream;
        head = null;
        buffered = Unpooled.EMPTY_BUFFER;
        stream = null;
        if (streaming == null) {
            fireFullRequest(ctx, request, body, DecoderResult.SUCCESS);
        } else {
            streaming.end();
        }
    }

    private void startStreaming(ChannelHandlerContext ctx, long length) {
        stream = new BodyStream(length, flows -> ctx.channel().config().setAutoRead(flows));
        ByteBuf first = buffered;
        buffered = Unpooled.EMPTY_BUFFER;
        ctx.fireChannelRead(new StreamingRequest(head, first, stream));
    }

    private static void fireFullRequest(ChannelHandlerContext ctx, HttpRequest head, ByteBuf body,
                                        DecoderResult result) {
        FullHttpRequest request = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body,
                head.headers(), new DefaultHttpHeaders());
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
