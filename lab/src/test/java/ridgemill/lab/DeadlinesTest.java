package ridgemill.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.Operated;
import ridgemill.lab.TwoHalls.Hall;
import ridgemill.lab.TwoHalls.Plan;
import ridgemill.testbed.HttpText;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.ledger.NodeEntry;
import ridgemill.testbed.link.Link.Conditions;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.resp.NaiveResp;

/** What still runs when nobody waits for it, and what a credit came to; judged from the stand-ins' ledgers. */
class DeadlinesTest {

    private static final double SLACK_MS = 250;
    private static final String FILE = DeadlinesMeasured.CLASSES + """
            [groups.hall]
            protocol = "%s"
            nodes = { %s }
            store = "%s"
            %s
            [[route]]
            name = "all"
            path = "/api/**"
            group = "hall"
            [[listener]]
            name = "in"
            protocol = "resp"
            address = "%s"
            [deadlines]
            half-close = "%s"
            [outcomes]
            keep = "30s"
            """;

    @TempDir
    private Path directory;

    private interface Task {
        void run(Testbed bed, InetSocketAddress http, InetSocketAddress resp) throws Exception;
    }

    /** A gateway that speaks both to clients, before nodes of one protocol and a slow store. */
    private Ledger play(Protocol out, NodeProfile store, String halfClose, Task task) throws Exception {
        Testbed bed = new Testbed(3, NodeProfile.CACHE, store, false, 6000, 11, out);
        try (bed; Reservation port = new Reservation()) {
            String members = bed.fleet().caches().stream().map(n -> n.name() + " = \"" + Addresses.text(n.address()) + "\"")
                    .collect(Collectors.joining(", "));
            Path file = directory.resolve("gateway.toml");
            Files.writeString(file, FILE.formatted(out.name().toLowerCase(), members, Addresses.text(bed.fleet().store().address()),
                    out == Protocol.RESP ? "cancels = true" : "", Addresses.text(port.address()), halfClose));
            Operated operated = Operating.start(bed, file, LoadProfile.USUAL);
            try {
                task.run(bed, operated.listening(), port.address());
            } finally {
                operated.service().kill();
            }
            double slack = SLACK_MS + bed.latenessMs();
            assertEquals(List.of(), new Auditor(bed.ledger(), Auditor.Limits.STRICT.withSlack(slack)).audit());
            return bed.ledger();
        }
    }

    private static void await(BooleanSupplier until) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!until.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "it never came");
            Thread.onSpinWait();
        }
    }

    /** A third of the clients leaves; the store is asked for half as much again as it can do, every key once. */
    @ParameterizedTest
    @CsvSource({"HTTP,HTTP,0", "RESP,HTTP,0", "HTTP,RESP,0", "RESP,RESP,0", "HTTP,HTTP,200", "RESP,RESP,200"})
    void noWorkThatMayBeStoppedOutlivesItsClient(Protocol in, Protocol out, int noticeMs) throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(150, 3).keys(100_000, 0).leaving(0.35).retrying(0, 0);
        double[] lateness = new double[1];
        Ledger ledger = play(out, NodeProfile.STORE.working(20, 20), "leaves", (bed, http, resp) -> {
            bed.fleet().caches().forEach(n -> n.faults().stopsAfter(noticeMs));
            bed.fleet().store().faults().stopsAfter(noticeMs);
            bed.load(profile, Map.of("p0", in == Protocol.HTTP ? http : resp), in).start().get(60, TimeUnit.SECONDS);
            await(() -> bed.fleet().store().inHand() == 0 && bed.fleet().caches().stream().allMatch(n -> n.inHand() == 0));
            lateness[0] = bed.latenessMs();
        });
        OrphanWork orphans = OrphanWork.of(ledger, "db");
        double slack = SLACK_MS + lateness[0];
        System.out.printf("%s in, %s out, notice %d ms: %d reads worked on, worst %.1f ms after their clients, %d begun late%n", in, out,
                noticeMs, orphans.overhangMs().size(), OrphanWork.at(orphans.overhangMs(), 1), orphans.begunLateMs().size());
        assertTrue(orphans.overhangMs().size() > 100, "the store was asked");
        assertTrue(ledger.clients().stream().filter(c -> c.leftAt() > 0).count() > 50, "clients left");
        // A core that works on for a while would take up to 800 ms over the client's time, as a store's queue does.
        assertTrue(OrphanWork.at(orphans.overhangMs(), 1) <= 100 + noticeMs + slack, orphans.overhangMs().toString());
        assertTrue(OrphanWork.at(orphans.begunLateMs(), 1) <= slack, orphans.begunLateMs().toString());
    }

    private static String http(InetSocketAddress at, String text) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(30_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return HttpText.read(socket.getInputStream());
        }
    }

    /** Asks and leaves without an answer when this holds. */
    private static void leave(InetSocketAddress at, String text, BooleanSupplier when) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            await(when);
        }
    }

    private static String credit(String id, String key, boolean again) {
        return "PUT /api/m100001 HTTP/1.1\r\nHost: s\r\nX-Call-Id: " + id + "\r\nX-Call-Class: recharge-credit\r\nX-Budget: 1.4\r\n"
                + (again ? "X-Again: 1\r\n" : "") + "Idempotency-Key: " + key + "\r\nContent-Length: 3\r\n\r\n100";
    }

    private static String outcome(String key) {
        return "GET /outcome/" + key + " HTTP/1.1\r\nHost: s\r\n\r\n";
    }

    private static List<NodeEntry> sent(Ledger ledger, String key) {
        return ledger.nodes().stream().filter(e -> key.equals(e.idempotencyKey())).toList();
    }

    @ParameterizedTest
    @CsvSource({"HTTP", "RESP"})
    void aCreditAskedForOverTheOtherProtocolWhileTheFirstRunsIsToldTheSame(Protocol out) throws Exception {
        Testbed[] of = new Testbed[1];
        List<String> heard = new ArrayList<>();
        Testbed bed = new Testbed(3, NodeProfile.CACHE, NodeProfile.STORE.working(8, 400), false, 6000, 11, out);
        try (bed; Reservation port = new Reservation()) {
            of[0] = bed;
            Path file = directory.resolve("gateway.toml");
            Files.writeString(file, FILE.formatted(out.name().toLowerCase(), bed.fleet().caches().stream().map(n -> n.name() + " = \""
                    + Addresses.text(n.address()) + "\"").collect(Collectors.joining(", ")), Addresses.text(bed.fleet().store().address()),
                    "", Addresses.text(port.address()), "leaves"));
            Operated operated = Operating.start(bed, file, LoadProfile.USUAL);
            try {
                InetSocketAddress http = operated.listening();
                leave(http, credit("a", "k", false), () -> !sent(bed.ledger(), "k").isEmpty());
                try (Socket resp = new Socket(port.address().getAddress(), port.address().getPort())) {
                    resp.setSoTimeout(30_000);
                    resp.getOutputStream().write((NaiveResp.command(List.of("RIDGE.WITH", "class", "recharge-credit", "id", "b",
                            "idempotency-key", "k", "again", "1", "DO", "SET", "m100001", "100")) + NaiveResp.command(List.of(
                            "RIDGE.OUTCOME", "k"))).getBytes(StandardCharsets.US_ASCII));
                    heard.add(NaiveResp.read(resp.getInputStream()).toString());
                    // Carried out beside the write ahead of it, which still ran.
                    assertTrue(NaiveResp.read(resp.getInputStream()).toString().contains("running"));
                    resp.getOutputStream().write(NaiveResp.command(List.of("RIDGE.OUTCOME", "k")).getBytes(StandardCharsets.US_ASCII));
                    assertTrue(NaiveResp.read(resp.getInputStream()).toString().contains("recorded"));
                    resp.getOutputStream().write(NaiveResp.command(List.of("RIDGE.WITH", "class", "recharge-credit", "id", "x",
                            "idempotency-key", "k", "DO", "SET", "m100001", "999")).getBytes(StandardCharsets.US_ASCII));
                    assertTrue(NaiveResp.read(resp.getInputStream()).toString().contains("CONFLICT"));
                }
                heard.add(http(http, credit("c", "k", true)));
                heard.add(http(http, outcome("k")));
            } finally {
                operated.service().kill();
            }
        }
        assertTrue(heard.get(0).contains("OK"), heard.toString());
        assertTrue(heard.get(1).startsWith("HTTP/1.1 200") && heard.get(1).contains("x-outcome-call: a"), heard.toString());
        assertTrue(heard.get(2).contains("\"recorded\"") && heard.get(2).contains("\"a\""), heard.toString());
        assertEquals(1, sent(of[0].ledger(), "k").size(), "it was sent once, and recorded once");
        assertEquals(1, sent(of[0].ledger(), "k").stream().filter(NodeEntry::hasRecorded).count());
    }

    @Test
    void aClientThatOnlyEndsItsSendingHasItsRepliesOverResp() throws Exception {
        play(Protocol.HTTP, NodeProfile.STORE, "stays", (bed, http, resp) -> {
            try (Socket socket = new Socket(resp.getAddress(), resp.getPort())) {
                socket.setSoTimeout(30_000);
                socket.getOutputStream().write((NaiveResp.command(List.of("PING")) + NaiveResp.command(List.of("ECHO", "there")))
                        .getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                assertTrue(NaiveResp.read(socket.getInputStream()).toString().contains("PONG"));
                assertTrue(NaiveResp.read(socket.getInputStream()).toString().contains("there"));
                assertEquals(-1, socket.getInputStream().read(), "there is nothing more to come");
            }
        });
    }

    /** One credit, its client gone, asked for again in the other hall while the first still runs, and in both afterwards. */
    @Test
    void aCreditAskedForInTheOtherHallIsToldWhatItCameTo() throws Exception {
        try (TwoHalls halls = new TwoHalls(Plan.USUAL.gateways(1).remembering(3000).settings("[outcomes]\nkeep = \"30s\"\n"),
                LoadProfile.USUAL, directory)) {
            await(halls::isLinked);
            Hall teku = halls.hall(0);
            Hall baneshwor = halls.hall(1);
            InetSocketAddress here = List.copyOf(teku.clientsAt().values()).get(0);
            InetSocketAddress there = List.copyOf(baneshwor.clientsAt().values()).get(0);
            // Gateways that have just started can't say what ran before them.
            await(() -> {
                try {
                    return http(there, credit("w" + System.nanoTime(), "k-warm", true)).startsWith("HTTP/1.1 200");
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            teku.bed().fleet().store().faults().slower(20);
            leave(here, credit("first", "k", false), () -> !sent(halls.seen(), "k").isEmpty());
            String[] told = new String[1];
            await(() -> {
                try {
                    told[0] = http(there, credit("t" + System.nanoTime(), "k", true));
                    return !told[0].startsWith("HTTP/1.1 503");
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            assertTrue(told[0].startsWith("HTTP/1.1 200"), told[0]);
            assertTrue(http(here, outcome("k")).contains("\"recorded\""));
            assertTrue(http(there, outcome("k")).contains("\"recorded\""), "it asks where it ran");
            assertTrue(http(here, credit("again", "k", true)).startsWith("HTTP/1.1 200"));
            assertEquals(1, sent(halls.seen(), "k").stream().filter(NodeEntry::hasRecorded).count());
        }
    }

    /** Both halls' stores know nobody's reads for longer than the way between takes, whichever of cancel and request is first. */
    @Test
    void workInTheOtherHallStopsWhenItsClientHasLeft() throws Exception {
        double delayMs = 20;
        LoadProfile profile = LoadProfile.USUAL.rate(100, 4).keys(100_000, 0).leaving(0.5).retrying(0, 0);
        try (TwoHalls halls = new TwoHalls(Plan.USUAL.gateways(1), profile, directory)) {
            await(halls::isLinked);
            halls.links().forEach(l -> l.set(Conditions.CLEAR.delay(delayMs)));
            Hall teku = halls.hall(0);
            halls.all().forEach(h -> {
                h.bed().fleet().store().faults().stopsAfter(0);
                h.bed().fleet().store().faults().slower(6);
                h.bed().fleet().caches().forEach(n -> n.faults().stopsAfter(0));
            });
            teku.storeGone(true);
            CompletableFuture<Void> load = teku.bed().load(profile, teku.clientsAt()).start();
            load.get(60, TimeUnit.SECONDS);
            await(() -> halls.all().stream().allMatch(h -> h.bed().fleet().store().inHand() == 0));
            double slack = SLACK_MS + halls.latenessMs();
            OrphanWork orphans = OrphanWork.of(halls.seen(), "db");
            System.out.printf("two halls: %d reads worked on, worst %.1f ms after their clients, %d begun late, machine late by %.1f ms%n",
                    orphans.overhangMs().size(), OrphanWork.at(orphans.overhangMs(), 1), orphans.begunLateMs().size(), halls.latenessMs());
            assertTrue(halls.hall(1).bed().ledger().nodes().size() > 50, "requests crossed");
            assertTrue(OrphanWork.at(orphans.overhangMs(), 1) <= 100 + delayMs + slack, orphans.overhangMs().toString());
            assertTrue(OrphanWork.at(orphans.begunLateMs(), 1) <= delayMs + slack, orphans.begunLateMs().toString());
            assertEquals(List.of(), new Auditor(halls.seen(), Auditor.Limits.STRICT.withSlack(slack)).audit());
        }
    }
}
