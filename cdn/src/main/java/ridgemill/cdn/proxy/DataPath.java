package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.net.ServerBootstraps;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.proxy.control.ControlView;
import ridgemill.cdn.proxy.control.OperationRegister;
import ridgemill.cdn.settings.Settings;
import ridgemill.core.Timers;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.LoopTimers;
import ridgemill.gateway.net.SocketKind;
import ridgemill.policy.AdmissionLevel;

/**
 * The data path of an edge proxy, or of a shared cache: takes requests in and answers each once. This class starts and ends it and
 * sees to what is due from time to time. Used on its event loop only.
 */
public final class DataPath {

    private static final double TICK_INTERVAL_MS = 250;
    private static final int ACCEPT_BACKLOG = 1_024;
    /** The part of the heap that copies of objects may take. */
    private static final double CACHE_HEAP_FRACTION = 0.45;
    /** The same in a shared cache, which does little else. */
    private static final double SHARED_CACHE_HEAP_FRACTION = 0.6;

    private final ProxyContext context;
    private final Router router;
    private final ClientConnections clients;
    private final String listenAddress;
    private Channel listener;
    private Timers.Timer tickTimer;

    /** The data path of a shared cache: takes reads of edge proxies where it offers to, and fetches from instances alone. */
    public static DataPath ofCache(
            EventLoop loop,
            SocketKind sockets,
            Clock clock,
            Settings settings,
            ControlView control,
            CacheNode cache,
            MeterRegistry registry) {
        return new DataPath(
                loop,
                sockets,
                new LoopTimers(loop, clock),
                settings,
                control,
                OperationRegister.NONE,
                registry,
                Optional.of(cache),
                (long) (SHARED_CACHE_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    }

    /** A data path that keeps copies of objects in a part of the heap. */
    public DataPath(
            EventLoop loop,
            SocketKind sockets,
            Clock clock,
            Settings settings,
            ControlView control,
            OperationRegister register,
            MeterRegistry registry) {
        this(loop, sockets, new LoopTimers(loop, clock), settings, control, register, registry, Optional.empty(), (long)
                (CACHE_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    }

    /**
     * A data path.
     *
     * @param timers its time and its timers, which run on the loop
     * @param cacheBytes the memory that copies of objects may take, in bytes
     */
    DataPath(
            EventLoop loop,
            SocketKind sockets,
            Timers timers,
            Settings settings,
            ControlView control,
            OperationRegister register,
            MeterRegistry registry,
            Optional<CacheNode> cache,
            long cacheBytes) {
        context = new ProxyContext(loop, sockets, timers, settings, control, register, registry, cache, cacheBytes);
        router = context.isSharedCache() ? new SharedCacheRouter(context) : new RequestRouter(context);
        listenAddress = cache.map(CacheNode::address).orElse(settings.frontAddress());
        clients = new ClientConnections(settings.fileDescriptors());
        control.addListener(context.fetcher());
        control.addListener(new ControlListener() {
            @Override
            public void configurationChanged() {
                refresh();
            }

            @Override
            public void instancesChanged() {
                refresh();
            }
        });
    }

    private void refresh() {
        context.caches().refresh();
        for (ServiceState service : context.services()) {
            service.refresh();
        }
    }

    /** Serves clients at the front address; the future fails if it can't be had. */
    public ChannelFuture listen() {
        ChannelFuture bound = ServerBootstraps.create(
                        context.loop(),
                        context.sockets(),
                        ACCEPT_BACKLOG,
                        channel -> channel.pipeline().addLast(new ClientConnection(this)))
                .bind(Addresses.parse(listenAddress));
        listener = bound.channel();
        scheduleTick();
        return bound;
    }

    /** Where clients are served, once {@link #listen} has succeeded. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Takes no new connections; those that wait to be taken are taken first. */
    public void stopAccepting() {
        if (listener != null) {
            context.sockets().takeWaiting(listener);
            listener.close();
        }
    }

    /** From now on answers say that their connection is closed behind them; idle connections are closed. */
    public void drain() {
        context.startDraining();
        for (ClientConnection client : clients.snapshot()) {
            client.closeIfIdle();
        }
    }

    /** How many requests are not over: their answer is not out, or their operation still runs. */
    public int inFlight() {
        int unsent = 0;
        for (ClientConnection client : clients.snapshot()) {
            unsent += client.hasUnsentOutput() ? 1 : 0;
        }
        return context.inFlight() + unsent;
    }

    /** Sets this proxy's share of a service's bound on its requests in place of an even one, in requests a second. */
    public void setShare(String service, double perSecond) {
        context.service(service).assignShare(perSecond);
    }

    /** What of a service's admission outlives a restart. */
    public AdmissionLevel.Snapshot admission(String service) {
        return context.service(service).admission().snapshot();
    }

    /** Takes in what of a service's admission an earlier life of this proxy left. */
    public void restoreAdmission(String service, AdmissionLevel.Snapshot kept) {
        context.service(service).admission().restore(kept, context.now());
    }

    /** How often something did not hold that must hold at any time. */
    public long invariantViolations() {
        return context.invariants().violationCount();
    }

    /** Closes the listener and all connections. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        if (tickTimer != null) {
            tickTimer.cancel();
        }
        clients.snapshot().forEach(ClientConnection::close);
        for (ServiceState service : context.services()) {
            service.close();
        }
        context.caches().close();
    }

    private void scheduleTick() {
        tickTimer = context.timers().scheduleAt(context.now() + TICK_INTERVAL_MS, () -> {
            double nowMs = context.now();
            for (ClientConnection client : clients.snapshot()) {
                client.tick(nowMs);
            }
            for (ServiceState service : context.services()) {
                service.tick(nowMs);
            }
            context.caches().tick(nowMs);
            context.fetcher().tick(nowMs);
            scheduleTick();
        });
    }

    /** The exchange for a request; null if it was answered at once. */
    Exchange route(ClientConnection client, ClientRequest request) {
        return router.route(client, request);
    }

    void opened(ClientConnection client) {
        clients.opened(client);
    }

    void becameIdle(ClientConnection client) {
        clients.becameIdle(client);
    }

    void closed(ClientConnection client) {
        clients.closed(client);
    }

    double now() {
        return context.now();
    }

    Limits limits() {
        return context.control().routing().limits();
    }

    boolean isDraining() {
        return context.isDraining();
    }

    EventLog log() {
        return context.log();
    }
}
