package ridgemill.cdn.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.membership.CoreMembers;
import ridgemill.cdn.wire.HeldLink;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Learns which configuration stores vote, once, and keeps links to them. Another registry may say it, or a store: its
 * snapshots tell a registry that has forgotten it.
 */
final class VotingStores implements LinkListener {

    private static final System.Logger LOG = System.getLogger(VotingStores.class.getName());

    private final int port;
    private final LinkOpener opener;
    private final CoreMembers members;
    private final ProxyNews news;
    private final StoreClient client;
    private final Map<String, HeldLink> links = new LinkedHashMap<>();

    /**
     * Without links until {@link #connect} or {@link #learn}.
     *
     * @param port the port at which each store takes links
     * @param client given the links to the voters once they are known
     */
    VotingStores(int port, LinkOpener opener, CoreMembers members, ProxyNews news, StoreClient client) {
        this.port = port;
        this.opener = opener;
        this.members = members;
        this.news = news;
        this.client = client;
    }

    /** Opens a link to a store unless there is one. */
    void connect(String host) {
        if (!links.containsKey(host)) {
            links.put(host, opener.open(host, port, this));
        }
    }

    /** Takes the voters' addresses if they are not known yet; an empty list says nothing. */
    void learn(List<String> voters) {
        if (!members.learnVoters(voters)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "event=voters_known voters=" + String.join(",", voters));
        List<HeldLink> voterLinks = new ArrayList<>();
        for (String voter : voters) {
            connect(voter);
            voterLinks.add(links.get(voter));
        }
        client.setVoters(voterLinks);
        news.push(List.of());
    }

    @Override
    public void opened(Link link) {
        if (members.voters().isEmpty()) {
            link.send(new StoreMessages.Subscribe("", 0));
        }
    }

    @Override
    public void received(Link link, Message message) {
        if (message instanceof StoreMessages.Snapshot snapshot) {
            learn(snapshot.voters());
        }
    }

    @Override
    public void closed(Link link) {}
}
