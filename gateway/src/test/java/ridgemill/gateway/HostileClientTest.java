package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that say nothing, never end or hide one request in another get an error or a close, and cost others nothing. */
class HostileClientTest extends WithSite {

    private static final String HEAD = "PUT /api/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: a1\r\nX-Call-Class: pay\r\n"
            + "X-Budget: 60\r\nIdempotency-Key: k\r\n";

    private void assertServed(Peer.Wire usual) throws Exception {
        usual.write(site.get(Site.LONG_S));
        site.node.next().wire().answer(200, "v");
        assertEquals(200, Site.status(usual.read()));
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /api/hidden HTTP/1.1\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\nContent-Length: 2\r\n\r\nab", "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length: -2\r\n\r\nab", "Content-Length: +2\r\n\r\nab", "Content-Length: 2, 2\r\n\r\nab",
        "Content-Length: 99999999999999999999\r\n\r\nab", "Content-Length: 0x2\r\n\r\nab"})
    void aLengthThatTwoReadersCouldReadInTwoWaysIsRefusedAndTheConnectionCloses(String rest) throws Exception {
        client.write(HEAD + rest);
        assertEquals(400, Site.status(client.read()));
        assertNull(client.read());
        assertTrue(site.node.heardNothing());
        assertTrue(site.router.requests.isEmpty());
    }

    @Test
    void aClassThatDoesNotExistIsAnsweredHere() throws Exception {
        client.write(site.get(Site.LONG_S).replace("X-Call-Class: read", "X-Call-Class: write-off"));
        assertEquals(400, Site.status(client.read()));
        assertTrue(site.node.heardNothing());
    }

    @Test
    void aConnectionThatSaysNothingIsClosed() throws Exception {
        assertNull(client.read());
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET /api/k HT", "GET /api/k HTTP/1.1\r\nA: b\r\n", HEAD + "Content-Length: 9\r\n\r\nhalf"})
    void aRequestThatDoesNotEndIsAnsweredInTime(String part) throws Exception {
        client.write(part);
        assertEquals(408, Site.status(client.read()));
        assertNull(client.read());
    }

    @Test
    void aServedClientThatStaysForGoodIsClosed() throws Exception {
        assertServed(client);
        assertNull(client.read());
    }

    @Test
    void aBodyThatIsTooLongIsAnsweredWhileItIsStillComing() throws Exception {
        client.write(HEAD + "Content-Length: 70000000\r\n\r\n" + "v".repeat(500_000));
        assertEquals(413, Site.status(client.read()));
        assertNull(client.read(), "closed by us, and no reset: the client could read why");
    }

    @Test
    void badInputBehindAnOpenRequestDoesNotDisturbIt() throws Exception {
        client.write(site.get(Site.LONG_S) + "\u0001 nonsense\r\n\r\n");
        site.node.next().wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        assertEquals(400, Site.status(client.read()));
        assertNull(client.read());
    }

    @Test
    void aSilentCrowdTakesNoPlaceOfAClientThatWasServed() throws Exception {
        site.close();
        site = new Site();
        site.sockets = Service.RESERVED_DESCRIPTORS + 2 * 8;
        site.start("automatic", "60000", "");
        Deque<Peer.Wire> crowd = new ArrayDeque<>();
        try (Peer.Wire usual = site.client()) {
            assertServed(usual);
            for (int i = 0; i < 20; i++) {
                crowd.add(site.client());
            }
            // A connection that was accepted last says that all before it were, and the first of them had to go.
            try (Peer.Wire last = site.client()) {
                last.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                Site.status(last.read());
            }
            assertNull(crowd.getFirst().read());
            assertServed(usual);
        } finally {
            for (Peer.Wire wire : crowd) {
                wire.close();
            }
        }
    }
}
