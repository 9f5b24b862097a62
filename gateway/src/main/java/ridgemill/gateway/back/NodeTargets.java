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
 * The nodes of a back as the list has them, with what the back keeps of each. One that moved or started anew is another.
 *
 * @param <T> what the back keeps of a node
 */
public final class NodeTargets<T extends NodeTargets.Target> {

    /** A node and its connections, which the back's own class holds. */
    public abstract static class Target {
        private final String name;
        private final SocketAddress address;
        private final double startedAtMs;
        private boolean current = true;
        private boolean draining;

        /** The node that a list's entry names. */
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

        /** False once the list has moved on: connections that come free then must not wait for a use. */
        public final boolean isCurrent() {
            return current;
        }

        /** Whether the list says that it takes no new work. */
        public final boolean isDraining() {
            return draining;
        }

        /** Closes the connections to it that are idle. */
        protected abstract void closeIdle();
    }

    private final Map<String, T> byName = new HashMap<>();
    private final Function<HostList.Host, T> factory;

    /** {@code make} begins to keep a node. */
    public NodeTargets(Function<HostList.Host, T> make) {
        this.factory = make;
    }

    /** The node of this name; null where the list has none. */
    public T get(String node) {
        return byName.get(node);
    }

    /** All nodes that the list has. */
    public Collection<T> all() {
        return byName.values();
    }

    /** Takes in the list. Idle connections to a host that drains, left, moved or started anew are of no use. */
    public void applyHostList(HostList list) {
        if (list.whole()) {
            Set<String> named = list.hosts().stream().map(h -> h.node().id()).collect(Collectors.toSet());
            List<String> gone = new ArrayList<>(byName.keySet());
            gone.removeAll(named);
            gone.forEach(this::remove);
        }
        for (HostList.Host host : list.hosts()) {
            String id = host.node().id();
            if (host.node().availability() == Availability.GONE) {
                remove(id);
                continue;
            }
            T known = byName.get(id);
            if (known == null || !known.address().equals(host.dial()) || ((Target) known).startedAtMs != host.node().startedAtMs()) {
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

    /** Closes the idle connections to a node, if the list has it. */
    public void closeIdle(String node) {
        Target target = byName.get(node);
        if (target != null) {
            target.closeIdle();
        }
    }
}
