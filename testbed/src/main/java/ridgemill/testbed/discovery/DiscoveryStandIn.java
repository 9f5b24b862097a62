package ridgemill.testbed.discovery;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ridgemill.testbed.ledger.Ledger;

/**
 * Discovery as one proxy sees it: the list of hosts and the watch on it. It may be late, fall silent, stay stale or tell
 * nonsense; the ledger has what it wrote and when, which is what counts as told.
 */
public final class DiscoveryStandIn implements AutoCloseable {

    private static final long HEARTBEAT_MS = 2000;
    private static final String UP = "up";

    /** One host as the list names it. {@code kind} is its model, such as the one that marks the store. */
    public record Host(String name, InetSocketAddress dial, String zone, String kind, String health, long bornMs) {

        JsonObject json() {
            JsonObject o = new JsonObject();
            o.addProperty("host", name);
            o.addProperty("dial", dial.getAddress().getHostAddress() + ":" + dial.getPort());
            o.addProperty("site", zone);
            o.addProperty("class", kind);
            o.addProperty("block", 1);
            o.addProperty("health", health);
            o.addProperty("share", 1.0);
            o.addProperty("born_ms", bornMs);
            return o;
        }
    }

    private record Change(long seq, Host host) {}

    private final EventLoop loop;
    private final Ledger ledger;
    private final String proxy;
    private final Channel listener;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Set<Channel> watches = new LinkedHashSet<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private long seq = 1;
    private double lateMs;
    private boolean silent;
    private boolean stale;

    /** {@code proxy} names whom it tells, in the ledger. */
    public DiscoveryStandIn(EventLoop loop, Ledger ledger, String proxy) {
        this.loop = loop;
        this.ledger = ledger;
        this.proxy = proxy;
        this.listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(f -> {
                            connections.remove(channel);
                            watches.remove(channel);
                        });
                        channel.pipeline()
                                .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1 << 16), new Asked());
                    }
                })
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .syncUninterruptibly()
                .channel();
        loop.scheduleAtFixedRate(this::beat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** The list as it is, in the form that a proxy's configuration has it. */
    public JsonObject known() {
        return loop.submit(() -> message(true, List.copyOf(hosts.values())))
                .syncUninterruptibly()
                .getNow();
    }

    /** Learns a host, or what is new of it, and tells it on; with health {@code removed} it leaves the list. */
    public void publish(Host host) {
        loop.submit(() -> {
                    seq++;
                    if (host.health().equals("removed")) {
                        hosts.remove(host.name());
                    } else {
                        hosts.put(host.name(), host);
                    }
                    changes.add(new Change(seq, host));
                    if (!stale) {
                        String line = message(false, List.of(host)).toString();
                        loop.schedule(
                                () -> {
                                    if (!silent) {
                                        List.copyOf(watches).forEach(w -> tell(w, line, List.of(host)));
                                    }
                                },
                                (long) (lateMs * 1e3),
                                TimeUnit.MICROSECONDS);
                    }
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Tells each change so much later from now on. */
    public void late(double ms) {
        loop.submit(() -> lateMs = ms).syncUninterruptibly().getNow();
    }

    /** Says nothing more, heartbeats neither, while connections stay open; ends with false. */
    public void silent(boolean says) {
        loop.submit(() -> {
                    silent = says;
                    if (!says) {
                        // Watches that missed news are ended: they come again and hear it.
                        List.copyOf(connections).forEach(Channel::close);
                    }
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Goes on with heartbeats and tells no change; ends with false. */
    public void stale(boolean holds) {
        loop.submit(() -> {
                    stale = holds;
                    if (!holds) {
                        List.copyOf(connections).forEach(Channel::close);
                    }
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Writes a line of nonsense on every watch. */
    public void nonsense(String line) {
        loop.submit(() -> List.copyOf(watches).forEach(w -> w.writeAndFlush(chunk(line))))
                .syncUninterruptibly()
                .getNow();
    }

    /** Ends every watch. */
    public void breakWatches() {
        loop.submit(() -> List.copyOf(connections).forEach(Channel::close))
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        breakWatches();
    }

    private void beat() {
        if (!silent) {
            watches.forEach(w -> w.writeAndFlush(chunk("")));
        }
    }

    private JsonObject message(boolean whole, List<Host> entries) {
        JsonObject o = new JsonObject();
        o.addProperty("seq", seq);
        o.addProperty("whole", whole);
        JsonArray array = new JsonArray();
        entries.forEach(h -> array.add(h.json()));
        o.add("hosts", array);
        return o;
    }

    private void tell(Channel watch, String line, List<Host> told) {
        if (watch.isActive()) {
            // Each is noted on the side that can wrong nobody: leave to send before it can be used, its end once it was
            // told.
            told.stream().filter(h -> h.health().equals(UP)).forEach(h -> ledger.told(proxy, h.name(), h.health()));
            watch.writeAndFlush(chunk(line)).addListener(f -> {
                if (f.isSuccess()) {
                    told.stream()
                            .filter(h -> !h.health().equals(UP))
                            .forEach(h -> ledger.told(proxy, h.name(), h.health()));
                }
            });
        }
    }

    private static Object chunk(String line) {
        String text = line + "\n";
        return ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static Object ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (silent) {
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/discovery/hosts")) {
                ctx.writeAndFlush(ascii("HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n"));
            } else if (query.parameters().containsKey("watch")) {
                watch(ctx.channel(), from(query));
            } else {
                String body = message(true, List.copyOf(hosts.values())).toString();
                ctx.writeAndFlush(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
            }
        }

        private long from(QueryStringDecoder query) {
            return Long.parseLong(
                    query.parameters().getOrDefault("from", List.of("0")).get(0));
        }

        private void watch(Channel channel, long from) {
            channel.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            watches.add(channel);
            if (stale) {
                channel.writeAndFlush(chunk(""));
                return;
            }
            boolean whole = from <= 0 || from > seq;
            Map<String, Host> news = new LinkedHashMap<>();
            changes.stream()
                    .filter(c -> c.seq() > from)
                    .forEach(c -> news.put(c.host().name(), c.host()));
            List<Host> told = whole ? List.copyOf(hosts.values()) : List.copyOf(news.values());
            tell(channel, message(whole, told).toString(), told);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
