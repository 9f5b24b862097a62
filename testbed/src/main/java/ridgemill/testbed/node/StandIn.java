package ridgemill.testbed.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Sockets;
import ridgemill.testbed.ledger.Fate;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.node.Wire.Asked;

/**
 * A server on loopback that speaks the nodes' side of the protocol, works on virtual cores, keeps a ledger and fails as
 * it is told. Everything but the calls that tests make runs on the testbed's one loop.
 */
public abstract class StandIn implements AutoCloseable {

    /** What the list of hosts says of it, and whether its process runs. */
    public enum State {
        UP,
        DRAINING,
        DOWN
    }

    private static final int PACE_STEPS_PER_S = 20;

    final EventLoop loop;
    final Ledger ledger;
    final String name;
    final NodeProfile profile;
    private final Supplier<Wire> wires;
    private final Faults faults;
    private final Reservation port = new Reservation();
    private final Set<Conn> conns = new LinkedHashSet<>();
    private final Map<VirtualCore.Piece, Served> pieces = new IdentityHashMap<>();
    VirtualCore core;
    Warmth warmth;
    private Channel listener;
    private State state = State.DOWN;
    private long bornMs;
    private long connections;
    private long epoch;

    StandIn(
            EventLoop loop,
            Ledger ledger,
            String name,
            NodeProfile profile,
            long seed,
            boolean cold,
            Supplier<Wire> wires) {
        this.loop = loop;
        this.ledger = ledger;
        this.name = name;
        this.profile = profile;
        this.wires = wires;
        this.faults = new Faults(seed);
        open(cold);
    }

    /** Carries out what a request asks for when its work is done; answers through it. */
    abstract void work(Served s);

    /** A start: what was kept in memory is gone. */
    abstract void empty();

    public final String name() {
        return name;
    }

    /** Where it listens. */
    public final InetSocketAddress address() {
        return port.address();
    }

    /** What it does wrong. */
    public final Faults faults() {
        return faults;
    }

    public final State state() {
        return onLoop(() -> state);
    }

    /** When it last started, Unix time in milliseconds; 0 for long ago. */
    public final long bornMs() {
        return onLoop(() -> bornMs);
    }

    /** From now on it finishes what it has and turns new work away. */
    public final void drain() {
        onLoop(() -> {
            state = State.DRAINING;
            conns.forEach(Conn::sayDraining);
            return state;
        });
    }

    /** Takes new work again after a drain. */
    public final void undrain() {
        onLoop(() -> state = State.UP);
    }

    /** Dies: its connections are reset and new ones refused. */
    public final void kill() {
        onLoop(() -> {
            down();
            return null;
        });
    }

    /** Starts again at its address, cold and empty; not to be called on the loop. */
    public final void start() {
        open(true);
    }

    /** Closes every idle connection without a word, as a middlebox or a host's own limit does. */
    public final void dropIdle() {
        onLoop(() -> {
            List.copyOf(conns).stream().filter(c -> c.current == null).forEach(c -> c.channel.close());
            return null;
        });
    }

    /** Requests that it has in hand. */
    public final int inHand() {
        return onLoop(() -> core.inHand());
    }

    /** Connections that are open to it. */
    public final int connections() {
        return onLoop(conns::size);
    }

    @Override
    public final void close() {
        kill();
        port.close();
    }

    /** Runs a task on the loop and returns when it is done; what it throws is thrown here. */
    final <T> T onLoop(Supplier<T> task) {
        return loop.inEventLoop()
                ? task.get()
                : loop.submit(task::get).syncUninterruptibly().getNow();
    }

    private void open(boolean cold) {
        onLoop(() -> {
            epoch++;
            empty();
            pieces.clear();
            core = new VirtualCore(profile.cores(), profile.queue());
            warmth = new Warmth(cold ? ledger.now() : Double.NEGATIVE_INFINITY, profile);
            bornMs = cold ? System.currentTimeMillis() : 0;
            return state = State.UP;
        });
        Channel bound = port.listen(new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                }));
        onLoop(() -> listener = bound);
    }

    private void down() {
        state = State.DOWN;
        epoch++;
        if (listener != null) {
            listener.close();
        }
        List.copyOf(conns).forEach(Conn::reset);
    }

    /** A cold node that was sent too much dies and stays dead. */
    final void fallOver(String request) {
        ledger.fellOver(name, request);
        down();
    }

    private void accept(Channel channel) {
        if (conns.size() >= profile.connections()) {
            Sockets.reset(channel);
            return;
        }
        Conn conn = new Conn(channel, connections++);
        conns.add(conn);
        if (faults.readBytesPerS() > 0) {
            channel.config().setAutoRead(false);
            FixedRecvByteBufAllocator piece =
                    new FixedRecvByteBufAllocator(Math.max(1, faults.readBytesPerS() / PACE_STEPS_PER_S));
            channel.config().setRecvByteBufAllocator(piece);
            // After it was set, which allows several pieces a read.
            piece.maxMessagesPerRead(1);
            conn.paced = true;
            loop.execute(conn::readSlowly);
        }
        channel.pipeline().addLast(conn.raw());
        conn.wire.decoders().forEach(d -> channel.pipeline().addLast(d));
        channel.pipeline().addLast(conn);
    }

    /** One request in the stand-in's hands. */
    final class Served {
        final NodeEntry entry;
        private final Asked asked;
        private final Conn conn;
        private final Fault fault;
        private final long served = epoch;
        private VirtualCore.Piece piece;

        Served(Conn conn, NodeEntry entry, Asked asked, Fault fault) {
            this.conn = conn;
            this.entry = entry;
            this.asked = asked;
            this.fault = fault;
        }

        /** Whether the process that took it still runs. */
        boolean lives() {
            return served == epoch;
        }

        void answer(int status, Fate fate, String body, String... headers) {
            if (conn.current != this) {
                return;
            }
            if (fault != null && fate != Fate.REJECTED) {
                conn.spoil(this, fault, status, fate, body, headers);
            } else {
                conn.write(this, conn.wire.answer(asked, status, body, headers), fate, body, 0);
            }
        }
    }

    private void begin(Conn conn, Object message) {
        Asked asked = conn.wire.read(message, state == State.UP);
        NodeEntry entry = conn.entry();
        double now = ledger.now();
        String id = asked.id();
        boolean write = asked.write();
        if (asked.reply() != null) {
            Served served = new Served(conn, entry, asked, null);
            conn.current = served;
            conn.write(served, asked.reply(), Fate.SERVED, "", 0);
            return;
        }
        if (conn.takenBack.remove(id) && !write) {
            // It was never begun: only its place in the order of replies is left of it.
            conn.current = new Served(conn, entry, asked, null);
            conn.write(conn.current, conn.wire.cancelled(asked), Fate.ABANDONED, null, 0);
            return;
        }
        entry.begun(now, id, asked.key(), write, asked.idempotencyKey());
        entry.told(asked.budgetMs());
        entry.under(asked.under());
        if (conn.wire.sharesConnections()) {
            entry.waits(asked.budgetMs());
        }
        Fault fault = faults.draw();
        Served served = new Served(conn, entry, asked, fault);
        conn.current = served;
        if (asked.unreadable() || id.isEmpty()) {
            served.answer(asked.unreadable() ? 400 : 404, Fate.UNREADABLE, "");
            return;
        }
        if (fault == Fault.RESET_ON_FIRST_BYTE || fault == Fault.RESET_BEFORE_RUN) {
            entry.ended(now, Fate.RESET);
            conn.reset();
            return;
        }
        if (fault == Fault.SILENCE) {
            // Left open: it ends when the other side gives it up.
            return;
        }
        double work = (write ? profile.writeMs() : profile.readMs()) * faults.slowerBy();
        double handshake = conn.requests++ == 0 ? profile.handshakeMs() : 0;
        if (warmth.pushedOver(now, work + handshake, profile.cores())) {
            entry.ended(now, Fate.RESET);
            fallOver(id);
            return;
        }
        served.piece = state == State.DRAINING ? null : core.take(now, (work + handshake) / warmth.share(now));
        if (served.piece == null) {
            served.answer(503, Fate.REJECTED, "", "X-Rejected: 1");
            return;
        }
        pieces.put(served.piece, served);
        beginWork();
    }

    /** Cores that are free take up what waits. */
    private void beginWork() {
        for (VirtualCore.Piece piece : core.begin()) {
            Served s = pieces.get(piece);
            double now = ledger.now();
            if (faults.keepsBudgets()
                    && s.entry.toldMs() > 0
                    && piece.begunAt() > s.entry.begunAt() + s.entry.toldMs()) {
                pieces.remove(piece);
                core.stop(piece.begunAt(), piece);
                s.answer(504, Fate.REJECTED, "", "X-Rejected: 1");
                loop.execute(this::beginWork);
                continue;
            }
            s.entry.works(piece.begunAt());
            loop.schedule(
                    () -> {
                        if (s.lives() && !piece.isOver()) {
                            pieces.remove(piece);
                            core.done(piece);
                            s.entry.worked(piece.doneAt());
                            work(s);
                            beginWork();
                        }
                    },
                    (long) (Math.max(0, piece.doneAt() - now) * 1e6),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Nobody waits for it any more: its work stops when that is noticed, if such work stops at all. */
    private void letGo(Served s, Runnable then) {
        double after = faults.stopsAfterMs();
        if (s.piece == null || after < 0 || s.entry.isWrite()) {
            return;
        }
        Runnable stop = () -> {
            if (s.lives() && !s.piece.isOver()) {
                double now = ledger.now();
                pieces.remove(s.piece);
                core.stop(now, s.piece);
                if (s.entry.workedFrom() > 0) {
                    s.entry.worked(now);
                }
                then.run();
                beginWork();
            }
        };
        if (after == 0) {
            stop.run();
        } else {
            loop.schedule(stop, (long) (after * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    /** One connection. */
    private final class Conn extends ChannelInboundHandlerAdapter {
        private final Channel channel;
        private final long number;
        private final Wire wire = wires.get();
        private final Queue<Object> waiting = new ArrayDeque<>();
        private final Set<String> takenBack = new HashSet<>();
        private NodeEntry next;
        private Served current;
        private int requests;
        private boolean paced;
        private boolean turn;
        private Future<?> idle;

        Conn(Channel channel, long number) {
            this.channel = channel;
            this.number = number;
            rest();
        }

        private NodeEntry entry() {
            NodeEntry entry = next == null ? ledger.add(new NodeEntry(name, number, ledger.now())) : next;
            next = null;
            return entry;
        }

        private ChannelDuplexHandler raw() {
            return new ChannelDuplexHandler() {
                /** Decoders that want more ask for it by themselves, whatever the pace. */
                @Override
                public void read(ChannelHandlerContext ctx) {
                    if (!paced || turn) {
                        ctx.read();
                    }
                }

                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (next == null && current == null) {
                        next = ledger.add(new NodeEntry(name, number, ledger.now()));
                    }
                    ctx.fireChannelRead(message);
                }
            };
        }

        private void readSlowly() {
            turn = true;
            channel.read();
            turn = false;
            if (channel.isOpen()) {
                loop.schedule(this::readSlowly, 1000 / PACE_STEPS_PER_S, TimeUnit.MILLISECONDS);
            }
        }

        private void rest() {
            idle = loop.schedule(
                    () -> {
                        channel.close();
                    },
                    (long) (profile.idleCloseMs() * 1e6),
                    TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            String takes = wire.cancels(message);
            if (takes != null) {
                ReferenceCountUtil.release(message);
                takenBack(takes);
                return;
            }
            idle.cancel(false);
            if (current != null) {
                waiting.add(message);
                return;
            }
            take(message);
        }

        /** A call is taken back: the one at work, or one that waits behind it and is answered at its turn. */
        private void takenBack(String id) {
            Served s = current;
            if (s != null && s.entry.id().equals(id)) {
                letGo(s, () -> {
                    if (current == s) {
                        write(s, wire.cancelled(s.asked), Fate.ABANDONED, null, 0);
                    }
                });
            } else if (!waiting.isEmpty()) {
                takenBack.add(id);
            }
        }

        private void take(Object request) {
            try {
                begin(this, request);
            } finally {
                ReferenceCountUtil.release(request);
            }
        }

        private void sayDraining() {
            String said = wire.drains();
            if (said != null) {
                channel.writeAndFlush(bytes(said));
            }
        }

        void reset() {
            Sockets.reset(channel);
        }

        private void spoil(Served s, Fault fault, int status, Fate fate, String body, String... headers) {
            String good = wire.answer(s.asked, status, body, headers);
            double now = ledger.now();
            switch (fault) {
                case RESET_AFTER_RUN -> {
                    s.entry.ended(now, Fate.RESET);
                    reset();
                }
                case HALF_ANSWER -> {
                    s.entry.ended(now, Fate.SPOILT);
                    channel.writeAndFlush(bytes(good.substring(0, good.length() / 2)))
                            .addListener(f -> reset());
                }
                case HALF_ANSWER_STALL -> channel.writeAndFlush(bytes(good.substring(0, good.length() / 2)));
                case SILENCE_AFTER_RUN -> {}
                case ERROR -> write(s, wire.answer(s.asked, 500, ""), Fate.ERROR, null, 0);
                case NOISE -> write(s, "\u0001\u0002 no answer at all \u0003\r\n\r\n", Fate.SPOILT, null, 0);
                case ENDLESS_HEAD -> channel.writeAndFlush(bytes(wire.endless()));
                case SHORT_LENGTH -> write(s, wire.shortAnswer(s.asked, status, body, headers), Fate.SPOILT, null, 0);
                case SECOND_COPY -> write(s, good + good, fate, body, 0);
                default -> write(s, good, fate, body, 0);
            }
        }

        /** Writes an answer, in pieces where the pace is limited; its last byte ends the request. */
        private void write(Served s, String text, Fate fate, String body, int from) {
            int pace = faults.writeBytesPerS();
            int to = pace <= 0 ? text.length() : Math.min(text.length(), from + Math.max(1, pace / PACE_STEPS_PER_S));
            boolean last = to == text.length();
            if (last && current == s) {
                s.entry.answering(ledger.now(), fate, body);
            }
            channel.writeAndFlush(bytes(text.substring(from, to))).addListener(f -> {
                if (!f.isSuccess() || current != s) {
                    return;
                }
                if (last) {
                    s.entry.answered(ledger.now(), fate, body);
                    finished();
                } else {
                    loop.schedule(() -> write(s, text, fate, body, to), 1000 / PACE_STEPS_PER_S, TimeUnit.MILLISECONDS);
                }
            });
        }

        private ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        }

        private void finished() {
            current = null;
            rest();
            Object request = waiting.poll();
            if (request != null) {
                idle.cancel(false);
                take(request);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            conns.remove(this);
            idle.cancel(false);
            waiting.forEach(ReferenceCountUtil::release);
            if (current != null) {
                current.entry.ended(ledger.now(), Fate.ABANDONED);
                letGo(current, () -> {});
                current = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
