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
 * A shared cache: reads objects from instances once for all edge proxies and keeps copies for them. It follows the control
 * plane as an edge proxy does, and offers itself once it knows enough. Its loss costs its copies; edge proxies then read
 * from the others, or from the instances. Everything runs on one event loop.
 */
public final class CacheProgram {

    private static final System.Logger LOG = System.getLogger(CacheProgram.class.getName());
    private static final long CHECK_INTERVAL_MS = 20;
    /** How long edge proxies take to hear that it leaves, before its connections say so too, in milliseconds. */
    private static final long WITHDRAWAL_DELAY_MS = 500;
    /** The share of the grace period after which the process ends whatever is left. */
    private static final double EXIT_GRACE_FRACTION = 0.75;

    private final Settings settings;
    private final EventLoop loop;
    private final CacheNode node;
    private final ControlClient control;
    private final DataPath dataPath;
    private boolean draining;

    /** A shared cache that serves once it is started. */
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
     * @throws io.netty.channel.ChannelException if the address can't be had
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

    /** Leaves in order: edge proxies hear of it, what they have asked is answered, then the task is run. */
    public void drain(Runnable ended) {
        loop.execute(() -> {
            if (draining) {
                return;
            }
            draining = true;
            LOG.log(System.Logger.Level.INFO, "event=draining in_flight=" + dataPath.inFlight());
            control.withdraw();
            loop.schedule(() -> drainAndExit(ended), WITHDRAWAL_DELAY_MS, TimeUnit.MILLISECONDS);
            long endMs = (long) (settings.bounds().gracePeriodMs() * EXIT_GRACE_FRACTION);
            loop.schedule(ended, endMs, TimeUnit.MILLISECONDS);
        });
    }

    private void drainAndExit(Runnable ended) {
        dataPath.drain();
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
