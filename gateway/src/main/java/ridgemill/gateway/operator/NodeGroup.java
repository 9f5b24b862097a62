package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Nodes that an operator file lists, to which routes lead. For a class that is keyed, all of a group's nodes drop each
 * other's repeats: a request's attempts never leave its group.
 *
 * @param name by which routes name it
 * @param protocol that its nodes speak
 * @param members its cache nodes, at least one unless a registry tells of them
 * @param store where its nodes' misses are fetched; null where a miss is the end
 * @param eureka the application of a registry whose instances are its nodes too, in capitals; null for none
 * @param platform whether the nodes of the platform's own list are its nodes too
 * @param resp how nodes that speak RESP are spoken to; null for those that do not
 */
record NodeGroup(String name, String protocol, List<Member> members, InetSocketAddress store,
                 String eureka, boolean platform, Resp resp) {

    /**
     * How nodes that speak RESP are spoken to.
     *
     * @param plain whether they know no more than GET, SET and DEL
     * @param user by which the gateway shows who it is; null with a password alone
     * @param password null where none is asked for
     * @param fillMs for how long copies stay that the gateway stores after a miss, in milliseconds; 0 for no copies
     * @param guardMs for how long the store remembers keyed writes for the gateway, in milliseconds; 0 for not at all
     * @param cancels whether they understand a cancel of one call
     */
    record Resp(boolean plain, String user, String password, double fillMs, double guardMs, boolean cancels) { }

    /** A node of the group and where it is reached. */
    record Member(String name, InetSocketAddress address) { }

    NodeGroup {
        members = List.copyOf(members);
    }
}
