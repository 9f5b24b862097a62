package ridgemill.cdn.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Admits the calls of one connection as far as there is memory for their bodies. A call that is not admitted gets 503
 * after its head; its body is read away, then the connection is closed.
 */
final class CallAdmission extends ChannelDuplexHandler {

    private static final String RETRY_AFTER_SECONDS = "0.5";

    private final CallMemory memory;
    private final long maxBodyBytes;
    /** The sizes of the calls that have not been answered, in order of arrival, in bytes. */
    private final Queue<Long> admitted = new ArrayDeque<>();

    private boolean refused;

    /**
     * Creates the admission of a connection.
     *
     * @param maxBodyBytes what a body in chunks takes, whose size is not known, in bytes
     */
    CallAdmission(CallMemory memory, long maxBodyBytes) {
        this.memory = memory;
        this.maxBodyBytes = Math.min(maxBodyBytes, memory.maxBytes());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!refused && message instanceof HttpRequest request) {
            admit(context, request);
        }
        if (!refused) {
            context.fireChannelRead(message);
            return;
        }
        boolean last = message instanceof LastHttpContent;
        ReferenceCountUtil.release(message);
        if (last) {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private void admit(ChannelHandlerContext context, HttpRequest request) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long stated = HttpUtil.getContentLength(request, 0L);
        long bytes = chunked ? maxBodyBytes : Math.min(stated, maxBodyBytes);
        if (memory.tryTake(bytes)) {
            admitted.add(bytes);
            return;
        }
        refused = true;
        if (!admitted.isEmpty()) {
            // A response now would be taken for that of an earlier call on this connection.
            context.close();
            return;
        }
        context.channel().config().setAutoRead(true);
        context.writeAndFlush(refusal());
    }

    private static FullHttpResponse refusal() {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /** Ends a call. A large response is held until it has been sent; if there is no memory for it, it is a refusal. */
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        Object written = message;
        if (message instanceof FullHttpResponse response && isFinal(response) && !admitted.isEmpty()) {
            memory.giveBack(admitted.poll());
            written = hold(response, promise);
        }
        context.write(written, promise);
    }

    private static boolean isFinal(FullHttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
    }

    private FullHttpResponse hold(FullHttpResponse response, ChannelPromise promise) {
        long bytes = response.content().readableBytes();
        if (!memory.tryTake(bytes)) {
            response.release();
            return refusal();
        }
        promise.unvoid().addListener(done -> memory.giveBack(bytes));
        return response;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        while (!admitted.isEmpty()) {
            memory.giveBack(admitted.poll());
        }
        context.fireChannelInactive();
    }
}
