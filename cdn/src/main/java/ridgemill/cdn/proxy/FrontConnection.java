package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.IOException;
import java.util.Locale;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.proxy.http.BadMessageException;
import ridgemill.cdn.proxy.http.MessageWriter;
import ridgemill.cdn.proxy.http.RequestReader;

/** A client's connection: reads one request at a time and writes its answer before it looks at the next. */
final class FrontConnection extends ChannelInboundHandlerAdapter {

    /** Bytes of further requests that are taken in while one is under way. */
    private static final int MOST_AHEAD = 64 * 1_024;
    /** How long a connection whose last answer is out is kept for its client to close it, in milliseconds. */
    private static final double LINGER_MS = 1_000;
    /** The stated idle time is this much below the true one, in milliseconds. */
    private static final long IDLE_MARGIN_MS = 1_000;

    private static final long MS_PER_SECOND = 1_000;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String CLOSE = "Connection: close\r\n";

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        CLOSING
    }

    private final DataPath path;
    private final RequestReader reader = new RequestReader();
    private Channel channel;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private State state = State.IDLE;
    private double untilMs;
    private Exchange current;
    private boolean keepAlive;
    private boolean processing;

    FrontConnection(DataPath path) {
        this.path = path;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        idle();
        path.opened(this);
    }

    private void idle() {
        state = State.IDLE;
        untilMs = path.now() + path.limits().idleTimeoutMs();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (state == State.CLOSING) {
            bytes.release();
            return;
        }
        pending = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context.alloc(), pending, bytes);
        if (state == State.BUSY) {
            if (pending.readableBytes() > MOST_AHEAD) {
                channel.config().setAutoRead(false);
            }
        } else {
            process();
        }
    }

    /** Reads requests as long as they are answered at once. */
    private void process() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (state != State.BUSY && state != State.CLOSING && pending.isReadable()) {
                Limits limits = path.limits();
                reader.limits(limits.maxHeaderBytes(), limits.maxBodyBytes());
                if (!reader.read(pending)) {
                    partial(limits);
                    break;
                }
                state = State.BUSY;
                keepAlive = reader.isKeepAlive();
                begin();
            }
        } catch (BadMessageException e) {
            path.log().line("event=bad-request status=" + e.status() + " reason=\"" + e.getMessage() + "\"");
            last(FinalAnswer.own(e.status(), null));
        } finally {
            processing = false;
        }
        if (!pending.isReadable()) {
            pending.release();
            pending = Unpooled.EMPTY_BUFFER;
        }
    }

    /** A part of a request has come. */
    private void partial(Limits limits) {
        if (!reader.hasHead()) {
            if (state == State.IDLE) {
                state = State.HEAD;
                untilMs = path.now() + limits.headerTimeoutMs();
            }
            return;
        }
        if (state != State.BODY && reader.expectsContinue()) {
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), CONTINUE));
        }
        state = State.BODY;
        untilMs = path.now() + limits.idleTimeoutMs();
    }

    private void begin() {
        String host = reader.headers().get("Host");
        if (reader.headers().count("Host") != 1 || host.isEmpty()) {
            keepAlive = false;
            answer(null, FinalAnswer.own(400, null));
            return;
        }
        ClientRequest request = new ClientRequest(
                reader.method(),
                reader.target(),
                name(host),
                reader.headers().get(ClientRequest.ATTEMPT_ID),
                reader.headers(),
                reader.body());
        reader.reset();
        Exchange exchange = path.route(this, request);
        if (exchange != null) {
            current = exchange;
            exchange.start();
        }
    }

    private static String name(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** Writes the answer of the request that is under way; {@code exchange} is null if none was made for it. */
    void answer(Exchange exchange, FinalAnswer answer) {
        if (state != State.BUSY || exchange != current) {
            return;
        }
        current = null;
        if (!keepAlive || path.isDraining()) {
            last(answer);
            return;
        }
        write(answer, keepAliveLine());
        reader.reset();
        idle();
        path.becameIdle(this);
        channel.config().setAutoRead(true);
        process();
    }

    private String keepAliveLine() {
        long seconds = (path.limits().idleTimeoutMs() - IDLE_MARGIN_MS) / MS_PER_SECOND;
        return seconds < 1 ? "" : "Keep-Alive: timeout=" + seconds + "\r\n";
    }

    /** Writes an answer behind which the connection ends; what still comes is not read, so that it can't reset it. */
    private void last(FinalAnswer answer) {
        state = State.CLOSING;
        untilMs = path.now() + LINGER_MS;
        channel.config().setAutoRead(true);
        write(answer, CLOSE);
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private void write(FinalAnswer answer, String more) {
        ByteBuf bytes = MessageWriter.answer(
                channel.alloc(), answer.status(), answer.headers(), more, answer.length(), answer.body());
        if (state == State.CLOSING) {
            endOutput(channel.writeAndFlush(bytes));
        } else {
            channel.writeAndFlush(bytes);
        }
    }

    /** Closes it if its time has passed. */
    void tick(double nowMs) {
        if (state == State.BUSY || nowMs < untilMs) {
            return;
        }
        if (state == State.HEAD || state == State.BODY) {
            last(FinalAnswer.own(408, null));
        } else if (!hasUnsent() || state != State.IDLE && !channel.isWritable()) {
            channel.close();
        } else {
            untilMs = nowMs + LINGER_MS;
        }
    }

    /** Whether a part of an answer waits to be taken by the client's side. */
    boolean hasUnsent() {
        return channel.isActive()
                && channel.unsafe().outboundBuffer() != null
                && !channel.unsafe().outboundBuffer().isEmpty();
    }

    /** Whether no request is under way or coming, and the last answer has gone out whole. */
    boolean isIdle() {
        return state == State.IDLE && !pending.isReadable() && !hasUnsent();
    }

    /** Closes it, behind what is still to be sent, if no request is under way or coming. */
    void closeIfIdle() {
        if (state == State.IDLE) {
            state = State.CLOSING;
            endOutput(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    /** Ends the output once a write is out; a close at once would drop what a slow client has not taken yet. */
    private void endOutput(ChannelFuture written) {
        untilMs = path.now() + LINGER_MS;
        written.addListener((ChannelFutureListener) done -> {
            untilMs = path.now() + LINGER_MS;
            ((DuplexChannel) done.channel()).shutdownOutput();
        });
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.CLOSING;
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
        path.closed(this);
        if (current != null) {
            Exchange abandoned = current;
            current = null;
            abandoned.clientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.fault("event=fault place=front", cause);
        }
        context.close();
    }
}
