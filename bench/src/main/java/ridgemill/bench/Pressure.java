package ridgemill.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import ridgemill.gateway.net.SocketKind;

/** Clients that measure: either each asks again at once, or all together ask at a set rate whatever is answered. */
final class Pressure {

    private static final int KEYS = 500;

    /** What came of one measurement. Times are microseconds from when a request was due. */
    record Result(int answered, int failed, double seconds, double p50, double p99, double p999) {
        /** Of so many times, of which the first {@code answered} count. */
        static Result of(long[] micros, int answered, int failed, long startNanos) {
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            long[] sorted = Arrays.copyOf(micros, answered);
            Arrays.sort(sorted);
            return new Result(answered, failed, seconds, at(sorted, 0.5), at(sorted, 0.99), at(sorted, 0.999));
        }

        private static double at(long[] sorted, double part) {
            return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, sorted.length * part)];
        }

        /** Of clients on several loops: sums, and of times the worst loop's. */
        static Result together(List<Result> all) {
            return new Result(
                    all.stream().mapToInt(Result::answered).sum(),
                    all.stream().mapToInt(Result::failed).sum(),
                    all.stream().mapToDouble(Result::seconds).max().orElse(0),
                    worst(all, Result::p50),
                    worst(all, Result::p99),
                    worst(all, Result::p999));
        }

        private static double worst(List<Result> all, ToDoubleFunction<Result> time) {
            return all.stream().mapToDouble(time).max().orElse(Double.NaN);
        }

        double perSecond() {
            return answered / seconds;
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final int connections;
    private final double perSecond;
    private final List<Conn> all = new ArrayList<>();
    private final Deque<Conn> idle = new ArrayDeque<>();
    private final Deque<Long> due = new ArrayDeque<>();
    private final CompletableFuture<Result> done = new CompletableFuture<>();
    private long[] micros = new long[1 << 16];
    private int answered;
    private int failed;
    private long startNanos;
    private long endNanos;
    private long scheduled;
    private int number;
    private boolean over;

    private Pressure(EventLoop loop, InetSocketAddress target, int connections, double perSecond) {
        this.loop = loop;
        this.target = target;
        this.connections = connections;
        this.perSecond = perSecond;
    }

    /** Asks for so long over so many connections; {@code perSecond} of 0 asks again as soon as an answer has come. */
    static Result run(EventLoop loop, InetSocketAddress target, int connections, double perSecond, double seconds)
            throws Exception {
        Pressure p = new Pressure(loop, target, connections, perSecond);
        loop.execute(() -> p.start(seconds));
        return p.done.get((long) seconds + 60, TimeUnit.SECONDS);
    }

    /** The same from several loops at once, each with its part of the connections and of the rate. */
    static Result run(
            List<EventLoop> loops, InetSocketAddress target, int connections, double perSecond, double seconds)
            throws Exception {
        List<Pressure> parts = new ArrayList<>();
        for (EventLoop loop : loops) {
            Pressure p = new Pressure(loop, target, connections / loops.size(), perSecond / loops.size());
            parts.add(p);
            loop.execute(() -> p.start(seconds));
        }
        List<Result> results = new ArrayList<>();
        for (Pressure p : parts) {
            results.add(p.done.get((long) seconds + 60, TimeUnit.SECONDS));
        }
        return Result.together(results);
    }

    private void start(double seconds) {
        startNanos = System.nanoTime();
        endNanos = startNanos + (long) (seconds * 1e9);
        for (int i = 0; i < connections; i++) {
            connect();
        }
        if (perSecond > 0) {
            tick();
        }
        loop.schedule(this::end, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void end() {
        over = true;
        Result result = Result.of(micros, answered, failed, startNanos);
        all.forEach(c -> c.channel.close());
        done.complete(result);
    }

    private void tick() {
        long now = System.nanoTime();
        while (startNanos + (long) (scheduled / perSecond * 1e9) <= now) {
            due.add(startNanos + (long) (scheduled++ / perSecond * 1e9));
        }
        while (!due.isEmpty() && !idle.isEmpty()) {
            idle.removeFirst().ask(due.removeFirst());
        }
        if (!over) {
            loop.schedule(
                    this::tick,
                    Math.max(1, startNanos + (long) (scheduled / perSecond * 1e9) - System.nanoTime()),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void connect() {
        Conn conn = new Conn();
        new Bootstrap()
                .group(loop)
                .channel(SocketKind.of(loop).client())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        conn.channel = channel;
                        channel.pipeline().addLast(conn);
                    }
                })
                .connect(target);
    }

    /** One connection; it counts the bytes of answers, whose length it takes from their heads. */
    private final class Conn extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private final StringBuilder head = new StringBuilder();
        private int bodyLeft;
        private boolean inBody;
        private boolean good;
        private boolean last;
        private long askedAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            all.add(this);
            free();
        }

        private void free() {
            if (over) {
                return;
            }
            if (perSecond == 0) {
                ask(System.nanoTime());
            } else if (!due.isEmpty()) {
                ask(due.removeFirst());
            } else {
                idle.addLast(this);
            }
        }

        private void ask(long at) {
            askedAt = at;
            int n = number++;
            String text = "GET /api/m" + n % KEYS + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: b"
                    + System.identityHashCode(Pressure.this) + "-" + n
                    + "\r\nX-Call-Class: read\r\nX-Caller: bench\r\nX-Budget: 1.500\r\n\r\n";
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf in = (ByteBuf) message;
            while (in.isReadable()) {
                if (inBody) {
                    int take = Math.min(bodyLeft, in.readableBytes());
                    in.skipBytes(take);
                    bodyLeft -= take;
                } else {
                    head.append((char) in.readByte());
                    if (head.length() >= 4
                            && head.charAt(head.length() - 1) == '\n'
                            && head.charAt(head.length() - 3) == '\n') {
                        begin(head.toString());
                        head.setLength(0);
                    }
                }
                if (inBody && bodyLeft == 0) {
                    inBody = false;
                    answered();
                }
            }
            in.release();
        }

        private void begin(String text) {
            String lower = text.toLowerCase(java.util.Locale.ROOT);
            int length = lower.indexOf("content-length:");
            bodyLeft = length < 0
                    ? 0
                    : Integer.parseInt(lower.substring(length + 15, lower.indexOf('\r', length))
                            .trim());
            good = text.startsWith("HTTP/1.1 200");
            last = lower.contains("connection: close");
            inBody = true;
        }

        private void answered() {
            if (over) {
                return;
            }
            if (good) {
                if (answered == micros.length) {
                    micros = Arrays.copyOf(micros, 2 * micros.length);
                }
                micros[answered++] = (System.nanoTime() - askedAt) / 1000;
            } else {
                failed++;
            }
            if (last) {
                channel.close();
            } else {
                free();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            all.remove(this);
            idle.remove(this);
            if (!over) {
                connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
