package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import ridgemill.core.Answer;
import ridgemill.core.Client;
import ridgemill.gateway.front.ClientConnection;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.LeanHttp;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.StrictHttp;

/** One client's HTTP/1.1 connection: its requests are answered one at a time, in their order (RFC 9112, section 9.3). */
final class HttpClientConnection extends ClientConnection implements Client<Content> {

    private static final int MAX_WAITING = 16;
    /** For how many bytes input is read on after an error: unread input would reset the error away. */
    private static final long LINGER_BYTES = 1 << 20;

    private final HttpFront front;
    private final Bytes bytes = new Bytes();
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private String open;
    private boolean keepAlive;

    HttpClientConnection(Channel channel, HttpFront front) {
        super(channel, front.table());
        this.front = front;
    }

    Bytes bytes() {
        return bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        FullHttpRequest request = (FullHttpRequest) message;
        try {
            if (phase() == Phase.CLOSING) {
                return;
            }
            if (phase() != Phase.BUSY) {
                handle(request, System.nanoTime());
                return;
            }
            waiting.add(new Waiting(request.retain(), System.nanoTime()));
            if (waiting.size() >= MAX_WAITING) {
                // What it sends further waits on its side of the connection.
                channel().config().setAutoRead(false);
            }
        } finally {
            request.release();
        }
    }

    private void handle(FullHttpRequest in, long arrived) {
        keepAlive = HttpUtil.isKeepAlive(in);
        // A request that came behind another has waited here already.
        double waitedMs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrived) / 1e3;
        if (!isTurnedAway()) {
            act(front.requests().read(in, waitedMs, front.intake()::isOpen));
        }
    }

    private void handle(LeanHttp in, ByteBuf all) {
        keepAlive = in.isKeepAlive();
        if (isTurnedAway()) {
            return;
        }
        ByteBuf body = in.body(all);
        try {
            act(front.requests().read(in, body, front.intake()::isOpen));
        } finally {
            body.release();
        }
    }

    private boolean isTurnedAway() {
        if (!isSurplus()) {
            return false;
        }
        front.intake().turnedAway();
        busy();
        keepAlive = false;
        answer(HttpResponseStatus.TOO_MANY_REQUESTS, SURPLUS_BACK_MS);
        return true;
    }

    private void act(HttpRequests.Read read) {
        if (read instanceof HttpRequests.Call call) {
            busy();
            open = call.request().id();
            front.intake().request(call.go(), call.request(), call.command(), this);
        } else if (read instanceof HttpRequests.Refused refused) {
            front.intake().turnedAway();
            busy();
            answer(HttpResponseStatus.TOO_MANY_REQUESTS, refused.retryAfterMs());
        } else if (read instanceof HttpRequests.Bad bad) {
            reject(bad.status());
        } else {
            answer(front.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    @Override
    public void served(Answer<Content> answer) {
        if (answer.content().isAbsent()) {
            answer(HttpResponseStatus.NOT_FOUND);
            return;
        }
        answer(HttpResponseStatus.OK, 0, answer.content());
    }

    @Override
    public void refused(double retryAfterMs) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs);
    }

    @Override
    public void limited(double retryAfterMs) {
        answer(HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs);
    }

    @Override
    public void failed() {
        answer(HttpResponseStatus.BAD_GATEWAY);
    }

    private void answer(HttpResponseStatus status) {
        answer(status, 0, Content.EMPTY);
    }

    private void answer(HttpResponseStatus status, double retryAfterMs) {
        answer(status, retryAfterMs, Content.EMPTY);
    }

    private void answer(HttpResponseStatus status, double retryAfterMs, Content content) {
        boolean last = mustClose() || !keepAlive;
        open = null;
        enter(last ? Phase.CLOSING : Phase.IDLE);
        ChannelFuture written = content.mediaType() == null || LeanHttp.isPlain(content.mediaType(), true)
                ? bytes.write(status, retryAfterMs, content, last) : writeEncoded(status, content, last);
        writing(written);
        if (last) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else {
            used();
            next();
        }
    }

    /** By way of Netty's encoder, which knows what becomes of a media type that is no plain text. */
    private ChannelFuture writeEncoded(HttpResponseStatus status, Content content, boolean last) {
        FullHttpResponse answer = response(status, content.bytes().retain());
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, content.mediaType());
        HttpUtil.setContentLength(answer, content.bytes().readableBytes());
        if (last) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        bytes.codec();
        return channel().writeAndFlush(answer);
    }

    private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    }

    /**
     * Answers what makes no sense and closes. Only our half at first: closing on input that is still coming would
     * reset the connection before the client has read why.
     */
    private void reject(HttpResponseStatus status) {
        FullHttpResponse answer = response(status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(answer, 0);
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        enter(Phase.CLOSING);
        dropWaiting();
        channel().config().setAutoRead(true);
        bytes.codec();
        ChannelFuture written = channel().writeAndFlush(answer);
        writing(written);
        written.addListener(f -> {
            if (channel() instanceof DuplexChannel halves) {
                halves.shutdownOutput();
            }
        });
    }

    private void next() {
        Waiting request = waiting.poll();
        if (request == null) {
            return;
        }
        channel().config().setAutoRead(true);
        try {
            handle(request.request(), request.arrived());
        } finally {
            request.request().release();
        }
    }

    private void dropWaiting() {
        waiting.forEach(w -> w.request().release());
        waiting.clear();
    }

    @Override
    protected void tooSlow() {
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    @Override
    protected void left() {
        dropWaiting();
        if (open != null) {
            String gone = open;
            open = null;
            front.intake().clientGone(gone);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof TooLongHttpContentException)) {
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
                // A fault of ours, which would else cost a connection without a word.
                Log.error("a client's connection failed", cause);
            }
            ctx.close();
        } else if (phase() != Phase.BUSY && phase() != Phase.CLOSING) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else {
            // Behind a request that is open: that one has its answer first, and it is the last.
            keepAlive = false;
        }
    }

    /** A request that came while another was open on its connection, and when, as its time runs from then. */
    private record Waiting(FullHttpRequest request, long arrived) { }

    /** Puts requests together; one whose body is too long is told of by an exception, and its rest is dropped. */
    static final class Bodies extends HttpObjectAggregator {
        Bodies() {
            super(Content.MAX_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.fireExceptionCaught(new TooLongHttpContentException("body over " + Content.MAX_BYTES + " bytes"));
        }
    }

    /**
     * Sees bytes first: the clock for a request runs from its first. One that is plain is read here; from the first one on
     * that is not, Netty's decoder reads all that this connection brings, as it may hold the beginning of the next.
     */
    final class Bytes extends ChannelInboundHandlerAdapter {
        /** Bodies up to this are copied behind their head: one piece costs less than two that are gathered. */
        private static final int COPIED = 2048;
        private static final int HEAD = 256;
        private static final byte[] OK = ascii("HTTP/1.1 200 OK\r\ncontent-length: ");
        private static final byte[] VERSION = ascii("HTTP/1.1 ");
        private static final byte[] LENGTH = ascii("\r\ncontent-length: ");
        private static final byte[] TYPE = ascii("\r\ncontent-type: ");
        private static final byte[] RETRY = ascii("\r\nretry-after: ");
        private static final byte[] CLOSE = ascii("\r\nconnection: close");
        private static final byte[] END = ascii("\r\n\r\n");

        private ChannelHandlerContext context;
        private boolean plain = true;
        private long dropped;

        private static byte[] ascii(String text) {
            return text.getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (phase() == Phase.CLOSING) {
                dropped += message instanceof ByteBuf in ? in.readableBytes() : 0;
                ReferenceCountUtil.release(message);
                if (dropped > LINGER_BYTES) {
                    channel().config().setAutoRead(false);
                }
                return;
            }
            boolean next = phase() == Phase.SILENT || phase() == Phase.IDLE;
            if (next) {
                enter(Phase.READING);
            }
            if (plain && next && message instanceof ByteBuf in) {
                LeanHttp request = LeanHttp.request(in);
                if (request != null) {
                    try {
                        handle(request, in);
                    } finally {
                        in.release();
                    }
                    return;
                }
            }
            codec();
            ctx.fireChannelRead(message);
        }

        /** From now on Netty's codec has what comes. */
        void codec() {
            if (plain) {
                plain = false;
                // Each right behind this one: the last to be added is the first.
                context.pipeline().addAfter(context.name(), null, new Bodies()).addAfter(context.name(), null,
                        new HttpResponseEncoder()).addAfter(context.name(), null, new StrictHttp.Requests());
            }
        }

        /** Writes an answer in one piece, past any encoder. */
        ChannelFuture write(HttpResponseStatus status, double retryAfterMs, Content content, boolean last) {
            ByteBuf body = content.bytes();
            int length = body.readableBytes();
            boolean copied = length <= COPIED;
            ByteBuf out = context.alloc().ioBuffer(HEAD + (copied ? length : 0));
            if (status == HttpResponseStatus.OK) {
                out.writeBytes(OK);
            } else {
                out.writeBytes(VERSION);
                out.writeCharSequence(status.codeAsText(), StandardCharsets.US_ASCII);
                out.writeByte(' ').writeCharSequence(status.reasonPhrase(), StandardCharsets.US_ASCII);
                out.writeBytes(LENGTH);
            }
            LeanHttp.writeNumber(out, length);
            if (content.mediaType() != null) {
                out.writeBytes(TYPE).writeCharSequence(content.mediaType(), StandardCharsets.US_ASCII);
            }
            if (retryAfterMs > 0) {
                out.writeBytes(RETRY);
                LeanHttp.writeSeconds(out, (long) Math.ceil(retryAfterMs));
            }
            if (last) {
                out.writeBytes(CLOSE);
            }
            out.writeBytes(END);
            if (copied) {
                return context.writeAndFlush(out.writeBytes(body, body.readerIndex(), length));
            }
            context.write(out, context.voidPromise());
            return context.writeAndFlush(body.retainedDuplicate());
        }
    }
}
