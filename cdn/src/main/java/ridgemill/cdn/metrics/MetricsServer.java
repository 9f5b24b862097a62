package ridgemill.cdn.metrics;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.gateway.net.SocketKind;

/** Serves the metrics of a process at one path, in the Prometheus text format, version 0.0.4. */
public final class MetricsServer {

    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private MetricsServer() {}

    /** Creates a meter registry that {@link #listen} can serve. */
    public static PrometheusMeterRegistry registry() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }

    /**
     * Serves the meters of a registry, which are read on the event loop.
     *
     * @param path the path, with its leading slash
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public static SimpleHttpServer listen(
            EventLoop loop,
            SocketKind sockets,
            InetSocketAddress address,
            String path,
            PrometheusMeterRegistry registry) {
        return SimpleHttpServer.listen(loop, sockets, address, call -> {
            boolean known = call.method().equals("GET") && call.path().equals(path);
            call.responder()
                    .accept(
                            known
                                    ? new SimpleHttpServer.Response(
                                            OK, registry.scrape().getBytes(StandardCharsets.UTF_8), CONTENT_TYPE)
                                    : SimpleHttpServer.Response.empty(NOT_FOUND));
        });
    }
}
