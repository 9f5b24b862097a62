package ridgemill.cdn.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * One connection to another process of the system: sends messages, matches answers to calls, answers pings. All methods
 * are called on the connection's event loop.
 */
public final class Link extends SimpleChannelInboundHandler<Message> {

    private final LinkListener listener;
    private final LinkMessages.Hello ownHello;
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private Channel channel;
    private LinkMessages.Hello peer;
    private long nextCallId = 1;
    private long lastReceivedNanos;
    private boolean open;

    private record PendingCall(Consumer<Either<CallFailure, Message.Reply>> callback, Future<?> timeout) {}

    /**
     * A link that is not connected yet.
     *
     * @param ownHello sent as the first message by the side that connects; null on the side that accepts
     */
    Link(LinkListener listener, LinkMessages.Hello ownHello) {
        this.listener = listener;
        this.ownHello = ownHello;
    }

    /** What the side that connected said of itself; null on that side. */
    public LinkMessages.Hello peer() {
        return peer;
    }

    /** The IP address of the other side. */
    public String remoteAddress() {
        return ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
    }

    /** Whether messages can be sent. */
    public boolean isOpen() {
        return open && channel.isActive();
    }

    /** Whether the other side takes messages as fast as they are sent. */
    public boolean isWritable() {
        return isOpen() && channel.isWritable();
    }

    /** How many bytes wait to be written to the other side; 0 if the link has ended. */
    public long pendingBytes() {
        ChannelOutboundBuffer waiting = isOpen() ? channel.unsafe().outboundBuffer() : null;
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** Sends a message; it is dropped if the link has ended. */
    public void send(Message message) {
        if (isOpen()) {
            channel.writeAndFlush(message);
        }
    }

    /**
     * Sends a call and passes its answer, or why there is none, to the callback exactly once.
     *
     * @param message makes the call from its number
     * @param timeoutMs how long to wait for the answer, in milliseconds
     */
    public void call(
            LongFunction<? extends Message.Call> message,
            long timeoutMs,
            Consumer<Either<CallFailure, Message.Reply>> callback) {
        if (!isOpen()) {
            callback.accept(Either.left(CallFailure.NOT_SENT));
            return;
        }
        long callId = nextCallId++;
        Future<?> timeout = channel.eventLoop().schedule(() -> fail(callId), timeoutMs, TimeUnit.MILLISECONDS);
        pending.put(callId, new PendingCall(callback, timeout));
        channel.writeAndFlush(message.apply(callId));
    }

    /** Ends the link. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** How long nothing has been received, in milliseconds. */
    public long idleMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastReceivedNanos);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReceivedNanos = System.nanoTime();
        if (ownHello != null) {
            channel.writeAndFlush(ownHello);
            open = true;
            listener.opened(this);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Message message) {
        lastReceivedNanos = System.nanoTime();
        if (peer == null && ownHello == null) {
            onHello(message);
        } else if (message instanceof LinkMessages.Ping) {
            send(new LinkMessages.Pong());
        } else if (message instanceof Message.Reply reply) {
            onReply(reply);
        } else if (!(message instanceof LinkMessages.Pong)) {
            listener.received(this, message);
        }
    }

    private void onHello(Message message) {
        if (message instanceof LinkMessages.Hello hello && hello.protocol() == LinkMessages.Hello.PROTOCOL) {
            peer = hello;
            open = true;
            listener.opened(this);
        } else {
            channel.close();
        }
    }

    private void onReply(Message.Reply reply) {
        PendingCall call = pending.remove(reply.callId());
        if (call != null) {
            call.timeout().cancel(false);
            call.callback().accept(Either.right(reply));
        }
    }

    private void fail(long callId) {
        PendingCall call = pending.remove(callId);
        if (call != null) {
            call.callback().accept(Either.left(CallFailure.UNKNOWN));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        boolean wasOpen = open;
        open = false;
        List<PendingCall> calls = new ArrayList<>(pending.values());
        pending.clear();
        for (PendingCall call : calls) {
            call.timeout().cancel(false);
            call.callback().accept(Either.left(CallFailure.UNKNOWN));
        }
        if (wasOpen) {
            listener.closed(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
