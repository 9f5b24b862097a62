package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.gateway.succession.ServingProcessFile;
import ridgemill.succession.ShutdownPlan;

/** A successor listens beside the process that serves, and no connection notices. */
@Timeout(Peer.PATIENCE_S)
class UpgradeTest {

    private static final int CONNECTIONS = 60;
    private static final ShutdownPlan SUCCEEDED = new ShutdownPlan(true, 0, 400, 1500);

    private Site old;
    private Site next;

    @BeforeEach
    void start() throws Exception {
        old = shared("127.0.0.1:0");
        next = shared("127.0.0.1:" + old.service.listenAddress().getPort());
    }

    private static Site shared(String listen) throws Exception {
        Site site = new Site();
        site.maxOpen = 4 * CONNECTIONS;
        site.sockets = Service.RESERVED_DESCRIPTORS + 8 * CONNECTIONS;
        site.listen = listen;
        site.start("automatic", "60000", "\"console\":\"127.0.0.1:0\",");
        site.service.runOnLoop(site.service::ready);
        return site;
    }

    @AfterEach
    void stop() throws Exception {
        old.close();
        if (next != null) {
            next.close();
        }
    }

    /** Those that wait in the old process's queue as it closes too: its loop stands still until all have come. */
    @Test
    void everyConnectionIsAnsweredByOneOfThem() throws Exception {
        java.util.concurrent.CountDownLatch come = new java.util.concurrent.CountDownLatch(1);
        old.service.loop().execute(() -> {
            try {
                come.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        old.service.shutDown(SUCCEEDED);
        List<Peer.Wire> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            clients.add(Peer.connect(old.service.listenAddress()));
            clients.get(i).write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
        }
        come.countDown();
        int byOld = 0;
        for (Peer.Wire client : clients) {
            String answer = client.read();
            assertEquals(200, Site.status(answer), "whichever of the two has it");
            byOld += "close".equals(new Peer.Message(answer, client).header("Connection")) ? 1 : 0;
            client.close();
        }
        assertTrue(byOld > 0 && byOld < CONNECTIONS, byOld + " of " + CONNECTIONS + " were the old one's");
    }

    @Test
    void aKeptConnectionIsAnsweredOnceMoreAndAnIdleOneStaysForAWhile() throws Exception {
        next.close();
        next = null;
        try (Peer.Wire kept = old.client(); Peer.Wire idle = old.client()) {
            for (Peer.Wire client : List.of(kept, idle)) {
                client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                client.read();
            }
            long began = System.nanoTime();
            old.service.shutDown(SUCCEEDED);
            // The plan holds from the loop's next turn on; the request must not overtake it.
            old.service.runOnLoop(() -> { });
            kept.write(old.get(Site.LONG_S));
            Peer.Message message = old.node.next();
            assertTrue(Double.parseDouble(message.header("X-Budget")) <= SUCCEEDED.responseMs() / 1000, "it ends before its client's time");
            message.wire().answer(200, "v");
            assertEquals("close", new Peer.Message(kept.read(), kept).header("Connection"));
            assertNull(idle.read(), "closed in the end");
            assertTrue((System.nanoTime() - began) / 1e6 >= SUCCEEDED.idleMs(), "not before its time");
            old.service.awaitEnd();
        }
    }

    @Test
    void theMarkTellsOfAnotherProcessThatLives(@TempDir Path directory) throws Exception {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9000);
        ServingProcessFile mark = ServingProcessFile.in(directory, address);
        assertTrue(mark.otherProcess().isEmpty(), "nobody yet");
        mark.recordThisProcess();
        assertTrue(mark.otherProcess().isEmpty(), "oneself");
        Path file = directory.resolve("ridgemill-127.0.0.1-9000.serving");
        assertEquals(ProcessHandle.current().pid() + "\n", Files.readString(file));
        try (var files = Files.list(directory)) {
            assertEquals(1, files.count(), "nothing else is left");
        }
        long parent = ProcessHandle.current().parent().orElseThrow().pid();
        Files.writeString(file, parent + "\n");
        assertEquals(parent, mark.otherProcess().orElseThrow().pid());
        for (String spoilt : List.of("", "x", "-1", "99999999999999999999", Long.MAX_VALUE + "", "1 2", "\0".repeat(5000))) {
            Files.writeString(file, spoilt);
            assertTrue(mark.otherProcess().isEmpty(), spoilt);
        }
        assertFalse(ServingProcessFile.in(directory, new InetSocketAddress("127.0.0.1", 9001)).otherProcess().isPresent(), "another proxy");
        ServingProcessFile nowhere = ServingProcessFile.in(directory.resolve("missing"), address);
        nowhere.recordThisProcess();
        assertTrue(nowhere.otherProcess().isEmpty());
    }
}
