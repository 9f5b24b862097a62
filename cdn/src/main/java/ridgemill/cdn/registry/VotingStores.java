package ridgemill.cdn.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.membership.ClusterMembers;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Tracks which configuration stores vote and keeps links to them. Linked stores and other registries report the voters;
 * the newest epoch is used.
 */
final class VotingStores implements LinkListener {

    private static final System.Logger LOG = System.getLogger(VotingStores.class.getName());

    private final int port;
    private final LinkOpener opener;
    private final ClusterMembers members;
    private final ProxyUpdates proxyUpdates;
    private final StoreClient client;
    private final Map<String, ReconnectingLink> links = new HashMap<>();

    /**
     * Creates an object that has no links until {@link #connect} or {@link #updateVoters} is called.
     *
     * @param port the port at which each store accepts links
     * @param client receives the links to the voters once they are known
     */
    VotingStores(int port, LinkOpener opener, ClusterMembers members, ProxyUpdates proxyUpdates, StoreClient client) {
        this.port = port;
        this.opener = opener;
        this.members = members;
        this.proxyUpdates = proxyUpdates;
        this.client = client;
    }

    /** Opens a link to a store unless one exists. */
    void connect(String host) {
        if (!links.containsKey(host)) {
            links.put(host, opener.open(host, port, this));
        }
    }

    /** Updates the voters if they are newer than the known ones. */
    void updateVoters(VoterSet voters) {
        if (!members.updateVoters(voters)) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "event=voters_known epoch=" + voters.epoch() + " voters=" + voters.voters() + " previous="
                        + voters.previous());
        List<String> addresses = voters.addresses();
        addresses.forEach(this::connect);
        Map<String, ReconnectingLink> voterLinks = new HashMap<>(links);
        voterLinks.keySet().retainAll(addresses);
        client.setVoters(voters, voterLinks);
        proxyUpdates.push(List.of());
    }

    @Override
    public void opened(Link link) {
        link.send(new StoreMessages.WatchVoters());
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof StoreMessages.CurrentVoters now) {
            updateVoters(now.voters());
        }
    }

    @Override
    public void closed(Link link) {}
}
