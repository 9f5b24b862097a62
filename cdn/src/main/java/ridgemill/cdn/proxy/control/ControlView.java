package ridgemill.cdn.proxy.control;

import java.util.List;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.instances.Instance;

/** What an edge proxy has been told by the control plane. Used on the proxy's event loop only. */
public interface ControlView {

    /** The newest known configuration. */
    RoutingTable routing();

    /** The instances of a service that may be sent new requests: ready and not silent. Never null. */
    List<Instance> readyInstances(String service);

    /** How many edge proxies share the limits of a service, this one included; 1 or more. */
    int proxyCount();

    /** Whether enough is known to serve: a configuration from a read quorum and an instance list. */
    boolean isReady();

    /**
     * Whether a cached copy is known to have missed no purge.
     *
     * @param fetchStartedMs when the copy's fetch was started, on the proxy's clock
     */
    boolean isCoveredSince(double fetchStartedMs);

    /** Adds a listener of changes. */
    void addListener(ControlListener listener);
}
