package ridgemill.cdn.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;
import ridgemill.gateway.back.IdleAges;

/** The places of one kind that requests may be sent to, the connections to them, and the deliveries that wait for room. */
final class InstanceSet {

    /** How many connections may be held to one of the instances, by its index in the order of identifiers. */
    interface ConnectionParts {
        int part(int index);
    }

    private final ProxyContext context;
    private final InstancePicker picker;
    private final ServiceMeters meters;
    private final boolean ofCaches;
    private final IdleAges ages = new IdleAges();
    private final Map<String, InstancePool> pools = new HashMap<>();
    private final ArrayDeque<Delivery> waiting = new ArrayDeque<>();

    /**
     * An empty set.
     *
     * @param ofCaches whether the places are shared caches and not instances of a service
     */
    InstanceSet(ProxyContext context, InstancePicker picker, ServiceMeters meters, boolean ofCaches) {
        this.context = context;
        this.picker = picker;
        this.meters = meters;
        this.ofCaches = ofCaches;
    }

    InstancePicker picker() {
        return picker;
    }

    InstancePool pool(InstanceStats stats) {
        return pools.get(stats.instance().id());
    }

    /** Requests may be sent to these from now on, and to no others. */
    void set(List<Instance> instances, ConnectionParts parts) {
        List<InstanceStats> ready = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        int index = 0;
        for (Instance instance : instances) {
            InstancePool pool = pools.computeIfAbsent(
                    instance.id(), id -> new InstancePool(context, instance, ages, meters, ofCaches));
            int part = parts.part(index++);
            pool.limit(part);
            ids.add(instance.id());
            if (part > 0) {
                pool.stats().update(instance, context.isLocal(instance), part);
                ready.add(pool.stats());
            }
        }
        picker.instances(ready);
        pools.entrySet().removeIf(entry -> {
            boolean gone = !ids.contains(entry.getKey());
            if (gone) {
                entry.getValue().close();
            }
            return gone;
        });
        recall();
    }

    void await(Delivery delivery) {
        waiting.add(delivery);
    }

    void forget(Delivery delivery) {
        waiting.remove(delivery);
    }

    void recall() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            waiting.pollFirst().roomAgain();
        }
    }

    /** Connections to all places that are open now. */
    int openConnections() {
        int open = 0;
        for (InstancePool pool : pools.values()) {
            open += pool.open();
        }
        return open;
    }

    /** Closes connections that have been idle for too long and lets those that wait try again. */
    void tick(double nowMs) {
        for (InstancePool pool : pools.values()) {
            pool.closeOld(nowMs);
        }
        recall();
    }

    /** Closes all connections. */
    void close() {
        pools.values().forEach(InstancePool::close);
    }
}
