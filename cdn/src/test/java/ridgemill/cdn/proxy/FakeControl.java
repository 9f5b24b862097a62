package ridgemill.cdn.proxy;

import java.util.ArrayList;
import java.util.List;
import ridgemill.cdn.config.Limits;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RoutingTable;
import ridgemill.cdn.config.Service;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.membership.Fleet;
import ridgemill.cdn.proxy.control.ControlListener;
import ridgemill.cdn.proxy.control.ControlView;

/** A view of the control plane that a test sets. */
final class FakeControl implements ControlView {

    volatile RoutingTable routing = RoutingTable.EMPTY;
    volatile List<Instance> instances = List.of();
    volatile Fleet fleet = Fleet.ALONE;
    volatile boolean receivesPurges = true;
    volatile double confirmedUntilMs = Double.POSITIVE_INFINITY;
    volatile int connectionCap = 100;
    volatile double coveredSinceMs = Double.NEGATIVE_INFINITY;
    final List<ControlListener> listeners = new ArrayList<>();

    void setRoutes(Limits limits, double ratePerSecond, Route... routes) {
        routing = new RoutingTable(
                List.of(routes), List.of(new Service("s", "/health", connectionCap, false, ratePerSecond, 1)), limits);
    }

    @Override
    public RoutingTable routing() {
        return routing;
    }

    @Override
    public List<Instance> readyInstances(String service) {
        return instances;
    }

    @Override
    public Fleet fleet() {
        return fleet;
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public boolean isCoveredSince(double sinceMs) {
        return receivesPurges && sinceMs >= coveredSinceMs;
    }

    @Override
    public double purgesConfirmedUntilMs() {
        return confirmedUntilMs;
    }

    @Override
    public String describePurgeCoverage() {
        return "";
    }

    @Override
    public void addListener(ControlListener listener) {
        listeners.add(listener);
    }
}
