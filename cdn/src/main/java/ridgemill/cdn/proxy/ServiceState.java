package ridgemill.cdn.proxy;

import java.util.List;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.config.Service;
import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.OriginShare;
import ridgemill.cdn.edge.RateDivision;
import ridgemill.cdn.edge.RetryBudget;
import ridgemill.cdn.edge.ServiceAdmission;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;
import ridgemill.cdn.settings.Bounds;
import ridgemill.policy.RendezvousHash;

/** All that this process keeps for one service: admission, budgets, instances and their connections. */
final class ServiceState implements Upstream {

    /** An instance's connections are used up to this share of its cap by all processes together. */
    private static final double CONNECTIONS_USED = 0.9;
    /** The part of those that shared caches have at a service whose objects they fetch. */
    private static final double CACHE_CONNECTIONS = 0.5;

    private static final int UNKNOWN_CAP = 2;
    /** The part of the retry budget's share that shared caches have, as the edge proxies count the same requests. */
    private static final double CACHE_RETRIES = 0.25;

    private static final double BREAKS_WITHIN_MS = 3_000;
    /** How often figures are logged of a service that refused something, in milliseconds. */
    private static final double FIGURES_INTERVAL_MS = 5_000;

    private final ProxyContext context;
    private final String name;
    private final ServiceAdmission admission;
    private final RetryBudget budget;
    private final OriginShare originShare;
    private final RateDivision division;
    private final ServiceMeters meters;
    private final InstanceSet instances;
    private double figuresAtMs;
    private double lentShare = Double.NaN;

    ServiceState(ProxyContext context, String name) {
        this.context = context;
        this.name = name;
        Bounds bounds = context.settings().bounds();
        double phase = RendezvousHash.unitInterval(
                RendezvousHash.hashText(context.settings().nodeName() + "/" + name));
        double ratio = bounds.retryBudgetRatio() * (context.isSharedCache() ? CACHE_RETRIES : 1);
        this.admission = new ServiceAdmission(phase, context.now());
        this.budget = new RetryBudget(ratio, bounds.retryBudgetSlack(), bounds.retryWindowMs());
        this.originShare = new OriginShare(bounds.originCeilingOverage(), bounds.originWindowMs());
        this.division = new RateDivision(bounds.originCeilingOverage(), bounds.originWindowMs());
        this.meters = context.meters().service(name);
        this.instances = new InstanceSet(context, new InstancePicker(), meters, false);
        meters.show(this);
        refresh();
    }

    String name() {
        return name;
    }

    @Override
    public ServiceAdmission admission() {
        return admission;
    }

    @Override
    public ServiceMeters meters() {
        return meters;
    }

    @Override
    public RetryBudget budget() {
        return budget;
    }

    @Override
    public OriginShare originShare() {
        return originShare;
    }

    @Override
    public InstancePicker picker() {
        return instances.picker();
    }

    @Override
    public InstancePool pool(InstanceStats stats) {
        return instances.pool(stats);
    }

    /** Connections to all instances that are open now. */
    int openConnections() {
        return instances.openConnections();
    }

    /** Sets this process' share of the service's bound on requests a second in place of an even one. */
    void lend(double perSecond) {
        lentShare = perSecond;
        refresh();
    }

    /** Takes in what the control plane says of the service, its instances and who else sends to them. */
    void refresh() {
        Service service = context.control().routing().service(name);
        Fleet fleet = context.control().fleet();
        shareRate(service == null ? 0 : service.ratePerSecond(), fleet);
        List<Instance> ready = context.control().readyInstances(name);
        int connections = connections(service, fleet, ready.size());
        instances.set(
                ready,
                context.isSharedCache()
                        ? index -> context.cachePlace().share(connections, index)
                        : index -> fleet.proxies().share(connections, index));
    }

    private void shareRate(double rate, Fleet fleet) {
        if (rate > 0 && !Double.isNaN(lentShare)) {
            originShare.setShare(lentShare, context.now());
            return;
        }
        RateDivision.Share part = context.isSharedCache()
                ? division.forCache(rate, context.cachePlace())
                : division.forProxy(rate, fleet.proxies(), !fleet.caches().isEmpty());
        originShare.assign(part, context.now());
    }

    /** How many connections the processes of this one's kind may have to one instance together. */
    private int connections(Service service, Fleet fleet, int instanceCount) {
        int cap = service == null ? UNKNOWN_CAP : service.connectionCap();
        int all = Math.max(1, (int) Math.floor(cap * CONNECTIONS_USED));
        int ofCaches = connectionsOfCaches(all, fleet, instanceCount);
        return context.isSharedCache() ? ofCaches : all - ofCaches;
    }

    /**
     * How many of an instance's connections shared caches have together: half, but where proxies send other requests there
     * too, no more than leaves one for each proxy over all instances.
     */
    private int connectionsOfCaches(int all, Fleet fleet, int instanceCount) {
        RoutingTable routing = context.control().routing();
        if (fleet.caches().isEmpty() || !routing.hasCacheableRoute(name)) {
            return 0;
        }
        int half = (int) Math.floor(all * CACHE_CONNECTIONS);
        if (!routing.hasUncacheableRoute(name) || instanceCount == 0) {
            return half;
        }
        int oneForEachProxy = (fleet.proxies().size() + instanceCount - 1) / instanceCount;
        return Math.max(1, Math.min(half, all - oneForEachProxy));
    }

    @Override
    public void await(Delivery delivery) {
        instances.await(delivery);
    }

    @Override
    public void forget(Delivery delivery) {
        instances.forget(delivery);
    }

    @Override
    public void recall() {
        instances.recall();
    }

    /** What is due from time to time. */
    void tick(double nowMs) {
        if (admission.isIntervalOver(nowMs)) {
            int before = admission.level();
            admission.endInterval(nowMs, picker().hasWidespreadConnectionFailures(nowMs, BREAKS_WITHIN_MS) ? 0 : 1);
            if (admission.level() != before) {
                context.log().line("event=level service=" + name + " level=" + admission.level());
            }
        }
        if (nowMs >= figuresAtMs) {
            figuresAtMs = nowMs + FIGURES_INTERVAL_MS;
            logFigures();
        }
        instances.tick(nowMs);
    }

    private void logFigures() {
        String refusals = meters.describe();
        if (!refusals.isEmpty()) {
            context.log()
                    .line("event=figures service=" + name + " level=" + admission.level() + " open=" + openConnections()
                            + meters.describeConnections() + refusals);
        }
    }

    /** Closes all connections. */
    void close() {
        instances.close();
    }
}
