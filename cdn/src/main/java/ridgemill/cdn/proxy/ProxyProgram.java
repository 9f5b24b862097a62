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
 * The edge proxy: serves clients once the control plane has told it enough, and leaves in order on request. Everything
 * runs on one event loop.
 */
public final class ProxyProgram {

    private static final System.Logger LOG = System.getLogger(ProxyProgram.class.getName());
    private static final String READINESS_PATH = "/ridgemill/readiness";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final long CHECK_INTERVAL_MS = 20;
    /** The share of the grace period after which no new connections are accepted; the platform has noticed by then. */
    private static final double ACCEPT_GRACE_FRACTION = 0.45;
    /** The share of the grace period after which the process ends whatever is left. */
    private static final double EXIT_GRACE_FRACTION = 0.92;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final ControlClient control;
    private final DataPath dataPath;
    private SimpleHttpServer readinessServer;
    private boolean listening;
    private boolean draining;

    /** A proxy that serves once it is started. */
    public ProxyProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock, MeterRegistry registry) {
        this.settings = settings;
        this.loop = loop;
        this.sockets = sockets;
        this.control = new ControlClient(settings, loop, sockets, clock);
        QuorumRegister register = new QuorumRegister(control, loop, clock);
        this.dataPath = new DataPath(loop, sockets, clock, settings, control, register, registry);
    }

    /**
     * Tells its readiness and connects to the control plane.
     *
     * @throws io.netty.channel.ChannelException if an address can't be had
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
     * Leaves in order: says that it is not ready, goes on serving until the platform has noticed, answers what it has,
     * and runs the task at the latest shortly before the grace period ends.
     */
    public void drain(Runnable ended) {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.log(System.Logger.Level.INFO, "event=draining in_flight=" + dataPath.inFlight());
            dataPath.drain();
            long grace = settings.bounds().gracePeriodMs();
            loop.schedule(() -> stopAccepting(ended), (long) (grace * ACCEPT_GRACE_FRACTION), TimeUnit.MILLISECONDS);
            loop.schedule(ended, (long) (grace * EXIT_GRACE_FRACTION), TimeUnit.MILLISECONDS);
        });
    }

    private void stopAccepting(Runnable ended) {
        dataPath.stopAccepting();
        exitWhenIdle(ended);
    }

    private void exitWhenIdle(Runnable ended) {
        if (dataPath.inFlight() == 0) {
            ended.run();
        } else {
            loop.schedule(() -> exitWhenIdle(ended), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
