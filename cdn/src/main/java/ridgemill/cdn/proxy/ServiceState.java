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

/** The state that this process keeps for one service: admission, budgets, instances and their connections. */
final class ServiceState implements Upstream {

    /** The fraction of an instance's connection limit that all processes together use. */
    private static final double CONNECTION_CAP_FRACTION = 0.9;
    /** The fraction of those connections that shared caches use at a service whose objects they fetch. */
    private static final double CACHE_CONNECTION_FRACTION = 0.5;

    /** The connection limit assumed for a service that is missing from the configuration. */
    private static final int DEFAULT_CONNECTION_CAP = 2;
    /** The fraction of the retry budget that shared caches have, because edge proxies count the same requests. */
    private static final double CACHE_RETRY_FRACTION = 0.25;

    /** Connection failures at most instances within this time are attributed to the service's load, in milliseconds. */
    private static final double CONNECTION_FAILURE_WINDOW_MS = 3_000;
    /** Interval between log lines with the counters of a service that refused requests, in milliseconds. */
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

    /** The number of open connections to all instances. */
    int openConnections() {
        return instances.openConnections();
    }

    /**
     * Sets this process's share of the request rate limit of the service, in requests per second, in place of an equal
     * share.
     */
    void assignShare(double perSecond) {
        assignedShare = perSecond;
        refresh();
    }

    /** Applies the control plane's current view of the service, its instances and the fleet. */
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
        RateDivision.Share share = context.isSharedCache()
                ? division.forCache(rate, context.cachePosition())
                : division.forProxy(rate, fleet.proxies(), !fleet.caches().isEmpty());
        originShare.assign(share, context.now());
    }

    /** The maximum number of connections to one instance from all processes of this process's kind together. */
    private int totalConnections(Service service, Fleet fleet, int instanceCount) {
        int cap = service == null ? DEFAULT_CONNECTION_CAP : service.connectionCap();
        int usable = Math.max(1, (int) Math.floor(cap * CONNECTION_CAP_FRACTION));
        int forCaches = cacheConnections(usable, fleet, instanceCount);
        return context.isSharedCache() ? forCaches : usable - forCaches;
    }

    /**
     * The number of connections to an instance that shared caches use together: half, but if proxies send other
     * requests to the service too, at most as many as leave one connection for each proxy over all instances.
     */
    private int cacheConnections(int usable, Fleet fleet, int instanceCount) {
        RoutingTable routing = context.control().routing();
        if (fleet.caches().isEmpty() || !routing.hasCacheableRoute(name)) {
            return 0;
        }
        int half = (int) Math.floor(usable * CACHE_CONNECTION_FRACTION);
        if (!routing.hasUncacheableRoute(name) || instanceCount == 0) {
            return half;
        }
        int oneForEachProxy = (fleet.proxies().size() + instanceCount - 1) / instanceCount;
        return Math.max(1, Math.min(half, usable - oneForEachProxy));
    }

    @Override
    public void awaitCapacity(UpstreamCall call) {
        instances.awaitCapacity(call);
    }

    @Override
    public void stopAwaiting(UpstreamCall call) {
        instances.stopAwaiting(call);
    }

    @Override
    public void retryWaiting() {
        instances.retryWaiting();
    }

    /** Performs periodic work. */
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
