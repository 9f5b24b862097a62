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

    /** Initial buffer size for a request head. */
    private static final int HEAD_BUFFER_BYTES = 512;
    /** Bodies up to this size are copied behind the head and written in one piece with it. */
    private static final int MAX_COPIED_BODY_BYTES = 2048;
    /** The bytes that every response starts with. */
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final boolean missIsFinal;
    private final StrictHttp.Responses decoder = new StrictHttp.Responses();
    private final PlainCodec plainCodec = new PlainCodec();
    /** The complete response, until the read that brought it is over and shows whether more data came with it. */
    private Response pendingResponse;
    private boolean hasExtraData;
    /** How many bytes of {@link #START} have been matched; 0 until a response starts. */
    private int prefixMatched;
    private final ResponseStallDetector stallDetector = new ResponseStallDetector();
    private Future<?> stallTimer;
    /** The head of a response that arrives in parts. */
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
    public HttpNodeConnection(boolean missIsFinal) {
        this.missIsFinal = missIsFinal;
    }

    /**
     * The parts of a response that are evaluated.
     *
     * @param rejected whether the node reports that it has not executed the request
     * @param cacheStatus the reported cache status; empty if the node reports none
     * @param bytes the value; released by the code that handles the response
     */
    private record Response(int status, boolean rejected, String cacheStatus, String mediaType, ByteBuf bytes,
            boolean keepAlive) { }

    @Override
    protected void install(ChannelPipeline pipeline) {
        pipeline.addLast(plainCodec, this);
    }

    @Override
    protected void resetExchangeState() {
        upload = null;
        prefixMatched = 0;
    }

    @Override
    protected Object buildMessage(NodeExchange exchange) {
        Attempt<Content> attempt = exchange.attempt();
        if (attempt == null) {
            return ByteBufUtil.writeAscii(context().alloc(), "GET /alive HTTP/1.1\r\n\r\n");
        }
        if (attempt.hasStreamingBody()) {
            return encodeHead(attempt);
        }
        if (isPlain(attempt)) {
            return encodePlain(attempt);
        }
        plainCodec.useNettyCodec();
        return request(attempt);
    }

    /**
     * Whether the request can be written without Netty's encoder. Values from clients of other protocols may contain
     * any bytes; Netty's encoder and headers reject values that would break a request head.
     */
    private static boolean isPlain(Attempt<Content> attempt) {
        Command<Content> command = attempt.command();
        return LeanHttp.isPlain(attempt.requestId(), false) && command.action() != Command.Action.DELETE
                && LeanHttp.isPlain(command.target(), false)
                && (command.idempotencyKey() == null || LeanHttp.isPlain(command.idempotencyKey(), true))
                && (command.content().mediaType() == null || LeanHttp.isPlain(command.content().mediaType(), true))
                && command.content().bytes().readableBytes() <= MAX_COPIED_BODY_BYTES;
    }

    /** Encodes a request without Netty's encoder. */
    private ByteBuf encodePlain(Attempt<Content> attempt) {
        Command<Content> command = attempt.command();
        Content content = command.content();
        ByteBuf body = content.bytes();
        int length = body.readableBytes();
        ByteBuf out = context().alloc().ioBuffer(HEAD_BUFFER_BYTES + length);
        writeText(out, command.write() ? "PUT " : "GET ", command.target());
        writeText(out, " HTTP/1.1\r\nhost: service.internal\r\nX-Call-Id: ", attempt.requestId());
        writeText(out, "\r\nX-Budget: ", "");
        LeanHttp.writeSeconds(out, Math.max(1, Math.round(attempt.remainingMs())));
        if (attempt.versionLabel() != null) {
            writeText(out, "\r\nX-Acted-Under: ", attempt.versionLabel());
        }
        if (command.idempotencyKey() != null) {
            writeText(out, "\r\nIdempotency-Key: ", command.idempotencyKey());
        }
        if (content.mediaType() != null) {
            writeText(out, "\r\ncontent-type: ", content.mediaType());
        }
        if (length > 0 || command.write()) {
            writeText(out, "\r\ncontent-length: ", "");
            LeanHttp.writeNumber(out, length);
        }
        writeText(out, "\r\n\r\n", "");
        return out.writeBytes(body, body.readerIndex(), length);
    }

    /** Encodes the head of a request whose body is streamed. */
    private ByteBuf encodeHead(Attempt<Content> attempt) {
        FullHttpRequest request = request(attempt);
        Content content = attempt.command().content();
        HttpHeaders headers = request.headers();
        if (content.rest().length() < 0) {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
                    .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.rest().length());
        }
        ByteBuf out = context().alloc().ioBuffer(HEAD_BUFFER_BYTES);
        writeText(out, request.method().name() + " ", request.uri());
        writeText(out, " HTTP/1.1", "");
        headers.forEach(h -> writeText(out, "\r\n" + h.getKey() + ": ", h.getValue()));
        writeText(out, "\r\n\r\n", "");
        request.release();
        return out;
    }

    /** Writes a streamed body as it arrives; the promise completes when its last byte has been written. */
    private final class Upload implements BodyStream.Sink {
        private final BodyStream rest;
        private final ChannelPromise lastByteWritten;
        private final BodyWriter writer;

        Upload(BodyStream rest, ChannelPromise lastByteWritten) {
            this.rest = rest;
            this.lastByteWritten = lastByteWritten;
            this.writer = new BodyWriter(plainCodec.context, rest.length() < 0);
        }

        @Override
        public void part(ByteBuf part) {
            writer.part(part);
            rest.wants(context().channel().isWritable());
        }

        @Override
        public void end() {
            upload = null;
            writer.end(lastByteWritten);
        }

        @Override
        public void broken() {
            upload = null;
            lastByteWritten.tryFailure(new IOException("the request's rest never came"));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (upload != null) {
            upload.wants(ctx.channel().isWritable());
        }
        super.channelWritabilityChanged(ctx);
    }

    private static void writeText(ByteBuf out, String prefix, String value) {
        ByteBufUtil.writeAscii(out, prefix);
        ByteBufUtil.writeAscii(out, value);
    }

    @Override
    protected ChannelFuture send(Object message) {
        Attempt<Content> attempt = current().attempt();
        if (attempt != null && attempt.hasStreamingBody()) {
            Content content = attempt.command().content();
            ChannelPromise lastByteWritten = context().newPromise();
            plainCodec.context.writeAndFlush(message, plainCodec.context.voidPromise());
            upload = content.rest();
            Upload uploadSink = new Upload(upload, lastByteWritten);
            if (content.bytes().isReadable()) {
                uploadSink.part(content.bytes().retainedDuplicate());
            }
            upload.drain(uploadSink);
            return lastByteWritten;
        }
        return message instanceof ByteBuf ? plainCodec.context.writeAndFlush(message) : super.send(message);
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
    private boolean isExpected(ByteBuf in) {
        NodeExchange current = current();
        if (current == null || current.isEnded() && !current.isDetached() || !current.isWritten() && upload == null) {
            return false;
        }
        for (int i = in.readerIndex(); prefixMatched < START.length && i < in.writerIndex(); i++, prefixMatched++) {
            if (in.getByte(i) != START[prefixMatched]) {
                return false;
            }
        }
        current.markResponseStarted();
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpResponse responseHead) {
                begin(responseHead);
            }
            if (message instanceof HttpContent part) {
                read(part);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpResponse responseHead) {
        if (current() == null || pendingResponse != null || head != null) {
            hasExtraData = true;
        } else if (responseHead.decoderResult().isFailure()) {
            fail(responseHead.decoderResult().cause());
        } else {
            long length = HttpUtil.getContentLength(responseHead, -1L);
            if (length > Content.MOST_BYTES) {
                protocolError();
                return;
            }
            head = responseHead;
            if (length > Content.MAX_BYTES && responseHead.status().equals(HttpResponseStatus.OK)) {
                stream(length);
            }
        }
    }

    private void read(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        if (head == null) {
            hasExtraData |= part.content().isReadable();
        } else if (part.decoderResult().isFailure()) {
            fail(part.decoderResult().cause());
        } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (last) {
                head = null;
                prefixMatched = 0;
            }
        } else if (stream == null) {
            buffer(part.content(), last);
        } else {
            stream.feed(part.content().retain());
            if (last && mayBeTruncated()) {
                connectionLost();
                discardPartialResponse();
            } else if (last) {
                endStream();
            }
        }
    }

    /** Buffers a part of a response; a successful response that becomes too large for that is streamed from here on. */
    private void buffer(ByteBuf part, boolean last) {
        body = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context().alloc(), body, part.retain());
        if (last && mayBeTruncated()) {
            connectionLost();
        } else if (last) {
            HttpHeaders headers = head.headers();
            pendingResponse = new Response(head.status().code(), "1".equals(headers.get("X-Rejected")),
                    headers.get("X-Hit", ""), headers.get(HttpHeaderNames.CONTENT_TYPE), body, isReusable());
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

    private boolean isReusable() {
        return isFramed() && HttpUtil.isKeepAlive(head);
    }

    /**
     * Whether the response ended only by the close of the connection without having announced it: it cannot be known
     * whether it is complete.
     */
    private boolean mayBeTruncated() {
        return !isFramed() && HttpUtil.isKeepAlive(head);
    }

    /** Passes on the part of the response that has arrived; the rest follows at the pace of the client. */
    private void stream(long length) {
        NodeExchange exchange = current();
        stream = new BodyStream(length, flowing -> {
            stallDetector.progress(nowMs());
            context().channel().config().setAutoRead(flowing);
        });
        ByteBuf first = body;
        body = Unpooled.EMPTY_BUFFER;
        boolean accepted;
        try {
            NodeResponse<Content> start = new NodeResponse<>(
                    new Content(first, head.headers().get(HttpHeaderNames.CONTENT_TYPE), stream),
                    cacheStatus(head.headers().get("X-Hit", "")));
            accepted = exchange.startStreaming(start);
        } finally {
            first.release();
        }
        if (!accepted) {
            stream = null;
            protocolError();
        }
    }

    private void endStream() {
        BodyStream endedStream = stream;
        boolean keepAlive = isReusable() && !hasExtraData;
        stream = null;
        head = null;
        stopStallDetection();
        context().channel().config().setAutoRead(true);
        endedStream.end();
        finish(Outcome.OK, null, keepAlive && !decoder.leftOver());
    }

    /** Discards the part of a response that has arrived. */
    private void discardPartialResponse() {
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        if (stream != null) {
            BodyStream brokenStream = stream;
            stream = null;
            brokenStream.broke();
        }
        stopStallDetection();
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private void stopStallDetection() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (pendingResponse != null) {
            finish();
        } else if (current() != null && prefixMatched > 0) {
            stallDetector.progress(nowMs());
            if (stallTimer == null) {
                scheduleStallCheck(current());
            }
        }
    }

    private void scheduleStallCheck(NodeExchange exchange) {
        stallTimer = context().executor().schedule(() -> {
            stallTimer = null;
            if (current() != exchange || prefixMatched == 0) {
                return;
            }
            if (stream != null && !stream.isFlowing()) {
                stallDetector.progress(nowMs());
            }
            if (stallDetector.isStalled(nowMs(), stream != null)) {
                protocolError();
            } else {
                scheduleStallCheck(exchange);
            }
        }, (long) ResponseStallDetector.CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the exchange with its response. A connection that received extra data is not reused, as the data would be
     * taken for the next response.
     */
    private void finish() {
        Response response = pendingResponse;
        pendingResponse = null;
        stopStallDetection();
        try {
            Outcome outcome = outcome(response);
            boolean isAbsent = missIsFinal && outcome == Outcome.MISS;
            finish(isAbsent ? Outcome.OK : outcome,
                    new NodeResponse<>(isAbsent ? Content.ABSENT : new Content(response.bytes(), response.mediaType()),
                            cacheStatus(response.cacheStatus())),
                    upload == null && !hasExtraData && !decoder.leftOver() && response.keepAlive());
        } finally {
            response.bytes().release();
        }
    }

    @Override
    protected void connectionClosed() {
        if (pendingResponse != null) {
            finish();
        } else {
            connectionLost();
        }
        discardPartialResponse();
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
        if (pendingResponse != null) {
            hasExtraData = true;
            finish();
            context().close();
        } else if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
            connectionLost();
            discardPartialResponse();
            context().close();
        } else {
            protocolError();
        }
    }

    private static Outcome outcome(Response response) {
        return switch (response.status()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 -> response.rejected() ? Outcome.REJECTED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    private static int cacheStatus(String text) {
        return switch (text) {
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
    private final class PlainCodec extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;
        private boolean plain = true;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        /** Uses Netty's codec in both directions from now on. */
        void useNettyCodec() {
            if (plain) {
                plain = false;
                // Both are added directly behind this handler, so the one added last comes first.
                context.pipeline().addAfter(context.name(), null, decoder)
                        .addAfter(context.name(), null, new HttpRequestEncoder());
            }
        }

        private boolean readPlainResponse(ByteBuf in) {
            LeanHttp parsed = LeanHttp.response(in);
            if (parsed == null) {
                return false;
            }
            String cacheStatus = parsed.get("X-Hit");
            pendingResponse = new Response(parsed.status(), "1".equals(parsed.get("X-Rejected")),
                    cacheStatus == null ? "" : cacheStatus, parsed.get("Content-Type"), parsed.body(in),
                    parsed.isKeepAlive());
            return true;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean first = prefixMatched == 0;
            if (pendingResponse != null) {
                hasExtraData = true;
                ReferenceCountUtil.release(message);
            } else if (message instanceof ByteBuf in && !isExpected(in)) {
                in.release();
                protocolError();
            } else if (plain && first && message instanceof ByteBuf in && readPlainResponse(in)) {
                in.release();
            } else {
                useNettyCodec();
                ctx.fireChannelRead(message);
            }
        }
    }
}
