package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.proxy.control.ControlClient;
import ridgemill.cdn.settings.Settings;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * A shared cache: fetches objects from instances once for all edge proxies and keeps copies of them. It follows the
 * control plane like an edge proxy and announces itself once it has the configuration and the instances. If it is
 * lost, only its copies are lost; edge proxies then read from the other shared caches or from the instances.
 * Everything runs on one event loop.
 */
public final class CacheProgram {

    private static final System.Logger LOG = System.getLogger(CacheProgram.class.getName());
    private static final long CHECK_INTERVAL_MS = 20;
    /**
     * Delay between withdrawing from the registries and draining connections, in milliseconds, so that edge proxies
     * learn of the withdrawal before connections are closed.
     */
    private static final long WITHDRAWAL_DELAY_MS = 500;
    /**
     * Delay between draining connections and refusing requests that might outlast the process, in milliseconds, for
     * connections that were just opened.
     */
    private static final long LAST_REQUEST_DELAY_MS = 300;
    /** Fraction of the grace period after which the process exits even if requests are in flight. */
    private static final double EXIT_GRACE_FRACTION = 0.75;

    private final Settings settings;
    private final EventLoop loop;
    private final CacheNode node;
    private final ControlClient control;
    private final DataPath dataPath;
    private boolean draining;

    /** Creates a shared cache; call {@link #start} to serve requests. */
    public CacheProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock, MeterRegistry registry) {
        this.settings = settings;
        this.loop = loop;
        String address = settings.ipAddress() + ':' + settings.cachePort();
        this.node = new CacheNode(UUID.randomUUID().toString(), address, settings.zone());
        this.control = ControlClient.ofCache(settings, loop, sockets, clock, node);
        this.dataPath = DataPath.ofCache(loop, sockets, clock, settings, control, node, registry);
    }

    /**
     * Listens and connects to the control plane.
     *
     * @throws io.netty.channel.ChannelException if the address cannot be bound
     */
    public void start() {
        dataPath.listen().syncUninterruptibly();
        loop.execute(() -> {
            control.start();
            announceWhenReady();
        });
    }

    private void announceWhenReady() {
        if (draining) {
            return;
        }
        if (control.isReady()) {
            control.announce();
            LOG.log(System.Logger.Level.INFO, "event=serving address=" + node.address());
        } else {
            loop.schedule(this::announceWhenReady, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Shuts down gracefully: withdraws from the registries, responds to pending requests, then runs the task once, when
     * three quarters of the grace period have passed at the latest.
     */
    public void drain(Runnable exitTask) {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.log(System.Logger.Level.INFO, "event=draining in_flight=" + dataPath.inFlight());
            control.withdraw();
            new GracefulShutdown(loop, dataPath, shutdownSchedule(), exitTask).start();
        });
    }

    private GracefulShutdown.Schedule shutdownSchedule() {
        long endMs = (long) (settings.bounds().gracePeriodMs() * EXIT_GRACE_FRACTION);
        return new GracefulShutdown.Schedule(
                WITHDRAWAL_DELAY_MS, WITHDRAWAL_DELAY_MS, WITHDRAWAL_DELAY_MS + LAST_REQUEST_DELAY_MS, endMs);
    }
}
