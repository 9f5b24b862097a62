package ridgemill.bench;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.SocketKind;
import ridgemill.testbed.discovery.DiscoveryStandIn;
import ridgemill.testbed.discovery.DiscoveryStandIn.Host;
import ridgemill.testbed.ledger.Ledger;

/** What connections cost that are kept and mostly say nothing: memory, and the times of the few that ask. */
@Command(
        name = "idle-connections",
        mixinStandardHelpOptions = true,
        description = "Measures memory and times with many kept " + "connections of which few are active.")
public final class IdleConnections implements Callable<Integer> {

    private static final int NODES = 4;
    private static final int AT_ONCE = 200;
    private static final int RATE = 1000;

    @Option(
            names = "--connections",
            paramLabel = "N",
            defaultValue = "15000",
            description = "How many are kept (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--loops",
            paramLabel = "N",
            defaultValue = "4",
            description = "The gateway's loops (default: ${DEFAULT-VALUE}).")
    private int loops;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "8",
            description = "Length of a measurement (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--options",
            paramLabel = "FILE",
            defaultValue = "deploy/jvm/large.options",
            description = "The Java machine's options (default: ${DEFAULT-VALUE}).")
    private Path options;

    public static void main(String[] args) {
        System.exit(new CommandLine(new IdleConnections()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(3, SocketKind.chosen().handlers());
        MultiThreadIoEventLoopGroup other = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path directory = Files.createTempDirectory("ridgemill-bench");
        Path file = Files.writeString(
                directory.resolve("gateway.toml"), "[process]\nloops = " + loops + "\nidle = \"10min\"\n");
        EventLoop asking = group.next();
        EventLoop idling = group.next();
        EventLoop hosts = group.next();
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(other.next(), new Ledger(), "bench")) {
            for (int i = 0; i < NODES; i++) {
                discovery.publish(new Host("c" + i, FlatNode.of(hosts, 64).address(), "a", "std", "up", 0));
            }
            JsonObject more =
                    JsonParser.parseString("{\"limits\": {\"sockets\": 0}}").getAsJsonObject();
            more.getAsJsonObject("limits").addProperty("sockets", 2 * connections + 2000);
            more.addProperty("discovery", Addresses.text(discovery.address()));
            more.add("known", discovery.known());
            try (Subject proxy =
                    Subject.ridgemill(Build.THIS, more, "0-" + (loops - 1), directory, List.of(), options, file)) {
                measure(proxy, asking, idling);
            }
        } finally {
            group.shutdownGracefully();
            other.shutdownGracefully();
        }
        return 0;
    }

    private void measure(Subject proxy, EventLoop asking, EventLoop idling) throws Exception {
        int active = Math.max(1, connections / 100);
        Pressure.run(asking, proxy.address(), active, 0, seconds);
        Pressure.Result alone = Pressure.run(asking, proxy.address(), active, RATE, seconds);
        double before = proxy.memoryMb();
        double cpuBefore = proxy.cpuMicros();
        Pressure.run(asking, proxy.address(), 1, 1, seconds);
        double quiet = (proxy.cpuMicros() - cpuBefore) / 1e6 / seconds;
        List<Channel> kept = open(proxy.address(), idling);
        double after = proxy.memoryMb();
        cpuBefore = proxy.cpuMicros();
        Pressure.run(asking, proxy.address(), 1, 1, seconds);
        double idle = (proxy.cpuMicros() - cpuBefore) / 1e6 / seconds;
        Pressure.Result beside = Pressure.run(asking, proxy.address(), active, RATE, seconds);
        long open = kept.stream().filter(Channel::isActive).count();
        System.out.printf(
                Locale.ROOT,
                "%d connections, each served once and then silent, %d of them still open at the end; %d loops%n"
                        + "memory %.0f MB before and %.0f with them: %.1f KB each (heap that the Java machine had taken before is not seen)%n"
                        + "CPU without requests: %.4f of a core before, %.4f with them%n",
                kept.size(),
                open,
                loops,
                before,
                after,
                (after - before) * 1024 / kept.size(),
                quiet,
                idle);
        System.out.printf(
                Locale.ROOT,
                "%d a second over %d others: p50 %.0f, p99 %.0f, p99.9 %.0f us without them; %.0f, %.0f, %.0f us with "
                        + "them; %d and %d failed%n",
                RATE,
                active,
                alone.p50(),
                alone.p99(),
                alone.p999(),
                beside.p50(),
                beside.p99(),
                beside.p999(),
                alone.failed(),
                beside.failed());
        kept.forEach(Channel::close);
    }

    /** Opens them some at a time; each asks once. */
    private List<Channel> open(InetSocketAddress address, EventLoop loop) throws Exception {
        List<Channel> kept = new ArrayList<>();
        for (int n = 0; n < connections; ) {
            List<io.netty.channel.ChannelFuture> some = new ArrayList<>();
            for (int i = 0; i < AT_ONCE && n < connections; i++, n++) {
                some.add(new Bootstrap()
                        .group(loop)
                        .channel(SocketKind.of(loop).client())
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(address));
            }
            for (var opened : some) {
                if (!opened.await(10, TimeUnit.SECONDS) || !opened.isSuccess()) {
                    throw new IllegalStateException("connection " + kept.size() + ": " + opened.cause());
                }
                kept.add(opened.channel());
                opened.channel()
                        .writeAndFlush(io.netty.buffer.Unpooled.copiedBuffer(
                                "GET /api/m" + n % 500 + " HTTP/1.1\r\nX-Call-Id: i" + kept.size()
                                        + "\r\nX-Call-Class: read\r\nX-Caller: bench\r\nX-Budget: 1.500\r\n\r\n",
                                StandardCharsets.US_ASCII));
            }
        }
        return kept;
    }
}
