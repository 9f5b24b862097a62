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
 * One connection to another process of the system: sends messages, matches replies to calls and answers pings. All
 * methods are called on the connection's event loop.
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
     * Creates a link that is not connected yet.
     *
     * @param ownHello the first message, sent by the connecting side; null on the accepting side
     */
    Link(LinkListener listener, LinkMessages.Hello ownHello) {
        this.listener = listener;
        this.ownHello = ownHello;
    }

    /** Returns the hello message of the connecting side; null on that side itself. */
    public LinkMessages.Hello peer() {
        return peer;
    }

    /** Returns the IP address of the other side. */
    public String remoteAddress() {
        return ((InetSocketAddress) channel.remoteAddress()).getAddress().getHostAddress();
    }

    /** Returns whether messages can be sent. */
    public boolean isOpen() {
        return open && channel.isActive();
    }

    /** Returns whether the send buffer has space, that is, the other side keeps up. */
    public boolean isWritable() {
        return isOpen() && channel.isWritable();
    }

    /** Returns the number of bytes that wait to be written; 0 if the link is closed. */
    public long pendingBytes() {
        ChannelOutboundBuffer waiting = isOpen() ? channel.unsafe().outboundBuffer() : null;
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** Sends a message. The message is dropped if the link is closed. */
    public void send(Message message) {
        if (isOpen()) {
            channel.writeAndFlush(message);
        }
    }

    /**
     * Sends a call and passes its reply, or the reason for its failure, to the callback exactly once.
     *
     * @param message creates the call from its number
     * @param timeoutMs how long to wait for the reply, in milliseconds
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
        Future<?> timeout = channel.eventLoop().schedule(() -> onTimeout(callId), timeoutMs, TimeUnit.MILLISECONDS);
        pending.put(callId, new PendingCall(callback, timeout));
        channel.writeAndFlush(message.apply(callId));
    }

    /** Closes the link. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Returns the time since the last received message, in milliseconds. */
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

    private void onTimeout(long callId) {
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
