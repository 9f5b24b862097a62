package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import ridgemill.cdn.proxy.http.MessageWriter;

/**
 * Writes one response at a time to the connection of a client. A large body is written in pieces, as fast as the client
 * reads, because the transport copies what it is given into direct memory.
 */
final class ResponseWriter {

    /** Size of a piece of a body, in bytes. */
    private static final int PIECE_BYTES = 16 * 1_024;
    /** The connection is writable again once it holds less than this, in bytes. */
    private static final int LOW_WATER_BYTES = 8 * 1_024;
    /** The connection is not writable while it holds more than this, in bytes. */
    private static final int HIGH_WATER_BYTES = 24 * 1_024;
    /**
     * How much the operating system holds that it has not sent, in bytes, where this can be set (epoll). Else it would
     * hold up to 4 MB for each slow client.
     */
    private static final int MAX_UNSENT_BYTES = 128 * 1_024;

    private static final byte[] EMPTY = {};

    private final Channel channel;
    private final ResponseMemory memory;
    private byte[] body = EMPTY;
    private int position;
    private Runnable whenQueued;
    private ChannelFuture lastWrite;

    ResponseWriter(Channel channel, ResponseMemory memory) {
        this.channel = channel;
        this.memory = memory;
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
        if (channel instanceof EpollSocketChannel) {
            channel.config().setOption(EpollChannelOption.TCP_NOTSENT_LOWAT, (long) MAX_UNSENT_BYTES);
        }
    }

    /** Whether a part of the response has not been passed to the connection yet. */
    boolean isWriting() {
        return whenQueued != null;
    }

    /** The completion of the last write of the response; null before the first. */
    ChannelFuture lastWrite() {
        return lastWrite;
    }

    /** Whether there is memory to write a response; if so, it is held until the response has been written. */
    boolean tryHold(FinalResponse response) {
        return !isLarge(response) || memory.tryHoldForWriting(response.body());
    }

    private static boolean isLarge(FinalResponse response) {
        return response.body().length > MessageWriter.MAX_COPIED_BODY_BYTES;
    }

    /**
     * Writes a response for which there is memory, see {@link #tryHold}.
     *
     * @param connectionLines header lines for this connection, each with its CR LF
     * @param queuedTask runs once all of the response has been passed to the connection, maybe before this returns
     */
    void write(FinalResponse response, String connectionLines, Runnable queuedTask) {
        boolean inPieces = isLarge(response);
        ByteBuf head = MessageWriter.response(
                channel.alloc(),
                response.status(),
                response.headers(),
                connectionLines,
                response.contentLength(),
                inPieces ? EMPTY : response.body());
        body = inPieces ? response.body() : EMPTY;
        position = 0;
        whenQueued = queuedTask;
        lastWrite = channel.writeAndFlush(head);
        continueWriting();
    }

    /** Writes further pieces while the connection accepts them; called whenever it may accept more. */
    void continueWriting() {
        while (position < body.length && channel.isWritable()) {
            int count = Math.min(PIECE_BYTES, body.length - position);
            int start = position;
            position += count;
            lastWrite = channel.writeAndFlush(Unpooled.wrappedBuffer(body, start, count));
        }
        if (whenQueued != null && position >= body.length) {
            Runnable queuedTask = whenQueued;
            stop();
            queuedTask.run();
        }
    }

    /** Forgets the response, because it has been written or because the connection is closed. */
    void stop() {
        if (body.length > 0) {
            memory.releaseFromWriting(body);
        }
        body = EMPTY;
        position = 0;
        whenQueued = null;
    }
}
