package ridgemill.gateway.back;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import ridgemill.gateway.membership.HostList;
import ridgemill.policy.Router.Availability;

/**
 * The nodes of a backend according to the current host list, with the state that the backend keeps for each. A node
 * with a new address or start time is a new target.
 *
 * @param <T> the state that the backend keeps for a node
 */
public final class NodeTargets<T extends NodeTargets.Target> {

    /** A node; the backend's subclass holds its connections. */
    public abstract static class Target {
        private final String name;
        private final SocketAddress address;
        private final double startedAtMs;
        private boolean current = true;
        private boolean draining;

        /** Creates a target for an entry of the host list. */
        protected Target(HostList.Host host) {
            this.name = host.node().id();
            this.address = host.dial();
            this.startedAtMs = host.node().startedAtMs();
        }

        public final String name() {
            return name;
        }

        public final SocketAddress address() {
            return address;
        }

        /** False once the host list has replaced or removed this target: its connections must not be kept for reuse. */
        public final boolean isCurrent() {
            return current;
        }

        /** Whether the host list marks the node as draining, so that it takes no new work. */
        public final boolean isDraining() {
            return draining;
        }

        /** Closes the idle connections to this node. */
        protected abstract void closeIdle();
    }

    private final Map<String, T> byName = new HashMap<>();
    private final Function<HostList.Host, T> factory;

    /** {@code factory} creates the target of a new node. */
    public NodeTargets(Function<HostList.Host, T> factory) {
        this.factory = factory;
    }

    /** The target of the node with this name, or null if it is not in the host list. */
    public T get(String node) {
        return byName.get(node);
    }

    /** The targets of all nodes in the host list. */
    public Collection<T> all() {
        return byName.values();
    }

    /** Applies a host list. Closes idle connections to hosts that are draining, removed, moved or restarted. */
    public void applyHostList(HostList list) {
        if (list.whole()) {
            Set<String> listed = list.hosts().stream().map(h -> h.node().id()).collect(Collectors.toSet());
            List<String> removed = new ArrayList<>(byName.keySet());
            removed.removeAll(listed);
            removed.forEach(this::remove);
        }
        for (HostList.Host host : list.hosts()) {
            String id = host.node().id();
            if (host.node().availability() == Availability.GONE) {
                remove(id);
                continue;
            }
            T known = byName.get(id);
            if (known == null || !known.address().equals(host.dial())
                    || ((Target) known).startedAtMs != host.node().startedAtMs()) {
                remove(id);
                known = factory.apply(host);
                byName.put(id, known);
            }
            Target target = known;
            target.draining = host.node().availability() == Availability.DRAINING;
            if (target.draining) {
                target.closeIdle();
            }
        }
    }

    private void remove(String node) {
        Target target = byName.remove(node);
        if (target != null) {
            target.current = false;
            target.closeIdle();
        }
    }

    /** Closes the idle connections to a node, if it is in the host list. */
    public void closeIdle(String node) {
        Target target = byName.get(node);
        if (target != null) {
            target.closeIdle();
        }
    }
}
