package ridgemill.testbed.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Sockets;

/**
 * A stretch of network between two parties: whoever connects to {@link #address} reaches the target through it, as slowly
 * and as badly as it is told. Both directions have their own conditions. Everything runs on one loop; a link is told its
 * conditions from any thread and keeps the order of what it carries.
 *
 * <p>Loss is of whole messages: all bytes that one side wrote before the other side's next turn are carried or lost as
 * one, since TCP would repair the loss of a part. A lost message leaves its connection open and silent from then on in
 * that direction, as it is with a peer that was cut off.
 */
public final class Link implements AutoCloseable {

    /**
     * The conditions in one direction.
     *
     * @param delayMs how long each byte is on its way
     * @param lossShare the part of all messages that are lost, 0 to 1
     * @param bytesPerS the bandwidth; 0 is without limit
     * @param cut whether nothing passes; what is sent meanwhile is lost
     */
    public record Conditions(double delayMs, double lossShare, int bytesPerS, boolean cut) {

        /** Everything passes at once. */
        public static final Conditions CLEAR = new Conditions(0, 0, 0, false);

        public Conditions delay(double ms) {
            return new Conditions(ms, lossShare, bytesPerS, cut);
        }

        public Conditions loss(double share) {
            return new Conditions(delayMs, share, bytesPerS, cut);
        }

        public Conditions bandwidth(int perS) {
            return new Conditions(delayMs, lossShare, perS, cut);
        }

        public Conditions cut(boolean nothing) {
            return new Conditions(delayMs, lossShare, bytesPerS, nothing);
        }
    }

    private static final int CONNECT_TIMEOUT_MS = 5000;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final Reservation port = new Reservation();
    private Channel listener;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private volatile Conditions there = Conditions.CLEAR;
    private volatile Conditions back = Conditions.CLEAR;
    private long stalledUntil;
    private long carried;
    private long lost;

    /** A clear link to the target; {@code seed} decides which messages are lost. */
    public Link(EventLoop loop, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        this.random = new SplittableRandom(seed);
        listen();
    }

    private void listen() {
        listener = port.listen(new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new Pair(channel).open();
                    }
                }));
    }

    /** Where the target is reached through this link. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** Sets the conditions of both directions. */
    public void set(Conditions both) {
        set(both, both);
    }

    /** Sets the conditions towards the target and back from it. */
    public void set(Conditions towards, Conditions from) {
        there = towards;
        back = from;
    }

    /** Holds back all that is on its way, and all that comes, for so long; nothing is lost. */
    public void stall(double ms) {
        loop.submit(() -> {
                    stalledUntil = System.nanoTime() + (long) (ms * 1e6);
                    pairs.forEach(p -> {
                        p.out.pump();
                        p.in.pump();
                    });
                })
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * Refuses connections from now on and resets those that it has, as a route that is gone; ends with false. Unlike what a
     * cut shows, who is refused knows that nothing arrived. Not to be called on the loop.
     */
    public void refuse(boolean none) {
        if (none) {
            listener.close().syncUninterruptibly();
            reset();
        } else {
            listen();
        }
    }

    /** Resets every connection that goes through it. */
    public void reset() {
        loop.submit(() -> List.copyOf(pairs).forEach(Pair::reset))
                .syncUninterruptibly()
                .getNow();
    }

    /** Messages that were carried and lost so far. */
    public long[] counts() {
        return loop.submit(() -> new long[] {carried, lost})
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        reset();
        port.close();
    }

    /** The two connections that a link joins. */
    private final class Pair {
        private final Channel near;
        private Channel far;
        private final Way out = new Way(true);
        private final Way in = new Way(false);

        Pair(Channel near) {
            this.near = near;
        }

        void open() {
            pairs.add(this);
            near.pipeline().addLast(new End(out, in));
            if (there.cut()) {
                // The connection came up at this end only, as behind a cut link with a middlebox; nothing answers.
                near.config().setAutoRead(true);
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            far = channel;
                            channel.pipeline().addLast(new End(in, out));
                        }
                    })
                    .connect(target)
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            out.to = far;
                            in.to = near;
                            near.config().setAutoRead(true);
                            out.pump();
                        } else {
                            reset();
                        }
                    });
        }

        void reset() {
            pairs.remove(this);
            Sockets.reset(near);
            Sockets.reset(far);
            out.drop();
            in.drop();
        }

        /** One end: what it reads goes one way, and its end ends that way once all before it has passed. */
        private final class End extends ChannelInboundHandlerAdapter {
            private final Way way;
            private final Way other;

            End(Way way, Way other) {
                this.way = way;
                this.other = other;
            }

            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                // What comes now begins this side's turn: the other side's next bytes are a new message.
                other.turn = false;
                way.carry((ByteBuf) message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                if (far == null || !near.isActive() && !far.isActive()) {
                    pairs.remove(Pair.this);
                }
                way.end();
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                reset();
            }
        }
    }

    private record Piece(ByteBuf bytes, long due) {}

    /** One direction of one pair. */
    private final class Way {
        private final boolean towards;
        private final Queue<Piece> pieces = new ArrayDeque<>();
        private Channel to;
        private boolean turn;
        private boolean lose;
        private boolean ended;
        private boolean pumping;
        private long freeAt;

        Way(boolean towards) {
            this.towards = towards;
        }

        private Conditions now() {
            return towards ? there : back;
        }

        void carry(ByteBuf bytes) {
            Conditions c = now();
            if (!turn) {
                turn = true;
                lose |= random.nextDouble() < c.lossShare();
                carried += lose ? 0 : 1;
                lost += lose ? 1 : 0;
            }
            lose |= c.cut();
            if (lose) {
                bytes.release();
                return;
            }
            long now = System.nanoTime();
            long start = Math.max(now, freeAt);
            freeAt = c.bytesPerS() > 0 ? start + (long) (bytes.readableBytes() * 1e9 / c.bytesPerS()) : start;
            pieces.add(new Piece(bytes, freeAt + (long) (c.delayMs() * 1e6)));
            pump();
        }

        /** The end of a connection crosses the link as its bytes do; a cut or lossy one lets nothing through. */
        void end() {
            ended = true;
            pump();
        }

        void pump() {
            if (pumping || to == null && !ended) {
                return;
            }
            long now = System.nanoTime();
            while (!pieces.isEmpty() && Math.max(pieces.peek().due(), stalledUntil) <= now) {
                ByteBuf bytes = pieces.remove().bytes();
                if (to != null && to.isActive()) {
                    to.writeAndFlush(bytes);
                } else {
                    bytes.release();
                }
            }
            if (!pieces.isEmpty()) {
                pumping = true;
                loop.schedule(
                        () -> {
                            pumping = false;
                            pump();
                        },
                        Math.max(pieces.peek().due(), stalledUntil) - now,
                        TimeUnit.NANOSECONDS);
            } else if (ended && stalledUntil > now) {
                pumping = true;
                loop.schedule(
                        () -> {
                            pumping = false;
                            pump();
                        },
                        stalledUntil - now,
                        TimeUnit.NANOSECONDS);
            } else if (ended && to != null && !now().cut()) {
                to.close();
            }
        }

        void drop() {
            pieces.forEach(p -> ReferenceCountUtil.release(p.bytes()));
            pieces.clear();
        }
    }
}
