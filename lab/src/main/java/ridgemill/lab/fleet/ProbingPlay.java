package ridgemill.lab.fleet;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.testbed.ledger.ClientEntry;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.link.Link;
import ridgemill.testbed.load.LoadProfile;

/** A fleet of processes of which one asks nodes that can't be reached whether they are back. Calls come from one thread. */
public final class ProbingPlay implements AutoCloseable {

    private static final int NODES = 4;
    private static final int LOOK_MS = 50;
    private static final double SETTLED_MS = 30_000;
    /** Longer than any proxy spares a node by itself. */
    private static final double BACK_MS = 12_000;

    /**
     * What came of a node's being away.
     *
     * @param backMs for each proxy, from when the node could be reached again to its first request there
     * @param missing how many proxies asked it no more
     */
    public record Outage(List<Double> backMs, int missing) { }

    private final FleetRig rig;

    private ProbingPlay(FleetRig rig) {
        this.rig = rig;
    }

    /** Starts so many processes for clients of a load; {@code one} says whether one asks for all. */
    public static ProbingPlay start(int proxies, long seed, boolean one, Times times, LoadProfile profile) throws Exception {
        String file = """
                [control]
                socket = "{dir}/{name}.sock"
                """ + times.section() + "probes = " + one + "\n";
        return new ProbingPlay(FleetRig.start(FleetRig.Plan.operated(proxies, seed, file).linked(NODES), profile));
    }

    /** The fleet itself. */
    public FleetRig rig() {
        return rig;
    }

    /** Who asks for all, by what it says; -1 for nobody. */
    public int holder() {
        return IntStream.range(0, rig.size()).filter(i -> rig.proxy(i).isAlive() && !rig.isStopped(i)
                && rig.lines(i, "leases").stream().anyMatch(l -> l.startsWith("probes: this proxy asks for all"))).findFirst().orElse(-1);
    }

    /** Waits until somebody does; false if nobody does for long. */
    public boolean awaitHolder() throws InterruptedException {
        double end = rig.bed().ledger().now() + SETTLED_MS;
        while (holder() < 0 && rig.bed().ledger().now() < end) {
            // Processes tell of themselves only when they are asked.
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return holder() >= 0;
    }

    /** The first node can't be reached by some proxies for so long; returns when all have asked it again, or none has for long. */
    public Outage outage(List<Integer> proxies, double ms) throws InterruptedException {
        String node = rig.bed().fleet().caches().get(0).name();
        proxies.forEach(p -> link(p, node).refuse(true));
        TimeUnit.MILLISECONDS.sleep((long) ms);
        proxies.forEach(p -> link(p, node).refuse(false));
        double from = rig.bed().ledger().now();
        Map<String, Double> first = new HashMap<>();
        while (first.size() < proxies.size() && rig.bed().ledger().now() < from + BACK_MS) {
            Map<String, String> of = new HashMap<>();
            for (ClientEntry c : rig.bed().ledger().clients()) {
                of.put(c.id(), c.proxy());
            }
            for (NodeEntry e : rig.bed().ledger().nodes()) {
                String proxy = of.get(e.id());
                if (e.node().equals(node) && e.begunAt() > from && proxy != null && proxies.stream().anyMatch(p -> FleetRig.name(p).equals(proxy))) {
                    first.merge(proxy, e.begunAt() - from, Math::min);
                }
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return new Outage(first.values().stream().sorted().toList(), proxies.size() - first.size());
    }

    private Link link(int proxy, String node) {
        return rig.bed().places().get(FleetRig.name(proxy)).links().get(node);
    }

    @Override
    public void close() throws IOException {
        rig.close();
    }
}
