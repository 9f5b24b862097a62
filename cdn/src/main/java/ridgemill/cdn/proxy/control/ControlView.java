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
     * Whether every purge is known here that was acknowledged after a time and before the permitted delay of purges.
     * False in a process that is partitioned, or that has just started or resumed after a pause.
     *
     * @param sinceMs that time, on the proxy's clock
     */
    boolean isCoveredSince(double sinceMs);

    /** Until when every acknowledged purge is known here, on the proxy's clock; negative infinity if unknown. */
    double purgesConfirmedUntilMs();

    /** Which stores cover which purges at this moment, for logs. */
    String describePurgeCoverage();

    /** Adds a listener for changes. */
    void addListener(ControlListener listener);
}
