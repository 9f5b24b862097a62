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
 * The shared caches from which this edge proxy reads objects. Rendezvous hashing assigns each object to one shared
 * cache of the proxy's region, so that it is fetched once for all proxies there. Shared caches of other regions are
 * used if none is left in the region.
 */
final class SharedCaches {

    /** Maximum number of concurrent requests to one shared cache; each may wait for a fetch. */
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

    /** Whether there is a shared cache to read from. Always false in a shared cache. */
    boolean isAvailable() {
        return !instances.picker().instances().isEmpty();
    }

    /** Applies the current list of shared caches. */
    void refresh() {
        List<CacheNode> nodes =
                context.isSharedCache() ? List.of() : context.control().fleet().caches();
        instances.update(nodes.stream().map(SharedCaches::instance).toList(), index -> SLOTS);
    }

    private static Instance instance(CacheNode node) {
        return new Instance(node.id(), NAME, node.address(), node.zone(), "", SLOTS, InstanceState.READY, 0, 0);
    }

    /**
     * The upstream that reads a service's objects through the shared caches. Attempts use the service's retry budget
     * and report to its admission.
     */
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
    }
}
