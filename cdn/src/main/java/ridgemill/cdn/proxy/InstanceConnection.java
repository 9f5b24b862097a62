package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.handler.codec.ByteToMessageDecoder;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.proxy.http.BadMessageException;
import ridgemill.cdn.proxy.http.Headers;
import ridgemill.cdn.proxy.http.MessageWriter;
import ridgemill.cdn.proxy.http.ResponseReader;

/** One connection to an instance or shared cache; it carries one request at a time. */
final class InstanceConnection extends ChannelInboundHandlerAdapter implements StreamedBody.Receiver {

    private static final int MISDIRECTED = 421;
    /** Maximum number of surplus responses to earlier requests that are skipped before the expected response. */
    private static final int MAX_SURPLUS_RESPONSES = 2;

    private static final double MS_PER_SECOND = 1_000;

    private final ConnectionPool pool;
    private final ResponseReader reader = new ResponseReader();
    private Channel channel;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private ConnectionListener listener;
    private StreamedBody body;
    /** Memory for the body of the response; null before its head has arrived. */
    private ResponseMemory.Reservation memory;

    private String attemptId;
    /** Whether the socket has accepted any byte of the request, so that the instance may have it. */
    private boolean partWritten;

    private boolean requestWritten;
    private boolean respondsEarly;
    private int surplusResponses;
    private boolean notReusable;
    private boolean connected;
    private boolean closeReported;
    private boolean usedBefore;
    private double idleSinceMs;
    private double idleBeforeMs;
    private double keepAliveTimeoutMs = Double.NaN;

    InstanceConnection(ConnectionPool pool) {
        this.pool = pool;
    }

    /** Whether a request may be sent on this connection. */
    boolean isUsable() {
        return channel != null && channel.isActive() && listener == null && !notReusable;
    }

    /** How long it has been idle, in milliseconds. */
    double idleMs(double nowMs) {
        return nowMs - idleSinceMs;
    }

    /**
     * The idle timeout that the instance advertised in its Keep-Alive header, in milliseconds; NaN if it advertised
     * none.
     */
    double keepAliveTimeoutMs() {
        return keepAliveTimeoutMs;
    }

    /** How long it had been idle before its current or last request, in milliseconds; 0 for its first request. */
    double idleBeforeMs() {
        return idleBeforeMs;
    }

    /**
     * Sends a request.
     *
     * @param bytes the complete request, or its head if the body is streamed
     * @param streamedBody the body that follows in pieces; null if the request is complete
     * @param expectedId the attempt identifier that the response must carry
     * @param isHead whether the request is a HEAD request, so that the response has no body
     */
    void send(
            ByteBuf bytes,
            StreamedBody streamedBody,
            String expectedId,
            boolean isHead,
            double nowMs,
            ConnectionListener newListener) {
        listener = newListener;
        body = streamedBody;
        attemptId = expectedId;
        partWritten = false;
        requestWritten = false;
        respondsEarly = false;
        surplusResponses = 0;
        idleBeforeMs = usedBefore ? idleMs(nowMs) : 0;
        usedBefore = true;
        reader.reset();
        reader.setHeadRequest(isHead);
        writeFirstPart(bytes, streamedBody == null);
        if (streamedBody != null) {
            streamedBody.start(this, nowMs);
        }
    }

    /** Writes the complete request or its head, and records as soon as the socket accepts a byte of it. */
    private void writeFirstPart(ByteBuf bytes, boolean isLastPart) {
        ConnectionListener current = listener;
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(new ChannelProgressiveFutureListener() {
            @Override
            public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
                if (listener == current) {
                    partWritten |= progress > 0;
                }
            }

            @Override
            public void operationComplete(ChannelProgressiveFuture future) {
                if (listener == current) {
                    partWritten |= future.isSuccess();
                    written(future, isLastPart);
                }
            }
        });
        channel.writeAndFlush(bytes, promise);
    }

    /** A part of the request was written, or writing it failed. */
    private void written(ChannelFuture future, boolean isLastPart) {
        if (!future.isSuccess()) {
            endExchange(disconnectOutcome(), null, null);
        } else if (isLastPart) {
            requestWritten = true;
        }
    }

    @Override
    public void bodyPiece(ByteBuf piece) {
        boolean chunked = body.length() == StreamedBody.UNKNOWN_LENGTH;
        writeBodyPart(chunked ? MessageWriter.chunk(channel.alloc(), piece) : piece, false);
        if (body != null && !channel.isWritable()) {
            body.setBlocked(true, pool.now());
        }
    }

    @Override
    public void bodyComplete() {
        boolean chunked = body.length() == StreamedBody.UNKNOWN_LENGTH;
        writeBodyPart(chunked ? MessageWriter.lastChunk() : Unpooled.EMPTY_BUFFER, true);
    }

    private void writeBodyPart(ByteBuf bytes, boolean isLastPart) {
        ConnectionListener current = listener;
        channel.writeAndFlush(bytes).addListener((ChannelFuture future) -> {
            if (listener == current) {
                written(future, isLastPart);
            }
        });
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (body != null) {
            body.setBlocked(!channel.isWritable(), pool.now());
        }
    }

    /** The rest of a streamed body is not sent any more. */
    private void stopBody() {
        if (body != null) {
            StreamedBody stopped = body;
            body = null;
            if (!stopped.isComplete()) {
                stopped.discard(pool.now());
            }
        }
    }

    /** Aborts the exchange without calling its listener and closes the connection. */
    void abort() {
        listener = null;
        stopBody();
        releaseMemory();
        close();
    }

    /** Closes the connection. */
    void close() {
        notReusable = true;
        if (channel != null) {
            reportClosed();
            channel.close();
        }
    }

    /** Reports the end of the connection to the pool once, when it is closed on this side or by the instance. */
    private void reportClosed() {
        if (connected && !closeReported) {
            closeReported = true;
            pool.closed(this);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        idleSinceMs = pool.now();
        connected = true;
        pool.opened();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (listener == null) {
            // No response is pending: the bytes belong to no request.
            bytes.release();
            close();
            return;
        }
        if (!requestWritten) {
            // The response begins before the request was written completely; the rest of the request may still be in
            // transit.
            notReusable = true;
            respondsEarly = true;
        }
        pending = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context.alloc(), pending, bytes);
        read();
    }

    private void read() {
        try {
            while (listener != null && !isWaitingForMemory()) {
                boolean complete = reader.read(pending);
                if (reader.memoryNeeded() > 0) {
                    reserveMemory();
                } else if (complete) {
                    responseRead();
                } else {
                    break;
                }
            }
        } catch (BadMessageException e) {
            endExchange(AttemptOutcome.GARBLED, null, null);
        }
        if (listener == null || !pending.isReadable()) {
            discardPending();
        }
    }

    private boolean isWaitingForMemory() {
        return memory != null && !memory.isGranted();
    }

    /**
     * Reserves memory for the body. A body of a stated length waits for it; one in chunks, of which a part is held, does
     * not, so that two of them cannot wait for each other.
     */
    private void reserveMemory() {
        long bytes = reader.memoryNeeded();
        ResponseMemory.Reservation previous = memory;
        if (!pool.responseMemory().canHold(bytes)) {
            endExchange(AttemptOutcome.NOT_HELD, null, null);
        } else if (previous == null) {
            memory = pool.responseMemory().reserve(bytes, this::memoryGranted);
            awaitMemory();
        } else {
            memory = pool.responseMemory().tryReserve(bytes);
            grow(previous);
        }
    }

    private void awaitMemory() {
        if (memory.isGranted()) {
            reader.grantMemory();
        } else {
            channel.config().setAutoRead(false);
        }
        if (!memory.isGranted() || memory.isLarge()) {
            listener.responseBegun();
        }
    }

    private void memoryGranted() {
        reader.grantMemory();
        channel.config().setAutoRead(true);
        read();
    }

    private void grow(ResponseMemory.Reservation previous) {
        boolean reserved = memory != null;
        if (reserved) {
            reader.grantMemory();
        }
        previous.release();
        if (!reserved) {
            endExchange(AttemptOutcome.NOT_HELD, null, null);
        }
    }

    private void releaseMemory() {
        if (memory != null) {
            ResponseMemory.Reservation released = memory;
            memory = null;
            released.release();
        }
    }

    private void discardPending() {
        if (pending.isReadable()) {
            close();
        }
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private void responseRead() {
        Headers headers = reader.headers();
        notReusable |= !reader.isKeepAlive();
        if (!attemptId.equals(headers.get("X-Attempt-Id"))) {
            notReusable = true;
            if (++surplusResponses > MAX_SURPLUS_RESPONSES || !reader.isKeepAlive()) {
                endExchange(AttemptOutcome.GARBLED, null, null);
            } else {
                reader.reset();
                releaseMemory();
            }
            return;
        }
        if (!canCopyBody()) {
            endExchange(AttemptOutcome.NOT_HELD, null, null);
            return;
        }
        keepAliveTimeoutMs = parseKeepAliveTimeoutMs(headers.get("Keep-Alive"));
        if (pending.isReadable()) {
            notReusable = true;
        }
        String load = headers.get("X-Server-Load");
        InstanceResponse response =
                new InstanceResponse(reader.status(), headers.endToEnd(), contentLength(headers), reader.body());
        boolean refused = pool.isToSharedCache() && headers.get(CacheHeaders.REFUSAL) != null;
        endExchange(refused ? AttemptOutcome.REFUSED_BY_CACHE : outcomeOf(response, headers), response, load);
    }

    /** Whether there is memory for the copy that a body in chunks needs; until it is made, nobody else can take it. */
    private boolean canCopyBody() {
        int bytes = reader.bodyCopyBytes();
        ResponseMemory.Reservation copy =
                bytes == 0 ? null : pool.responseMemory().tryReserve(bytes);
        if (copy != null) {
            copy.release();
        }
        return bytes == 0 || copy != null;
    }

    private static AttemptOutcome outcomeOf(InstanceResponse response, Headers headers) {
        if (response.status() == MISDIRECTED) {
            return AttemptOutcome.MISDIRECTED;
        }
        if (headers.get(InstanceResponse.NOT_EXECUTED) != null) {
            return response.isSuccess() ? AttemptOutcome.GARBLED : AttemptOutcome.DECLINED;
        }
        boolean garbled = headers.get("Content-Encoding") != null || response.isSuccess() && !response.isSealed();
        return garbled ? AttemptOutcome.GARBLED : AttemptOutcome.ANSWERED;
    }

    private static long contentLength(Headers headers) {
        String text = headers.get("Content-Length");
        try {
            return text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static double parseKeepAliveTimeoutMs(String keepAlive) {
        int position = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (position < 0) {
            return Double.NaN;
        }
        double seconds = 0;
        for (int i = position + "timeout=".length();
                i < keepAlive.length() && Character.isDigit(keepAlive.charAt(i));
                i++) {
            seconds = 10 * seconds + keepAlive.charAt(i) - '0';
        }
        return seconds * MS_PER_SECOND;
    }

    /**
     * The outcome if the connection ends before a complete response. An instance that began to respond, or that may have
     * any byte of the request, may have run it: an instance may start before it has the whole body.
     */
    private AttemptOutcome disconnectOutcome() {
        return partWritten || respondsEarly ? AttemptOutcome.RESET : AttemptOutcome.NEVER_WRITTEN;
    }

    private void endExchange(AttemptOutcome outcome, InstanceResponse response, String load) {
        ConnectionListener endedListener = listener;
        listener = null;
        stopBody();
        // An idle connection must not keep the body of its last response.
        reader.reset();
        releaseMemory();
        boolean intact = outcome == AttemptOutcome.ANSWERED
                || outcome == AttemptOutcome.DECLINED
                || outcome == AttemptOutcome.REFUSED_BY_CACHE;
        if (!intact) {
            notReusable = true;
        }
        idleSinceMs = pool.now();
        if (notReusable) {
            close();
        } else {
            pool.release(this);
        }
        if (endedListener != null) {
            endedListener.exchangeEnded(outcome, response, load);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        notReusable = true;
        reportClosed();
        if (listener != null) {
            endExchange(disconnectOutcome(), null, null);
        }
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }
}
