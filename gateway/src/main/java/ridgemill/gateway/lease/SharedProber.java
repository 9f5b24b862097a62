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
 * Lets one proxy of the fleet probe the unreachable nodes for all. {@link ElectedProber} decides which nodes are
 * probed and when, and the routing policy of each proxy uses the results; this class transfers the datagrams and runs
 * the probes. All methods must be called on the event loop.
 */
public final class SharedProber implements LeaseService.LeasedTask, ElectedProber.Out {

    /** Name of the lease. */
    public static final String LEASE = "probes";
    /** Duration of the permit to send: from reading the clock to the last datagram. */
    private static final double SEND_PERMIT_MS = 50;

    /** A node and its group. */
    private record GroupNode(Service.Group group, String node) { }

    private final LeaseService leases;
    private final Supplier<Map<String, Service.Group>> groups;
    private final ElectedProber prober;

    /** Registers the task; {@code groups} returns the current node groups by name. */
    public SharedProber(LeaseService leases, Supplier<Map<String, Service.Group>> groups) {
        this.leases = leases;
        this.groups = groups;
        this.prober = new ElectedProber(leases.now(), this);
        leases.register(LEASE, this);
    }

    /** Unregisters the task. */
    public void close() {
        leases.unregister(LEASE, this);
    }

    @Override
    public boolean wantsLease(double now) {
        return true;
    }

    @Override
    public double tick(double now, boolean holds) {
        Set<Integer> unreachable = new LinkedHashSet<>();
        groups.get().forEach((name, group) -> group.unreachableNodes().forEach(node -> unreachable.add(nodeId(name, node))));
        return prober.tick(now, holds, leases.otherVoters(LEASE), unreachable);
    }

    /** Returns the number that identifies a node in datagrams. */
    private static int nodeId(String group, String node) {
        return LeaseManager.hash(group + "/" + node);
    }

    /** Finds the node with this number; empty if no group lists it, as the files of proxies may differ. */
    private Optional<GroupNode> findNode(int number) {
        return groups.get().entrySet().stream().flatMap(g -> g.getValue().listedNodes().stream()
                .filter(node -> nodeId(g.getKey(), node) == number)
                .map(node -> new GroupNode(g.getValue(), node))).findFirst();
    }

    @Override
    public void datagramReceived(double now, int member, byte[] datagram) {
        ProbeCodec.decode(datagram).ifPresent(message -> {
            if (message instanceof ProbeCodec.ProbeRequest request) {
                prober.requestReceived(now, member, request);
            } else if (message instanceof ProbeCodec.ProbeResult result) {
                prober.resultReceived(now, member, result);
            }
        });
    }

    @Override
    public void sendRequest(int to, ProbeCodec.ProbeRequest request) {
        leases.sendToMember(to, ProbeCodec.encode(request));
    }

    @Override
    public void sendResult(int to, ProbeCodec.ProbeResult result) {
        leases.sendToMember(to, ProbeCodec.encode(result));
    }

    @Override
    public void startProbe(int node) {
        // If only the file of another proxy names the node, the failure is not sent to anybody (term 0).
        findNode(node).ifPresentOrElse(place -> place.group().probe(place.node(), outcome -> {
            Optional<Permit> permit = leases.permit(LEASE, SEND_PERMIT_MS);
            prober.probeEnded(leases.now(), node, outcome == Outcome.OK, permit.map(Permit::term).orElse(0L));
            permit.ifPresent(leases::permitDone);
        }), () -> prober.probeEnded(leases.now(), node, false, 0));
    }

    @Override
    public void nodeProbed(int node, boolean answered, double tookMs) {
        findNode(node).ifPresent(p -> p.group().probeEnded(p.node(), answered ? Outcome.OK
                : Outcome.CONNECT_FAILED, tookMs));
    }

    /** Describes the state for operators. */
    public Collection<String> explain() {
        return List.of(prober.explain(leases.holds(LEASE)));
    }
}
