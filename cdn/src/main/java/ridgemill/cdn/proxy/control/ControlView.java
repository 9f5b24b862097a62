package ridgemill.cdn.proxy.control;

import java.util.List;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.Fleet;

/** What an edge proxy has been told by the control plane. Used on the proxy's event loop only. */
public interface ControlView {

    /** The newest known configuration. */
    RoutingTable routing();

    /** The instances of a service that may be sent new requests: ready and not silent. Never null. */
    List<Instance> readyInstances(String service);

    /** The processes that share the bounds of services, as seen from this one. */
    Fleet fleet();

    /** Whether enough is known to serve: a configuration from a read quorum and an instance list. */
    boolean isReady();

    /**
     * Whether a cached copy is known to have missed no purge.
     *
     * @param fetchStartedMs when the copy's fetch was started, on the proxy's clock
     */
    boolean isCoveredSince(double fetchStartedMs);

    /**
     * Whether a majority of the stores can be heard at this moment, so that an acknowledged purge is known here. Not so
     * in a process that is cut off, or that has just gone on after it stood still.
     */
    boolean receivesPurges();

    /** Adds a listener of changes. */
    void addListener(ControlListener listener);
}
