package ridgemill.gateway;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A running site with one client connected, for each test anew. */
abstract class WithSite {

    Site site;
    Peer.Wire client;

    @BeforeEach
    void start() throws Exception {
        site = Site.started();
        client = site.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        site.close();
    }
}
