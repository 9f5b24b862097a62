package ridgemill.cdn.proxy;

import java.util.List;
import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.OriginShare;
import ridgemill.cdn.edge.RetryBudget;
import ridgemill.cdn.edge.ServiceAdmission;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.membership.CacheNode;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;

/**
 * The shared caches that this edge proxy reads objects from. Each object has one place among those of the proxy's region, by
 * rendezvous hash, so that it is fetched once for all proxies there; those of other regions are asked where none is left.
 */
final class SharedCaches {

    /** Requests that one shared cache is sent at once; each may wait for a fetch. */
    private static final int SLOTS = 48;

    private static final String NAME = "shared-cache";

    private final ProxyContext context;
    private final InstanceSet instances;
    private final ServiceMeters meters;
    private final OriginShare unlimitedShare;

    SharedCaches(ProxyContext context) {
        this.context = context;
        this.meters = context.meters().service(NAME);
        this.instances = new InstanceSet(context, InstancePicker.singleCandidate(), meters, true);
        this.unlimitedShare = new OriginShare(
                context.settings().bounds().originCeilingOverage(),
                context.settings().bounds().originWindowMs());
        refresh();
    }

    /** Whether there is one to read from. A shared cache itself reads from none. */
    boolean isAvailable() {
        return !instances.picker().instances().isEmpty();
    }

    /** Takes in which shared caches there are. */
    void refresh() {
        List<CacheNode> nodes =
                context.isSharedCache() ? List.of() : context.control().fleet().caches();
        instances.update(nodes.stream().map(SharedCaches::instance).toList(), index -> SLOTS);
    }

    private static Instance instance(CacheNode node) {
        return new Instance(node.id(), NAME, node.address(), node.zone(), "", SLOTS, InstanceState.READY, 0, 0);
    }

    /** The way to a service's objects over the shared caches; attempts draw on the service's budget and teach its admission. */
    Upstream upstreamFor(ServiceState service) {
        return new CacheUpstream(service);
    }

    void tick(double nowMs) {
        instances.tick(nowMs);
    }

    void close() {
        instances.close();
    }

    private final class CacheUpstream implements Upstream {

        private final ServiceState service;

        private CacheUpstream(ServiceState service) {
            this.service = service;
        }

        @Override
        public InstancePicker picker() {
            return instances.picker();
        }

        @Override
        public ConnectionPool pool(InstanceStats stats) {
            return instances.pool(stats);
        }

        @Override
        public OriginShare originShare() {
            return unlimitedShare;
        }

        @Override
        public RetryBudget retryBudget() {
            return service.retryBudget();
        }

        @Override
        public ServiceAdmission admission() {
            return service.admission();
        }

        @Override
        public ServiceMeters meters() {
            return meters;
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
    }
}
