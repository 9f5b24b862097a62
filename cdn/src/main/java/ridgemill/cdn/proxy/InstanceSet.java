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
import ridgemill.gateway.back.IdleTimeoutEstimator;

/**
 * The instances of a service, or the shared caches, to which requests may be sent, with the connections to them and
 * the calls that wait for capacity.
 */
final class InstanceSet {

    /** The maximum number of connections to one instance, by its index in the list ordered by identifier. */
    interface ConnectionShares {
        int share(int index);
    }

    private final ProxyContext context;
    private final InstancePicker picker;
    private final ServiceMeters meters;
    private final boolean sharedCaches;
    private final IdleTimeoutEstimator ages = new IdleTimeoutEstimator();
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private final ArrayDeque<UpstreamCall> waiting = new ArrayDeque<>();

    /**
     * Creates an empty set.
     *
     * @param sharedCaches whether the members are shared caches rather than instances of a service
     */
    InstanceSet(ProxyContext context, InstancePicker picker, ServiceMeters meters, boolean sharedCaches) {
        this.context = context;
        this.picker = picker;
        this.meters = meters;
        this.sharedCaches = sharedCaches;
    }

    InstancePicker picker() {
        return picker;
    }

    ConnectionPool pool(InstanceStats stats) {
        return pools.get(stats.instance().id());
    }

    /** Replaces the instances to which requests may be sent. */
    void update(List<Instance> instances, ConnectionShares shares) {
        List<InstanceStats> ready = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        int index = 0;
        for (Instance instance : instances) {
            ConnectionPool pool = pools.computeIfAbsent(
                    instance.id(), id -> new ConnectionPool(context, instance, ages, meters, sharedCaches));
            int share = shares.share(index++);
            pool.setMaxConnections(share);
            ids.add(instance.id());
            if (share > 0) {
                pool.stats().update(instance, context.isLocal(instance), share);
                ready.add(pool.stats());
            }
        }
        picker.instances(ready);
        pools.entrySet().removeIf(entry -> {
            boolean removed = !ids.contains(entry.getKey());
            if (removed) {
                entry.getValue().close();
            }
            return removed;
        });
        retryWaiting();
    }

    void awaitCapacity(UpstreamCall call) {
        waiting.add(call);
    }

    void stopAwaiting(UpstreamCall call) {
        waiting.remove(call);
    }

    void retryWaiting() {
        for (int i = waiting.size(); i > 0 && !waiting.isEmpty(); i--) {
            waiting.pollFirst().capacityAvailable();
        }
    }

    /** The number of open connections to all instances. */
    int openConnections() {
        int open = 0;
        for (ConnectionPool pool : pools.values()) {
            open += pool.openConnections();
        }
        return open;
    }

    /** Closes expired idle connections and lets waiting calls try again. */
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
