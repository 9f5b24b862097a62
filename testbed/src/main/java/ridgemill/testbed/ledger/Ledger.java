package ridgemill.testbed.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What all stand-ins and clients of one testbed saw, from the first to the last moment. */
public final class Ledger {

    /** Discovery wrote to a proxy that a node has this health. */
    public record Told(String proxy, String node, String health, double at) {}

    /** A cold node was sent more than it can do for too long, and fell over; {@code request} was the last it took. */
    public record FellOver(String node, String request, double at) {}

    /** A proxy's process was killed; what it held is its clients' to retry. */
    public record Killed(String proxy, double at) {}

    /** A proxy's process was stopped and went on where it was; it could answer nobody meanwhile. */
    public record Stopped(String proxy, double from, double to) {}

    private final long origin;
    private final Collection<NodeEntry> nodes = new ConcurrentLinkedQueue<>();
    private final Collection<ClientEntry> clients = new ConcurrentLinkedQueue<>();
    private final Collection<Told> told = new ConcurrentLinkedQueue<>();
    private final Collection<FellOver> fallen = new ConcurrentLinkedQueue<>();
    private final Collection<Killed> killed = new ConcurrentLinkedQueue<>();
    private final Collection<Stopped> stopped = new ConcurrentLinkedQueue<>();

    /** A ledger whose clock begins now. */
    public Ledger() {
        this(System.nanoTime());
    }

    private Ledger(long origin) {
        this.origin = origin;
    }

    /** An empty ledger on the same clock, as of another site. */
    public Ledger sibling() {
        return new Ledger(origin);
    }

    /** All that this one and its siblings hold so far, in one. */
    public Ledger with(List<Ledger> siblings) {
        Ledger all = new Ledger(origin);
        List<Ledger> each = new ArrayList<>(siblings);
        each.add(0, this);
        for (Ledger l : each) {
            if (l.origin != origin) {
                throw new IllegalArgumentException("a ledger on another clock");
            }
            all.nodes.addAll(l.nodes);
            all.clients.addAll(l.clients);
            all.told.addAll(l.told);
            all.fallen.addAll(l.fallen);
            all.killed.addAll(l.killed);
            all.stopped.addAll(l.stopped);
        }
        return all;
    }

    /** The testbed's clock: milliseconds since it began. */
    public double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    public NodeEntry add(NodeEntry entry) {
        nodes.add(entry);
        return entry;
    }

    public ClientEntry add(ClientEntry entry) {
        clients.add(entry);
        return entry;
    }

    public void told(String proxy, String node, String health) {
        told.add(new Told(proxy, node, health, now()));
    }

    public void fellOver(String node, String request) {
        fallen.add(new FellOver(node, request, now()));
    }

    public void killed(String proxy) {
        killed.add(new Killed(proxy, now()));
    }

    /** A proxy's process was stopped from then until now. */
    public void stopped(String proxy, double from) {
        stopped.add(new Stopped(proxy, from, now()));
    }

    public List<NodeEntry> nodes() {
        return List.copyOf(nodes);
    }

    public List<ClientEntry> clients() {
        return List.copyOf(clients);
    }

    /** Removes and returns what reached nodes until then and has ended: a view of one that runs for long. */
    public List<NodeEntry> takeNodesUntil(double at) {
        List<NodeEntry> taken =
                nodes.stream().filter(e -> e.endedAt() > 0 && e.endedAt() <= at).toList();
        nodes.removeAll(new HashSet<>(taken));
        return taken;
    }

    /** Removes and returns what clients had answered until then. */
    public List<ClientEntry> takeClientsUntil(double at) {
        List<ClientEntry> taken = clients.stream()
                .filter(c -> c.sentAt() > 0 && c.sentAt() + c.budgetMs() <= at)
                .toList();
        clients.removeAll(new HashSet<>(taken));
        return taken;
    }

    public List<Told> told() {
        return List.copyOf(told);
    }

    public List<FellOver> fallen() {
        return List.copyOf(fallen);
    }

    public List<Killed> killed() {
        return List.copyOf(killed);
    }

    public List<Stopped> stopped() {
        return List.copyOf(stopped);
    }
}
