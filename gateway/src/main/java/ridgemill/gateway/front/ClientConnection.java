package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import ridgemill.connections.ConnectionEviction;
import ridgemill.flow.MinRequestRate;

/** One client's connection with its current phase. Holds the timeouts that all protocols have in common. */
public abstract class ClientConnection extends ChannelInboundHandlerAdapter implements ConnectionEviction.Candidate {

    /** The state of a connection, which selects the timeout that applies. {@code SILENT}: no request has begun yet. */
    protected enum Phase { SILENT, READING, BUSY, IDLE, CLOSING }

    /** Limits for a new connection that sends nothing, and for a response that the client does not read. */
    private static final long FIRST_BYTE_TIMEOUT_MS = 2500;
    private static final long UNREAD_RESPONSE_TIMEOUT_MS = 3000;
    /** How long an idle connection is kept for its next request: some clients send one request and never disconnect. */
    private static final long IDLE_TIMEOUT_MS = 4000;
    private static final long MANY_IDLE_TIMEOUT_MS = 2000;
    private static final long LONG_LIVED_IDLE_TIMEOUT_MS = 300_000;
    /** How long input is read after an error response: closing with unread input resets the connection and loses it. */
    private static final long LINGER_MS = 1000;
    private static final long FIRST_READ_DELAY_MS = 2;
    /**
     * When a client with too many connections may retry on a new one. By then one of its connections may have got its
     * response, and one that sends nothing more is closed for the next.
     */
    protected static final double OVER_LIMIT_RETRY_AFTER_MS = 250;

    private final Channel channel;
    private final ClientTable table;
    private Phase phase = Phase.SILENT;
    private long phaseStartNanos = System.nanoTime();
    private ChannelFuture lastWrite;
    private long lastWriteNanos;
    /** When bytes last arrived, and how many arrived since the phase began. */
    private long lastReceivedNanos = phaseStartNanos;
    private long receivedBytes;
    private boolean read;
    private boolean overLimit;

    protected ClientConnection(Channel channel, ClientTable table) {
        this.channel = channel;
        this.table = table;
        // After two turns of the loop, bytes that were there when the connection was accepted have been read.
        channel.eventLoop().schedule(() -> channel.eventLoop().schedule(this::markRead, 0, TimeUnit.MILLISECONDS),
                FIRST_READ_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    private void markRead() {
        read = true;
        table.retryEviction();
    }

    /** Returns whether the loop has had the time to read the connection since it was accepted. */
    @Override
    public final boolean wasRead() {
        return read;
    }

    /** Marks the client as over its connection limit: the first request is rejected and the connection closes. */
    final void markOverLimit() {
        overLimit = true;
    }

    protected final boolean isOverLimit() {
        return overLimit;
    }

    /** Returns the client's address without the port; null if the transport has none. */
    final Object clientAddress() {
        return channel.remoteAddress() instanceof InetSocketAddress a ? a.getAddress() : null;
    }

    /** Called when the client has sent its request too slowly. The subclass responds with an error. */
    protected abstract void requestTimedOut();

    /** Called when the connection has ended. */
    protected abstract void disconnected();

    /**
     * Returns whether clients of this protocol keep connections open without requests for long, and responses do not
     * announce that the connection closes.
     */
    protected boolean isLongLived() {
        return false;
    }

    /** Returns whether the body of the current request is still being received and read. */
    protected boolean isUploading() {
        return false;
    }

    /** Returns whether connections without a request are to close because the proxy shuts down. */
    protected final boolean mustCloseIdle() {
        return table.isClosingIdle();
    }

    protected final Channel channel() {
        return channel;
    }

    protected final Phase phase() {
        return phase;
    }

    protected final void enterPhase(Phase next) {
        if (!isLongLived()) {
            table.idleCount += (next == Phase.IDLE ? 1 : 0) - (phase == Phase.IDLE ? 1 : 0);
        }
        phase = next;
        phaseStartNanos = System.nanoTime();
        receivedBytes = 0;
    }

    /** Enters the phase of a connection with a request in progress. */
    protected final void requestStarted() {
        enterPhase(Phase.BUSY);
    }

    /** Tracks the write of the last bytes for the client, to detect a client that does not read them. */
    protected final void trackWrite(ChannelFuture last) {
        if (lastWrite == null || lastWrite.isDone()) {
            lastWriteNanos = System.nanoTime();
        }
        lastWrite = last;
    }

    /** Returns whether the next response must be the last on its connection. */
    protected final boolean mustCloseAfterResponse() {
        return table.disablesKeepAlive();
    }

    /** Marks this connection as the most recently used. */
    protected final void markUsed() {
        table.markUsed(this);
    }

    @Override
    public final boolean isBusy() {
        return phase == Phase.BUSY;
    }

    @Override
    public final boolean isKeepAlive() {
        return phase == Phase.IDLE;
    }

    @Override
    public final boolean hasPartialRequest() {
        return phase == Phase.READING;
    }

    @Override
    public final double lastActivityMs() {
        return Math.max(phaseStartNanos, lastReceivedNanos) / 1e6;
    }

    /** Measures the rate of the request's bytes from now on. */
    protected final void restartRequestRate() {
        phaseStartNanos = System.nanoTime();
        receivedBytes = 0;
    }

    /** Records that bytes were received. */
    protected final void bytesReceived(int count) {
        lastReceivedNanos = System.nanoTime();
        receivedBytes += count;
    }

    final void close() {
        channel.close();
    }

    final void closeIfIdle() {
        if (!isBusy() && phase != Phase.CLOSING) {
            channel.close();
        }
    }

    /**
     * Enforces the timeout of the current phase. A client that does not finish its request, does not read its response
     * or stays idle would hold its file descriptor forever.
     */
    final void checkTimeouts(long nowNanos) {
        long phaseMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - phaseStartNanos);
        boolean unread = lastWrite != null && !lastWrite.isDone();
        switch (phase) {
            case SILENT -> closeAfter(phaseMs, FIRST_BYTE_TIMEOUT_MS);
            case IDLE -> closeAfter(phaseMs, unread ? UNREAD_RESPONSE_TIMEOUT_MS : idleTimeoutMs());
            case CLOSING -> closeAfter(phaseMs, unread ? UNREAD_RESPONSE_TIMEOUT_MS : LINGER_MS);
            case READING -> {
                if (MinRequestRate.isTooSlow(phaseMs, receivedBytes)) {
                    requestTimedOut();
                }
            }
            case BUSY -> {
                if (isUploading() && MinRequestRate.isTooSlow(phaseMs, receivedBytes)) {
                    requestTimedOut();
                    return;
                }
                // Pipelined requests may continue to arrive although the client reads none of their responses.
                if (isLongLived() && unread
                        && TimeUnit.NANOSECONDS.toMillis(nowNanos - lastWriteNanos) >= UNREAD_RESPONSE_TIMEOUT_MS) {
                    channel.close();
                }
            }
        }
    }

    private long idleTimeoutMs() {
        if (table.idleTimeoutMs() > 0) {
            return (long) table.idleTimeoutMs();
        }
        return isLongLived() ? LONG_LIVED_IDLE_TIMEOUT_MS
                : table.hasManyIdle() ? MANY_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    }

    private void closeAfter(long elapsedMs, long limitMs) {
        if (elapsedMs >= limitMs) {
            channel.close();
        }
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        enterPhase(Phase.CLOSING);
        table.remove(this);
        disconnected();
    }
}
