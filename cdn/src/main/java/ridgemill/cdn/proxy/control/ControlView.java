package ridgemill.cdn.proxy.control;

import java.util.List;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.Fleet;

/** The state that a process has received from the control plane. Used on the process's event loop only. */
public interface ControlView {

    /** The newest known configuration. */
    RoutingTable routing();

    /** The instances of a service that may receive new requests: ready and not unresponsive. Never null. */
    List<Instance> readyInstances(String service);

    /** The processes that share the limits of services, as seen by this process. */
    Fleet fleet();

    /** Whether enough is known to serve requests: a configuration from a read quorum and a list of instances. */
    boolean isReady();

    /**
     * Whether no purge can have been missed since a copy was fetched.
     *
     * @param fetchStartedMs when the fetch of the copy was started, on the proxy's clock
     */
    boolean isCoveredSince(double fetchStartedMs);

    /**
     * Whether this process is connected to a quorum of the stores at this moment, so that every acknowledged purge is
     * known here. False in a process that is partitioned, or that has just resumed after a pause.
     */
    boolean receivesPurges();

    /** Which stores cover which purges at this moment, for logs. */
    String describePurgeCoverage();

    /** Adds a listener for changes. */
    void addListener(ControlListener listener);
}
