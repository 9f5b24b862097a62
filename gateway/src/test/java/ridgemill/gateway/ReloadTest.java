package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.policy.Router.ListUpdateKind;

/** SIGHUP: discovery moves, and what can't be read changes nothing. */
class ReloadTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    private Path folder;
    private final Site site;
    private final Peer next = new Peer();
    private Peer.Message oldWatch;

    ReloadTest() throws Exception {
        site = new Site();
    }

    @BeforeEach
    void start() throws Exception {
        site.start("automatic", "60000", "");
        oldWatch = site.discovery.next();
        oldWatch.wire().write(HEAD);
        assertEquals(ListUpdateKind.REMEMBERED, Scripted.next(site.router.lists).kind());
    }

    @AfterEach
    void stop() throws Exception {
        next.close();
        site.close();
    }

    private void reload(String file) throws Exception {
        Path config = Files.writeString(folder.resolve("config.json"), file);
        // The variable is as it was at the start, and older than the file.
        site.service.reload(Map.of("BALANCER_CONFIG", config.toString(), "BALANCER_DISCOVERY", site.discovery.dial()));
    }

    private String config(String discovery) {
        return "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery + "\",\"settings\":"
                + Site.SETTINGS.formatted("automatic", "60000") + "}";
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    @Test
    void theWatchMovesAndAsksForTheWholeList() throws Exception {
        reload(config(next.dial()));
        Peer.Message watch = next.next();
        assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
        assertNull(site.discovery.next().text(), "the old watch is left");
        assertTrue(site.router.lists.isEmpty(), "the old list stays meanwhile");
        watch.wire().write(HEAD + chunk(Site.list(3, true, Site.host("c0", site.node.dial(), "up", 0))));
        Scripted.Told told = Scripted.next(site.router.lists);
        assertEquals(ListUpdateKind.FULL, told.kind());
        assertEquals(3, told.version());
    }

    @Test
    void aFileThatCannotBeReadChangesNothing() throws Exception {
        reload("{\"discovery\":");
        reload("{}");
        site.service.reload(Map.of("BALANCER_CONFIG", folder.resolve("none").toString()));
        oldWatch.wire().write(chunk(Site.list(8, false)));
        assertEquals(8, Scripted.next(site.router.lists).version());
    }

    @Test
    void theSameAgainAndAReloadInADrainAreHarmless() throws Exception {
        reload(config(site.discovery.dial()));
        oldWatch.wire().write(chunk(Site.list(8, false)));
        assertEquals(8, Scripted.next(site.router.lists).version());
        site.service.beginDrain();
        reload(config(next.dial()));
        assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", next.next().firstLine());
        site.service.kill();
        reload(config(site.discovery.dial()));
    }

    @Test
    void theSignalRunsTheReload() throws Exception {
        CountDownLatch twice = new CountDownLatch(2);
        SighupHandler.register(twice::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hup = signal.getConstructor(String.class).newInstance("HUP");
        while (twice.getCount() > 0) {
            // Signals of one kind may fall together, so each waits until the one before has come.
            long before = twice.getCount();
            signal.getMethod("raise", signal).invoke(null, hup);
            long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
            while (twice.getCount() == before && System.nanoTime() < patience) {
                Thread.onSpinWait();
            }
        }
    }
}
