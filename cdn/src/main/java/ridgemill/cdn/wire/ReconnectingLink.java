package ridgemill.cdn.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import ridgemill.gateway.net.SocketKind;

/**
 * Keeps a link to one process open: connects, reconnects after the link has closed, and closes a link over which
 * nothing has been received for too long. All methods are called on the event loop.
 */
public final class ReconnectingLink implements LinkListener {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The delays before reconnect attempts grow from the first to the second value. */
    private static final long INITIAL_RECONNECT_DELAY_MS = 40;

    private static final long MAX_RECONNECT_DELAY_MS = 160;
    private static final double RECONNECT_DELAY_FACTOR = 1.5;
    private static final long CHECK_INTERVAL_MS = 500;
    /** A ping is sent after this time without a received message. */
    private static final long PING_IDLE_MS = 900;
    /** The link is closed after this time without a received message. */
    private static final long IDLE_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final SocketKind sockets;
    private final InetSocketAddress address;
    private final LinkMessages.Hello hello;
    private final LinkListener listener;
    private Link link;
    private Future<?> idleCheckTimer;
    private boolean closed;
    private double reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;

    /**
     * Creates a link that is opened by {@link #start}.
     *
     * @param address the process to connect to
     * @param hello the message by which this process identifies itself
     * @param listener notified of each opened link, of its messages and of its end
     */
    public ReconnectingLink(
            EventLoop loop,
            SocketKind sockets,
            InetSocketAddress address,
            LinkMessages.Hello hello,
            LinkListener listener) {
        this.loop = loop;
        this.sockets = sockets;
        this.address = address;
        this.hello = hello;
        this.listener = listener;
    }

    /** Returns the address of the other process. */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns whether the link is open and a message was received recently. A process that was paused first has to
     * receive a message again.
     */
    public boolean isLive() {
        return isOpen() && link.idleMs() <= IDLE_TIMEOUT_MS;
    }

    /** Returns whether the link is open. */
    public boolean isOpen() {
        return link != null && link.isOpen();
    }

    /** Opens the link and keeps it open. */
    public void start() {
        idleCheckTimer = loop.scheduleWithFixedDelay(
                this::checkIdle, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        connect();
    }

    /** Closes the link permanently. */
    public void close() {
        closed = true;
        if (idleCheckTimer != null) {
            idleCheckTimer.cancel(false);
        }
        if (link != null) {
            link.close();
        }
    }

    /** Sends a message; it is dropped while the link is not open. */
    public void send(Message message) {
        if (link != null) {
            link.send(message);
        }
    }

    /** Sends a call, see {@link Link#call}. */
    public void call(
            LongFunction<? extends Message.Call> message,
            long timeoutMs,
            Consumer<Either<CallFailure, Message.Reply>> callback) {
        if (link == null) {
            callback.accept(Either.left(CallFailure.NOT_SENT));
        } else {
            link.call(message, timeoutMs, callback);
        }
    }

    private void connect() {
        if (closed) {
            return;
        }
        Link newLink = new Link(this, hello);
        new Bootstrap()
                .group(loop)
                .channel(sockets.client())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new MessageCodec(), newLink);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        reconnectLater();
                    }
                });
    }

    private void reconnectLater() {
        if (!closed) {
            loop.schedule(this::connect, (long) reconnectDelayMs, TimeUnit.MILLISECONDS);
            reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, reconnectDelayMs * RECONNECT_DELAY_FACTOR);
        }
    }

    private void checkIdle() {
        if (link == null) {
            return;
        }
        long idleMs = link.idleMs();
        if (idleMs > IDLE_TIMEOUT_MS) {
            link.close();
        } else if (idleMs > PING_IDLE_MS) {
            link.send(new LinkMessages.Ping());
        }
    }

    @Override
    public void opened(Link opened) {
        if (closed) {
            opened.close();
            return;
        }
        link = opened;
        reconnectDelayMs = INITIAL_RECONNECT_DELAY_MS;
        listener.opened(opened);
    }

    @Override
    public void received(Link from, Message message) {
        listener.received(from, message);
    }

    @Override
    public void closed(Link ended) {
        if (link == ended) {
            link = null;
            listener.closed(ended);
            reconnectLater();
        }
    }
}
