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
 * The operators' HTTP/1.1 endpoint, with one request per connection. It responds from the state of the event loop, from
 * before the first host list has arrived until the loop ends. Used on the event loop.
 */
public final class Console {

    /** Maximum concurrent callers. Their file descriptors are reserved: clients cannot use them. */
    public static final int MAX_CALLERS = 16;

    private final EventLoop loop;
    private final BoundedConnections<Channel> callers = new BoundedConnections<>(MAX_CALLERS);
    private final Supplier<Readiness> readiness;
    private final Supplier<ProxyMetrics> metrics;

    /** Creates a console that reads the readiness and the metrics anew for each request. */
    public Console(EventLoop loop, Supplier<Readiness> readiness, Supplier<ProxyMetrics> metrics) {
        this.loop = loop;
        this.readiness = readiness;
        this.metrics = metrics;
    }

    /** Starts listening; the future fails if the address cannot be bound. May be called from any thread. */
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
        Channel evicted = callers.add(channel);
        channel.closeFuture().addListener(f -> callers.remove(channel));
        if (evicted != null) {
            evicted.close();
        }
    }

    Readiness readiness() {
        return readiness.get();
    }

    ProxyMetrics metrics() {
        return metrics.get();
    }
}
