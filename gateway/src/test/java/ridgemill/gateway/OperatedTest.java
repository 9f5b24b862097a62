package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ridgemill.gateway.control.ControlClient;
import ridgemill.gateway.operator.Operated;
import ridgemill.gateway.operator.OperatorFileException;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router;

/** A proxy under an operator file, asked over its sockets: the control socket, groups, listeners and what is refused. */
class OperatedTest {

    private static final String READ = """
            [classes.read]
            effect = "safe"
            """;

    @TempDir
    private Path directory;
    private final List<Peer> peers = new ArrayList<>();
    private Site site;
    private Operated operated;

    private Path file() {
        return directory.resolve("gateway.toml");
    }

    private Path socket() {
        return directory.resolve("p0.sock");
    }

    private String control() {
        return "[control]\nsocket = \"" + socket() + "\"\n";
    }

    private void start(String text) throws Exception {
        start(text, null);
    }

    /** {@code router} decides about the platform's nodes; the project's own where it is null. */
    private void start(String text, Router router) throws Exception {
        site = site == null ? new Site() : site;
        Files.writeString(file(), text);
        Config config = site.config("automatic", "60000", "");
        operated = Operated.start(config, file().toString(), router == null ? new BalancingRouter(config.settings(), 7) : router);
        site.service = operated.service();
    }

    /** A node that answers each request with its own name, or resets the connection of every so many-th. */
    private Peer node(String name, int resets, Map<String, List<Double>> budgets) throws IOException {
        Peer peer = new Peer();
        peers.add(peer);
        Thread playing = new Thread(() -> {
            try {
                for (int n = 1;; n++) {
                    Peer.Message message = peer.await();
                    if (message.text() == null) {
                        continue;
                    }
                    if (budgets != null) {
                        budgets.computeIfAbsent(message.header("X-Call-Id"), id -> new CopyOnWriteArrayList<>())
                                .add(Double.valueOf(message.header("X-Budget")));
                    }
                    if (resets > 0 && n % resets == 0) {
                        message.wire().close();
                    } else {
                        message.wire().answer(200, name);
                    }
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "node-" + name);
        playing.setDaemon(true);
        playing.start();
        return peer;
    }

    private String ask(String id, String path) throws IOException {
        try (Peer.Wire client = site.client()) {
            return ask(client, id, path);
        }
    }

    private static String ask(Peer.Wire client, String id, String path) throws IOException {
        client.write("GET " + path + " HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: read\r\nX-Caller: acme\r\nX-Budget: 60\r\n\r\n");
        return client.read();
    }

    private JsonObject command(String command) throws IOException {
        return JsonParser.parseString(ControlClient.send(socket(), command)).getAsJsonObject();
    }

    @AfterEach
    void stop() throws Exception {
        if (operated != null) {
            operated.closeControl();
        }
        site.close();
        for (Peer peer : peers) {
            peer.close();
        }
    }

    @Test
    void aReloadTellsItsResultAndABadFileChangesNothing() throws Exception {
        start(READ + control());
        assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(socket())));
        Files.writeString(file(), READ + "second-copy = true\n" + control());
        JsonObject bad = command("reload");
        assertFalse(bad.get("taken").getAsBoolean());
        assertEquals("one-attempt", bad.getAsJsonArray("problems").get(0).getAsJsonObject().get("rule").getAsString());
        assertEquals(3, bad.getAsJsonArray("problems").get(0).getAsJsonObject().get("line").getAsInt());
        Files.writeString(file(), READ + "[classes.night]\neffect = \"safe\"\n" + control());
        JsonObject good = command("reload");
        assertTrue(good.get("taken").getAsBoolean());
        assertTrue(good.get("summary").getAsString().startsWith("2 classes"));
        JsonObject status = command("status");
        assertTrue(status.get("holds").getAsString().startsWith("2 classes"));
        assertEquals(2, status.get("reloads").getAsInt());
        assertTrue(command("frob").get("reason").getAsString().contains("no such command"));
    }

    @Test
    void theControlSocketIsTakenOverFromTheDeadAloneAndGoesWithTheProxy() throws Exception {
        Files.writeString(socket(), "a file of somebody's");
        assertTrue(assertThrows(IOException.class, () -> start(READ + control())).getMessage().contains("is no socket"));
        assertEquals("a file of somebody's", Files.readString(socket()));
        Files.delete(socket());
        try (ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            other.bind(UnixDomainSocketAddress.of(socket()));
            assertTrue(assertThrows(IOException.class, () -> start(READ + control())).getMessage()
                    .contains("another proxy does"));
        }
        assertTrue(Files.exists(socket()), "left behind");
        start(READ + control());
        assertNotNull(command("status"));
        operated.closeControl();
        assertFalse(Files.exists(socket()));
        assertThrows(IOException.class, () -> ControlClient.send(socket(), "status"));
    }

    @Test
    void routesLeadToGroupsAndAReloadMovesThem() throws Exception {
        Peer north = node("north", 0, null);
        Peer south = node("south", 0, null);
        String text = READ + control() + """
                [groups.hall]
                nodes = { n = "%s" }
                [[route]]
                name = "hall"
                path = "/api/hall/**"
                group = "hall"
                """;
        start(text.formatted(north.dial()));
        assertTrue(ask("a1", "/api/hall/k").endsWith("north"));
        Files.writeString(file(), text.formatted(south.dial()));
        assertTrue(command("reload").get("taken").getAsBoolean());
        assertTrue(ask("a2", "/api/hall/k").endsWith("south"), "the node has moved");
        Files.writeString(file(), READ + control());
        assertTrue(command("reload").get("taken").getAsBoolean());
        // Without the route it is the platform's node that is asked.
        try (Peer.Wire client = site.client()) {
            client.write("GET /api/hall/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: a3\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n");
            Peer.Message asked = site.node.next();
            asked.wire().answer(200, "platform");
            assertTrue(client.read().endsWith("platform"));
        }
        assertEquals(3, command("status").get("served").getAsInt(), "what a dropped group counted is kept");
    }

    @Test
    void aRequestThatIsOutWhenItsGroupGoesHasItsAnswer() throws Exception {
        Peer slow = new Peer();
        peers.add(slow);
        start(READ + control() + """
                [groups.hall]
                nodes = { n = "%s" }
                [[route]]
                name = "hall"
                path = "/api/hall/**"
                group = "hall"
                """.formatted(slow.dial()));
        try (Peer.Wire client = site.client()) {
            client.write("GET /api/hall/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: a1\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n");
            Peer.Message asked = slow.next();
            Files.writeString(file(), READ + control());
            assertTrue(command("reload").get("taken").getAsBoolean());
            asked.wire().answer(200, "late");
            assertTrue(client.read().endsWith("late"));
        }
    }

    @Test
    void listenersComeAndGoWithTheFile() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        String listener = "[[listener]]\nname = \"tills\"\naddress = \"127.0.0.1:%d\"\n";
        start(READ + control());
        Files.writeString(file(), READ + control() + listener.formatted(site.service.listenAddress().getPort()));
        JsonObject taken = command("reload");
        assertFalse(taken.get("taken").getAsBoolean(), "the address is the platform's");
        assertTrue(taken.toString().contains("address-taken"), taken.toString());
        Files.writeString(file(), READ + control() + listener.formatted(port));
        assertTrue(command("reload").get("taken").getAsBoolean());
        try (Peer.Wire client = Peer.connect(address)) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertNotNull(client.read());
            Files.writeString(file(), READ + control());
            assertTrue(command("reload").get("taken").getAsBoolean());
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertNotNull(client.read(), "a connection that is there stays");
        }
        while (true) {
            try (Peer.Wire late = Peer.connect(address)) {
                late.socket().setSoLinger(true, 0);
            } catch (ConnectException e) {
                break;
            }
        }
    }

    @Test
    void aClientsConnectionsAreHeldToTheirNumber() throws Exception {
        Scripted router = new Scripted();
        router.onRequest = (request, out) -> out.send(request.id(), "c0", 0);
        start(READ + "[limits]\nconnections-per-client = 2\n", router);
        List<Peer.Wire> busy = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Peer.Wire client = site.client();
            busy.add(client);
            client.write(site.get(Site.LONG_S));
        }
        Peer.Message first = site.node.next();
        Peer.Message second = site.node.next();
        try (Peer.Wire third = site.client()) {
            third.write(site.get(Site.LONG_S));
            String refused = third.read();
            assertEquals(429, Site.status(refused), refused);
            assertTrue(refused.toLowerCase().contains("retry-after: 0.250"), refused);
            assertEquals(-1, Site.status(third.read()), "it closes");
        }
        first.wire().answer(200, "v", "X-Hit: hit");
        second.wire().answer(200, "v", "X-Hit: hit");
        for (Peer.Wire client : busy) {
            assertEquals(200, Site.status(client.read()));
        }
        // Both are idle now: the older one goes for the next.
        try (Peer.Wire fourth = site.client()) {
            fourth.write(site.get(Site.LONG_S));
            site.node.next().wire().answer(200, "v", "X-Hit: hit");
            assertEquals(200, Site.status(fourth.read()));
        }
        for (Peer.Wire client : busy) {
            client.close();
        }
    }

    /**
     * Two files that flip attempts and time-outs of two classes, in opposite directions. Nodes are told how long an
     * attempt may take and reset some, so the first attempt's time tells under which file a request came, and a second attempt under
     * the file that allows one is a mixture.
     */
    @Test
    void noRequestRunsUnderAMixedConfigurationAtMoreThanTenReloadsASecond() throws Exception {
        Map<String, List<Double>> budgets = new ConcurrentHashMap<>();
        String nodes = "";
        for (int i = 0; i < 4; i++) {
            nodes += (i > 0 ? ", " : "") + "n" + i + " = \"" + node("n" + i, 4, budgets).dial() + "\"";
        }
        String classes = """
                [classes.one]
                effect = "safe"
                total = "1400ms"
                attempt-timeout = "%s"
                attempts = %d
                [classes.two]
                effect = "safe"
                total = "1400ms"
                attempt-timeout = "%s"
                attempts = %d
                """;
        String more = control() + "[groups.hall]\nnodes = { " + nodes + " }\n" + """
                [[route]]
                name = "one"
                path = "/api/one/**"
                group = "hall"
                class = "one"
                [[route]]
                name = "two"
                path = "/api/two/**"
                group = "hall"
                class = "two"
                """;
        String even = classes.formatted("200ms", 1, "600ms", 1) + more;
        String odd = classes.formatted("600ms", 2, "200ms", 2) + more;
        start(even);
        AtomicInteger asked = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        List<String> faults = new CopyOnWriteArrayList<>();
        for (int c = 0; c < 3; c++) {
            Thread client = new Thread(() -> {
                while (asked.get() < 1500) {
                    int n = asked.incrementAndGet();
                    String path = n % 2 == 0 ? "one" : "two";
                    try {
                        int status = Site.status(ask(path + n, "/api/" + path + "/k" + n % 50));
                        if (status != 200 && status != 502 && status != 503) {
                            faults.add(path + n + " " + status);
                        }
                    } catch (IOException e) {
                        faults.add(path + n + " " + e);
                    }
                }
            }, "client-" + c);
            clients.add(client);
            client.start();
        }
        int reloads = 0;
        long begun = System.nanoTime();
        for (; asked.get() < 1500; reloads++) {
            int due = asked.get() + 20;
            Files.writeString(file(), reloads % 2 == 0 ? odd : even);
            assertTrue(command("reload").get("taken").getAsBoolean());
            while (asked.get() < Math.min(due, 1500)) {
                Thread.onSpinWait();
            }
        }
        System.out.printf("%.0f reloads a second%n", reloads / ((System.nanoTime() - begun) / 1e9));
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(List.of(), faults);
        assertTrue(reloads >= 20, reloads + " reloads");
        int[] retried = {0, 0};
        budgets.forEach((id, told) -> {
            boolean one = id.startsWith("one");
            boolean longer = told.get(0) > 0.2;
            if (told.size() > 1) {
                retried[one ? 0 : 1]++;
                assertEquals(one, longer, id + " had " + told.size() + " attempts, the first with " + told.get(0) + " s");
            }
            assertTrue(told.size() <= 2, id + " " + told);
        });
        assertTrue(retried[0] > 10 && retried[1] > 10, retried[0] + " and " + retried[1] + " second attempts were seen");
    }

    @Test
    void aFileWithAnyProblemStartsNothing() throws Exception {
        assertThrows(OperatorFileException.class, () -> start(READ + "nonsense = 3\n"));
    }
}
