package ridgemill.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.peers.PeerNet;

/** Stand-ins that run by themselves, and the configuration of each proxy that may be started beside them by hand. */
final class Site implements AutoCloseable {

    private static final double REPEAT_WINDOW_MS = 6000;
    private static final long SEED = 1;

    private final Testbed bed;
    private final PeerNet peers;
    private final List<Path> files = new ArrayList<>();
    private final List<Reservation> reservations = new ArrayList<>();

    private Site(Testbed bed, PeerNet peers) {
        this.bed = bed;
        this.peers = peers;
    }

    static Site start(int nodes, int proxies, Path directory) throws IOException {
        Testbed bed = new Testbed(nodes, NodeProfile.CACHE, NodeProfile.STORE, false, REPEAT_WINDOW_MS, SEED);
        List<InetSocketAddress> sockets = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            sockets.add(Reservation.datagramAddress());
        }
        PeerNet peers = new PeerNet(bed.linkLoop(), sockets, SEED);
        Site site = new Site(bed, peers);
        for (int i = 0; i < proxies; i++) {
            String name = "p" + i;
            var config = ProxyConfig.of(name, i, proxies, site.reserve(), bed.place(name), LoadProfile.USUAL,
                    NodeProfile.CACHE, proxies == 1 ? null : sockets.get(i), peers.addresses(), SEED + i);
            site.files.add(Files.writeString(directory.resolve(name + ".json"), config.toString()));
        }
        return site;
    }

    private InetSocketAddress reserve() {
        Reservation held = new Reservation();
        reservations.add(held);
        return held.address();
    }

    /** The configurations, one for each proxy. */
    List<Path> files() {
        return List.copyOf(files);
    }

    @Override
    public void close() {
        reservations.forEach(Reservation::close);
        peers.close();
        bed.close();
    }
}
