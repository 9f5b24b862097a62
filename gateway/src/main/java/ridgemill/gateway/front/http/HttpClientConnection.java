package ridgemill.gateway.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import ridgemill.core.NodeResponse;
import ridgemill.core.ResponseHandler;
import ridgemill.gateway.front.ClientConnection;
import ridgemill.gateway.front.PipelineTimer;
import ridgemill.gateway.net.BodyStream;
import ridgemill.gateway.net.BodyWriter;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.LeanHttp;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.StrictHttp;
import ridgemill.policy.Reason;

/**
 * One client's HTTP/1.1 connection. Pipelined requests are answered in order (RFC 9112, section 9.3.2). As many as the
 * frontend's policy allows are processed concurrently, as long as all of them are reads. When a request's deadline is
 * reached, the requests before it get their final responses too, so none of them delays its response.
 */
final class HttpClientConnection extends ClientConnection {

    /** Limit of queued requests, beyond which the connection is not read. */
    private static final int MAX_QUEUED_REQUESTS = 16;
    /** Limit of buffered response bytes that wait for an earlier response, beyond which no further request is begun. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /**
     * How much input is read and dropped after an error response: closing with unread input resets the connection and
     * loses the response.
     */
    private static final long LINGER_BYTES = 1 << 20;

    private final HttpFrontend frontend;
    private final FastPathCodec codec = new FastPathCodec();
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private final PipelineTimer<Exchange> pipelineTimer;
    private int bufferedBytes;
    private boolean beginning;
    /**
     * The body of the request that is being received. If its response was the last one, its end closes the connection.
     */
    private BodyStream upload;
    /** A streaming request that waits for the responses of the requests before it. */
    private RequestAggregator.StreamingRequest queuedStreamingRequest;
    private boolean closesAfterUpload;
    /** The body of the response that is being written. */
    private BodyStream responseStream;
    /** Set if no further request is begun. The connection closes after the last response. */
    private boolean lastRequestBegun;
    /** Set if the client has closed its sending side and still reads. */
    private boolean inputEnded;

    HttpClientConnection(Channel channel, HttpFrontend frontend) {
        super(channel, frontend.table());
        this.frontend = frontend;
        this.pipelineTimer = new PipelineTimer<>(channel.eventLoop(), frontend.intake()::now, Exchange::answerNow);
        if (frontend.policy().allowsHalfClose() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
    }

    FastPathCodec codec() {
        return codec;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof RequestAggregator.StreamingRequest streaming) {
            beginOrQueue(streaming);
            return;
        }
        FullHttpRequest request = (FullHttpRequest) message;
        try {
            if (phase() == Phase.CLOSING || lastRequestBegun) {
                return;
            }
            if (exchanges.isEmpty() && queue.isEmpty()) {
                begin(request, loopStallMs());
                return;
            }
            queue.add(new QueuedRequest(request.retain(), System.nanoTime(), loopStallMs()));
            if (queue.size() >= MAX_QUEUED_REQUESTS) {
                // Further input stays in the socket buffers and slows the client down.
                channel().config().setAutoRead(false);
            }
            beginNext();
        } finally {
            request.release();
        }
    }

    /**
     * Begins or queues a request whose body is still being received. No later request is read before the body's end.
     */
    private void beginOrQueue(RequestAggregator.StreamingRequest request) {
        if (phase() == Phase.CLOSING || lastRequestBegun) {
            request.firstPart().release();
            request.rest().drop();
        } else if (exchanges.isEmpty() && queue.isEmpty()) {
            begin(request);
        } else {
            queuedStreamingRequest = request;
        }
    }

    private void begin(RequestAggregator.StreamingRequest request) {
        upload = request.rest();
        try {
            Exchange exchange = new Exchange(HttpUtil.isKeepAlive(request.head()), false, true);
            if (!rejectIfOverLimit(exchange, request.head().headers().get("X-Call-Class"))) {
                handle(exchange, frontend.requests().read(request, timeoutMs -> remainingMs(timeoutMs, 0),
                        frontend.intake()::isOpen, frontend.intake()::acceptsStreamingBody));
            }
            exchange.upload(request.rest());
        } finally {
            request.firstPart().release();
        }
    }

    /** Called when the body of a streaming request is complete or was aborted. */
    private void uploadEnded(Exchange exchange, boolean complete) {
        upload = null;
        if (complete && exchange.id != null) {
            frontend.intake().bodyReceived(exchange.id);
        }
        if (!complete && phase() != Phase.CLOSING) {
            // A following request could not be told apart from the missing rest of the body.
            channel().close();
        } else if (closesAfterUpload) {
            channel().close();
        } else if (exchanges.isEmpty() && phase() == Phase.READING) {
            enterPhase(Phase.IDLE);
            markUsed();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded = true;
            if (exchanges.isEmpty() && queue.isEmpty() && phase() != Phase.CLOSING) {
                // Close after the pending writes.
                enterPhase(Phase.CLOSING);
                codec.closeAfterWrites();
            }
        }
        super.userEventTriggered(ctx, event);
    }

    /** Returns how long the current input may have waited because the event loop was stalled, in milliseconds. */
    private double loopStallMs() {
        return frontend.intake().deadlines().loopStalls().maxAgeMs(frontend.intake().now());
    }

    /** Returns what remains of a client's timeout of which {@code passedMs} has passed already, in milliseconds. */
    private double remainingMs(double timeoutMs, double passedMs) {
        return Math.min(frontend.intake().deadlines().remainingMs(timeoutMs, passedMs, frontend.returnDelay()),
                frontend.table().remainingMs());
    }

    /** Begins the queued requests that may run beside the open ones: reads beside reads only. */
    private void beginNext() {
        if (beginning) {
            return;
        }
        beginning = true;
        try {
            if (queue.isEmpty() && exchanges.isEmpty() && queuedStreamingRequest != null && phase() != Phase.CLOSING
                    && !lastRequestBegun) {
                RequestAggregator.StreamingRequest next = queuedStreamingRequest;
                queuedStreamingRequest = null;
                begin(next);
            }
            while (!queue.isEmpty() && phase() != Phase.CLOSING && !lastRequestBegun
                    && canBegin(queue.peek().request())) {
                QueuedRequest next = queue.poll();
                channel().config().setAutoRead(true);
                try {
                    begin(next.request(), TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.arrivedNanos()) / 1e3
                            + next.stalledMs());
                } finally {
                    next.request().release();
                }
            }
        } finally {
            beginning = false;
        }
    }

    private boolean canBegin(FullHttpRequest next) {
        return exchanges.isEmpty() || exchanges.size() < frontend.policy().maxConcurrentRequests()
                && bufferedBytes < MAX_BUFFERED_BYTES && isRead(next) && exchanges.stream().allMatch(e -> e.read);
    }

    private static boolean isRead(FullHttpRequest request) {
        return request.method().equals(HttpMethod.GET);
    }

    private void begin(FullHttpRequest request, double passedMs) {
        Exchange exchange = new Exchange(HttpUtil.isKeepAlive(request), isRead(request),
                request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        if (!rejectIfOverLimit(exchange, request.headers().get("X-Call-Class"))) {
            handle(exchange, frontend.requests().read(request, timeoutMs -> remainingMs(timeoutMs, passedMs),
                    frontend.intake()::isOpen));
        }
    }

    private void begin(LeanHttp request, ByteBuf input) {
        Exchange exchange = new Exchange(request.isKeepAlive(), !request.isPut(), true);
        if (rejectIfOverLimit(exchange, request.get("X-Call-Class"))) {
            return;
        }
        ByteBuf body = request.body(input);
        try {
            double passedMs = loopStallMs();
            handle(exchange, frontend.requests().read(request, body, timeoutMs -> remainingMs(timeoutMs, passedMs),
                    frontend.intake()::isOpen));
        } finally {
            body.release();
        }
    }

    private boolean rejectIfOverLimit(Exchange exchange, String requestedClass) {
        if (!isOverLimit()) {
            return false;
        }
        frontend.intake().countRejected(requestedClass);
        requestStarted();
        lastRequestBegun = true;
        addExchange(exchange, Double.POSITIVE_INFINITY);
        exchange.respond(HttpResponseStatus.TOO_MANY_REQUESTS, OVER_LIMIT_RETRY_AFTER_MS);
        return true;
    }

    private void addExchange(Exchange exchange, double deadlineMs) {
        exchanges.addLast(exchange);
        pipelineTimer.add(exchange, deadlineMs);
        lastRequestBegun |= !exchange.keepAlive;
    }

    private void handle(Exchange exchange, HttpRequestReader.ParsedRequest request) {
        if (request instanceof HttpRequestReader.Call call) {
            requestStarted();
            exchange.id = call.request().id();
            addExchange(exchange, frontend.intake().now() + call.request().budgetMs());
            frontend.intake().submit(call.admitted(), call.request(), call.command(), exchange);
            pipelineTimer.schedule();
        } else if (request instanceof HttpRequestReader.Rejected rejected) {
            frontend.intake().countRejected(rejected.requestedClass());
            requestStarted();
            addExchange(exchange, Double.POSITIVE_INFINITY);
            exchange.reason(Reason.LIMIT);
            exchange.limited(rejected.retryAfterMs());
        } else if (request instanceof HttpRequestReader.OutcomeQuery query) {
            requestStarted();
            addExchange(exchange, Double.POSITIVE_INFINITY);
            frontend.intake().findOutcome(query.key(), query.tenant(), record ->
                    exchange.respond(record == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK, 0,
                            OutcomeJson.of(record, frontend.intake().now()), null));
        } else if (request instanceof HttpRequestReader.InvalidRequest invalid && exchanges.isEmpty()) {
            reject(invalid.status());
        } else if (request instanceof HttpRequestReader.InvalidRequest invalid) {
            // The responses to earlier requests are sent first.
            addExchange(exchange, Double.POSITIVE_INFINITY);
            lastRequestBegun = true;
            exchange.rejection = invalid.status();
            exchange.respond(invalid.status(), 0);
        } else {
            addExchange(exchange, Double.POSITIVE_INFINITY);
            exchange.respond(frontend.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        }
    }

    /** Writes the responses that are complete and not blocked by an earlier request. */
    private void writeReady() {
        while (!exchanges.isEmpty() && exchanges.peek().done && phase() != Phase.CLOSING) {
            if (exchanges.peek().content.rest() != null) {
                stream(exchanges.peek());
                return;
            }
            Exchange exchange = exchanges.poll();
            pipelineTimer.removeFirst();
            if (exchange.rejection != null) {
                reject(exchange.rejection);
                return;
            }
            write(exchange);
        }
        if (phase() != Phase.CLOSING) {
            beginNext();
        }
    }

    private void write(Exchange exchange) {
        boolean closes = exchanges.isEmpty()
                && (lastRequestBegun || mustCloseAfterResponse() || inputEnded && queue.isEmpty());
        boolean uploading = upload != null && upload.isOpen();
        if (uploading) {
            upload.drop();
            enterPhase(Phase.READING);
        } else if (closes) {
            enterPhase(Phase.CLOSING);
        } else if (exchanges.isEmpty()) {
            enterPhase(Phase.IDLE);
        }
        long startNanos = System.nanoTime();
        Content content = exchange.content;
        ChannelFuture written = content.mediaType() == null || LeanHttp.isPlain(content.mediaType(), true)
                ? codec.write(exchange.status, exchange.retryAfterMs, content, exchange.extraHeaders, closes)
                : writeEncoded(exchange.status, content, closes);
        exchange.release();
        trackWrite(written);
        if (written.isDone()) {
            frontend.returnDelay().record((System.nanoTime() - startNanos) / 1e6);
        } else {
            written.addListener(f -> frontend.returnDelay().record((System.nanoTime() - startNanos) / 1e6));
        }
        if (uploading) {
            // The response is sent before the request body is complete. The body is read to its end, as closing the
            // connection earlier would reset it and lose the response.
            closesAfterUpload = closes;
        } else if (closes) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (exchanges.isEmpty()) {
            markUsed();
        }
    }

    /**
     * Writes the available part of a response. The rest follows as it arrives; nothing else is written before its end.
     */
    private void stream(Exchange exchange) {
        if (responseStream != null) {
            return;
        }
        BodyStream rest = exchange.content.rest();
        boolean closes = lastRequestBegun || mustCloseAfterResponse() || inputEnded
                || rest.length() < 0 && !exchange.supportsChunked;
        lastRequestBegun |= closes;
        BodyWriter writer = new BodyWriter(codec.context, rest.length() < 0 && exchange.supportsChunked);
        responseStream = rest;
        trackWrite(codec.beginStream(exchange.content, writer, closes));
        exchange.release();
        rest.drain(new BodyStream.Sink() {
            @Override
            public void part(ByteBuf part) {
                trackWrite(writer.part(part));
                rest.wants(channel().isWritable());
            }

            @Override
            public void end() {
                responseStream = null;
                ChannelFuture written = writer.end(channel().newPromise());
                trackWrite(written);
                endStream(exchange, written);
            }

            @Override
            public void broken() {
                // Clients detect a truncated body by its Content-Length or the missing last chunk. Without either, only
                // a connection reset shows it.
                if (rest.length() < 0 && !writer.isChunked()) {
                    channel().config().setOption(ChannelOption.SO_LINGER, 0);
                }
                responseStream = null;
                channel().close();
            }
        });
    }

    private void endStream(Exchange exchange, ChannelFuture written) {
        if (exchanges.peek() != exchange) {
            return;
        }
        exchanges.poll();
        pipelineTimer.removeFirst();
        if (exchanges.isEmpty() && lastRequestBegun) {
            enterPhase(Phase.CLOSING);
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (exchanges.isEmpty()) {
            enterPhase(Phase.IDLE);
            markUsed();
        }
        writeReady();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (responseStream != null) {
            responseStream.wants(channel().isWritable());
        }
        super.channelWritabilityChanged(ctx);
    }

    /** Writes a response with Netty's encoder, which handles media types that are not plain ASCII text. */
    private ChannelFuture writeEncoded(HttpResponseStatus status, Content content, boolean closes) {
        FullHttpResponse response = response(status, content.bytes().retain());
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, content.mediaType());
        HttpUtil.setContentLength(response, content.bytes().readableBytes());
        if (closes) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        codec.installNettyCodec();
        return channel().writeAndFlush(response);
    }

    private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    }

    /**
     * Responds to an invalid request and closes the connection. Closes only the sending side at first: closing fully
     * while input is still arriving would reset the connection before the client has read the status.
     */
    private void reject(HttpResponseStatus status) {
        FullHttpResponse response = response(status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        enterPhase(Phase.CLOSING);
        dropQueue();
        channel().config().setAutoRead(true);
        codec.installNettyCodec();
        ChannelFuture written = channel().writeAndFlush(response);
        trackWrite(written);
        written.addListener(f -> {
            if (channel() instanceof DuplexChannel halves) {
                halves.shutdownOutput();
            }
        });
    }

    private void dropQueue() {
        queue.forEach(w -> w.request().release());
        queue.clear();
        if (queuedStreamingRequest != null) {
            queuedStreamingRequest.firstPart().release();
            queuedStreamingRequest.rest().drop();
            queuedStreamingRequest = null;
        }
    }

    @Override
    protected boolean isUploading() {
        if (upload != null && upload.isOpen() && !upload.isFlowing()) {
            // The node is slow, not the client. The client's rate is measured from when it is read again.
            restartRequestRate();
            return false;
        }
        return upload != null && upload.isOpen();
    }

    @Override
    protected void requestTimedOut() {
        List<Exchange> dropped = List.copyOf(exchanges);
        exchanges.clear();
        dropped.forEach(Exchange::drop);
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    @Override
    protected void disconnected() {
        dropQueue();
        pipelineTimer.cancel();
        List<Exchange> dropped = List.copyOf(exchanges);
        exchanges.clear();
        dropped.forEach(Exchange::drop);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof TooLongHttpContentException)) {
            if (!(cause instanceof IOException) && !(cause instanceof CodecException)) {
                // A defect of this program, which would otherwise close a connection without a log entry.
                Log.error("a client's connection failed", cause);
            }
            ctx.close();
        } else if (phase() != Phase.BUSY && phase() != Phase.CLOSING) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else {
            // Open requests are answered first. The connection closes after the last of these responses.
            lastRequestBegun = true;
        }
    }

    /** One request, from its start until its response is written. Accepts exactly one response. */
    private final class Exchange implements ResponseHandler<Content> {
        private final boolean keepAlive;
        private final boolean read;
        /** Whether the client supports chunked transfer coding, which HTTP/1.1 introduced. */
        private final boolean supportsChunked;
        private String id;
        private boolean done;
        private boolean retainsContent;
        private HttpResponseStatus rejection;
        private HttpResponseStatus status;
        private double retryAfterMs;
        private Content content;
        private String extraHeaders;
        private String reasonHeader;

        Exchange(boolean keepAlive, boolean read, boolean supportsChunked) {
            this.keepAlive = keepAlive;
            this.read = read;
            this.supportsChunked = supportsChunked;
        }

        /** Attaches the rest of the request body. Its end is reported here, after its consumer if it has one. */
        private void upload(BodyStream rest) {
            rest.onEnd(complete -> uploadEnded(this, complete));
            if (done || id == null) {
                rest.drop();
            }
        }

        private void respond(HttpResponseStatus responseStatus, double retryMs) {
            respond(responseStatus, retryMs, Content.EMPTY, null);
        }

        private void respond(HttpResponseStatus responseStatus, double retryMs, Content responseContent,
                             String headerLines) {
            if (done) {
                return;
            }
            done = true;
            status = responseStatus;
            retryAfterMs = retryMs;
            content = responseContent;
            extraHeaders = headerLines;
            if (exchanges.peek() == this) {
                writeReady();
            } else {
                // The bytes are valid only until this method returns, and earlier responses have to be sent first.
                responseContent.bytes().retain();
                retainsContent = true;
                bufferedBytes += responseContent.bytes().readableBytes();
            }
        }

        private void release() {
            if (retainsContent) {
                retainsContent = false;
                bufferedBytes -= content.bytes().readableBytes();
                content.bytes().release();
            }
        }

        /** Requests the final response now. */
        private void answerNow() {
            if (!done && id != null) {
                frontend.intake().answerNow(id);
            }
        }

        /** Drops the exchange without a response, as its client has disconnected or was too slow. */
        private void drop() {
            release();
            if (content != null && content.rest() != null) {
                content.rest().drop();
                frontend.intake().clientDisconnected(id);
            }
            if (!done) {
                done = true;
                if (id != null) {
                    frontend.intake().clientDisconnected(id);
                }
            }
        }

        @Override
        public boolean supportsStreaming() {
            return true;
        }

        @Override
        public void served(NodeResponse<Content> response) {
            if (response.content().isAbsent()) {
                respond(HttpResponseStatus.NOT_FOUND, 0);
            } else {
                respond(HttpResponseStatus.OK, 0, response.content(), null);
            }
        }

        @Override
        public void recorded(String callId) {
            respond(HttpResponseStatus.OK, 0, Content.EMPTY, "\r\nx-outcome: recorded\r\nx-outcome-call: " + callId);
        }

        @Override
        public void conflict() {
            respond(HttpResponseStatus.UNPROCESSABLE_ENTITY, 0);
        }

        @Override
        public void reason(Reason reason) {
            reasonHeader = frontend.policy().sendsReasons() ? "\r\nx-reason: " + reason.code() : null;
        }

        @Override
        public void refused(double retryAfterMs) {
            respond(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs, Content.EMPTY, reasonHeader);
        }

        @Override
        public void limited(double retryAfterMs) {
            respond(HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs, Content.EMPTY, reasonHeader);
        }

        @Override
        public void failed() {
            respond(HttpResponseStatus.BAD_GATEWAY, 0, Content.EMPTY, reasonHeader);
        }
    }

    /**
     * A request that arrived while another was open on its connection.
     *
     * @param arrivedNanos when it was read
     * @param stalledMs how long it may have waited before that because the event loop was stalled
     */
    private record QueuedRequest(FullHttpRequest request, long arrivedNanos, double stalledMs) { }

    /**
     * Receives all bytes first, as a request's timeout starts with its first byte. Simple requests are parsed here.
     * From the first other request on, Netty's decoder reads all input of this connection, as it may have buffered the
     * start of the next request.
     */
    final class FastPathCodec extends ChannelInboundHandlerAdapter {
        /** Bodies up to this size are copied behind their head: one buffer costs less than a gathering write of two. */
        private static final int MAX_COPIED_BYTES = 2048;
        private static final int HEAD_CAPACITY_BYTES = 256;
        private static final byte[] OK = ascii("HTTP/1.1 200 OK\r\ncontent-length: ");
        private static final byte[] CHUNKED = ascii("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked");
        private static final byte[] UNFRAMED = ascii("HTTP/1.1 200 OK");
        private static final byte[] VERSION = ascii("HTTP/1.1 ");
        private static final byte[] LENGTH = ascii("\r\ncontent-length: ");
        private static final byte[] TYPE = ascii("\r\ncontent-type: ");
        private static final byte[] RETRY = ascii("\r\nretry-after: ");
        private static final byte[] CLOSE = ascii("\r\nconnection: close");
        private static final byte[] END = ascii("\r\n\r\n");

        private ChannelHandlerContext context;
        private boolean fastPath = true;
        private long droppedBytes;

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
                droppedBytes += message instanceof ByteBuf input ? input.readableBytes() : 0;
                ReferenceCountUtil.release(message);
                if (droppedBytes > LINGER_BYTES) {
                    channel().config().setAutoRead(false);
                }
                return;
            }
            boolean startsRequest = phase() == Phase.SILENT || phase() == Phase.IDLE;
            if (startsRequest) {
                enterPhase(Phase.READING);
            }
            if (message instanceof ByteBuf input) {
                bytesReceived(input.readableBytes());
            }
            if (fastPath && startsRequest && message instanceof ByteBuf input) {
                LeanHttp request = LeanHttp.request(input);
                if (request != null) {
                    try {
                        begin(request, input);
                    } finally {
                        input.release();
                    }
                    return;
                }
            }
            installNettyCodec();
            ctx.fireChannelRead(message);
        }

        /** Writes the head of a response whose body follows, and the available part of the body. */
        ChannelFuture beginStream(Content content, BodyWriter writer, boolean last) {
            ByteBuf out = context.alloc().ioBuffer(HEAD_CAPACITY_BYTES);
            long length = content.rest().length();
            if (writer.isChunked()) {
                out.writeBytes(CHUNKED);
            } else if (length < 0) {
                out.writeBytes(UNFRAMED);
            } else {
                LeanHttp.writeNumber(out.writeBytes(OK), length);
            }
            if (content.mediaType() != null && LeanHttp.isPlain(content.mediaType(), true)) {
                out.writeBytes(TYPE).writeCharSequence(content.mediaType(), StandardCharsets.US_ASCII);
            }
            if (last) {
                out.writeBytes(CLOSE);
            }
            ChannelFuture head = context.writeAndFlush(out.writeBytes(END));
            return content.bytes().isReadable() ? writer.part(content.bytes().retainedDuplicate()) : head;
        }

        /** Closes the connection after all pending writes. */
        void closeAfterWrites() {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** Hands all further input to Netty's codec. */
        void installNettyCodec() {
            if (fastPath) {
                fastPath = false;
                // Each is added right after this handler, so the last one added comes first.
                context.pipeline().addAfter(context.name(), null, new RequestAggregator())
                        .addAfter(context.name(), null, new HttpResponseEncoder())
                        .addAfter(context.name(), null, new StrictHttp.Requests());
            }
        }

        /**
         * Writes a response without an encoder.
         *
         * @param extraHeaders further header lines, each with CR LF in front of it; null for none
         */
        ChannelFuture write(HttpResponseStatus status, double retryAfterMs, Content content, String extraHeaders,
                            boolean last) {
            ByteBuf body = content.bytes();
            int length = body.readableBytes();
            boolean copied = length <= MAX_COPIED_BYTES;
            ByteBuf out = context.alloc().ioBuffer(HEAD_CAPACITY_BYTES + (copied ? length : 0));
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
            if (extraHeaders != null) {
                out.writeCharSequence(extraHeaders, StandardCharsets.US_ASCII);
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
