package ridgemill.gateway.lease;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import ridgemill.gateway.Service;
import ridgemill.lease.LeaseManager.Permit;
import ridgemill.lease.LeaseManager;
import ridgemill.policy.Router.Outcome;
import ridgemill.probing.ElectedProber;
import ridgemill.probing.ProbeCodec;

/**
 * Has one proxy of the fleet ask the nodes that could not be reached whether they are back. What it decides is {@link ElectedProber}'s,
 * and what a proxy makes of the answers is its decisions'; this has the datagrams and the probes. All calls are on the loop.
 */
public final class SharedProber implements LeaseService.LeasedTask, ElectedProber.Out {

    /** The lease's name. */
    public static final String LEASE = "probes";
    /** What telling may take, from the look at the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;

    /** A node of a group. */
    private record GroupNode(Service.Group group, String node) { }

    private final LeaseService leases;
    private final Supplier<Map<String, Service.Group>> groups;
    private final ElectedProber prober;

    /** {@code groups} tells those that there are now, by name. */
    public SharedProber(LeaseService leases, Supplier<Map<String, Service.Group>> groups) {
        this.leases = leases;
        this.groups = groups;
        this.prober = new ElectedProber(leases.now(), this);
        leases.register(LEASE, this);
    }

    /** Has no more part in it. */
    public void close() {
        leases.unregister(LEASE, this);
    }

    @Override
    public boolean wantsLease(double now) {
        return true;
    }

    @Override
    public double tick(double now, boolean holds) {
        Set<Integer> spared = new LinkedHashSet<>();
        groups.get().forEach((name, group) -> group.gone().forEach(node -> spared.add(nodeId(name, node))));
        return prober.tick(now, holds, leases.otherVoters(LEASE), spared);
    }

    /** What stands for a node among proxies. */
    private static int nodeId(String group, String node) {
        return LeaseManager.hash(group + "/" + node);
    }

    /** The node that a number stands for here; empty for one that no group lists, as another proxy's file may. */
    private Optional<GroupNode> findNode(int number) {
        return groups.get().entrySet().stream().flatMap(g -> g.getValue().listed().stream().filter(node -> nodeId(g.getKey(), node) == number)
                .map(node -> new GroupNode(g.getValue(), node))).findFirst();
    }

    @Override
    public void datagramReceived(double now, int member, byte[] datagram) {
        ProbeCodec.decode(datagram).ifPresent(said -> {
            if (said instanceof ProbeCodec.ProbeRequest asks) {
                prober.requestReceived(now, member, asks);
            } else if (said instanceof ProbeCodec.ProbeResult tells) {
                prober.resultReceived(now, member, tells);
            }
        });
    }

    @Override
    public void sendRequest(int to, ProbeCodec.ProbeRequest asks) {
        leases.sendToMember(to, ProbeCodec.encode(asks));
    }

    @Override
    public void sendResult(int to, ProbeCodec.ProbeResult tells) {
        leases.sendToMember(to, ProbeCodec.encode(tells));
    }

    @Override
    public void startProbe(int node) {
        // Where another file names it nobody is told that it did not answer.
        findNode(node).ifPresentOrElse(place -> place.group().probe(place.node(), outcome -> {
            Optional<Permit> permit = leases.permit(LEASE, SEND_PERMIT_MS);
            prober.probeEnded(leases.now(), node, outcome == Outcome.OK, permit.map(Permit::term).orElse(0L));
            permit.ifPresent(leases::permitDone);
        }), () -> prober.probeEnded(leases.now(), node, false, 0));
    }

    @Override
    public void nodeProbed(int node, boolean answered, double tookMs) {
        findNode(node).ifPresent(p -> p.group().probed(p.node(), answered ? Outcome.OK : Outcome.CONNECT_FAILED, tookMs));
    }

    /** How it goes, in words. */
    public Collection<String> explain() {
        return List.of(prober.explain(leases.holds(LEASE)));
    }
}
