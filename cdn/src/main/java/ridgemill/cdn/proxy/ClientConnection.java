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
import ridgemill.cdn.proxy.http.RequestReader;

/**
 * The connection of a client. It processes one request at a time and writes the response before it reads the next
 * request. A small body is read before the request is processed; a large one is read while the request is in progress,
 * as fast as the instance accepts it.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements StreamedBody.Source {

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

    /**
     * Maximum number of bytes that are buffered while a streamed body is not read. More can arrive only with the end of
     * the client's output, after which the connection closes.
     */
    private static final int MAX_PAUSED_BYTES = 256 * 1_024;

    private static final long MS_PER_SECOND = 1_000;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    /** How long a client may accept nothing of a response, in milliseconds. */
    private static final double OUTPUT_STALL_MS = 60_000;

    private static final byte[] NO_BODY = {};
    private static final String CONNECTION_CLOSE_LINE = "Connection: close\r\n";

    private enum State {
        IDLE,
        HEAD,
        BODY,
        BUSY,
        /** The response was written before the body had arrived, the rest of which is read away. */
        DISCARDING,
        /** The last part of the response has not been passed to the connection yet. */
        RESPONDING,
        CLOSING
    }

    private final DataPath dataPath;
    private final RequestReader reader = new RequestReader();
    private final BodyMemory.Lease memory;
    private Channel channel;
    private ResponseWriter writer;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private State state = State.IDLE;
    private double timeoutAtMs;
    /** When the client last accepted a part of the output, or when the output began. */
    private double outputProgressAtMs;

    private Exchange currentExchange;
    /** The body of the current request if it is streamed, else null. */
    private StreamedBody streamedBody;

    private boolean continueSent;
    private boolean keepAlive;
    private boolean processing;

    ClientConnection(DataPath dataPath) {
        this.dataPath = dataPath;
        this.memory = dataPath.bodyMemory().lease();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        writer = new ResponseWriter(channel, dataPath.responseMemory());
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
        if (mayProcess()) {
            process();
        } else if (isBodyPaused() && pending.readableBytes() > MAX_PAUSED_BYTES) {
            channel.close();
        } else if (pending.readableBytes() > MAX_PIPELINED_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Whether arriving bytes can be processed now: no request is in progress, or its body is wanted. */
    private boolean mayProcess() {
        return switch (state) {
            case IDLE, HEAD, BODY -> true;
            case DISCARDING -> !streamedBody.isComplete();
            case BUSY -> streamedBody != null && streamedBody.isWanted();
            case RESPONDING, CLOSING -> false;
        };
    }

    private boolean isBodyPaused() {
        return streamedBody != null && !streamedBody.isComplete();
    }

    /** Processes buffered bytes until a request is in progress that wants no more of them, or until none are left. */
    private void process() {
        if (processing) {
            return;
        }
        processing = true;
        try {
            while (mayProcess() && pending.isReadable()) {
                Limits limits = dataPath.limits();
                reader.setLimits(limits.maxHeaderBytes(), limits.maxBodyBytes());
                boolean complete = reader.read(pending);
                if (reader.needsSink()) {
                    startStreaming();
                } else if (complete) {
                    requestComplete();
                } else {
                    requestIncomplete(limits);
                    break;
                }
            }
        } catch (BadMessageException e) {
            badMessage(e);
        } finally {
            processing = false;
        }
        if (!pending.isReadable()) {
            pending.release();
            pending = Unpooled.EMPTY_BUFFER;
        }
    }

    private void badMessage(BadMessageException e) {
        dataPath.log().info("event=bad-request status=" + e.status() + " reason=\"" + e.getMessage() + "\"");
        if (state == State.DISCARDING) {
            closeAfterOutput();
            return;
        }
        Exchange abandoned = currentExchange;
        currentExchange = null;
        if (abandoned != null) {
            abandoned.clientDisconnected();
        }
        respondAndClose(FinalResponse.generated(e.status(), null));
    }

    private void requestComplete() throws BadMessageException {
        if (state == State.DISCARDING) {
            streamedBody.completed(dataPath.now());
            finishDiscarding();
        } else if (streamedBody != null) {
            streamedBody.completed(dataPath.now());
            if (currentExchange != null) {
                currentExchange.bodyArrived();
            }
        } else if (state == State.BODY || holdBody(true)) {
            state = State.BUSY;
            keepAlive = reader.isKeepAlive();
            handleRequest();
        }
    }

    /**
     * Takes the memory for a body that is gathered. Returns whether there was enough; else the request is refused.
     *
     * @param complete whether the body has arrived
     */
    private boolean holdBody(boolean complete) throws BadMessageException {
        long length = reader.statedLength();
        if (memory.tryHold(length < 0 ? RequestReader.MAX_GATHERED_BYTES : length)) {
            return true;
        }
        refuseForMemory(complete);
        return false;
    }

    /** Refuses a request, of which nothing has run, and reads the rest of its body away. */
    private void refuseForMemory(boolean complete) throws BadMessageException {
        state = State.BUSY;
        keepAlive = reader.isKeepAlive();
        streamedBody = new StreamedBody(reader.statedLength(), this);
        reader.streamTo(streamedBody);
        if (complete) {
            streamedBody.completed(dataPath.now());
        }
        String attemptId = reader.headers().get(ClientRequest.ATTEMPT_ID);
        respond(null, dataPath.refusalForMemory(attemptId));
    }

    /** Processes a request whose body is too large to be gathered; its body is read once an instance wants it. */
    private void startStreaming() throws BadMessageException {
        memory.giveBack();
        if (!memory.tryStream()) {
            refuseForMemory(false);
            return;
        }
        state = State.BUSY;
        keepAlive = reader.isKeepAlive();
        streamedBody = new StreamedBody(reader.statedLength(), this);
        reader.streamTo(streamedBody);
        channel.config().setAutoRead(false);
        handleRequest();
    }

    @Override
    public void resumeBody(StreamedBody body) {
        if (body != streamedBody) {
            return;
        }
        if (state == State.BUSY && reader.expectsContinue()) {
            sendContinue();
        }
        channel.config().setAutoRead(true);
        process();
    }

    @Override
    public void pauseBody(StreamedBody body) {
        if (body == streamedBody) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Updates the timeout while a request has arrived only in part, and sends {@code 100 Continue} if the client waits
     * for it.
     */
    private void requestIncomplete(Limits limits) throws BadMessageException {
        double nowMs = dataPath.now();
        if (streamedBody != null) {
            streamedBody.pieceArrived(nowMs);
            return;
        }
        if (!reader.hasHead()) {
            if (state == State.IDLE) {
                state = State.HEAD;
                timeoutAtMs = nowMs + limits.headerTimeoutMs();
            }
            return;
        }
        if (state != State.BODY) {
            if (!holdBody(false)) {
                return;
            }
            if (reader.expectsContinue()) {
                sendContinue();
            }
        }
        state = State.BODY;
        timeoutAtMs = nowMs + limits.idleTimeoutMs();
    }

    private void sendContinue() {
        if (!continueSent) {
            continueSent = true;
            channel.writeAndFlush(ByteBufUtil.writeAscii(channel.alloc(), CONTINUE));
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
                streamedBody == null ? reader.body() : NO_BODY,
                streamedBody);
        if (streamedBody == null) {
            reader.reset();
        }
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
    void respond(Exchange exchange, FinalResponse complete) {
        if (state != State.BUSY || exchange != currentExchange) {
            return;
        }
        currentExchange = null;
        memory.giveBack();
        if (writer.tryHold(complete)) {
            respond(complete);
        } else {
            boolean mayHaveRun = exchange != null && exchange.mayHaveRun();
            String attemptId = complete.attemptId();
            respond(mayHaveRun ? FinalResponse.generated(502, attemptId) : dataPath.refusalForMemory(attemptId));
        }
    }

    private void respond(FinalResponse response) {
        keepAlive &= !dataPath.isDraining();
        boolean bodyComplete = streamedBody == null || streamedBody.isComplete();
        if (bodyComplete && keepAlive) {
            state = State.RESPONDING;
            write(response, keepAliveLine());
        } else if (!bodyComplete && mayDiscard()) {
            state = State.DISCARDING;
            write(response, keepAlive ? keepAliveLine() : CONNECTION_CLOSE_LINE);
            streamedBody.discard(dataPath.now());
        } else {
            respondAndClose(response);
        }
    }

    private void write(FinalResponse response, String connectionLines) {
        outputProgressAtMs = dataPath.now();
        writer.write(response, connectionLines, this::responseQueued);
    }

    /** All of the response has been passed to the connection. */
    private void responseQueued() {
        switch (state) {
            case RESPONDING -> finishRequest();
            case DISCARDING -> finishDiscarding();
            case CLOSING -> shutdownOutputAfter(writer.lastWrite());
            default -> throw new IllegalStateException(state.name());
        }
    }

    /** Whether the rest of the body will arrive: the client does not wait for {@code 100 Continue}. */
    private boolean mayDiscard() {
        return !reader.expectsContinue() || continueSent;
    }

    /**
     * Ends a request that was answered before its body had arrived, once both the rest of the body has arrived and the
     * response has been passed to the connection.
     */
    private void finishDiscarding() {
        if (state != State.DISCARDING || writer.isWriting() || !streamedBody.isComplete()) {
            return;
        }
        finishRequest();
    }

    private void finishRequest() {
        if (keepAlive && !dataPath.isDraining()) {
            readNextRequest();
        } else {
            closeAfterOutput();
        }
    }

    private void closeAfterOutput() {
        state = State.CLOSING;
        channel.config().setAutoRead(true);
        if (!writer.isWriting()) {
            shutdownOutputAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
        }
    }

    private void readNextRequest() {
        streamedBody = null;
        continueSent = false;
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
        memory.giveBack();
        timeoutAtMs = dataPath.now() + LINGER_MS;
        channel.config().setAutoRead(true);
        write(response, CONNECTION_CLOSE_LINE);
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    /** Closes the connection, or responds with 408, if its timeout has passed. */
    void tick(double nowMs) {
        if (hasUnsentOutput() && nowMs - outputProgressAtMs >= OUTPUT_STALL_MS) {
            channel.close();
            return;
        }
        switch (state) {
            case BUSY, DISCARDING -> checkBody(nowMs);
            case RESPONDING -> {}
            case HEAD, BODY -> {
                if (nowMs >= timeoutAtMs) {
                    respondAndClose(FinalResponse.generated(408, null));
                }
            }
            case IDLE, CLOSING -> closeIfDone(nowMs);
        }
    }

    private void closeIfDone(double nowMs) {
        if (nowMs < timeoutAtMs) {
            return;
        }
        if (hasUnsentOutput()) {
            timeoutAtMs = nowMs + LINGER_MS;
        } else {
            channel.close();
        }
    }

    /** Ends a request, or the connection if the request has been answered, whose body has stalled. */
    private void checkBody(double nowMs) {
        StreamedBody.Stall stall = streamedBody == null
                ? StreamedBody.Stall.NONE
                : streamedBody.stall(nowMs, dataPath.limits().idleTimeoutMs());
        if (stall == StreamedBody.Stall.NONE) {
            return;
        }
        if (state == State.DISCARDING) {
            closeAfterOutput();
            return;
        }
        dataPath.log()
                .info("event=body_stalled by=" + stall.name().toLowerCase(Locale.ROOT) + " received="
                        + streamedBody.receivedBytes() + " length=" + streamedBody.length());
        if (currentExchange != null) {
            currentExchange.bodyStalled(stall == StreamedBody.Stall.INSTANCE);
        }
    }

    /** Whether a response is being sent, or the rest of a request that was answered is being read. */
    boolean isFinishing() {
        return hasUnsentOutput() || state == State.DISCARDING;
    }

    /** Whether a request has arrived in part and has not been answered. */
    boolean isReceiving() {
        return state == State.HEAD || state == State.BODY;
    }

    /** Refuses a request that has arrived in part, of which nothing has run. */
    void refuseIfIncomplete() {
        if (isReceiving()) {
            String attemptId = reader.hasHead() ? reader.headers().get(ClientRequest.ATTEMPT_ID) : null;
            respondAndClose(FinalResponse.retryLater(503, attemptId, 0));
        }
    }

    /** Whether some output has not been accepted by the socket yet. */
    boolean hasUnsentOutput() {
        return channel.isActive()
                && channel.unsafe().outboundBuffer() != null
                && (writer.isWriting() || !channel.unsafe().outboundBuffer().isEmpty());
    }

    /** Whether no request is in progress or partially received, and the last response has been sent completely. */
    boolean isIdle() {
        return state == State.IDLE && !pending.isReadable() && !hasUnsentOutput();
    }

    /** Closes the connection after its unsent output if no request is in progress or partially received. */
    void closeIfIdle() {
        if (state == State.IDLE) {
            closeAfterOutput();
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
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            outputProgressAtMs = dataPath.now();
            writer.continueWriting();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state = State.CLOSING;
        writer.stop();
        memory.giveBack();
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
