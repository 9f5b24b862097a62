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
import ridgemill.gateway.front.OrderWatch;
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

    private static final int MAX_WAITING = 16;
    /** Bytes of answers that wait for an earlier one, beyond which no further request is begun. */
    private static final int MOST_HELD = 256 * 1024;
    /** For how many bytes input is read on after an error: unread input would reset the error away. */
    private static final long LINGER_BYTES = 1 << 20;

    private final HttpFront front;
    private final Bytes bytes = new Bytes();
    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private final Deque<Exchange> slots = new ArrayDeque<>();
    private final OrderWatch<Exchange> order;
    private int held;
    private boolean beginning;
    /** The rest of the request that is being read; with its end the connection goes where its answer was the last. */
    private BodyStream upload;
    /** One that waits for the answers of those before it. */
    private Bodies.Open waitingOpen;
    private boolean closesAfterUpload;
    /** The rest of the answer that is being written. */
    private BodyStream streamed;
    /** No further request is begun; with the answer of the last the connection closes. */
    private boolean last;
    /** The client sends nothing more, and reads on. */
    private boolean inputEnded;

    HttpClientConnection(Channel channel, HttpFront front) {
        super(channel, front.table());
        this.front = front;
        this.order = new OrderWatch<>(channel.eventLoop(), front.intake()::now, Exchange::giveUp);
        if (front.terms().halfCloseStays() && channel.config() instanceof SocketChannelConfig config) {
            config.setAllowHalfClosure(true);
        }
    }

    Bytes bytes() {
        return bytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof Bodies.Open open) {
            take(open);
            return;
        }
        FullHttpRequest request = (FullHttpRequest) message;
        try {
            if (phase() == Phase.CLOSING || last) {
                return;
            }
            if (slots.isEmpty() && waiting.isEmpty()) {
                begin(request, stalledMs());
                return;
            }
            waiting.add(new Waiting(request.retain(), System.nanoTime(), stalledMs()));
            if (waiting.size() >= MAX_WAITING) {
                // What it sends further waits on its side of the connection.
                channel().config().setAutoRead(false);
            }
            beginNext();
        } finally {
            request.release();
        }
    }

    /** A request whose body is still coming; nothing behind it is read before its end. */
    private void take(Bodies.Open open) {
        if (phase() == Phase.CLOSING || last) {
            open.first().release();
            open.rest().drop();
        } else if (slots.isEmpty() && waiting.isEmpty()) {
            begin(open);
        } else {
            waitingOpen = open;
        }
    }

    private void begin(Bodies.Open open) {
        upload = open.rest();
        try {
            Exchange exchange = new Exchange(HttpUtil.isKeepAlive(open.head()), false, true);
            if (!isTurnedAway(exchange, open.head().headers().get("X-Call-Class"))) {
                act(exchange, front.requests().read(open, said -> left(said, 0), front.intake()::isOpen, front.intake()::acceptsStreamingBody));
            }
            exchange.upload(open.rest());
        } finally {
            open.first().release();
        }
    }

    /** The body of the request in hand is whole, or will never be. */
    private void uploaded(Exchange exchange, boolean whole) {
        upload = null;
        if (whole && exchange.id != null) {
            front.intake().bodyReceived(exchange.id);
        }
        if (!whole && phase() != Phase.CLOSING) {
            // Nothing that follows could be told from the rest of it.
            channel().close();
        } else if (closesAfterUpload) {
            channel().close();
        } else if (slots.isEmpty() && phase() == Phase.READING) {
            enter(Phase.IDLE);
            used();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded = true;
            if (slots.isEmpty() && waiting.isEmpty() && phase() != Phase.CLOSING) {
                // Behind what is still being written.
                enter(Phase.CLOSING);
                bytes.end();
            }
        }
        super.userEventTriggered(ctx, event);
    }

    /** How old what is read now may be, as the loop did not turn for a while. */
    private double stalledMs() {
        return front.intake().deadlines().loopStalls().maxAgeMs(front.intake().now());
    }

    /** What a client's time comes to here, of which so much has passed already. */
    private double left(double saidMs, double passedMs) {
        return Math.min(front.intake().deadlines().remainingMs(saidMs, passedMs, front.wayBack()), front.table().leftMs());
    }

    /** Begins what may be begun beside what is open: reads beside reads. */
    private void beginNext() {
        if (beginning) {
            return;
        }
        beginning = true;
        try {
            if (waiting.isEmpty() && slots.isEmpty() && waitingOpen != null && phase() != Phase.CLOSING && !last) {
                Bodies.Open next = waitingOpen;
                waitingOpen = null;
                begin(next);
            }
            while (!waiting.isEmpty() && phase() != Phase.CLOSING && !last && mayBegin(waiting.peek().request())) {
                Waiting next = waiting.poll();
                channel().config().setAutoRead(true);
                try {
                    begin(next.request(), TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - next.arrived()) / 1e3 + next.stalledMs());
                } finally {
                    next.request().release();
                }
            }
        } finally {
            beginning = false;
        }
    }

    private boolean mayBegin(FullHttpRequest next) {
        return slots.isEmpty() || slots.size() < front.terms().sideBySide() && held < MOST_HELD && isRead(next)
                && slots.stream().allMatch(e -> e.read);
    }

    private static boolean isRead(FullHttpRequest request) {
        return request.method().equals(HttpMethod.GET);
    }

    private void begin(FullHttpRequest in, double passedMs) {
        Exchange exchange = new Exchange(HttpUtil.isKeepAlive(in), isRead(in), in.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        if (!isTurnedAway(exchange, in.headers().get("X-Call-Class"))) {
            act(exchange, front.requests().read(in, said -> left(said, passedMs), front.intake()::isOpen));
        }
    }

    private void begin(LeanHttp in, ByteBuf all) {
        Exchange exchange = new Exchange(in.isKeepAlive(), !in.isPut(), true);
        if (isTurnedAway(exchange, in.get("X-Call-Class"))) {
            return;
        }
        ByteBuf body = in.body(all);
        try {
            double passedMs = stalledMs();
            act(exchange, front.requests().read(in, body, said -> left(said, passedMs), front.intake()::isOpen));
        } finally {
            body.release();
        }
    }

    private boolean isTurnedAway(Exchange exchange, String service) {
        if (!isSurplus()) {
            return false;
        }
        front.intake().countRejected(service);
        busy();
        last = true;
        open(exchange, Double.POSITIVE_INFINITY);
        exchange.ready(HttpResponseStatus.TOO_MANY_REQUESTS, SURPLUS_BACK_MS);
        return true;
    }

    private void open(Exchange exchange, double dueMs) {
        slots.addLast(exchange);
        order.add(exchange, dueMs);
        last |= !exchange.keepAlive;
    }

    private void act(Exchange exchange, HttpRequests.Read read) {
        if (read instanceof HttpRequests.Call call) {
            busy();
            exchange.id = call.request().id();
            open(exchange, front.intake().now() + call.request().budgetMs());
            front.intake().submit(call.go(), call.request(), call.command(), exchange);
            order.watch();
        } else if (read instanceof HttpRequests.Refused refused) {
            front.intake().countRejected(refused.service());
            busy();
            open(exchange, Double.POSITIVE_INFINITY);
            exchange.reason(Reason.LIMIT);
            exchange.limited(refused.retryAfterMs());
        } else if (read instanceof HttpRequests.Outcome asked) {
            busy();
            open(exchange, Double.POSITIVE_INFINITY);
            front.intake().findOutcome(asked.key(), asked.tenant(), known ->
                    exchange.ready(known == null ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK, 0,
                            OutcomeText.of(known, front.intake().now()), null));
        } else if (read instanceof HttpRequests.Bad bad && slots.isEmpty()) {
            reject(bad.status());
        } else if (read instanceof HttpRequests.Bad bad) {
            // Those before it have their answers first.
            open(exchange, Double.POSITIVE_INFINITY);
            last = true;
            exchange.rejection = bad.status();
            exchange.ready(bad.status(), 0);
        } else {
            open(exchange, Double.POSITIVE_INFINITY);
            exchange.ready(front.isUp() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, 0);
        }
    }

    /** Writes the answers that no earlier one holds up. */
    private void writeReady() {
        while (!slots.isEmpty() && slots.peek().done && phase() != Phase.CLOSING) {
            if (slots.peek().content.rest() != null) {
                stream(slots.peek());
                return;
            }
            Exchange e = slots.poll();
            order.left();
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
        boolean closes = slots.isEmpty() && (last || mustClose() || inputEnded && waiting.isEmpty());
        boolean uploading = upload != null && upload.isOpen();
        if (uploading) {
            upload.drop();
            enter(Phase.READING);
        } else if (closes) {
            enter(Phase.CLOSING);
        } else if (slots.isEmpty()) {
            enter(Phase.IDLE);
        }
        long began = System.nanoTime();
        Content content = e.content;
        ChannelFuture written = content.mediaType() == null || LeanHttp.isPlain(content.mediaType(), true)
                ? bytes.write(e.status, e.retryAfterMs, content, e.note, closes) : writeEncoded(e.status, content, closes);
        e.release();
        writing(written);
        if (written.isDone()) {
            front.wayBack().record((System.nanoTime() - began) / 1e6);
        } else {
            written.addListener(f -> front.wayBack().record((System.nanoTime() - began) / 1e6));
        }
        if (uploading) {
            // Its answer is out before its rest has come: that is read to its end, as cutting it off would take the answer along.
            closesAfterUpload = closes;
        } else if (closes) {
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (slots.isEmpty()) {
            used();
        }
    }

    /** Writes what there is of an answer; the rest follows as it comes, and until then nothing else is written. */
    private void stream(Exchange e) {
        if (streamed != null) {
            return;
        }
        BodyStream rest = e.content.rest();
        boolean closes = last || mustClose() || inputEnded || rest.length() < 0 && !e.chunks;
        last |= closes;
        BodyWriter writer = new BodyWriter(bytes.context, rest.length() < 0 && e.chunks);
        streamed = rest;
        writing(bytes.beginStream(e.content, writer, closes));
        e.release();
        rest.drain(new BodyStream.Sink() {
            @Override
            public void part(ByteBuf part) {
                writing(writer.part(part));
                rest.wants(channel().isWritable());
            }

            @Override
            public void end() {
                streamed = null;
                ChannelFuture written = writer.end(channel().newPromise());
                writing(written);
                endStream(e, written);
            }

            @Override
            public void broken() {
                // What is missing shows in the length, or the last chunk; without either a reset has to.
                if (rest.length() < 0 && !writer.isChunked()) {
                    channel().config().setOption(ChannelOption.SO_LINGER, 0);
                }
                streamed = null;
                channel().close();
            }
        });
    }

    private void endStream(Exchange e, ChannelFuture written) {
        if (slots.peek() != e) {
            return;
        }
        slots.poll();
        order.left();
        if (slots.isEmpty() && last) {
            enter(Phase.CLOSING);
            written.addListener(ChannelFutureListener.CLOSE);
        } else if (slots.isEmpty()) {
            enter(Phase.IDLE);
            used();
        }
        writeReady();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) throws Exception {
        if (streamed != null) {
            streamed.wants(channel().isWritable());
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

    private void dropWaiting() {
        waiting.forEach(w -> w.request().release());
        waiting.clear();
        if (waitingOpen != null) {
            waitingOpen.first().release();
            waitingOpen.rest().drop();
            waitingOpen = null;
        }
    }

    @Override
    protected boolean isUploading() {
        if (upload != null && upload.isOpen() && !upload.isFlowing()) {
            // It is the node that is slow: the client's pace counts from when it is read again.
            paceAgain();
            return false;
        }
        return upload != null && upload.isOpen();
    }

    @Override
    protected void tooSlow() {
        List<Exchange> open = List.copyOf(slots);
        slots.clear();
        open.forEach(Exchange::drop);
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    @Override
    protected void left() {
        dropWaiting();
        order.close();
        List<Exchange> open = List.copyOf(slots);
        slots.clear();
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
            last = true;
        }
    }

    /** One request from when it is begun until its answer is written; exactly one answer is taken. */
    private final class Exchange implements ResponseHandler<Content> {
        private final boolean keepAlive;
        private final boolean read;
        /** Whether its client knows chunks, which came with version 1.1. */
        private final boolean chunks;
        private String id;
        private boolean done;
        private boolean holds;
        private HttpResponseStatus rejection;
        private HttpResponseStatus status;
        private double retryAfterMs;
        private Content content;
        private String note;
        private String why;

        Exchange(boolean keepAlive, boolean read, boolean chunks) {
            this.keepAlive = keepAlive;
            this.read = read;
            this.chunks = chunks;
        }

        /** The rest of its body: told of its end where nobody else drains it, or behind whoever does. */
        private void upload(BodyStream rest) {
            rest.onEnd(whole -> uploaded(this, whole));
            if (done || id == null) {
                rest.drop();
            }
        }

        private void ready(HttpResponseStatus how, double backMs) {
            ready(how, backMs, Content.EMPTY, null);
        }

        private void ready(HttpResponseStatus how, double backMs, Content what, String toldBeside) {
            if (done) {
                return;
            }
            done = true;
            status = how;
            retryAfterMs = backMs;
            content = what;
            note = toldBeside;
            if (slots.peek() == this) {
                writeReady();
            } else {
                // Its bytes hold until this returns alone, and others are ahead of it.
                what.bytes().retain();
                holds = true;
                held += what.bytes().readableBytes();
            }
        }

        private void release() {
            if (holds) {
                holds = false;
                held -= content.bytes().readableBytes();
                content.bytes().release();
            }
        }

        /** Its final answer is needed now. */
        private void giveUp() {
            if (!done && id != null) {
                front.intake().answerNow(id);
            }
        }

        /** Its client has left. */
        private void drop() {
            release();
            if (content != null && content.rest() != null) {
                content.rest().drop();
                front.intake().clientGone(id);
            }
            if (!done) {
                done = true;
                if (id != null) {
                    front.intake().clientGone(id);
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
                ready(HttpResponseStatus.NOT_FOUND, 0);
            } else {
                ready(HttpResponseStatus.OK, 0, answer.content(), null);
            }
        }

        @Override
        public void recorded(String call) {
            ready(HttpResponseStatus.OK, 0, Content.EMPTY, "\r\nx-outcome: recorded\r\nx-outcome-call: " + call);
        }

        @Override
        public void conflict() {
            ready(HttpResponseStatus.UNPROCESSABLE_ENTITY, 0);
        }

        @Override
        public void reason(Reason reason) {
            why = front.terms().tellsWhy() ? "\r\nx-reason: " + reason.code() : null;
        }

        @Override
        public void refused(double retryAfterMs) {
            ready(HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterMs, Content.EMPTY, why);
        }

        @Override
        public void limited(double retryAfterMs) {
            ready(HttpResponseStatus.TOO_MANY_REQUESTS, retryAfterMs, Content.EMPTY, why);
        }

        @Override
        public void failed() {
            ready(HttpResponseStatus.BAD_GATEWAY, 0, Content.EMPTY, why);
        }
    }

    /** A request that came while another was open on its connection, when, and how old it may have been by then. */
    private record Waiting(FullHttpRequest request, long arrived, double stalledMs) { }

    /**
     * Sees bytes first: the clock for a request runs from its first. One that is plain is read here; from the first one on
     * that is not, Netty's decoder reads all that this connection brings, as it may hold the beginning of the next.
     */
    final class Bytes extends ChannelInboundHandlerAdapter {
        /** Bodies up to this are copied behind their head: one piece costs less than two that are gathered. */
        private static final int COPIED = 2048;
        private static final int HEAD = 256;
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
            if (message instanceof ByteBuf in) {
                heard(in.readableBytes());
            }
            if (plain && next && message instanceof ByteBuf in) {
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
            codec();
            ctx.fireChannelRead(message);
        }

        /** Writes the head of an answer whose body follows, and what there is of that. */
        ChannelFuture beginStream(Content content, BodyWriter writer, boolean last) {
            ByteBuf out = context.alloc().ioBuffer(HEAD);
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
        void end() {
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
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

        /** Writes an answer in one piece, past any encoder; {@code note} is further header lines, or null. */
        ChannelFuture write(HttpResponseStatus status, double retryAfterMs, Content content, String note, boolean last) {
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
