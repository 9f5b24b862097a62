package ridgemill.cdn.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.config.Service;
import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.OriginShare;
import ridgemill.cdn.edge.RetryBudget;
import ridgemill.cdn.edge.ServiceAdmission;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;
import ridgemill.cdn.settings.Bounds;
import ridgemill.gateway.back.IdleAges;
import ridgemill.policy.Rendezvous;

/** All that this proxy keeps for one service: admission, budgets, instances and their connections. */
final class ServiceState {

    /** This proxy's part of an instance's connections may be used up to this share of it. */
    private static final double CONNECTIONS_USED = 0.9;

    private static final int LEAST_CONNECTIONS = 2;
    /** How often figures are logged of a service that refused something, in milliseconds. */
    private static final double FIGURES_INTERVAL_MS = 5_000;

    private static final double BREAKS_WITHIN_MS = 3_000;

    private final ProxyContext context;
    private final String name;
    private final ServiceAdmission admission;
    private final RetryBudget budget;
    private final OriginShare originShare;
    private final InstancePicker picker = new InstancePicker();
    private final IdleAges ages = new IdleAges();
    private final Map<String, InstancePool> pools = new HashMap<>();
    private final ArrayDeque<Delivery> waiting = new ArrayDeque<>();
    private final ServiceMeters meters;
    private double figuresAtMs;
    private double lentShare = Double.NaN;

    ServiceState(ProxyContext context, String name) {
        this.context = context;
        this.name = name;
        Bounds bounds = context.settings().bounds();
        double phase = Rendezvous.unit(Rendezvous.hashText(context.settings().nodeName() + "/" + name));
        this.admission = new ServiceAdmission(phase, context.now());
        this.budget = new RetryBudget(bounds.retryBudgetRatio(), bounds.retryBudgetSlack(), bounds.retryWindowMs());
        this.originShare = new OriginShare(bounds.originCeilingOverage(), bounds.originWindowMs());
        this.meters = context.meters().service(name);
        meters.show(this);
        refresh();
    }

    String name() {
        return name;
    }

    ServiceAdmission admission() {
        return admission;
    }

    /** The service's figures. */
    ServiceMeters meters() {
        return meters;
    }

    /** Connections to all instances that are open now. */
    int openConnections() {
        int open = 0;
        for (InstancePool pool : pools.values()) {
            open += pool.open();
        }
        return open;
    }

    RetryBudget budget() {
        return budget;
    }

    OriginShare originShare() {
        return originShare;
    }

    InstancePicker picker() {
        return picker;
    }

    /** The connections to an instance, also while it is leaving. */
    InstancePool pool(InstanceStats stats) {
        return pools.get(stats.instance().id());
    }

    /** Sets this proxy's share of the service's bound on requests a second in place of an even one. */
    void lend(double perSecond) {
        lentShare = perSecond;
        refresh();
    }

    /** Takes in what the control plane says of the service and its instances. */
    void refresh() {
        Service service = context.control().routing().service(name);
        int proxies = Math.max(1, context.control().proxyCount());
        double rate = service == null ? 0 : service.ratePerSecond();
        boolean lent = rate > 0 && !Double.isNaN(lentShare);
        originShare.setShare(lent ? lentShare : rate / proxies, context.now());
        int cap = service == null ? LEAST_CONNECTIONS : service.connectionCap();
        int connections = Math.max(LEAST_CONNECTIONS, (int) Math.floor(cap * CONNECTIONS_USED / proxies));
        List<InstanceStats> ready = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Instance instance : context.control().readyInstances(name)) {
            InstancePool pool =
                    pools.computeIfAbsent(instance.id(), id -> new InstancePool(context, instance, ages, meters));
            pool.stats().learn(instance, context.isLocal(instance), connections);
            ready.add(pool.stats());
            ids.add(instance.id());
        }
        picker.instances(ready);
        for (Iterator<Map.Entry<String, InstancePool>> i = pools.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, InstancePool> entry = i.next();
            if (!ids.contains(entry.getKey())) {
                entry.getValue().close();
                i.remove();
            }
        }
        recall();
    }

    /** Lets a delivery know once an instance may have room. */
    void await(Delivery delivery) {
        waiting.add(delivery);
    }

    /** A delivery does not wait any more. */
    void forget(Delivery delivery) {
        waiting.remove(delivery);
    }

    /** Lets those that wait for room try again. */
    void recall() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            waiting.pollFirst().roomAgain();
        }
    }

    /** What is due from time to time. */
    void tick(double nowMs) {
        if (admission.isDue(nowMs)) {
            int before = admission.level();
            admission.step(nowMs, picker.isBreakingWidely(nowMs, BREAKS_WITHIN_MS) ? 0 : 1);
            if (admission.level() != before) {
                context.log().line("event=level service=" + name + " level=" + admission.level());
            }
        }
        for (InstancePool pool : pools.values()) {
            pool.closeOld(nowMs);
        }
        if (nowMs >= figuresAtMs) {
            figuresAtMs = nowMs + FIGURES_INTERVAL_MS;
            logFigures();
        }
        recall();
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
        pools.values().forEach(InstancePool::close);
    }
}
