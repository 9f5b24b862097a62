package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.edge.DrainWindow;
import ridgemill.cdn.edge.RefusalReason;
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
 * The data path of an edge proxy or of a shared cache: receives requests and responds to each exactly once. This class
 * manages its life cycle and periodic work. It is used only on its event loop.
 */
public final class DataPath {

    private static final double TICK_INTERVAL_MS = 250;
    /** How long a client should wait after a refusal for lack of memory, in milliseconds. */
    private static final double MEMORY_RETRY_AFTER_MS = 500;

    private static final int ACCEPT_BACKLOG = 1_024;
    /** Fraction of the maximum heap size used for copies of objects by an edge proxy. */
    private static final double CACHE_HEAP_FRACTION = 0.45;
    /** The same fraction for a shared cache, which uses little memory for anything else. */
    private static final double SHARED_CACHE_HEAP_FRACTION = 0.6;

    private final ProxyContext context;
    private final Router router;
    private final ClientConnections clients;
    private final String listenAddress;
    private Channel listener;
    private Timers.Timer tickTimer;

    /**
     * Creates the data path of a shared cache, which receives reads from edge proxies at its announced address and
     * fetches objects from instances only.
     */
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

    /** Creates the data path of an edge proxy. */
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
     * Creates a data path.
     *
     * @param timers the clock and the timers, which run on the event loop
     * @param cache the node of this shared cache; empty in an edge proxy
     * @param cacheBytes the maximum size of the copies of objects, in bytes
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

    /** Listens for clients; the future fails if the address cannot be bound. */
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

    /** The address on which clients are served, once {@link #listen} has succeeded. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Accepts the connections that are waiting in the accept queue, then closes the listener. */
    public void stopAccepting() {
        if (listener != null) {
            context.sockets().takeWaiting(listener);
            listener.close();
        }
    }

    /**
     * Starts draining: responses from now on carry {@code Connection: close}, and idle connections are closed.
     *
     * @param openMs for how long new connections may send any request, in milliseconds
     * @param endMs within which time the last response has to be written, in milliseconds; later requests that might
     *     take longer are refused
     */
    public void drain(double openMs, double endMs) {
        double nowMs = context.now();
        context.startDraining(new DrainWindow(nowMs + openMs, nowMs + endMs));
        closeIdleConnections();
    }

    /**
     * Closes the connections on which no request has begun to arrive. A request that is waiting in a socket is read
     * first: the event loop runs a scheduled task only after it has read its sockets.
     */
    public void closeIdleConnections() {
        context.loop().schedule(this::closeIdleNow, 0, TimeUnit.NANOSECONDS);
    }

    private void closeIdleNow() {
        for (ClientConnection client : clients.snapshot()) {
            client.closeIfIdle();
        }
    }

    /** Refuses the requests that have not arrived completely. */
    public void refuseIncompleteRequests() {
        for (ClientConnection client : clients.snapshot()) {
            client.refuseIfIncomplete();
        }
    }

    /** Whether no request is unfinished and none has arrived in part. */
    public boolean isIdle() {
        for (ClientConnection client : clients.snapshot()) {
            if (client.isReceiving()) {
                return false;
            }
        }
        return inFlight() == 0;
    }

    /**
     * The number of unfinished requests: the response has not been sent completely, the rest of the request has not
     * been read, or the operation is still running.
     */
    public int inFlight() {
        int unsent = 0;
        for (ClientConnection client : clients.snapshot()) {
            unsent += client.isFinishing() ? 1 : 0;
        }
        return context.inFlight() + unsent;
    }

    /**
     * Sets this proxy's share of the request rate limit of a service, in requests per second, in place of an equal
     * share.
     */
    public void setShare(String service, double perSecond) {
        context.service(service).assignShare(perSecond);
    }

    /** The state of a service's admission that is kept across a restart. */
    public AdmissionLevel.Snapshot admission(String service) {
        return context.service(service).admission().snapshot();
    }

    /** Restores the admission state that an earlier incarnation of this proxy saved for a service. */
    public void restoreAdmission(String service, AdmissionLevel.Snapshot saved) {
        context.service(service).admission().restore(saved, context.now());
    }

    /** The number of violations of {@link ridgemill.cdn.edge.Invariant} since the start. */
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

    /** Creates the exchange for a request; null if the request was answered at once. */
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

    /** The memory for the bodies of requests. */
    BodyMemory bodyMemory() {
        return context.bodyMemory();
    }

    /** Refuses a request, which has not run, because there is no memory for it. */
    FinalResponse refusalForMemory(String attemptId) {
        FinalResponse refusal = FinalResponse.retryLater(503, attemptId, MEMORY_RETRY_AFTER_MS);
        return context.isSharedCache()
                ? refusal.addHeader(CacheHeaders.REFUSAL, RefusalReason.MEMORY.label())
                : refusal;
    }

    /** The memory for the bodies of responses. */
    ResponseMemory responseMemory() {
        return context.responseMemory();
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
