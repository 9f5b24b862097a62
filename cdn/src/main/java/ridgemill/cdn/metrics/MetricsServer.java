package ridgemill.cdn.metrics;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.gateway.net.SocketKind;

/** Serves the figures of a process in the text format of Prometheus, version 0.0.4, at one path. */
public final class MetricsServer {

    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private MetricsServer() {}

    /** A registry of meters that {@link #listen} can serve. */
    public static PrometheusMeterRegistry registry() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }

    /**
     * Serves a registry's meters, read on the event loop.
     *
     * @param path the path with its first slash
     * @throws io.netty.channel.ChannelException if the address can't be had
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
                                            OK, registry.scrape().getBytes(StandardCharsets.UTF_8), TEXT)
                                    : SimpleHttpServer.Response.empty(NOT_FOUND));
        });
    }
}
