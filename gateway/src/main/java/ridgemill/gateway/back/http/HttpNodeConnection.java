package ridgemill.gateway.back.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import ridgemill.core.NodeResponse;
import ridgemill.core.Attempt;
import ridgemill.core.Command;
import ridgemill.flow.ResponseStallDetector;
import ridgemill.gateway.back.NodeConnection;
import ridgemill.gateway.back.NodeExchange;
import ridgemill.gateway.net.BodyStream;
import ridgemill.gateway.net.BodyWriter;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.LeanHttp;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.policy.Router.Outcome;

/** An HTTP/1.1 connection to a node (RFC 9112), one request at a time. */
public final class HttpNodeConnection extends NodeConnection {

    /** Heads that are this long, and bodies up to this behind them, are written in one piece. */
    private static final int HEAD = 512;
    private static final int COPIED = 2048;
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final boolean missIsAnswer;
    private final StrictHttp.Responses decoder = new StrictHttp.Responses();
    private final Bytes bytes = new Bytes();
    /** The whole answer, until the read that brought it is over and shows whether more came with it. */
    private Reply answer;
    private boolean more;
    private int begun;
    private final ResponseStallDetector pace = new ResponseStallDetector();
    private Future<?> paceTimer;
    /** Of an answer that comes in pieces: its head, and what has come of its body while that is held whole. */
    private HttpResponse head;
    /** The part of its body that has arrived, as long as the body is buffered. */
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    /** The rest of the request body that is being written; null if there is none. */
    private BodyStream upload;
    /** The rest of a response body that is already being streamed to its client; null if there is none. */
    private BodyStream stream;

    /** Creates a connection to a node of a group that has an origin. */
    public HttpNodeConnection() {
        this(false);
    }

    /** {@code missIsFinal} says whether a missing value is the final response, as there is no origin to ask. */
    public HttpNodeConnection(boolean missIsAnswer) {
        this.missIsAnswer = missIsAnswer;
    }

    /**
     * The parts of a response that are evaluated.
     *
     * @param rejected whether the node reports that it has not executed the request
     * @param cacheStatus the reported cache status; empty if the node reports none
     * @param bytes the value; released by the code that handles the response
     */
    private record Reply(int status, boolean rejected, String hit, String mediaType, ByteBuf bytes, boolean keepAlive) { }

    @Override
    protected void install(ChannelPipeline pipeline) {
        pipeline.addLast(bytes, this);
    }

    @Override
    protected void resetExchangeState() {
        upload = null;
        begun = 0;
    }

    @Override
    protected Object buildMessage(NodeExchange exchange) {
        Attempt<Content> attempt = exchange.attempt();
        if (attempt == null) {
            return ByteBufUtil.writeAscii(context().alloc(), "GET /alive HTTP/1.1\r\n\r\n");
        }
        if (attempt.hasStreamingBody()) {
            return head(attempt);
        }
        if (isPlain(attempt)) {
            return plain(attempt);
        }
        bytes.codec();
        return request(attempt);
    }

    /**
     * Whether the request can be written without Netty's encoder. Values from clients of other protocols may contain
     * any bytes; Netty's encoder and headers reject values that would break a request head.
     */
    private static boolean isPlain(Attempt<Content> attempt) {
        Command<Content> command = attempt.command();
        return LeanHttp.isPlain(attempt.requestId(), false) && command.action() != Command.Action.DELETE && LeanHttp.isPlain(command.target(), false)
                && (command.idempotencyKey() == null || LeanHttp.isPlain(command.idempotencyKey(), true))
                && (command.content().mediaType() == null || LeanHttp.isPlain(command.content().mediaType(), true))
                && command.content().bytes().readableBytes() <= COPIED;
    }

    /** Encodes a request without Netty's encoder. */
    private ByteBuf plain(Attempt<Content> attempt) {
        Command<Content> command = attempt.command();
        Content content = command.content();
        ByteBuf body = content.bytes();
        int length = body.readableBytes();
        ByteBuf out = context().alloc().ioBuffer(HEAD + length);
        text(out, command.write() ? "PUT " : "GET ", command.target());
        text(out, " HTTP/1.1\r\nhost: service.internal\r\nX-Call-Id: ", attempt.requestId());
        text(out, "\r\nX-Budget: ", "");
        LeanHttp.writeSeconds(out, Math.max(1, Math.round(attempt.remainingMs())));
        if (attempt.versionLabel() != null) {
            text(out, "\r\nX-Acted-Under: ", attempt.versionLabel());
        }
        if (command.idempotencyKey() != null) {
            text(out, "\r\nIdempotency-Key: ", command.idempotencyKey());
        }
        if (content.mediaType() != null) {
            text(out, "\r\ncontent-type: ", content.mediaType());
        }
        if (length > 0 || command.write()) {
            text(out, "\r\ncontent-length: ", "");
            LeanHttp.writeNumber(out, length);
        }
        text(out, "\r\n\r\n", "");
        return out.writeBytes(body, body.readerIndex(), length);
    }

    /** Encodes the head of a request whose body is streamed. */
    private ByteBuf head(Attempt<Content> attempt) {
        FullHttpRequest request = request(attempt);
        Content content = attempt.command().content();
        HttpHeaders headers = request.headers();
        if (content.rest().length() < 0) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.rest().length());
        }
        ByteBuf out = context().alloc().ioBuffer(HEAD);
        text(out, request.method().name() + " ", request.uri());
        text(out, " HTTP/1.1", "");
        headers.forEach(h -> text(out, "\r\n" + h.getKey() + ": ", h.getValue()));
        text(out, "\r\n\r\n", "");
        request.release();
        return out;
    }

    /** Writes a streamed body as it arrives; the promise completes when its last byte has been written. */
    private final class Upload implements BodyStream.Sink {
        private final BodyStream rest;
        private final ChannelPromise whole;
        private final BodyWriter writer;

        Upload(BodyStream rest, ChannelPromise whole) {
            this.rest = rest;
            this.whole = whole;
            this.writer = new BodyWriter(bytes.context, rest.length() < 0);
        }

        @Override
        public void part(ByteBuf part) {
            writer.part(part);
            rest.wants(context().channel().isWritable());
        }

        @Override
        public void end() {
            upload = null;
            writer.end(whole);
        }

        @Override
        public void broken() {
            upload = null;
            whole.tryFailure(new IOException("the request's rest never came"));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (upload != null) {
            upload.wants(ctx.channel().isWritable());
        }
        super.channelWritabilityChanged(ctx);
    }

    private static void text(ByteBuf out, String fixed, String given) {
        ByteBufUtil.writeAscii(out, fixed);
        ByteBufUtil.writeAscii(out, given);
    }

    @Override
    protected ChannelFuture send(Object message) {
        Attempt<Content> attempt = current().attempt();
        if (attempt != null && attempt.hasStreamingBody()) {
            Content content = attempt.command().content();
            ChannelPromise whole = context().newPromise();
            bytes.context.writeAndFlush(message, bytes.context.voidPromise());
            upload = content.rest();
            Upload goesOn = new Upload(upload, whole);
            if (content.bytes().isReadable()) {
                goesOn.part(content.bytes().retainedDuplicate());
            }
            upload.drain(goesOn);
            return whole;
        }
        return message instanceof ByteBuf ? bytes.context.writeAndFlush(message) : super.send(message);
    }

    private static FullHttpRequest request(Attempt<Content> attempt) {
        Command<Content> command = attempt.command();
        Content content = command.content();
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                method(command), command.target(), content.bytes().retainedDuplicate());
        request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Call-Id", attempt.requestId())
                .set("X-Budget", BigDecimal.valueOf(Math.max(1, Math.round(attempt.remainingMs())), 3).toPlainString());
        if (attempt.versionLabel() != null) {
            request.headers().set("X-Acted-Under", attempt.versionLabel());
        }
        if (command.idempotencyKey() != null) {
            request.headers().set("Idempotency-Key", command.idempotencyKey());
        }
        if (content.mediaType() != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, content.mediaType());
        }
        if (content.bytes().isReadable() || command.write()) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.bytes().readableBytes());
        }
        return request;
    }

    private static HttpMethod method(Command<Content> command) {
        return switch (command.action()) {
            case READ -> HttpMethod.GET;
            case WRITE -> HttpMethod.PUT;
            case DELETE -> HttpMethod.DELETE;
        };
    }

    /** Whether received bytes can belong to the awaited response. */
    private boolean expected(ByteBuf in) {
        NodeExchange current = current();
        if (current == null || current.isEnded() && !current.isDetached() || !current.isWritten() && upload == null) {
            return false;
        }
        for (int i = in.readerIndex(); begun < START.length && i < in.writerIndex(); i++, begun++) {
            if (in.getByte(i) != START[begun]) {
                return false;
            }
        }
        current.markResponseStarted();
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpResponse begins) {
                begin(begins);
            }
            if (message instanceof HttpContent part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpResponse begins) {
        if (current() == null || answer != null || head != null) {
            more = true;
        } else if (begins.decoderResult().isFailure()) {
            fail(begins.decoderResult().cause());
        } else {
            long length = HttpUtil.getContentLength(begins, -1L);
            if (length > Content.MOST_BYTES) {
                protocolError();
                return;
            }
            head = begins;
            if (length > Content.MAX_BYTES && begins.status().equals(HttpResponseStatus.OK)) {
                stream(length);
            }
        }
    }

    private void read(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (head == null) {
            more |= part.content().isReadable();
        } else if (part.decoderResult().isFailure()) {
            fail(part.decoderResult().cause());
        } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (last) {
                head = null;
                begun = 0;
            }
        } else if (stream == null) {
            hold(part.content(), last);
        } else {
            stream.feed(part.content().retain());
            if (last && mayBeCut()) {
                connectionLost();
                dropPieces();
            } else if (last) {
                endStream();
            }
        }
    }

    /** Buffers a part of a response; a successful response that becomes too large for that is streamed from here on. */
    private void hold(ByteBuf part, boolean last) {
        body = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context().alloc(), body, part.retain());
        if (last && mayBeCut()) {
            connectionLost();
        } else if (last) {
            HttpHeaders headers = head.headers();
            answer = new Reply(head.status().code(), "1".equals(headers.get("X-Rejected")), headers.get("X-Hit", ""),
                    headers.get(HttpHeaderNames.CONTENT_TYPE), body, staysOpen());
            head = null;
            body = Unpooled.EMPTY_BUFFER;
        } else if (body.readableBytes() > Content.MAX_BYTES) {
            if (head.status().equals(HttpResponseStatus.OK)) {
                stream(-1);
            } else {
                protocolError();
            }
        }
    }

    /** Whether the response itself shows its end, so that it does not end by the close of the connection. */
    private boolean isFramed() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private boolean staysOpen() {
        return isFramed() && HttpUtil.isKeepAlive(head);
    }

    /**
     * Whether the response ended only by the close of the connection without having announced it: it cannot be known
     * whether it is complete.
     */
    private boolean mayBeCut() {
        return !isFramed() && HttpUtil.isKeepAlive(head);
    }

    /** Passes on the part of the response that has arrived; the rest follows at the pace of the client. */
    private void stream(long length) {
        NodeExchange exchange = current();
        stream = new BodyStream(length, flows -> {
            pace.progress(now());
            context().channel().config().setAutoRead(flows);
        });
        ByteBuf first = body;
        body = Unpooled.EMPTY_BUFFER;
        boolean taken;
        try {
            NodeResponse<Content> begins = new NodeResponse<>(new Content(first, head.headers().get(HttpHeaderNames.CONTENT_TYPE), stream),
                    note(head.headers().get("X-Hit", "")));
            taken = exchange.startStreaming(begins);
        } finally {
            first.release();
        }
        if (!taken) {
            stream = null;
            protocolError();
        }
    }

    private void endStream() {
        BodyStream whole = stream;
        boolean keepAlive = staysOpen() && !more;
        stream = null;
        head = null;
        stopPace();
        context().channel().config().setAutoRead(true);
        whole.end();
        finish(Outcome.OK, null, keepAlive && !decoder.leftOver());
    }

    /** Discards the part of a response that has arrived. */
    private void dropPieces() {
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        if (stream != null) {
            BodyStream broken = stream;
            stream = null;
            broken.broke();
        }
        stopPace();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void stopPace() {
        if (paceTimer != null) {
            paceTimer.cancel(false);
            paceTimer = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (answer != null) {
            finish();
        } else if (current() != null && begun > 0) {
            pace.progress(now());
            if (paceTimer == null) {
                watch(current());
            }
        }
    }

    private void watch(NodeExchange watched) {
        paceTimer = context().executor().schedule(() -> {
            paceTimer = null;
            if (current() != watched || begun == 0) {
                return;
            }
            if (stream != null && !stream.isFlowing()) {
                pace.progress(now());
            }
            if (pace.isStalled(now(), stream != null)) {
                protocolError();
            } else {
                watch(watched);
            }
        }, (long) ResponseStallDetector.CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the exchange with its response. A connection that received extra data is not reused, as the data would be
     * taken for the next response.
     */
    private void finish() {
        Reply reply = answer;
        answer = null;
        stopPace();
        try {
            Outcome outcome = outcome(reply);
            boolean absent = missIsAnswer && outcome == Outcome.MISS;
            finish(absent ? Outcome.OK : outcome, new NodeResponse<>(absent ? Content.ABSENT : new Content(reply.bytes(),
                    reply.mediaType()), note(reply.hit())), upload == null && !more && !decoder.leftOver() && reply.keepAlive());
        } finally {
            reply.bytes().release();
        }
    }

    @Override
    protected void connectionClosed() {
        if (answer != null) {
            finish();
        } else {
            connectionLost();
        }
        dropPieces();
        if (upload != null) {
            BodyStream unread = upload;
            upload = null;
            unread.drop();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause);
    }

    /** Ends the exchange as a lost connection, also within a response, or as a protocol error for other causes. */
    private void fail(Throwable cause) {
        if (answer != null) {
            more = true;
            finish();
            context().close();
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            connectionLost();
            dropPieces();
            context().close();
        } else {
            protocolError();
        }
    }

    private static Outcome outcome(Reply reply) {
        return switch (reply.status()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 -> reply.rejected() ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    private static int note(String hit) {
        return switch (hit) {
            case "hit" -> NodeResponse.HIT;
            case "miss" -> NodeResponse.MISS;
            case "pending" -> NodeResponse.PENDING;
            default -> NodeResponse.NO_CACHE_STATUS;
        };
    }

    /**
     * Checks received bytes before they are decoded. Bytes that arrive while no response is awaited, or before the
     * request has been written, belong to an older exchange. Bytes that do not start a response would otherwise be
     * detected only at the end of a line. Plain responses are parsed here; from the first one on that is not plain,
     * Netty's decoder reads everything on this connection.
     */
    private final class Bytes extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;
        private boolean plain = true;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        /** Uses Netty's codec in both directions from now on. */
        void codec() {
            if (plain) {
                plain = false;
                // Both are added directly behind this handler, so the one added last comes first.
                context.pipeline().addAfter(context.name(), null, decoder).addAfter(context.name(), null, new HttpRequestEncoder());
            }
        }

        private boolean isRead(ByteBuf in) {
            LeanHttp response = LeanHttp.response(in);
            if (response == null) {
                return false;
            }
            String hit = response.get("X-Hit");
            answer = new Reply(response.status(), "1".equals(response.get("X-Rejected")), hit == null ? "" : hit,
                    response.get("Content-Type"), response.body(in), response.isKeepAlive());
            return true;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean first = begun == 0;
            if (answer != null) {
                more = true;
                ReferenceCountUtil.release(message);
            } else if (message instanceof ByteBuf in && !expected(in)) {
                in.release();
                protocolError();
            } else if (plain && first && message instanceof ByteBuf in && isRead(in)) {
                in.release();
            } else {
                codec();
                ctx.fireChannelRead(message);
            }
        }
    }
}
