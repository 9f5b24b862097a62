package ridgemill.cdn.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import ridgemill.cdn.edge.AttemptOutcome;
import ridgemill.cdn.proxy.http.AnswerReader;
import ridgemill.cdn.proxy.http.BadMessageException;
import ridgemill.cdn.proxy.http.Headers;

/** One connection to an instance; it carries one request at a time. */
final class InstanceConnection extends ChannelInboundHandlerAdapter {

    private static final int MISDIRECTED = 421;
    /** Surplus answers of earlier requests that are passed over before the one that is due. */
    private static final int MOST_SURPLUS = 2;

    private static final double MS_PER_SECOND = 1_000;

    private final InstancePool pool;
    private final AnswerReader reader = new AnswerReader();
    private Channel channel;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private ConnectionListener listener;
    private String attemptId;
    private boolean written;
    private boolean answersEarly;
    private int surplus;
    private boolean spent;
    private boolean up;
    private boolean over;
    private boolean countsOpen;
    private double idleSinceMs;
    private double idleBeforeMs;
    private double statedIdleMs = Double.NaN;

    InstanceConnection(InstancePool pool) {
        this.pool = pool;
    }

    /** Whether a request may be sent on it. */
    boolean isUsable() {
        return channel != null && channel.isActive() && listener == null && !spent;
    }

    /** How long it has been idle, in milliseconds. */
    double idleMs(double nowMs) {
        return nowMs - idleSinceMs;
    }

    /** After which idle time the instance said it would close it, in milliseconds; not a number if it did not say. */
    double statedIdleMs() {
        return statedIdleMs;
    }

    /** How long it had been idle before its current or last request; 0 for its first. */
    double idleBeforeMs() {
        return idleBeforeMs;
    }

    /**
     * Sends a request.
     *
     * @param bytes the whole request
     * @param id the id that its answer must carry
     * @param isHead whether its answer has no body
     */
    void send(ByteBuf bytes, String id, boolean isHead, double nowMs, ConnectionListener to) {
        listener = to;
        attemptId = id;
        written = false;
        answersEarly = false;
        surplus = 0;
        idleBeforeMs = countsOpen ? idleMs(nowMs) : 0;
        countsOpen = true;
        reader.reset();
        reader.toHead(isHead);
        channel.writeAndFlush(bytes).addListener((ChannelFuture future) -> {
            if (listener != to) {
                return;
            }
            if (future.isSuccess()) {
                written = true;
            } else {
                end(brokenOff(), null, null);
            }
        });
    }

    /** Gives up the exchange without a word to its listener and closes the connection. */
    void abort() {
        listener = null;
        close();
    }

    /** Closes the connection. */
    void close() {
        spent = true;
        if (channel != null) {
            over();
            channel.close();
        }
    }

    /** It holds no place any more; told to the pool once, when it is closed from here or has ended. */
    private void over() {
        if (up && !over) {
            over = true;
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
        up = true;
        pool.opened();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (listener == null) {
            // Nothing is awaited: it belongs to no request.
            bytes.release();
            close();
            return;
        }
        if (!written) {
            // It answers before it has taken the whole request, of which the rest may still be on its way.
            spent = true;
            answersEarly = true;
        }
        pending = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(context.alloc(), pending, bytes);
        read();
    }

    private void read() {
        try {
            while (listener != null && reader.read(pending)) {
                answered();
            }
        } catch (BadMessageException e) {
            end(AttemptOutcome.GARBLED, null, null);
        }
        if (listener == null || !pending.isReadable()) {
            drop();
        }
    }

    private void drop() {
        if (pending.isReadable()) {
            close();
        }
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private void answered() {
        Headers headers = reader.headers();
        spent |= !reader.isKeepAlive();
        if (!attemptId.equals(headers.get("X-Attempt-Id"))) {
            spent = true;
            if (++surplus > MOST_SURPLUS || !reader.isKeepAlive()) {
                end(AttemptOutcome.GARBLED, null, null);
            } else {
                reader.reset();
            }
            return;
        }
        statedIdleMs = statedIdle(headers.get("Keep-Alive"));
        if (pending.isReadable()) {
            spent = true;
        }
        String load = headers.get("X-Server-Load");
        InstanceAnswer answer = new InstanceAnswer(reader.status(), headers.endToEnd(), length(headers), reader.body());
        boolean refused = pool.isOfCache() && headers.get(CacheHeaders.REFUSAL) != null;
        end(refused ? AttemptOutcome.REFUSED_BY_CACHE : verdict(answer, headers), answer, load);
    }

    private static AttemptOutcome verdict(InstanceAnswer answer, Headers headers) {
        if (answer.status() == MISDIRECTED) {
            return AttemptOutcome.MISDIRECTED;
        }
        if (headers.get("X-Not-Executed") != null) {
            return answer.isSuccess() ? AttemptOutcome.GARBLED : AttemptOutcome.DECLINED;
        }
        boolean garbled = headers.get("Content-Encoding") != null || answer.isSuccess() && !answer.isSealed();
        return garbled ? AttemptOutcome.GARBLED : AttemptOutcome.ANSWERED;
    }

    private static long length(Headers headers) {
        String text = headers.get("Content-Length");
        try {
            return text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static double statedIdle(String keepAlive) {
        int at = keepAlive == null ? -1 : keepAlive.indexOf("timeout=");
        if (at < 0) {
            return Double.NaN;
        }
        double seconds = 0;
        for (int i = at + "timeout=".length(); i < keepAlive.length() && Character.isDigit(keepAlive.charAt(i)); i++) {
            seconds = 10 * seconds + keepAlive.charAt(i) - '0';
        }
        return seconds * MS_PER_SECOND;
    }

    /** What the end of a connection before a whole answer means: who began to answer may have run the request. */
    private AttemptOutcome brokenOff() {
        return written || answersEarly ? AttemptOutcome.RESET : AttemptOutcome.NEVER_WRITTEN;
    }

    private void end(AttemptOutcome verdict, InstanceAnswer answer, String load) {
        ConnectionListener told = listener;
        listener = null;
        boolean intact = verdict == AttemptOutcome.ANSWERED
                || verdict == AttemptOutcome.DECLINED
                || verdict == AttemptOutcome.REFUSED_BY_CACHE;
        if (!intact) {
            spent = true;
        }
        idleSinceMs = pool.now();
        if (spent) {
            close();
        } else {
            pool.release(this);
        }
        if (told != null) {
            told.ended(verdict, answer, load);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        spent = true;
        over();
        if (listener != null) {
            end(brokenOff(), null, null);
        }
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close();
    }
}
