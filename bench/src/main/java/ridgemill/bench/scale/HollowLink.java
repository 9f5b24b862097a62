package ridgemill.bench.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.MessageCodec;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.SocketKind;

/**
 * A hollow edge proxy's held connection to one registry or store: greets, subscribes, acknowledges all news at once and
 * pings as the real one does. On its event loop.
 */
final class HollowLink extends SimpleChannelInboundHandler<Message> {

    private static final long CHECK_INTERVAL_MS = 500;
    private static final long PING_AFTER_MS = 900;
    private static final long RECONNECT_MS = 500;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final LinkMessages.Hello hello;
    private final Message subscription;
    private final Meter meter;
    private final Map<Long, Consumer<Message.Reply>> calls = new HashMap<>();
    private Channel channel;
    private long lastReceivedNanos;
    private long nextCall = 1;
    private long epoch;

    /**
     * A link that is opened by {@link #connect}.
     *
     * @param subscription what is asked for once the link is open
     */
    HollowLink(EventLoop loop, InetSocketAddress address, LinkMessages.Hello hello, Message subscription, Meter meter) {
        this.loop = loop;
        this.address = address;
        this.hello = hello;
        this.subscription = subscription;
        this.meter = meter;
    }

    /** The epoch of the voters that the store told of last. */
    long epoch() {
        return epoch;
    }

    EventLoop loop() {
        return loop;
    }

    void connect() {
        HollowLink own = this;
        new Bootstrap()
                .group(loop)
                .channel(SocketKind.of(loop).client())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline().addLast(new ByteCounter(meter), new MessageCodec(), own);
                    }
                })
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        loop.schedule(this::connect, RECONNECT_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Sends a call and passes its answer on; without one nothing is passed on. */
    void call(java.util.function.LongFunction<Message.Call> message, Consumer<Message.Reply> callback) {
        long callId = nextCall++;
        calls.put(callId, callback);
        send(message.apply(callId));
    }

    private void send(Message message) {
        if (channel != null && channel.isActive()) {
            meter.sent();
            channel.writeAndFlush(message);
        }
    }

    @Override
    public boolean isSharable() {
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastReceivedNanos = System.nanoTime();
        send(hello);
        send(subscription);
        checkLater();
    }

    private void checkLater() {
        loop.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!channel.isActive()) {
            return;
        }
        if (System.nanoTime() - lastReceivedNanos > TimeUnit.MILLISECONDS.toNanos(PING_AFTER_MS)) {
            send(new LinkMessages.Ping());
        }
        checkLater();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Message message) {
        lastReceivedNanos = System.nanoTime();
        meter.received();
        if (message instanceof Message.Reply reply) {
            Consumer<Message.Reply> callback = calls.remove(reply.callId());
            if (callback != null) {
                callback.accept(reply);
            }
        } else if (message instanceof RegistryMessages.Snapshot snapshot) {
            meter.subscribed();
            send(new RegistryMessages.UpdateAcknowledged(snapshot.number()));
        } else if (message instanceof RegistryMessages.Update news) {
            send(new RegistryMessages.UpdateAcknowledged(news.number()));
        } else if (message instanceof StoreMessages.Snapshot snapshot) {
            epoch = snapshot.voters().epoch();
            meter.subscribed();
        } else if (message instanceof StoreMessages.Update news) {
            carriedOut(news);
        } else if (message instanceof LinkMessages.Ping) {
            send(new LinkMessages.Pong());
        }
    }

    private void carriedOut(StoreMessages.Update news) {
        epoch = news.voters().epoch();
        for (Item item : news.items()) {
            meter.changeCarriedOut(Load.changeName(item.name().name(), item.version()));
        }
        for (Purge purge : news.purges()) {
            meter.purgeCarriedOut(purge.path());
        }
        send(new StoreMessages.UpdateAcknowledged(news.number()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        meter.ended();
        loop.schedule(this::connect, RECONNECT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Counts the bytes of one connection. */
    private static final class ByteCounter extends ChannelDuplexHandler {

        private final Meter meter;

        ByteCounter(Meter meter) {
            this.meter = meter;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            meter.receivedBytes(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            meter.sentBytes(((ByteBuf) message).readableBytes());
            context.write(message, promise);
        }
    }
}
