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
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /** Bytes of further requests that are taken in while one is under way. */
    private static final int MAX_PIPELINED_BYTES = 64 * 1_024;
    /** How long a connection whose last answer is out is kept for its client to close it, in milliseconds. */
    private static final double LINGER_MS = 1_000;
    /** The stated idle time is this much below the true one, in milliseconds. */
    private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

    private static final long MS_PER_SECOND = 1_000;
    private static final String CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String CONNECTION_CLOSE_LINE = "Connection: close\r\n";

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        CLOSING
    }

    private final DataPath dataPath;
    private final RequestReader reader = new RequestReader();
    private Channel channel;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private State state = State.IDLE;
    private double timeoutAtMs;
    private Exchange currentExchange;
    private boolean keepAlive;
    private boolean processing;

    ClientConnection(DataPath path) {
        this.dataPath = path;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        becomeIdle();
        dataPath.opened(this);
    }

    private void becomeIdle() {
        state = State.IDLE;
        timeoutAtMs = dataPath.now() + dataPath.limits().idleTimeoutMs();
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
            if (pending.readableBytes() > MAX_PIPELINED_BYTES) {
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
                Limits limits = dataPath.limits();
                reader.setLimits(limits.maxHeaderBytes(), limits.maxBodyBytes());
                if (!reader.read(pending)) {
                    requestIncomplete(limits);
                    break;
                }
                state = State.BUSY;
                keepAlive = reader.isKeepAlive();
                handleRequest();
            }
        } catch (BadMessageException e) {
            dataPath.log().info("event=bad-request status=" + e.status() + " reason=\"" + e.getMessage() + "\"");
            respondAndClose(FinalResponse.generated(e.status(), null));
        } finally {
            processing = false;
        }
        if (!pending.isReadable()) {
            pending.release();
            pending = Unpooled.EMPTY_BUFFER;
        }
    }

    /** A part of a request has come. */
    private void requestIncomplete(Limits limits) {
        if (!reader.hasHead()) {
            if (state == State.IDLE) {
                state = State.HEAD;
                timeoutAtMs = dataPath.now() + limits.headerTimeoutMs();
            }
            return;
        }
        if (state != State.BODY && reader.expectsContinue()) {
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), CONTINUE_RESPONSE));
        }
        state = State.BODY;
        timeoutAtMs = dataPath.now() + limits.idleTimeoutMs();
    }

    private void handleRequest() {
        String host = reader.headers().get("Host");
        if (reader.headers().count("Host") != 1 || host.isEmpty()) {
            keepAlive = false;
            respond(null, FinalResponse.generated(400, null));
            return;
        }
        ClientRequest request = new ClientRequest(
                reader.method(),
                reader.target(),
                hostname(host),
                reader.headers().get(ClientRequest.ATTEMPT_ID),
                reader.headers(),
                reader.body());
        reader.reset();
        Exchange exchange = dataPath.route(this, request);
        if (exchange != null) {
            currentExchange = exchange;
            exchange.start();
        }
    }

    private static String hostname(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** Writes the answer of the request that is under way; {@code exchange} is null if none was made for it. */
    void respond(Exchange exchange, FinalResponse answer) {
        if (state != State.BUSY || exchange != currentExchange) {
            return;
        }
        currentExchange = null;
        if (!keepAlive || dataPath.isDraining()) {
            respondAndClose(answer);
            return;
        }
        writeResponse(answer, keepAliveLine());
        reader.reset();
        becomeIdle();
        dataPath.becameIdle(this);
        channel.config().setAutoRead(true);
        process();
    }

    private String keepAliveLine() {
        long seconds = (dataPath.limits().idleTimeoutMs() - KEEP_ALIVE_MARGIN_MS) / MS_PER_SECOND;
        return seconds < 1 ? "" : "Keep-Alive: timeout=" + seconds + "\r\n";
    }

    /** Writes an answer behind which the connection ends; what still comes is not read, so that it can't reset it. */
    private void respondAndClose(FinalResponse answer) {
        state = State.CLOSING;
        timeoutAtMs = dataPath.now() + LINGER_MS;
        channel.config().setAutoRead(true);
        writeResponse(answer, CONNECTION_CLOSE_LINE);
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private void writeResponse(FinalResponse answer, String more) {
        ByteBuf bytes = MessageWriter.response(
                channel.alloc(), answer.status(), answer.headers(), more, answer.contentLength(), answer.body());
        if (state == State.CLOSING) {
            shutdownOutputAfter(channel.writeAndFlush(bytes));
        } else {
            channel.writeAndFlush(bytes);
        }
    }

    /** Closes it if its time has passed. */
    void tick(double nowMs) {
        if (state == State.BUSY || nowMs < timeoutAtMs) {
            return;
        }
        if (state == State.HEAD || state == State.BODY) {
            respondAndClose(FinalResponse.generated(408, null));
        } else if (!hasUnsentOutput() || state != State.IDLE && !channel.isWritable()) {
            channel.close();
        } else {
            timeoutAtMs = nowMs + LINGER_MS;
        }
    }

    /** Whether a part of an answer waits to be taken by the client's side. */
    boolean hasUnsentOutput() {
        return channel.isActive()
                && channel.unsafe().outboundBuffer() != null
                && !channel.unsafe().outboundBuffer().isEmpty();
    }

    /** Whether no request is under way or coming, and the last answer has gone out whole. */
    boolean isIdle() {
        return state == State.IDLE && !pending.isReadable() && !hasUnsentOutput();
    }

    /** Closes it, behind what is still to be sent, if no request is under way or coming. */
    void closeIfIdle() {
        if (state == State.IDLE) {
            state = State.CLOSING;
            shutdownOutputAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    /** Ends the output once a write is out; a close at once would drop what a slow client has not taken yet. */
    private void shutdownOutputAfter(ChannelFuture written) {
        timeoutAtMs = dataPath.now() + LINGER_MS;
        written.addListener((ChannelFutureListener) done -> {
            timeoutAtMs = dataPath.now() + LINGER_MS;
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
        dataPath.closed(this);
        if (currentExchange != null) {
            Exchange abandoned = currentExchange;
            currentExchange = null;
            abandoned.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.error("event=fault place=front", cause);
        }
        context.close();
    }
}
