package ridgemill.gateway.console;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import ridgemill.gateway.net.Transport;
import ridgemill.monitoring.BoundedConnections;
import ridgemill.monitoring.ProxyMetrics;
import ridgemill.monitoring.Readiness;

/**
 * The address for operators alone: HTTP/1.1, one call to a connection. It answers from the loop's own state, from before the
 * first list has come until the loop ends. Used on the loop.
 */
public final class Console {

    /** Callers that may be there at a time; their descriptors are among those that clients can't take. */
    public static final int MAX_CALLERS = 16;

    private final EventLoop loop;
    private final BoundedConnections<Channel> callers = new BoundedConnections<>(MAX_CALLERS);
    private final Supplier<Readiness> readiness;
    private final Supplier<ProxyMetrics> metrics;

    /** A console that reads what it tells when it is asked. */
    public Console(EventLoop loop, Supplier<Readiness> readiness, Supplier<ProxyMetrics> figures) {
        this.loop = loop;
        this.readiness = readiness;
        this.metrics = figures;
    }

    /** Starts to listen; the future fails where the address can't be had. From any thread. */
    public ChannelFuture listen(InetSocketAddress address) {
        return Transport.TCP.server(loop).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                accept(channel);
            }
        }).bind(address);
    }

    private void accept(Channel channel) {
        ConsoleRequestHandler.install(channel, this);
        Channel goes = callers.add(channel);
        channel.closeFuture().addListener(f -> callers.remove(channel));
        if (goes != null) {
            goes.close();
        }
    }

    Readiness readiness() {
        return readiness.get();
    }

    ProxyMetrics metrics() {
        return metrics.get();
    }
}
