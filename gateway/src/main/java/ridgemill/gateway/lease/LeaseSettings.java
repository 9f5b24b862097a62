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
 * The settings of an operator file for leases.
 *
 * @param version version of the voter sets; grows with each change of {@code members}, {@code previousMembers} or
 *     {@code maxVoters}
 * @param members proxies whose votes count, by the addresses of their peer sockets; empty for all peers of the platform
 * @param previousMembers members of the version before; empty if there was none, or if no proxy uses it any more
 * @param maxVoters maximum number of voters of a task
 * @param calls tasks by name
 * @param sharedProbing whether one proxy probes unreachable nodes for all
 */
public record LeaseSettings(LeasePolicy policy, int version, List<InetSocketAddress> members,
                            List<InetSocketAddress> previousMembers, int maxVoters, Map<String, Call> calls,
                            boolean sharedProbing) {

    /**
     * A task that makes HTTP calls.
     *
     * @param targets receivers of the calls, in this order
     * @param intervalMs time from one run to the next; 0 if operators start each run
     * @param timeoutMs time limit of one call
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

    /**
     * Returns the number of a proxy in leases. It is derived from the address, so it is the same in all file versions.
     */
    public static int memberId(InetSocketAddress peer) {
        return LeaseManager.hash(Addresses.text(peer)) & Integer.MAX_VALUE;
    }

    /** Returns the voter sets for a platform with these peers. */
    VoterSets voterSets(List<InetSocketAddress> peers) {
        return new VoterSets(version, memberIds(members.isEmpty() ? peers : members), memberIds(previousMembers),
                maxVoters);
    }

    private static List<Integer> memberIds(List<InetSocketAddress> peers) {
        List<Integer> ids = new ArrayList<>();
        peers.forEach(p -> ids.add(memberId(p)));
        return ids;
    }
}
