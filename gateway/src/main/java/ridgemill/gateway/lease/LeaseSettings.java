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
 * @param previousMembers those of the version before; empty where there was none, or nobody goes by it any more
 * @param maxVoters how many vote on a task at most
 * @param calls tasks by name
 * @param sharedProbing whether one proxy asks spared nodes for all
 */
public record LeaseSettings(LeasePolicy policy, int version, List<InetSocketAddress> members, List<InetSocketAddress> previousMembers, int maxVoters,
                            Map<String, Call> calls, boolean sharedProbing) {

    /**
     * A task that calls others over HTTP.
     *
     * @param targets in this order
     * @param intervalMs from one run to the next; 0 where operators start each
     * @param timeoutMs how long one call may take
     */
    public record Call(String name, List<InetSocketAddress> targets, String path, double intervalMs, double timeoutMs) {

        public Call {
            targets = List.copyOf(targets);
        }
    }

    public LeaseSettings {
        members = List.copyOf(members);
        previousMembers = List.copyOf(previousMembers);
        calls = Map.copyOf(calls);
    }

    /** A proxy's number, the same in every version of a file: its address stands for it. */
    public static int memberId(InetSocketAddress peer) {
        return LeaseManager.hash(Addresses.text(peer)) & Integer.MAX_VALUE;
    }

    /** The electorates, where the platform names these peers. */
    VoterSets voterSets(List<InetSocketAddress> peers) {
        return new VoterSets(version, memberIds(members.isEmpty() ? peers : members), memberIds(previousMembers), maxVoters);
    }

    private static List<Integer> memberIds(List<InetSocketAddress> peers) {
        List<Integer> numbers = new ArrayList<>();
        peers.forEach(p -> numbers.add(memberId(p)));
        return numbers;
    }
}
