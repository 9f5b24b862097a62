package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.cdn.proxy.control.ControlClient;
import ridgemill.cdn.proxy.control.QuorumRegister;
import ridgemill.cdn.settings.Settings;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The edge proxy: serves clients once it has received enough from the control plane, and shuts down gracefully on
 * request. Everything runs on one event loop.
 */
public final class ProxyProgram {

    private static final System.Logger LOG = System.getLogger(ProxyProgram.class.getName());
    private static final String READINESS_PATH = "/ridgemill/readiness";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final long CHECK_INTERVAL_MS = 20;
    /**
     * Fraction of the grace period after which no new connections are accepted; the platform has noticed by then that
     * the proxy is not ready.
     */
    private static final double ACCEPT_GRACE_FRACTION = 0.45;
    /**
     * Fraction of the grace period, and time since the signal in milliseconds, after which no request is begun that
     * might outlast the process.
     */
    private static final double OPEN_GRACE_FRACTION = 0.5;

    private static final long MAX_OPEN_MS = 3_000;
    /** Fraction of the grace period after which the process exits even if requests are in flight. */
    private static final double EXIT_GRACE_FRACTION = 0.92;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final ControlClient control;
    private final DataPath dataPath;
    private SimpleHttpServer readinessServer;
    private boolean listening;
    private boolean draining;

    /** Creates a proxy; call {@link #start} to serve requests. */
    public ProxyProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock, MeterRegistry registry) {
        this.settings = settings;
        this.loop = loop;
        this.sockets = sockets;
        this.control = new ControlClient(settings, loop, sockets, clock);
        QuorumRegister register = new QuorumRegister(control, loop, clock);
        this.dataPath = new DataPath(loop, sockets, clock, settings, control, register, registry);
    }

    /**
     * Starts the readiness endpoint and connects to the control plane.
     *
     * @throws io.netty.channel.ChannelException if an address cannot be bound
     */
    public void start() {
        if (settings.readyAddress() != null) {
            readinessServer = SimpleHttpServer.listen(
                    loop, sockets, Addresses.parse(settings.readyAddress()), this::answerReadiness);
        }
        loop.execute(() -> {
            control.start();
            listenWhenReady();
        });
    }

    private void listenWhenReady() {
        if (draining) {
            return;
        }
        if (control.isReady()) {
            dataPath.listen();
            listening = true;
            LOG.log(System.Logger.Level.INFO, "event=serving address=" + settings.frontAddress());
        } else {
            loop.schedule(this::listenWhenReady, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void answerReadiness(SimpleHttpServer.Request call) {
        int status = !call.path().equals(READINESS_PATH) ? NOT_FOUND : listening && !draining ? OK : UNAVAILABLE;
        call.responder().accept(SimpleHttpServer.Response.empty(status));
    }

    /**
     * Shuts down gracefully: reports that it is not ready, continues to serve until the platform has noticed, finishes
     * pending requests and runs the task once, shortly before the grace period ends at the latest.
     */
    public void drain(Runnable exitTask) {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.log(System.Logger.Level.INFO, "event=draining in_flight=" + dataPath.inFlight());
            new GracefulShutdown(loop, dataPath, shutdownSchedule(), exitTask).start();
        });
    }

    private GracefulShutdown.Schedule shutdownSchedule() {
        long graceMs = settings.bounds().gracePeriodMs();
        long openMs = Math.min(MAX_OPEN_MS, (long) (graceMs * OPEN_GRACE_FRACTION));
        return new GracefulShutdown.Schedule(
                0, Math.min(openMs, (long) (graceMs * ACCEPT_GRACE_FRACTION)), openMs, (long)
                        (graceMs * EXIT_GRACE_FRACTION));
    }
}
