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
    interface ConnectionShares {
        int share(int index);
    }

    private final ProxyContext context;
    private final InstancePicker picker;
    private final ServiceMeters meters;
    private final boolean sharedCaches;
    private final IdleAges ages = new IdleAges();
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private final ArrayDeque<UpstreamCall> waiting = new ArrayDeque<>();

    /**
     * An empty set.
     *
     * @param ofCaches whether the places are shared caches and not instances of a service
     */
    InstanceSet(ProxyContext context, InstancePicker picker, ServiceMeters meters, boolean ofCaches) {
        this.context = context;
        this.picker = picker;
        this.meters = meters;
        this.sharedCaches = ofCaches;
    }

    InstancePicker picker() {
        return picker;
    }

    ConnectionPool pool(InstanceStats stats) {
        return pools.get(stats.instance().id());
    }

    /** Requests may be sent to these from now on, and to no others. */
    void update(List<Instance> instances, ConnectionShares parts) {
        List<InstanceStats> ready = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        int index = 0;
        for (Instance instance : instances) {
            ConnectionPool pool = pools.computeIfAbsent(
                    instance.id(), id -> new ConnectionPool(context, instance, ages, meters, sharedCaches));
            int part = parts.share(index++);
            pool.setMaxConnections(part);
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
        retryWaiting();
    }

    void awaitCapacity(UpstreamCall delivery) {
        waiting.add(delivery);
    }

    void stopAwaiting(UpstreamCall delivery) {
        waiting.remove(delivery);
    }

    void retryWaiting() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            waiting.pollFirst().capacityAvailable();
        }
    }

    /** Connections to all places that are open now. */
    int openConnections() {
        int open = 0;
        for (ConnectionPool pool : pools.values()) {
            open += pool.openConnections();
        }
        return open;
    }

    /** Closes connections that have been idle for too long and lets those that wait try again. */
    void tick(double nowMs) {
        for (ConnectionPool pool : pools.values()) {
            pool.closeExpired(nowMs);
        }
        retryWaiting();
    }

    /** Closes all connections. */
    void close() {
        pools.values().forEach(ConnectionPool::close);
    }
}
