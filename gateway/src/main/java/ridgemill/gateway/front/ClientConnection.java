package ridgemill.gateway.front;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import ridgemill.connections.ConnectionEviction;
import ridgemill.flow.MinRequestRate;

/** One client's connection and what it is doing: what all protocols have in common, which is their limits in time. */
public abstract class ClientConnection extends ChannelInboundHandlerAdapter implements ConnectionEviction.Candidate {

    /** What a connection is doing; the limits in time go by it. */
    protected enum Phase { SILENT, READING, BUSY, IDLE, CLOSING }

    /** How long a connection may say nothing at first, or leave its answer unread. */
    private static final long FIRST_BYTE_TIMEOUT_MS = 2500;
    private static final long UNREAD_RESPONSE_TIMEOUT_MS = 3000;
    /** How long one that was served is kept for its next request: some clients ask once and stay for good. */
    private static final long IDLE_TIMEOUT_MS = 4000;
    private static final long MANY_IDLE_TIMEOUT_MS = 2000;
    private static final long LONG_LIVED_IDLE_TIMEOUT_MS = 300_000;
    /** How long input is read on after an error: unread input would reset the error away. */
    private static final long LINGER_MS = 1000;
    private static final long FIRST_READ_DELAY_MS = 2;
    /**
     * When a client that has too many connections may come back on another: by then one of its own may have had its
     * answer, and one that says nothing more is closed for the next.
     */
    protected static final double OVER_LIMIT_RETRY_AFTER_MS = 250;

    private final Channel channel;
    private final ClientTable table;
    private Phase phase = Phase.SILENT;
    private long phaseStartNanos = System.nanoTime();
    private ChannelFuture lastWrite;
    private long lastWriteNanos;
    /** When bytes came last, and how many since the phase began. */
    private long lastReceivedNanos = phaseStartNanos;
    private long receivedBytes;
    private boolean read;
    private boolean overLimit;

    protected ClientConnection(Channel channel, ClientTable table) {
        this.channel = channel;
        this.table = table;
        // Two turns of the loop on: what was there when it was accepted has been read by then.
        channel.eventLoop().schedule(() -> channel.eventLoop().schedule(this::markRead, 0, TimeUnit.MILLISECONDS), FIRST_READ_DELAY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void markRead() {
        read = true;
        table.retryEviction();
    }

    /** Whether the loop has come round to read it since it was accepted. */
    @Override
    public final boolean wasRead() {
        return read;
    }

    /** Its client has as many connections as it may already: its first request is turned away, and it closes. */
    final void markOverLimit() {
        overLimit = true;
    }

    protected final boolean isOverLimit() {
        return overLimit;
    }

    /** Whose connection it is: the address without the port; null where the transport has none. */
    final Object clientAddress() {
        return channel.remoteAddress() instanceof InetSocketAddress a ? a.getAddress() : null;
    }

    /** The client has taken too long over a request: it is owed an error. */
    protected abstract void requestTimedOut();

    /** The connection has ended. */
    protected abstract void disconnected();

    /** Whether clients of this protocol keep connections for long without a request, and are not told of a last answer. */
    protected boolean isLongLived() {
        return false;
    }

    /** Whether the request in hand is still coming, and is read. */
    protected boolean isUploading() {
        return false;
    }

    /** Whether a connection without a request is to close now: the proxy goes down. */
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

    /** A request was taken: this is a client that asks for something. */
    protected final void requestStarted() {
        enterPhase(Phase.BUSY);
    }

    /** The last bytes that the client is to read are on their way. */
    protected final void trackWrite(ChannelFuture last) {
        if (lastWrite == null || lastWrite.isDone()) {
            lastWriteNanos = System.nanoTime();
        }
        lastWrite = last;
    }

    /** Whether the answer that comes now must be the connection's last. */
    protected final boolean mustCloseAfterResponse() {
        return table.disablesKeepAlive();
    }

    /** Moves the connection behind all that were used before it. */
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

    /** The pace of what comes counts from now. */
    protected final void restartRequestRate() {
        phaseStartNanos = System.nanoTime();
        receivedBytes = 0;
    }

    /** So many bytes have come. */
    protected final void bytesReceived(int more) {
        lastReceivedNanos = System.nanoTime();
        receivedBytes += more;
    }

    final void close() {
        channel.close();
    }

    final void closeIfIdle() {
        if (!isBusy() && phase != Phase.CLOSING) {
            channel.close();
        }
    }

    /** A client that sends no end, reads no answer or just stays would hold its descriptor for good. */
    final void checkTimeouts(long now) {
        long ms = TimeUnit.NANOSECONDS.toMillis(now - phaseStartNanos);
        boolean unread = lastWrite != null && !lastWrite.isDone();
        switch (phase) {
            case SILENT -> closeAfter(ms, FIRST_BYTE_TIMEOUT_MS);
            case IDLE -> closeAfter(ms, unread ? UNREAD_RESPONSE_TIMEOUT_MS : idleTimeoutMs());
            case CLOSING -> closeAfter(ms, unread ? UNREAD_RESPONSE_TIMEOUT_MS : LINGER_MS);
            case READING -> {
                if (MinRequestRate.isTooSlow(ms, receivedBytes)) {
                    requestTimedOut();
                }
            }
            case BUSY -> {
                if (isUploading() && MinRequestRate.isTooSlow(ms, receivedBytes)) {
                    requestTimedOut();
                    return;
                }
                // Requests behind one another may go on while none of their answers is read.
                if (isLongLived() && unread && TimeUnit.NANOSECONDS.toMillis(now - lastWriteNanos) >= UNREAD_RESPONSE_TIMEOUT_MS) {
                    channel.close();
                }
            }
        }
    }

    private long idleTimeoutMs() {
        if (table.idleTimeoutMs() > 0) {
            return (long) table.idleTimeoutMs();
        }
        return isLongLived() ? LONG_LIVED_IDLE_TIMEOUT_MS : table.hasManyIdle() ? MANY_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS;
    }

    private void closeAfter(long ms, long limit) {
        if (ms >= limit) {
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
