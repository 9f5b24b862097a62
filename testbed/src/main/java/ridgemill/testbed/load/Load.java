package ridgemill.testbed.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.ClientEntry.Kind;
import ridgemill.testbed.ledger.ClientEntry.Reply;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.LoadClass;

/**
 * The clients: they ask on time whatever became of the requests before, keep connections, retry by themselves, and log
 * what they sent and what came. Arrivals, classes and keys come from a seed. All of it runs on one loop.
 */
public final class Load {

    /** How long after a client's time an answer is still waited for, so that a late one is seen as late. */
    private static final double AFTERTIME_MS = 1500;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final double STEP_MS = 2;

    private final EventLoop loop;
    private final Ledger ledger;
    private final LoadProfile profile;
    private final SplittableRandom random;
    private final Map<String, InetSocketAddress> proxies = new LinkedHashMap<>();
    private final List<Deque<Conn>> idle = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private final Set<String> withdrawn = new HashSet<>();
    private final double[] popularity;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private final String prefix;
    private final ClientWire wire;
    private double startedAt;
    private double nextAt;
    private long arrivals;
    private long tries;
    private int open;
    private int nextProxy;

    /** Clients of these proxies, by name. */
    public Load(EventLoop loop, Ledger ledger, LoadProfile profile, Map<String, InetSocketAddress> proxies, long seed) {
        this(loop, ledger, profile, proxies, seed, Protocol.HTTP);
    }

    /** Clients that speak a protocol. */
    public Load(
            EventLoop loop,
            Ledger ledger,
            LoadProfile profile,
            Map<String, InetSocketAddress> proxies,
            long seed,
            Protocol protocol) {
        this.wire = ClientWire.of(protocol);
        this.loop = loop;
        this.ledger = ledger;
        this.profile = profile;
        this.random = new SplittableRandom(seed);
        this.prefix = "q" + Long.toHexString(random.nextLong() & 0xffffff) + "-";
        this.proxies.putAll(proxies);
        names.addAll(proxies.keySet());
        names.forEach(n -> idle.add(new ArrayDeque<>()));
        popularity = new double[profile.keys()];
        double sum = 0;
        for (int i = 0; i < popularity.length; i++) {
            sum += 1 / Math.pow(i + 1, profile.skew());
            popularity[i] = sum;
        }
    }

    /** Begins; the future is done when the last request has its answer or has been waited for long enough. */
    public CompletableFuture<Void> start() {
        loop.execute(() -> {
            startedAt = ledger.now();
            nextAt = startedAt;
            step();
        });
        return done;
    }

    /** The front opens no new connection to a proxy from so many milliseconds on; those that are open stay in use. */
    public void withdraw(String proxy, double afterMs) {
        loop.schedule(() -> withdrawn.add(proxy), (long) (afterMs * 1e3), TimeUnit.MICROSECONDS);
    }

    /** The front has seen that a proxy is up again. */
    public void restore(String proxy) {
        loop.execute(() -> withdrawn.remove(proxy));
    }

    /** Opens connections that send half a request and then say nothing, and keeps them open. */
    public void halfOpen(int count) {
        loop.execute(() -> {
            for (int i = 0; i < count; i++) {
                ChannelFuture opening = bootstrap(new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {}
                        })
                        .connect(proxies.get(names.get(i % names.size())));
                opening.addListener(f -> {
                    if (f.isSuccess()) {
                        opening.channel()
                                .writeAndFlush(Unpooled.copiedBuffer(
                                        "GET /api/half HTTP/1.1\r\nHost: s\r\nX-Ca", StandardCharsets.US_ASCII));
                    }
                });
            }
        });
    }

    /** The key with this rank of popularity, from 0. */
    public static String key(int rank) {
        return "m" + (100_000 + rank);
    }

    private void step() {
        double now = ledger.now();
        while (nextAt <= now && nextAt < startedAt + profile.seconds() * 1000) {
            arrive();
            nextAt += -Math.log(1 - random.nextDouble()) * 1000 / profile.perSecond();
        }
        if (nextAt < startedAt + profile.seconds() * 1000) {
            loop.schedule(this::step, (long) (Math.max(STEP_MS, nextAt - now) * 1e6), TimeUnit.NANOSECONDS);
        } else {
            endIfDone();
        }
    }

    private void endIfDone() {
        if (open == 0 && nextAt >= startedAt + profile.seconds() * 1000) {
            idle.forEach(q -> q.forEach(c -> c.channel.close()));
            done.complete(null);
        }
    }

    private void arrive() {
        double at = random.nextDouble()
                * profile.classes().stream().mapToDouble(LoadClass::share).sum();
        LoadClass service = profile.classes().get(profile.classes().size() - 1);
        for (LoadClass c : profile.classes()) {
            at -= c.share();
            if (at < 0) {
                service = c;
                break;
            }
        }
        int rank = java.util.Arrays.binarySearch(popularity, random.nextDouble() * popularity[popularity.length - 1]);
        String key = key(Math.min(popularity.length - 1, rank < 0 ? -rank - 1 : rank));
        String tenant = profile.tenants().get(random.nextInt(profile.tenants().size()));
        long number = arrivals++;
        Wish wish = new Wish(service, key, tenant, service.write() ? "k" + prefix + number : null, ledger.now());
        ask(wish, 0, nextProxy++);
    }

    /** What a client wants, however often it tries. */
    private record Wish(LoadClass service, String key, String tenant, String idempotencyKey, double at) {
        private double leftMs(double now) {
            return at + service.deadlineMs() - now;
        }
    }

    /** Asks the first proxy from this one on that the front has not withdrawn; any, if it has withdrawn all. */
    private void ask(Wish wish, int tried, int from) {
        int proxy = from % names.size();
        for (int i = 0; i < names.size() && withdrawn.contains(names.get(proxy)); i++) {
            proxy = (proxy + 1) % names.size();
        }
        double now = ledger.now();
        double budget = Math.min(wish.leftMs(now), wish.service().deadlineMs() * profile.tryShare());
        String id = prefix + tries++;
        ClientEntry entry = ledger.add(new ClientEntry(
                id,
                wish.idempotencyKey() == null ? prefix + wish.hashCode() + "-" + wish.at() : wish.idempotencyKey(),
                names.get(proxy),
                wish.service(),
                wish.key(),
                wish.idempotencyKey(),
                budget));
        Asked asked = new Asked(entry, wish, tried, proxy);
        open++;
        asked.send(false);
    }

    private Bootstrap bootstrap(ChannelInitializer<Channel> handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(handler);
    }

    /** One try on its way. */
    private final class Asked {
        private final ClientEntry entry;
        private final Wish wish;
        private final int tried;
        private final int proxy;
        private boolean over;
        private boolean resent;
        private Conn conn;

        Asked(ClientEntry entry, Wish wish, int tried, int proxy) {
            this.entry = entry;
            this.wish = wish;
            this.tried = tried;
            this.proxy = proxy;
        }

        void send(boolean again) {
            Conn kept = again ? null : idle.get(proxy).pollFirst();
            if (kept != null && kept.channel.isActive()) {
                kept.write(this);
                return;
            }
            Conn fresh = new Conn(proxy);
            ChannelFuture connecting = bootstrap(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            fresh.channel = channel;
                            wire.decoders().forEach(d -> channel.pipeline().addLast(d));
                            channel.pipeline().addLast(fresh);
                        }
                    })
                    .connect(proxies.get(names.get(proxy)));
            connecting.addListener(f -> {
                if (f.isSuccess()) {
                    fresh.write(this);
                } else {
                    entry.unsent();
                    end();
                    retry(0);
                }
            });
        }

        private void sent(Conn on) {
            conn = on;
            entry.sent(ledger.now());
            loop.schedule(this::waited, (long) ((entry.budgetMs() + AFTERTIME_MS) * 1e6), TimeUnit.NANOSECONDS);
            if (random.nextDouble() < profile.leaveShare()) {
                loop.schedule(
                        this::leave, (long) (random.nextDouble() * entry.budgetMs() / 4 * 1e6), TimeUnit.NANOSECONDS);
            }
        }

        private void leave() {
            if (!over) {
                entry.left(ledger.now());
                end();
                conn.channel.close();
            }
        }

        private void waited() {
            if (!over) {
                end();
                conn.channel.close();
            }
        }

        private void end() {
            if (!over) {
                over = true;
                open--;
                loop.execute(Load.this::endIfDone);
            }
        }

        void replied(Object response) {
            Reply reply = wire.reply(response, ledger.now());
            entry.replied(reply);
            boolean first = !over;
            end();
            if (first && reply.kind() != Kind.SERVED) {
                retry(reply.retryAfterMs());
            }
        }

        /** The connection ended before an answer. On one that had been used the request goes out once more. */
        void cut(boolean wasUsed) {
            if (over) {
                return;
            }
            if (wasUsed && !resent) {
                resent = true;
                entry.resent(ledger.now());
                send(true);
            } else {
                entry.cut();
                end();
                retry(0);
            }
        }

        private void retry(double waitMs) {
            double wait = Math.max(1, waitMs > 0 ? waitMs : profile.retryWaitMs());
            if (tried < profile.retries() && wish.leftMs(ledger.now()) > wait + 1) {
                open++;
                loop.schedule(
                        () -> {
                            open--;
                            ask(wish, tried + 1, proxy + 1);
                        },
                        (long) (wait * 1e6),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    /** One connection, with the requests that are out on it, in order. */
    private final class Conn extends ChannelInboundHandlerAdapter {
        private final int proxy;
        private final Deque<Asked> waiting = new ArrayDeque<>();
        private Channel channel;
        private Asked last;
        private boolean used;
        private boolean closing;

        Conn(int proxy) {
            this.proxy = proxy;
        }

        void write(Asked asked) {
            waiting.add(asked);
            asked.sent(this);
            channel.writeAndFlush(Unpooled.wrappedBuffer(wire.ask(asked.entry, asked.wish.tenant(), asked.tried > 0)));
            if (waiting.size() < profile.pipeline()) {
                idle.get(proxy).addFirst(this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object response) {
            try {
                answered(ctx, response);
            } finally {
                ReferenceCountUtil.release(response);
            }
        }

        private void answered(ChannelHandlerContext ctx, Object response) {
            Asked asked = waiting.poll();
            boolean keep = wire.keeps(response);
            if (asked == null) {
                // An answer to nothing is a second one for the request before.
                if (last != null) {
                    last.replied(response);
                }
                ctx.close();
                return;
            }
            used = true;
            last = asked;
            if (!keep) {
                closing = true;
                idle.get(proxy).remove(this);
            }
            asked.replied(response);
            if (!keep) {
                ctx.close();
            } else if (!idle.get(proxy).contains(this)) {
                idle.get(proxy).addFirst(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.get(proxy).remove(this);
            List<Asked> left = List.copyOf(waiting);
            waiting.clear();
            left.forEach(a -> a.cut(used || closing));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
