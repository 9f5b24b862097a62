package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import ridgemill.cdn.proxy.http.BodySink;
import ridgemill.flow.MinRequestRate;
import ridgemill.flow.ResponseStallDetector;

/**
 * The body of a request that is passed on to one instance while it arrives, because it is too large to be held. Until
 * an instance has been found, and while that instance accepts no more bytes, nothing is read from the client. The body
 * can be sent only once.
 */
final class StreamedBody implements BodySink {

    /** Where the body comes from. */
    interface Source {

        /** The body may be read now. */
        void resumeBody(StreamedBody body);

        /** Nothing more should be read for now. */
        void pauseBody(StreamedBody body);
    }

    /** Where the body goes. */
    interface Receiver extends BodySink {

        /** The last piece has been passed on. */
        void bodyComplete();
    }

    /** Who prevents the body from being passed on. */
    enum Stall {
        NONE,
        CLIENT,
        INSTANCE
    }

    /** Length of a body in chunks, whose length is not known before its end. */
    static final long UNKNOWN_LENGTH = -1;

    private final long length;
    private final Source source;
    private Receiver receiver;
    private boolean started;
    private boolean complete;
    private boolean blocked;
    private long receivedBytes;
    private double startedAtMs;
    private double lastPieceAtMs;
    private double blockedSinceMs;
    private double blockedMs;
    private double completedAtMs;

    /**
     * Creates a body of which nothing has been read.
     *
     * @param length its length in bytes, or {@link #UNKNOWN_LENGTH}
     */
    StreamedBody(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    /** The length in bytes, or {@link #UNKNOWN_LENGTH}. */
    long length() {
        return length;
    }

    /** The number of bytes that have arrived. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether any part may have been passed on, so that the request cannot be sent again. */
    boolean isStarted() {
        return started;
    }

    /** Whether the last byte has arrived. */
    boolean isComplete() {
        return complete;
    }

    /** Whether the body should be read: it is being passed on or discarded. */
    boolean isWanted() {
        return started && !complete && !blocked;
    }

    /** Whether the body is being passed on, so that its progress is limited in place of the time of the request. */
    boolean isFlowing() {
        return started && !complete;
    }

    /** Starts passing the body on; called at most once, for the one attempt that sends it. */
    void start(Receiver newReceiver, double nowMs) {
        if (started) {
            throw new IllegalStateException("the body was started before");
        }
        started = true;
        startedAtMs = nowMs;
        lastPieceAtMs = nowMs;
        receiver = newReceiver;
        source.resumeBody(this);
    }

    /** Reads the rest without passing it on. */
    void discard(double nowMs) {
        receiver = null;
        if (!started) {
            started = true;
            startedAtMs = nowMs;
            lastPieceAtMs = nowMs;
        }
        if (blocked) {
            setBlocked(false, nowMs);
        } else {
            source.resumeBody(this);
        }
    }

    /** Records whether the receiver accepts no more bytes for now. */
    void setBlocked(boolean isBlocked, double nowMs) {
        if (isBlocked == blocked) {
            return;
        }
        blocked = isBlocked;
        if (isBlocked) {
            blockedSinceMs = nowMs;
            source.pauseBody(this);
        } else {
            blockedMs += nowMs - blockedSinceMs;
            lastPieceAtMs = nowMs;
            source.resumeBody(this);
        }
    }

    /** Records that bytes have arrived at the given time. */
    void pieceArrived(double nowMs) {
        lastPieceAtMs = nowMs;
    }

    @Override
    public void bodyPiece(ByteBuf piece) {
        receivedBytes += piece.readableBytes();
        if (receiver == null) {
            piece.release();
        } else {
            receiver.bodyPiece(piece);
        }
    }

    /** When the last byte had arrived, in milliseconds; only once {@link #isComplete}. */
    double completedAtMs() {
        return completedAtMs;
    }

    /** The last byte has arrived. */
    void completed(double nowMs) {
        complete = true;
        completedAtMs = nowMs;
        if (receiver != null) {
            receiver.bodyComplete();
        }
    }

    /**
     * Who has stalled the body: a client that sends nothing for too long or too slowly, or an instance that accepts
     * nothing.
     *
     * @param idleTimeoutMs how long a client may send nothing, in milliseconds
     */
    Stall stall(double nowMs, double idleTimeoutMs) {
        if (!started || complete) {
            return Stall.NONE;
        }
        if (blocked) {
            boolean stalled = nowMs - blockedSinceMs >= ResponseStallDetector.STREAMED_LIMIT_MS;
            return stalled ? Stall.INSTANCE : Stall.NONE;
        }
        boolean silent = nowMs - lastPieceAtMs >= idleTimeoutMs;
        boolean slow = MinRequestRate.isTooSlow(nowMs - startedAtMs - blockedMs, receivedBytes);
        return silent || slow ? Stall.CLIENT : Stall.NONE;
    }
}
