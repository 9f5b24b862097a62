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
 * One client's HTTP/1.1 connection. Its requests are answered in their order (RFC 9112, section 9.3.2); as many as the front's
 * terms allow are carried out side by side, as long as all of them are reads. One that is due holds nobody up, and is held up by
 * nobody: what is ahead of it then has its final answer too.
 */
final class HttpClientConnection extends ClientConnection {

    private static final int MAX_QUEUED_REQUESTS = 16;
    /** Bytes of answers that wait for an earlier one, beyond which no further request is begun. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;
    /** For how many bytes input is read on after an error: unread input would reset the error away. */
    private static final long LINGER_BYTES = 1 << 20;

    private final HttpFrontend frontend;
    private final FastPathCodec codec = new FastPathCodec();
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private final PipelineTimer<Exchange> pipelineTimer;
    private int bufferedBytes;
    private boolean beginning;
    /** The rest of the request that is being read; with its end the connection goes where its answer was the last. */
    private BodyStream upload;
    /** One that waits for the answers of those before it. */
    private RequestAggregator.StreamingRequest queuedStreamingRequest;
    private boolean closesAfterUpload;
    /** The rest of the answer that is being written. */
    private BodyStream responseStream;
    /** No further request is begun; with the answer of the last the connection closes. */
    private boolean lastRequestBegun;
    /** The client sends nothing more, and reads on. */
    private boolean inputEnded;

    HttpClientConnection(Channel channel, HttpFrontend front) {
        super(channel, front.table());
        this.frontend = front;
        this.pipelineTimer = new PipelineTimer<>(channel.eventLoop(), front.intake()::now, Exchange::answerNow);
        if (front.policy().allowsHalfClose() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
    }

    FastPathCodec codec() {
        return codec;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof RequestAggregator.StreamingRequest open) {
            beginOrQueue(open);
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
                // What it sends further waits on its side of the connection.
                channel().config().setAutoRead(false);
            }
            beginNext();
        } finally {
            request.release();
        }
    }

    /** A request whose body is still coming; nothing behind it is read before its end. */
    private void beginOrQueue(RequestAggregator.StreamingRequest open) {
        if (phase() == Phase.CLOSING || lastRequestBegun) {
            open.firstPart().release();
            open.rest().drop();
        } else if (exchanges.isEmpty() && queue.isEmpty()) {
            begin(open);
        } else {
            queuedStreamingRequest = open;
        }
    }

    private void begin(RequestAggregator.StreamingRequest open) {
        upload = open.rest();
        try {
            Exchange exchange = new Exchange(HttpUtil.isKeepAlive(open.head()), false, true);
            if (!rejectIfOverLimit(exchange, open.head().headers().get("X-Call-Class"))) {
                handle(exchange, frontend.requests().read(open, said -> remainingMs(said, 0), frontend.intake()::isOpen, frontend.intake()::acceptsStreamingBody));
            }
            exchange.upload(open.rest());
        } finally {
            open.firstPart().release();
        }
    }

    /** The body of the request in hand is whole, or will never be. */
    private void uploadEnded(Exchange exchange, boolean whole) {
        upload = null;
        if (whole && exchange.id != null) {
            frontend.intake().bodyReceived(exchange.id);
        }
        if (!whole && phase() != Phase.CLOSING) {
            // Nothing that follows could be told from the rest of it.
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
                // Behind what is still being written.
                enterPhase(Phase.CLOSING);
                codec.closeAfterWrites();
            }
        }
        super.userEventTriggered(ctx, event);
    }

    /** How old what is read now may be, as the loop did not turn for a while. */
    private double loopStallMs() {
        return frontend.intake().deadlines().loopStalls().maxAgeMs(frontend.intake().now());
    }

    /** What a client's time comes to here, of which so much has passed already. */
    private double remainingMs(double saidMs, double passedMs) {
        return Math.min(frontend.intake().deadlines().remainingMs(saidMs, passedMs, frontend.returnDelay()), frontend.table().remainingMs());
    }

    /** Begins what may be begun beside what is open: reads beside reads. */
    private void beginNext() {
        if (beginning) {
            return;
        }
        beginning = true;
        try {
            if (queue.isEmpty() && exchanges.isEmpty() && queuedStreamingRequest != null && phase() != Phase.CLOSING && !lastRequestBegun) {
                RequestAggregator.StreamingRequest next = queuedStreamingRequest;
                queuedStreamingRequest = null;
                begin(next);
            }
            while (!queue.isEmpty() && phase() != Phase.CLOSING && !lastRequestBegun && canBegin(queue.peek().request())) {
                QueuedRequest next = queue.poll();
                channel().config().setAutoRead(true);
                try {
                    begin(next.request(), TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.arrivedNanos()) / 1e3 + next.stalledMs());
                } finally {
                    next.request().release();
                }
            }
        } finally {
            beginning = false;
        }
    }

    private boolean canBegin(FullHttpRequest next) {
        return exchanges.isEmpty() || exchanges.size() < frontend.policy().maxConcurrentRequests() && bufferedBytes < MAX_BUFFERED_BYTES && isRead(next)
                && exchanges.stream().allMatch(e -> e.read);
    }

    private static boolean isRead(FullHttpRequest request) {
        return request.method().equals(HttpMethod.GET);
    }

    private void begin(FullHttpRequest in, double passedMs) {
        Exchange exchange = new Exchange(HttpUtil.isKeepAlive(in), isRead(in), in.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        if (!rejectIfOverLimit(exchange, in.headers().get("X-Call-Class"))) {
            handle(exchange, frontend.requests().read(in, said -> remainingMs(said, passedMs), frontend.intake()::isOpen));
        }
    }

    private void begin(LeanHttp in, ByteBuf all) {
        Exchange exchange = new Exchange(in.isKeepAlive(), !in.isPut(), true);
        if (rejectIfOverLimit(exchange, in.get("X-Call-Class"))) {
            return;
        }
        ByteBuf body = in.body(all);
        try {
            double passedMs = loopStallMs();
            handle(exchange, frontend.requests().read(in, body, said -> remainingMs(said, passedMs), frontend.intake()::isOpen));
        } finally {
            body.release();
        }
    }

    private boolean rejectIfOverLimit(Exchange exchange, String service) {
        if (!isOverLimit()) {
            return false;
        }
        frontend.intake().countRejected(service);
        requestStarted();
        lastRequestBegun = true;
        addExchange(exchange, Double.POSITIVE_INFINITY);
        exchange.respond(HttpResponseStatus.TOO_MANY_REQUESTS, OVER_LIMIT_RETRY_AFTER_MS);
        return true;
    }

    private void addExchange(Exchange exchange, double dueMs) {
        exchanges.addLast(exchange);
        pipelineTimer.add(exchange, dueMs);
        lastRequestBegun |= !exchange.keepAlive;
    }

    private void handle(Exchange exchange, HttpRequestReader.ParsedRequest read) {
        if (read instanceof HttpRequestReader.Call call) {
            requestStarted();
            exchange.id = call.request().id();
            addExchange(exchange, frontend.intake().now() + call.request().budgetMs());
            frontend.intake().submit(call.admitted(), call.request(), call.command(), exchange);
            pipelineTimer.schedule();
        } else if (read instanceof HttpRequestReader.Rejected refused) {
            frontend.intake().countRejected(refused.requestedClass());
            requestStarted();
            addExchange(exchange, Double.POSITIVE_INFINITY);
            exchange.reason(Reason.LIMIT);
            exchange.limited(refused.retryAfterMs());
        } else if (read instanceof HttpRequestReader.OutcomeQuery asked) {
            requestStarted();
            addExchange(exchange, Double.POSITIVE_INFINITY);
            frontend.intake().findOutcome(asked.key(), asked.tenant(), known ->
                    exchange.respond(known == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK, 0,
                            OutcomeJson.of(known, frontend.intake().now()), null));
        } else if (read instanceof HttpRequestReader.InvalidRequest bad && exchanges.isEmpty()) {
            reject(bad.status());
        } else if (read instanceof HttpRequestReader.InvalidRequest bad) {
            // Those before it have their answers first.
            addExchange(exchange, Double.POSITIVE_INFINITY);
            lastRequestBegun = true;
            exchange.rejection = bad.status();
            exchange.respond(bad.status(), 0);
        } else {
            addExchange(exchange, Double.POSITIVE_INFINITY);
            exchange.respond(frontend.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        }
    }

    /** Writes the answers that no earlier one holds up. */
    private void writeReady() {
        while (!exchanges.isEmpty() && exchanges.peek().done && phase() != Phase.CLOSING) {
            if (exchanges.peek().content.rest() != null) {
                stream(exchanges.peek());
                return;
            }
            Exchange e = exchanges.poll();
            pipelineTimer.removeFirst();
            if (e.rejection != null) {
                reject(e.rejection);
                return;
            }
            write(e);
        }
        if (phase() != Phase.CLOSING) {
            beginNext();
        }
    }

    private void write(Exchange e) {
        boolean closes = exchanges.isEmpty() && (lastRequestBegun || mustCloseAfterResponse() || inputEnded && queue.isEmpty());
        boolean uploading = upload != null && upload.isOpen();
        if (uploading) {
            upload.drop();
            enterPhase(Phase.READING);
        } else if (closes) {
            enterPhase(Phase.CLOSING);
        } else if (exchanges.isEmpty()) {
            enterPhase(Phase.IDLE);
        }
        long began = System.nanoTime();
        Content content = e.content;
        ChannelFuture written = content.mediaType() == null || LeanHttp.isPlain(content.mediaType(), true)
                ? codec.write(e.status, e.retryAfterMs, content, e.extraHeaders, closes) : writeEncoded(e.status, content, closes);
        e.release();
        trackWrite(written);
        if (written.isDone()) {
            frontend.returnDelay().record((System.nanoTime() - began) / 1e6);
        } else {
            written.addListener(f -> frontend.returnDelay().record((System.nanoTime() - began) / 1e6));
        }
        if (uploading) {
            // Its answer is out before its rest has come: that is read to its end, as cutting it off would take the answer along.
            closesAfterUpload = closes;
        } else if (closes) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (exchanges.isEmpty()) {
            markUsed();
        }
    }

    /** Writes what there is of an answer; the rest follows as it comes, and until then nothing else is written. */
    private void stream(Exchange e) {
        if (responseStream != null) {
            return;
        }
        BodyStream rest = e.content.rest();
        boolean closes = lastRequestBegun || mustCloseAfterResponse() || inputEnded || rest.length() < 0 && !e.supportsChunked;
        lastRequestBegun |= closes;
        BodyWriter writer = new BodyWriter(codec.context, rest.length() < 0 && e.supportsChunked);
        responseStream = rest;
        trackWrite(codec.beginStream(e.content, writer, closes));
        e.release();
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
                endStream(e, written);
            }

            @Override
            public void broken() {
                // What is missing shows in the length, or the last chunk; without either a reset has to.
                if (rest.length() < 0 && !writer.isChunked()) {
                    channel().config().setOption(ChannelOption.SO_LINGER, 0);
                }
                responseStream = null;
                channel().close();
            }
        });
    }

    private void endStream(Exchange e, ChannelFuture written) {
        if (exchanges.peek() != e) {
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

    /** By way of Netty's encoder, which knows what becomes of a media type that is no plain text. */
    private ChannelFuture writeEncoded(HttpResponseStatus status, Content content, boolean closes) {
        FullHttpResponse answer = response(status, content.bytes().retain());
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, content.mediaType());
        HttpUtil.setContentLength(answer, content.bytes().readableBytes());
        if (closes) {
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        codec.installNettyCodec();
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
        enterPhase(Phase.CLOSING);
        dropQueue();
        channel().config().setAutoRead(true);
        codec.installNettyCodec();
        ChannelFuture written = channel().writeAndFlush(answer);
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
            // It is the node that is slow: the client's pace counts from when it is read again.
            restartRequestRate();
            return false;
        }
        return upload != null && upload.isOpen();
    }

    @Override
    protected void requestTimedOut() {
        List<Exchange> open = List.copyOf(exchanges);
        exchanges.clear();
        open.forEach(Exchange::drop);
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    @Override
    protected void disconnected() {
        dropQueue();
        pipelineTimer.cancel();
        List<Exchange> open = List.copyOf(exchanges);
        exchanges.clear();
        open.forEach(Exchange::drop);
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
            // Behind requests that are open: those have their answers first, and the last of them is the connection's.
            lastRequestBegun = true;
        }
    }

    /** One request from when it is begun until its answer is written; exactly one answer is taken. */
    private final class Exchange implements ResponseHandler<Content> {
        private final boolean keepAlive;
        private final boolean read;
        /** Whether its client knows chunks, which came with version 1.1. */
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

        Exchange(boolean keepAlive, boolean read, boolean chunks) {
            this.keepAlive = keepAlive;
            this.read = read;
            this.supportsChunked = chunks;
        }

        /** The rest of its body: told of its end where nobody else drains it, or behind whoever does. */
        private void upload(BodyStream rest) {
            rest.onEnd(whole -> uploadEnded(this, whole));
            if (done || id == null) {
                rest.drop();
            }
        }

        private void respond(HttpResponseStatus how, double backMs) {
            respond(how, backMs, Content.EMPTY, null);
        }

        private void respond(HttpResponseStatus how, double backMs, Content what, String toldBeside) {
            if (done) {
                return;
            }
            done = true;
            status = how;
            retryAfterMs = backMs;
            content = what;
            extraHeaders = toldBeside;
            if (exchanges.peek() == this) {
                writeReady();
            } else {
                // Its bytes hold until this returns alone, and others are ahead of it.
                what.bytes().retain();
                retainsContent = true;
                bufferedBytes += what.bytes().readableBytes();
            }
        }

        private void release() {
            if (retainsContent) {
                retainsContent = false;
                bufferedBytes -= content.bytes().readableBytes();
                content.bytes().release();
            }
        }

        /** Its final answer is needed now. */
        private void answerNow() {
            if (!done && id != null) {
                frontend.intake().answerNow(id);
            }
        }

        /** Its client has left. */
        private void drop() {
            release();
            if (content != null && content.rest() != null) {
                content.rest().drop();
                frontend.intake().clientGone(id);
            }
            if (!done) {
                done = true;
                if (id != null) {
                    frontend.intake().clientGone(id);
                }
            }
        }

        @Override
        public boolean supportsStreaming() {
            return true;
        }

        @Override
        public void served(NodeResponse<Content> answer) {
            if (answer.content().isAbsent()) {
                respond(HttpResponseStatus.NOT_FOUND, 0);
            } else {
                respond(HttpResponseStatus.OK, 0, answer.content(), null);
            }
        }

        @Override
        public void recorded(String call) {
            respond(HttpResponseStatus.OK, 0, Content.EMPTY, "\r\nx-outcome: recorded\r\nx-outcome-call: " + call);
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

    /** A request that came while another was open on its connection, when, and how old it may have been by then. */
    private record QueuedRequest(FullHttpRequest request, long arrivedNanos, double stalledMs) { }

    /**
     * Sees bytes first: the clock for a request runs from its first. One that is plain is read here; from the first one on
     * that is not, Netty's decoder reads all that this connection brings, as it may hold the beginning of the next.
     */
    final class FastPathCodec extends ChannelInboundHandlerAdapter {
        /** Bodies up to this are copied behind their head: one piece costs less than two that are gathered. */
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
                droppedBytes += message instanceof ByteBuf in ? in.readableBytes() : 0;
                ReferenceCountUtil.release(message);
                if (droppedBytes > LINGER_BYTES) {
                    channel().config().setAutoRead(false);
                }
                return;
            }
            boolean next = phase() == Phase.SILENT || phase() == Phase.IDLE;
            if (next) {
                enterPhase(Phase.READING);
            }
            if (message instanceof ByteBuf in) {
                bytesReceived(in.readableBytes());
            }
            if (fastPath && next && message instanceof ByteBuf in) {
                LeanHttp request = LeanHttp.request(in);
                if (request != null) {
                    try {
                        begin(request, in);
                    } finally {
                        in.release();
                    }
                    return;
                }
            }
            installNettyCodec();
            ctx.fireChannelRead(message);
        }

        /** Writes the head of an answer whose body follows, and what there is of that. */
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

        /** Closes when all that was written is out. */
        void closeAfterWrites() {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** From now on Netty's codec has what comes. */
        void installNettyCodec() {
            if (fastPath) {
                fastPath = false;
                // Each right behind this one: the last to be added is the first.
                context.pipeline().addAfter(context.name(), null, new RequestAggregator()).addAfter(context.name(), null,
                        new HttpResponseEncoder()).addAfter(context.name(), null, new StrictHttp.Requests());
            }
        }

        /** Writes an answer in one piece, past any encoder; {@code note} is further header lines, or null. */
        ChannelFuture write(HttpResponseStatus status, double retryAfterMs, Content content, String note, boolean last) {
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
            if (note != null) {
                out.writeCharSequence(note, StandardCharsets.US_ASCII);
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
