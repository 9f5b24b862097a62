package ridgemill.cdn.app;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import ridgemill.cdn.metrics.MetricsEndpoint;
import ridgemill.cdn.metrics.MetricsServer;
import ridgemill.cdn.proxy.CacheProgram;
import ridgemill.cdn.proxy.ProxyProgram;
import ridgemill.cdn.registry.RegistryProgram;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.settings.SettingsReader;
import ridgemill.cdn.store.StoreProgram;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/** Runs one of the programs as a process, with its event loop, signal handling and shutdown. */
final class Process {

    private static final System.Logger LOG = System.getLogger(Process.class.getName());

    private final Settings settings;
    private final Path settingsPath;
    private final SocketKind sockets = SocketKind.chosen();
    private final Clock clock = new Clock();
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, sockets.handlers()).next();

    private final Option<MetricsEndpoint> metricsEndpoint;
    private final PrometheusMeterRegistry metrics = MetricsServer.registry();

    Process(Settings settings, Path settingsPath, Option<MetricsEndpoint> metricsEndpoint) {
        this.settings = settings;
        this.metricsEndpoint = metricsEndpoint;
        this.settingsPath = settingsPath;
    }

    void runProxy() {
        ProxyProgram proxy = new ProxyProgram(settings, loop, sockets, clock, metrics);
        startProgram(proxy::start);
        onSignals(() -> proxy.drain(Process::exit));
    }

    void runCache() {
        CacheProgram cache = new CacheProgram(settings, loop, sockets, clock, metrics);
        startProgram(cache::start);
        onSignals(() -> cache.drain(Process::exit));
    }

    void runRegistry() {
        RegistryProgram registry = new RegistryProgram(settings, loop, sockets, clock);
        startProgram(registry::start);
        onSignals(() -> registry.drain(() -> exitAfter(registry::stop)));
    }

    void runStore() {
        StoreProgram store = new StoreProgram(settings, loop, sockets, clock);
        startProgram(() -> store.start().join());
        onSignals(() -> store.leave(() -> exitAfter(store::stop)));
    }

    /** Stops a program, which blocks, outside the event loop and ends the process. */
    private static void exitAfter(Runnable stop) {
        Thread ending = new Thread(() -> {
            stop.run();
            exit();
        });
        ending.start();
    }

    /**
     * Starts a program. An address that cannot be bound is an operator error, which ends the process with one line of
     * text.
     */
    private void startProgram(Runnable start) {
        try {
            start.run();
            metricsEndpoint.forEach(this::serveMetrics);
        } catch (RuntimeException failed) {
            boolean bindFailed = failed instanceof ChannelException
                    || failed.getCause() instanceof ChannelException
                    || failed.getCause() instanceof IOException;
            if (bindFailed) {
                Main.fail("can't listen: " + failed.getMessage());
            }
            throw failed;
        }
    }

    private void serveMetrics(MetricsEndpoint endpoint) {
        InetSocketAddress address = new InetSocketAddress(settings.ipAddress(), endpoint.port());
        MetricsServer.listen(loop, sockets, address, endpoint.path(), metrics);
    }

    private void onSignals(Runnable onTermination) {
        Signals.onTermination(onTermination);
        Signals.onHangup(this::checkSettings);
    }

    /**
     * Reads the settings file again and logs whether it is valid. The process keeps the settings that it started with.
     */
    private void checkSettings() {
        SettingsReader.read(settingsPath)
                .peek(read -> LOG.log(System.Logger.Level.INFO, "event=settings_read machine=" + read.nodeName()))
                .peekLeft(error -> LOG.log(System.Logger.Level.WARNING, "event=settings_bad " + error.describe()));
    }

    private static void exit() {
        LOG.log(System.Logger.Level.INFO, "event=ended");
        Runtime.getRuntime().halt(0);
    }
}
