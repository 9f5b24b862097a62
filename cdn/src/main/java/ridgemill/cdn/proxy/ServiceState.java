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
    private static final double CONNECTION_CAP_FRACTION = 0.9;
    /** The part of those that shared caches have at a service whose objects they fetch. */
    private static final double CACHE_CONNECTION_FRACTION = 0.5;

    private static final int DEFAULT_CONNECTION_CAP = 2;
    /** The part of the retry budget's share that shared caches have, as the edge proxies count the same requests. */
    private static final double CACHE_RETRY_FRACTION = 0.25;

    private static final double CONNECTION_FAILURE_WINDOW_MS = 3_000;
    /** How often figures are logged of a service that refused something, in milliseconds. */
    private static final double SUMMARY_INTERVAL_MS = 5_000;

    private final ProxyContext context;
    private final String name;
    private final ServiceAdmission admission;
    private final RetryBudget retryBudget;
    private final OriginShare originShare;
    private final RateDivision division;
    private final ServiceMeters meters;
    private final InstanceSet instances;
    private double nextSummaryAtMs;
    private double assignedShare = Double.NaN;

    ServiceState(ProxyContext context, String name) {
        this.context = context;
        this.name = name;
        Bounds bounds = context.settings().bounds();
        double phase = RendezvousHash.unitInterval(
                RendezvousHash.hashText(context.settings().nodeName() + "/" + name));
        double ratio = bounds.retryBudgetRatio() * (context.isSharedCache() ? CACHE_RETRY_FRACTION : 1);
        this.admission = new ServiceAdmission(phase, context.now());
        this.retryBudget = new RetryBudget(ratio, bounds.retryBudgetSlack(), bounds.retryWindowMs());
        this.originShare = new OriginShare(bounds.originCeilingOverage(), bounds.originWindowMs());
        this.division = new RateDivision(bounds.originCeilingOverage(), bounds.originWindowMs());
        this.meters = context.meters().service(name);
        this.instances = new InstanceSet(context, new InstancePicker(), meters, false);
        meters.registerGauges(this);
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
    public RetryBudget retryBudget() {
        return retryBudget;
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
    public ConnectionPool pool(InstanceStats stats) {
        return instances.pool(stats);
    }

    /** Connections to all instances that are open now. */
    int openConnections() {
        return instances.openConnections();
    }

    /** Sets this process' share of the service's bound on requests a second in place of an even one. */
    void assignShare(double perSecond) {
        assignedShare = perSecond;
        refresh();
    }

    /** Takes in what the control plane says of the service, its instances and who else sends to them. */
    void refresh() {
        Service service = context.control().routing().service(name);
        Fleet fleet = context.control().fleet();
        updateRateShare(service == null ? 0 : service.ratePerSecond(), fleet);
        List<Instance> ready = context.control().readyInstances(name);
        int connections = totalConnections(service, fleet, ready.size());
        instances.update(
                ready,
                context.isSharedCache()
                        ? index -> context.cachePosition().share(connections, index)
                        : index -> fleet.proxies().share(connections, index));
    }

    private void updateRateShare(double rate, Fleet fleet) {
        if (rate > 0 && !Double.isNaN(assignedShare)) {
            originShare.setShare(assignedShare, context.now());
            return;
        }
        RateDivision.Share part = context.isSharedCache()
                ? division.forCache(rate, context.cachePosition())
                : division.forProxy(rate, fleet.proxies(), !fleet.caches().isEmpty());
        originShare.assign(part, context.now());
    }

    /** How many connections the processes of this one's kind may have to one instance together. */
    private int totalConnections(Service service, Fleet fleet, int instanceCount) {
        int cap = service == null ? DEFAULT_CONNECTION_CAP : service.connectionCap();
        int all = Math.max(1, (int) Math.floor(cap * CONNECTION_CAP_FRACTION));
        int ofCaches = cacheConnections(all, fleet, instanceCount);
        return context.isSharedCache() ? ofCaches : all - ofCaches;
    }

    /**
     * How many of an instance's connections shared caches have together: half, but where proxies send other requests there
     * too, no more than leaves one for each proxy over all instances.
     */
    private int cacheConnections(int all, Fleet fleet, int instanceCount) {
        RoutingTable routing = context.control().routing();
        if (fleet.caches().isEmpty() || !routing.hasCacheableRoute(name)) {
            return 0;
        }
        int half = (int) Math.floor(all * CACHE_CONNECTION_FRACTION);
        if (!routing.hasUncacheableRoute(name) || instanceCount == 0) {
            return half;
        }
        int oneForEachProxy = (fleet.proxies().size() + instanceCount - 1) / instanceCount;
        return Math.max(1, Math.min(half, all - oneForEachProxy));
    }

    @Override
    public void awaitCapacity(UpstreamCall delivery) {
        instances.awaitCapacity(delivery);
    }

    @Override
    public void stopAwaiting(UpstreamCall delivery) {
        instances.stopAwaiting(delivery);
    }

    @Override
    public void retryWaiting() {
        instances.retryWaiting();
    }

    /** What is due from time to time. */
    void tick(double nowMs) {
        if (admission.isIntervalOver(nowMs)) {
            int before = admission.level();
            admission.endInterval(
                    nowMs, picker().hasWidespreadConnectionFailures(nowMs, CONNECTION_FAILURE_WINDOW_MS) ? 0 : 1);
            if (admission.level() != before) {
                context.log().info("event=level service=" + name + " level=" + admission.level());
            }
        }
        if (nowMs >= nextSummaryAtMs) {
            nextSummaryAtMs = nowMs + SUMMARY_INTERVAL_MS;
            logSummary();
        }
        instances.tick(nowMs);
    }

    private void logSummary() {
        String refusals = meters.describeRefusals();
        if (!refusals.isEmpty()) {
            context.log()
                    .info("event=figures service=" + name + " level=" + admission.level() + " open=" + openConnections()
                            + meters.describeConnections() + refusals);
        }
    }

    /** Closes all connections. */
    void close() {
        instances.close();
    }
}
