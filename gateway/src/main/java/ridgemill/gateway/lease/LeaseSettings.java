package ridgemill.gateway.lease;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ridgemill.gateway.net.Addresses;
import ridgemill.lease.LeaseManager;
import ridgemill.lease.LeasePolicy;
import ridgemill.lease.VoterSets;

/**
 * What an operator file says of leases.
 *
 * @param version of the electorates; grows with each change of {@code members}, {@code before} or {@code voters}
 * @param members whose votes count, by the addresses of their peers' sockets; empty for all of the platform's peers
 * @param before those of the version before; empty where there was none, or nobody goes by it any more
 * @param voters how many vote on a task at most
 * @param calls tasks by name
 * @param probes whether one proxy asks spared nodes for all
 */
public record LeaseSettings(LeasePolicy policy, int version, List<InetSocketAddress> members, List<InetSocketAddress> before, int voters,
                            Map<String, Call> calls, boolean probes) {

    /**
     * A task that calls others over HTTP.
     *
     * @param to in this order
     * @param everyMs from one run to the next; 0 where operators start each
     * @param withinMs how long one call may take
     */
    public record Call(String name, List<InetSocketAddress> to, String path, double everyMs, double withinMs) {

        public Call {
            to = List.copyOf(to);
        }
    }

    public LeaseSettings {
        members = List.copyOf(members);
        before = List.copyOf(before);
        calls = Map.copyOf(calls);
    }

    /** A proxy's number, the same in every version of a file: its address stands for it. */
    public static int number(InetSocketAddress peer) {
        return LeaseManager.hash(Addresses.text(peer)) & Integer.MAX_VALUE;
    }

    /** The electorates, where the platform names these peers. */
    VoterSets electorates(List<InetSocketAddress> peers) {
        return new VoterSets(version, numbers(members.isEmpty() ? peers : members), numbers(before), voters);
    }

    private static List<Integer> numbers(List<InetSocketAddress> peers) {
        List<Integer> numbers = new ArrayList<>();
        peers.forEach(p -> numbers.add(number(p)));
        return numbers;
    }
}
