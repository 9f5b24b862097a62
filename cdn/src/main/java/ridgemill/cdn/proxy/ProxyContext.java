package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import ridgemill.cdn.edge.DrainWindow;
import ridgemill.cdn.edge.ObjectCache;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.membership.CachePosition;
import ridgemill.cdn.proxy.control.ControlView;
import ridgemill.cdn.proxy.control.OperationRegister;
import ridgemill.cdn.settings.Settings;
import ridgemill.core.Timers;
import ridgemill.gateway.net.SocketKind;

/** The components that the parts of the data path share. Used on the event loop only. */
final class ProxyContext {

    private final EventLoop loop;
    private final SocketKind sockets;
    private final Timers timers;
    private final Settings settings;
    private final ControlView control;
    private final OperationRegister register;
    private final EventLog log;
    private final ProxyMeters meters;
    private final BodyMemory bodyMemory;
    private final ResponseMemory responseMemory;
    private final InvariantChecker invariants;
    private final Optional<CacheNode> sharedCache;
    private final SharedCaches caches;
    private final String localRegion;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final ObjectFetcher fetcher;
    private final InFlightOperations operations = new InFlightOperations();
    private DrainWindow drainWindow = DrainWindow.OPEN;
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
        this.bodyMemory = BodyMemory.ofProcess(registry);
        this.log = new EventLog(timers);
        this.invariants = new InvariantChecker(registry, log);
        ObjectCache copies = new ObjectCache(cacheBytes);
        this.responseMemory =
                new ResponseMemory(registry, loop, Runtime.getRuntime().maxMemory(), copies, cacheBytes);
        this.fetcher = new ObjectFetcher(this, copies);
        this.localRegion = settings.regionOf(settings.zone());
        this.caches = new SharedCaches(this);
        meters.registerPurgeGauge(this);
    }

    EventLoop loop() {
        return loop;
    }

    SocketKind sockets() {
        return sockets;
    }

    /** The current time, in milliseconds. */
    double now() {
        return timers.now();
    }

    /** The allocator of output buffers. */
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

    /** Checks invariants at run time. */
    InvariantChecker invariants() {
        return invariants;
    }

    /** Whether this process is a shared cache rather than an edge proxy. */
    boolean isSharedCache() {
        return sharedCache.isPresent();
    }

    /** The position of this shared cache in the fleet. */
    CachePosition cachePosition() {
        return control.fleet().cachePosition(sharedCache.orElseThrow(), settings::regionOf);
    }

    /** The shared caches from which objects are read. */
    SharedCaches caches() {
        return caches;
    }

    /** The meters of the data path. */
    ProxyMeters meters() {
        return meters;
    }

    /** The memory for the bodies of requests. */
    BodyMemory bodyMemory() {
        return bodyMemory;
    }

    /** The memory for the bodies of responses. */
    ResponseMemory responseMemory() {
        return responseMemory;
    }

    EventLog log() {
        return log;
    }

    /** Whether an instance is in this proxy's region. */
    boolean isLocal(Instance instance) {
        return localRegion.equals(settings.regionOf(instance.zone()));
    }

    /** The copies of objects and the fetches in progress. */
    ObjectFetcher fetcher() {
        return fetcher;
    }

    /** The keyed operations that this proxy is claiming or running. */
    InFlightOperations operations() {
        return operations;
    }

    /** The state of a service, created on first use. */
    ServiceState service(String name) {
        ServiceState state = services.get(name);
        if (state == null) {
            state = new ServiceState(this, name);
            services.put(name, state);
        }
        return state;
    }

    /** The states of all services used so far. */
    Iterable<ServiceState> services() {
        return services.values();
    }

    /** Whether connections are closed after their next response. */
    boolean isDraining() {
        return draining;
    }

    void startDraining(DrainWindow window) {
        draining = true;
        drainWindow = window;
    }

    /** Which requests may begin. */
    DrainWindow drainWindow() {
        return drainWindow;
    }

    /** The number of unfinished requests: the response has not been sent, or the operation is still running. */
    int inFlight() {
        return inFlight;
    }

    /** Counts a request as started (1) or finished (-1). */
    void addInFlight(int change) {
        inFlight += change;
    }
}
