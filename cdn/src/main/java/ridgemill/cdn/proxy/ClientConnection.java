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

/**
 * The connection of a client. It processes one request at a time and writes the response before it reads the next
 * request.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /** Maximum number of bytes of pipelined requests that are buffered while a request is in progress. */
    private static final int MAX_PIPELINED_BYTES = 64 * 1_024;
    /**
     * How long a connection is kept open after its last response, so that the client closes it first, in milliseconds.
     */
    private static final double LINGER_MS = 1_000;
    /**
     * The advertised keep-alive timeout is this much shorter than the actual one, in milliseconds, so that clients
     * stop using a connection before it is closed.
     */
    private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

    /** Bodies of at least this size are logged with the heap in use, in bytes. */
    private static final long LOGGED_BODY_BYTES = 1024 * 1024;

    private static final long MS_PER_SECOND = 1_000;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
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

    ClientConnection(DataPath dataPath) {
        this.dataPath = dataPath;
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

    /** Processes buffered requests until one is in progress or more bytes are needed. */
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

    /**
     * Updates the timeout while a request has arrived only in part, and sends {@code 100 Continue} if the client waits
     * for it.
     */
    private void requestIncomplete(Limits limits) {
        if (!reader.hasHead()) {
            if (state == State.IDLE) {
                state = State.HEAD;
                timeoutAtMs = dataPath.now() + limits.headerTimeoutMs();
            }
            return;
        }
        if (state != State.BODY) {
            logLargeBody("arriving");
        }
        if (state != State.BODY && reader.expectsContinue()) {
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), CONTINUE));
        }
        state = State.BODY;
        timeoutAtMs = dataPath.now() + limits.idleTimeoutMs();
    }

    /** Logs how far a large body has got and how much of the heap is in use. */
    private void logLargeBody(String phase) {
        long length = CacheHeaders.getLong(reader.headers(), "Content-Length", 0);
        if (length >= LOGGED_BODY_BYTES) {
            Runtime runtime = Runtime.getRuntime();
            dataPath.log()
                    .info("event=large_body phase=" + phase + " bytes=" + length + " heap_used="
                            + (runtime.totalMemory() - runtime.freeMemory()) + " heap_max=" + runtime.maxMemory());
        }
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
        logLargeBody("complete");
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

    /**
     * Writes the response to the current request; {@code exchange} is null if the request was answered without one.
     * Ignored if it is not the current exchange.
     */
    void respond(Exchange exchange, FinalResponse response) {
        if (state != State.BUSY || exchange != currentExchange) {
            return;
        }
        currentExchange = null;
        if (!keepAlive || dataPath.isDraining()) {
            respondAndClose(response);
            return;
        }
        writeResponse(response, keepAliveLine());
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

    /**
     * Writes the last response of the connection. Further input is discarded rather than left unread: closing a socket
     * with unread input would reset the connection and could destroy the response.
     */
    private void respondAndClose(FinalResponse response) {
        state = State.CLOSING;
        timeoutAtMs = dataPath.now() + LINGER_MS;
        channel.config().setAutoRead(true);
        writeResponse(response, CONNECTION_CLOSE_LINE);
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private void writeResponse(FinalResponse response, String connectionHeader) {
        ByteBuf bytes = MessageWriter.response(
                channel.alloc(),
                response.status(),
                response.headers(),
                connectionHeader,
                response.contentLength(),
                response.body());
        if (state == State.CLOSING) {
            shutdownOutputAfter(channel.writeAndFlush(bytes));
        } else {
            channel.writeAndFlush(bytes);
        }
    }

    /** Closes the connection, or responds with 408, if its timeout has passed. */
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

    /** Whether some output has not been accepted by the socket yet. */
    boolean hasUnsentOutput() {
        return channel.isActive()
                && channel.unsafe().outboundBuffer() != null
                && !channel.unsafe().outboundBuffer().isEmpty();
    }

    /** Whether no request is in progress or partially received, and the last response has been sent completely. */
    boolean isIdle() {
        return state == State.IDLE && !pending.isReadable() && !hasUnsentOutput();
    }

    /** Closes the connection after its unsent output if no request is in progress or partially received. */
    void closeIfIdle() {
        if (state == State.IDLE) {
            state = State.CLOSING;
            shutdownOutputAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Shuts down the output after a write has completed. Closing the connection at once would discard output that a
     * slow client has not read yet.
     */
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
