package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Clients that ask once and keep their connection leave room for others: past a part, answers close theirs. */
class KeptClientsTest {

    /** Leaves 32 connections to clients, of which 8 may be kept idle. */
    private static final int SOCKETS = Service.RESERVED_DESCRIPTORS + 64;
    private static final int KEPT = 8;

    @Test
    void pastAPartEachAnswerIsItsConnectionsLast() throws Exception {
        List<Peer.Wire> clients = new ArrayList<>();
        try (Site site = new Site()) {
            site.sockets = SOCKETS;
            site.router.onRequest = (request, out) -> out.refuse(request.id(), 0);
            site.start("automatic", "60000", "");
            int kept = 0;
            for (int i = 0; i < 2 * KEPT; i++) {
                Peer.Wire client = site.client();
                clients.add(client);
                client.write(site.get(Site.LONG_S));
                boolean last = client.read().toLowerCase(Locale.ROOT).contains("connection: close");
                kept += last ? 0 : 1;
                assertEquals(i >= KEPT, last, "client " + i);
            }
            assertEquals(KEPT, kept);
            // One that leaves makes room for one to be kept. The proxy learns of it when it has read the close.
            clients.get(0).close();
            boolean last = true;
            while (last) {
                Peer.Wire client = site.client();
                clients.add(client);
                client.write(site.get(Site.LONG_S));
                last = client.read().toLowerCase(Locale.ROOT).contains("connection: close");
            }
        } finally {
            for (Peer.Wire client : clients) {
                client.close();
            }
        }
    }
}
