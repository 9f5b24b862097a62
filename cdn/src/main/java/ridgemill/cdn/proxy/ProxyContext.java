package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ridgemill.cdn.edge.ObjectCache;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.CachePosition;
import ridgemill.cdn.proxy.control.ControlView;
import ridgemill.cdn.proxy.control.OperationRegister;
import ridgemill.cdn.settings.Settings;
import ridgemill.core.Timers;
import ridgemill.gateway.net.SocketKind;

/** What the parts of the data path share. Used on the event loop only. */
final class ProxyContext {

    private final EventLoop loop;
    private final SocketKind sockets;
    private final Timers timers;
    private final Settings settings;
    private final ControlView control;
    private final OperationRegister register;
    private final EventLog log;
    private final ProxyMeters meters;
    private final InvariantChecker invariants;
    private final Optional<CacheNode> sharedCache;
    private final SharedCaches caches;
    private final String localRegion;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final ObjectFetcher fetcher;
    private final InFlightOperations operations = new InFlightOperations();
    private boolean draining;
    private int inFlight;

    ProxyContext(
            EventLoop loop,
            SocketKind sockets,
            Timers timers,
            Settings settings,
            ControlView control,
            OperationRegister register,
            MeterRegistry registry,
            Optional<CacheNode> sharedCache,
            long cacheBytes) {
        this.loop = loop;
        this.sockets = sockets;
        this.timers = timers;
        this.settings = settings;
        this.control = control;
        this.register = register;
        this.sharedCache = sharedCache;
        this.meters = new ProxyMeters(registry);
        this.log = new EventLog(timers);
        this.invariants = new InvariantChecker(registry, log);
        this.fetcher = new ObjectFetcher(this, new ObjectCache(cacheBytes));
        this.localRegion = settings.regionOf(settings.zone());
        this.caches = new SharedCaches(this);
    }

    EventLoop loop() {
        return loop;
    }

    SocketKind sockets() {
        return sockets;
    }

    /** The time now, in milliseconds. */
    double now() {
        return timers.now();
    }

    /** Where buffers for writing come from. */
    ByteBufAllocator allocator() {
        return ByteBufAllocator.DEFAULT;
    }

    Timers timers() {
        return timers;
    }

    Settings settings() {
        return settings;
    }

    ControlView control() {
        return control;
    }

    OperationRegister register() {
        return register;
    }

    /** Checks what must hold at any time. */
    InvariantChecker invariants() {
        return invariants;
    }

    /** Whether this process is a shared cache and no edge proxy. */
    boolean isSharedCache() {
        return sharedCache.isPresent();
    }

    /** The place of this shared cache among all. */
    CachePosition cachePosition() {
        return control.fleet().cachePosition(sharedCache.orElseThrow(), settings::regionOf);
    }

    /** The shared caches that objects are read from. */
    SharedCaches caches() {
        return caches;
    }

    /** The data path's figures. */
    ProxyMeters meters() {
        return meters;
    }

    EventLog log() {
        return log;
    }

    /** Whether an instance is in this proxy's region. */
    boolean isLocal(Instance instance) {
        return localRegion.equals(settings.regionOf(instance.zone()));
    }

    /** The copies of objects and the fetches that bring them. */
    ObjectFetcher fetcher() {
        return fetcher;
    }

    /** The keyed operations that this proxy claims or runs. */
    InFlightOperations operations() {
        return operations;
    }

    /** The state of a service, which is made when it is first asked for. */
    ServiceState service(String name) {
        ServiceState state = services.get(name);
        if (state == null) {
            state = new ServiceState(this, name);
            services.put(name, state);
        }
        return state;
    }

    /** The states of all services that were asked for. */
    Iterable<ServiceState> services() {
        return services.values();
    }

    /** Whether connections are to be closed behind their next answer. */
    boolean isDraining() {
        return draining;
    }

    void startDraining() {
        draining = true;
    }

    /** Requests that are not over: their answer is not out, or their operation still runs. */
    int inFlight() {
        return inFlight;
    }

    /** Counts a request as begun (1) or over (-1). */
    void addInFlight(int change) {
        inFlight += change;
    }
}
