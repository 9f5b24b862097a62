package ridgemill.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.gateway.operator.Operated;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.Reservation;

/** RESP clients and RESP nodes on the wire: what is hard about commands behind one another, pushes, late and lost replies. */
class RespTest {

    private static final String CLASSES = """
            [classes.long]
            effect = "safe"
            total = "60s"
            wanted = "50s"
            attempts = 2
            attempt-timeout = "20s"
            [classes.quick]
            effect = "safe"
            total = "600ms"
            wanted = "500ms"
            attempts = 1
            attempt-timeout = "300ms"
            [classes.keyed]
            effect = "keyed"
            total = "6s"
            wanted = "5s"
            attempts = 1
            attempt-timeout = "3s"
            repeat-window = "6s"
            [classes.once]
            effect = "unsafe"
            total = "60s"
            attempt-timeout = "30s"
            """;
    private static final String ROUTES = """
            [[route]]
            name = "quick"
            path = "/api/**"
            keys = { prefix = "q" }
            class = "quick"
            group = "hall"
            [[route]]
            name = "reads"
            path = "/api/**"
            class = "long"
            group = "hall"
            """;

    private static final String WRITES = """
            [[route]]
            name = "writes"
            path = "/api/**"
            method = "PUT"
            group = "hall"
            """;

    @TempDir
    private Path directory;
    private boolean writes = true;
    private final List<RespNode> nodes = new ArrayList<>();
    private final Reservation port = new Reservation();
    private Site site;
    private Operated operated;

    @BeforeEach
    void makeNode() throws IOException {
        nodes.add(new RespNode());
    }

    @AfterEach
    void stop() throws Exception {
        for (RespNode node : nodes) {
            node.close();
        }
        if (site != null) {
            site.close();
        }
        port.close();
    }

    private RespNode node() {
        return nodes.get(0);
    }

    private void start(String more, String ofGroup) throws Exception {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < nodes.size(); i++) {
            members.append(i > 0 ? ", " : "").append('n').append(i).append(" = \"").append(nodes.get(i).dial()).append('"');
        }
        Path file = directory.resolve("gateway.toml");
        Files.writeString(file, CLASSES + "[groups.hall]\nprotocol = \"resp\"\nnodes = { " + members + " }\n" + ofGroup + ROUTES + (writes ? WRITES : "")
                + "[[listener]]\nname = \"in\"\nprotocol = \"resp\"\naddress = \"127.0.0.1:" + port.address().getPort() + "\"\n"
                + more);
        site = new Site();
        site.maxOpen = 1000;
        site.node.close();
        Config config = site.config("automatic", "60000", "");
        operated = Operated.start(config, file.toString(), new BalancingRouter(config.settings(), 7));
        site.service = operated.service();
    }

    private RespClient client() throws IOException {
        return new RespClient(port.address());
    }

    /** Shows the decisions that the node is fast: they give one that they do not know a few requests at a time. */
    private void warm(RespClient client) throws Exception {
        for (int i = 0; i < 100; i++) {
            client.send("GET warm" + i);
            node().next().value("v");
            assertEquals("$<v>", client.read());
        }
    }

    @Test
    void aReadAndAWriteGoThroughAndCarryWhatTheClientSaid() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("GET m1");
            RespNode.Asked get = node().next();
            assertEquals(List.of("HELLO", "3"), node().greeting());
            assertEquals(List.of("GET", "m1"), get.bare());
            assertTrue(get.option("budget").endsWith("ms"));
            get.reply("|1\r\n+hit\r\n+hit\r\n$3\r\nabc\r\n");
            assertEquals("$<abc>", client.read());
            client.send("RIDGE.WITH class keyed id c-7 idempotency-key k9 again 1 DO SET m1 v2");
            RespNode.Asked set = node().next();
            assertEquals(List.of("SET", "m1", "v2"), set.bare());
            assertEquals("c-7", set.option("id"));
            assertEquals("k9", set.option("idempotency-key"));
            set.reply("+OK\r\n");
            assertEquals("+<OK>", client.read());
            client.send("GET absent");
            node().next().reply("_\r\n");
            assertEquals("_<>", client.read(), "there is no store, so a miss is the answer");
            client.send("EXISTS m1 m2", "DEL m1");
            node().next().value("v");
            node().next().reply("_\r\n");
            RespNode.Asked del = node().next();
            assertEquals(List.of("DEL", "m1"), del.bare());
            del.reply(":1\r\n");
            assertEquals(":<1>", client.read(), "one of the two exists");
            assertEquals(":<1>", client.read(), "one went");
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"SET m1 v|no route names a class", "RIDGE.WITH class nope DO SET m1 v|no class is called nope",
        "RIDGE.WITH class keyed DO SET m1 v|records each key once and none was given", "SET m1 v NX|NX is not kept here",
        "SET m1 v PX 100|PX is not kept here", "SET m1|wrong number of arguments", "GET|wrong number of arguments",
        "MSET a 1 b|wrong number of arguments", "FROB m1|unknown command 'FROB'", "RIDGE.WITH colour red DO GET m1|no such option: colour",
        "RIDGE.WITH deadline soon DO GET m1|deadline is a time", "RIDGE.WITH class long|then DO and a command",
        "SELECT 3|DB index is out of range", "HELLO 4|NOPROTO", "CLIENT SETNAME deadline=x|deadline is a time",
        "CLIENT SETNAME id=1|of one call alone", "CLIENT KILL x|unknown subcommand", "HELLO 3 FROB|Syntax error in HELLO"})
    void whatMakesNoSenseIsAnErrorAndNothingIsAsked(String command, String reason) throws Exception {
        start("", "");
        try (RespClient client = client()) {
            String reply = client.ask(command);
            assertTrue(reply.startsWith("-<") && reply.contains(reason), reply);
            assertEquals("+<PONG>", client.ask("PING"), "the connection goes on");
            assertTrue(node().heardNothing());
        }
    }

    @Test
    void helloWithinAPipelineTakesEffectInItsPlace() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("GET a", "HELLO 3 SETNAME class=long", "GET b", "CLIENT GETNAME", "RESET", "CLIENT GETNAME", "QUIT", "PING");
            Set<String> asked = new HashSet<>();
            for (int i = 0; i < 2; i++) {
                RespNode.Asked get = node().next();
                asked.add(get.bare().get(1));
                get.reply("_\r\n");
            }
            assertEquals(Set.of("a", "b"), asked);
            client.raw("");
            assertEquals("_<>", client.read());
            assertTrue(client.read().startsWith("%[$<server>"), "already in the newer version");
            assertEquals("_<>", client.read());
            assertEquals("$<class=long>", client.read());
            assertEquals("+<RESET>", client.read());
            assertEquals("_<>", client.read());
            assertEquals("+<OK>", client.read());
            assertNull(client.read(), "nothing behind QUIT is carried out");
        }
    }

    @Test
    void repliesKeepTheOrderOfTheirCommandsAndOnesOnTheSameKeyWait() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            warm(client);
            // So many that the last goes on another connection: replies on one have an order already.
            client.send("GET a", "GET b", "GET x", "GET y", "GET e", "RIDGE.WITH class once DO SET a v", "GET c");
            List<RespNode.Asked> gets = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                gets.add(node().next());
            }
            gets.sort(Comparator.comparing(g -> g.bare().get(1)));
            assertEquals(List.of("a", "b", "e", "x", "y"), gets.stream().map(g -> g.bare().get(1)).toList());
            gets.get(2).value("ve");
            // SET a waits for GET a, and what is behind it waits too.
            assertEquals("+<PONG>", pingOnAnother());
            assertTrue(node().heardNothing());
            for (int i : new int[] {0, 1, 3, 4}) {
                gets.get(i).value("v" + gets.get(i).bare().get(1));
            }
            for (String key : List.of("a", "b", "x", "y", "e")) {
                assertEquals("$<v" + key + ">", client.read());
            }
            RespNode.Asked one = node().next();
            RespNode.Asked two = node().next();
            RespNode.Asked set = one.bare().get(0).equals("SET") ? one : two;
            assertEquals(List.of("SET", "a", "v"), set.bare());
            for (RespNode.Asked asked : List.of(one, two)) {
                asked.reply(asked == set ? "+OK\r\n" : "$2\r\nvc\r\n");
            }
            assertEquals("+<OK>", client.read());
            assertEquals("$<vc>", client.read());
        }
    }

    /**
     * Guards against commands that are cut off by the end of the process: a connection on which a reply was always due
     * was never closed, so that a stopping proxy went on taking commands until it was killed.
     */
    @Test
    void commandOfABusyConnectionIsRefusedOnceTheDrainHasEnded() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("GET a");
            RespNode.Asked due = node().next();
            site.service.beginDrain();
            client.send("GET b");
            RespNode.Asked inTime = node().next();
            site.service.endDrain();
            site.service.status();
            client.send("GET c");
            assertTrue(node().heardNothing());
            due.value("va");
            inTime.value("vb");
            assertEquals("$<va>", client.read());
            assertEquals("$<vb>", client.read());
            assertEquals("-<TRYAGAIN refused and nothing ran>", client.read());
            assertNull(client.read(), "the connection ends");
            site.service.awaitEnd();
        }
    }

    private String pingOnAnother() throws IOException {
        try (RespClient other = client()) {
            return other.ask("PING");
        }
    }

    @Test
    void aPushIsNeverTakenForAReply() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("GET a", "GET b");
            RespNode.Asked a = node().next();
            RespNode.Asked b = node().next();
            a.reply(">2\r\n$10\r\ninvalidate\r\n*1\r\n$1\r\na\r\n$2\r\nva\r\n>3\r\n+message\r\n+ch\r\n+x\r\n");
            b.reply("$2\r\nvb\r\n>2\r\n+invalidate\r\n_\r\n");
            assertEquals("$<va>", client.read());
            assertEquals("$<vb>", client.read());
            // A time-out, then a push, then the late reply, then the next one's.
            client.send("GET q1", "GET c");
            RespNode.Asked q1 = node().next();
            RespNode.Asked c = node().next();
            assertTrue(client.read().startsWith("-<TRYAGAIN"), "q1 has waited for its time");
            q1.reply(">1\r\n+message\r\n$4\r\nlate\r\n");
            c.value("vc");
            assertEquals("$<vc>", client.read(), "and not what came late for another");
        }
    }

    @Test
    void aPushWithinAnotherValueEndsTheConnection() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("RIDGE.WITH class once DO SET a v");
            node().next().reply("*2\r\n>1\r\n+x\r\n:1\r\n");
            assertEquals("-<FAILED it may have run or not>", client.read());
            assertNull(node().next().words(), "closed");
        }
    }

    @Test
    void aReplyToNothingEndsTheConnection() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("GET a");
            RespNode.Asked a = node().next();
            a.reply("$1\r\nv\r\n$6\r\nsecond\r\n");
            assertEquals("$<v>", client.read());
            assertNull(node().next().words(), "closed");
            client.send("GET b");
            node().next().value("vb");
            assertEquals("$<vb>", client.read());
        }
    }

    @Test
    void aReplyThatNamesAnotherCallIsNotGivenToThisOne() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("RIDGE.WITH class once id mine DO SET a v");
            node().next().reply("|1\r\n+id\r\n+another\r\n+OK\r\n");
            assertEquals("-<FAILED it may have run or not>", client.read());
        }
    }

    @Test
    void aNodeThatDiesWithinAReplyEndsAllBehindItAsWhatMayHaveRun() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            warm(client);
            String[] sets = new String[11];
            for (int i = 0; i < sets.length; i++) {
                sets[i] = "RIDGE.WITH class once DO SET k" + i + " v";
            }
            client.send(sets);
            List<RespNode.Asked> asked = new ArrayList<>();
            for (int i = 0; i < sets.length; i++) {
                asked.add(node().next());
            }
            asked.get(0).reply("$200\r\nhalf of");
            node().reset();
            for (int i = 0; i < sets.length; i++) {
                assertEquals("-<FAILED it may have run or not>", client.read(), "command " + i);
            }
            // None was sent a second time: only the ends of connections are heard.
            while (!node().heardNothing()) {
                assertNull(node().next().words());
            }
        }
    }

    @Test
    void aNodeThatDrainsWithinABatchGetsNothingNewAndNoCommandIsLost() throws Exception {
        nodes.add(new RespNode());
        start("", "");
        Set<String> draining = new HashSet<>();
        List<String> late = Collections.synchronizedList(new ArrayList<>());
        for (RespNode node : nodes) {
            node.play((asked, n) -> {
                if (asked.words().get(0).equals("PING")) {
                    asked.reply("-DRAINING\r\n");
                    return;
                }
                boolean drains;
                synchronized (draining) {
                    // The first node that has had three commands drains.
                    if (n == 3 && draining.isEmpty()) {
                        draining.add(node.dial());
                        asked.reply(">1\r\n+ridge.drain\r\n");
                    }
                    drains = draining.contains(node.dial());
                }
                if (drains) {
                    late.add(asked.bare().get(1));
                    asked.reply("-DRAINING nothing ran\r\n");
                } else {
                    asked.value("v" + asked.bare().get(1));
                }
            });
        }
        try (RespClient client = client()) {
            String[] batch = new String[60];
            for (int i = 0; i < batch.length; i++) {
                batch[i] = "GET m" + i;
            }
            client.send(batch);
            for (int i = 0; i < batch.length; i++) {
                assertEquals("$<vm" + i + ">", client.read(), "reply " + i);
            }
            assertEquals(1, draining.size());
            int known = late.size();
            client.send(batch);
            for (int i = 0; i < batch.length; i++) {
                assertEquals("$<vm" + i + ">", client.read(), "reply " + i);
            }
            assertEquals(known, late.size(), "nothing new goes to a node that said that it drains: " + late);
        }
    }

    @ParameterizedTest
    @CsvSource({"LOADING Redis is loading", "BUSY a script runs", "MOVED 866 127.0.0.1:1", "READONLY a replica", "OOM used memory",
        "NOAUTH Authentication required.", "DRAINING", "CLUSTERDOWN", "NOREPLICAS", "MISCONF"})
    void anErrorThatComesBeforeTheCommandProvesThatItNeverRan(String error) throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("RIDGE.WITH class once DO SET a v");
            node().next().reply("-" + error + "\r\n");
            String reply = client.read();
            assertTrue(reply.startsWith("-<TRYAGAIN refused and nothing ran"), reply);
        }
    }

    @Test
    void anyOtherErrorProvesNothing() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.send("RIDGE.WITH class keyed idempotency-key k DO SET a v", "RIDGE.WITH class once DO SET b v");
            node().next().reply("-ERR odd\r\n");
            node().next().reply("!5\r\nWRONG\r\n");
            assertEquals("-<FAILED it may have run or not; with the same idempotency key and in time it takes effect once>",
                    client.read());
            assertEquals("-<FAILED it may have run or not>", client.read());
        }
    }

    @Test
    void aClientThatClosesWithAKeyedWriteOutIsOwedNothingAndItIsNotSentAgain() throws Exception {
        start("", "");
        RespClient client = client();
        client.send("RIDGE.WITH class keyed idempotency-key k DO SET a v");
        RespNode.Asked set = node().next();
        client.close();
        // It was alone on its connection, which goes with it.
        assertNull(node().next().words());
        assertEquals(List.of("SET", "a", "v"), set.bare());
        try (RespClient other = client()) {
            assertEquals("+<PONG>", other.ask("PING"));
        }
        Service.Status status = site.service.status();
        assertEquals(0, status.owed());
        assertEquals(1, status.gone());
        assertTrue(node().heardNothing());
    }

    @Test
    void manyKeysOverThreeNodesOfWhichOneIsSilentEndWithTheirTime() throws Exception {
        nodes.add(new RespNode());
        nodes.add(new RespNode());
        start("", "");
        for (RespNode node : nodes.subList(0, 2)) {
            node.play((asked, n) -> asked.value("v" + asked.bare().get(1)));
        }
        try (RespClient client = client()) {
            StringBuilder all = new StringBuilder("MGET");
            for (int i = 0; i < 40; i++) {
                all.append(" q").append(i);
            }
            long begun = System.nanoTime();
            client.send(all.toString(), "PING");
            String reply = client.read();
            assertTrue(reply.startsWith("-<TRYAGAIN refused; it is safe to repeat"), reply);
            assertTrue((System.nanoTime() - begun) / 1e6 >= 290, "not before the silent node's time is up");
            assertEquals("+<PONG>", client.read());
            // Keys of the two others alone are answered.
            List<String> silent = new ArrayList<>();
            while (!nodes.get(2).heardNothing()) {
                RespNode.Asked asked = nodes.get(2).next();
                if (asked.words() != null) {
                    silent.add(asked.bare().get(1));
                }
            }
            assertFalse(silent.isEmpty());
            assertNotEquals(40, silent.size());
        }
    }

    @Test
    void severalKeysAreAskedForAtOnceAndAnsweredInOrder() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            warm(client);
            client.send("MGET a b c", "RIDGE.WITH class keyed idempotency-key k DO MSET x 1 y 2");
            // Over several connections they come to the node in any order.
            List<RespNode.Asked> all = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                all.add(node().next());
            }
            all.sort(Comparator.comparing(n -> String.join(" ", n.bare())));
            assertEquals(List.of("GET a", "GET b", "GET c", "SET x 1", "SET y 2"), all.stream().map(n -> String.join(" ", n.bare())).toList());
            List<RespNode.Asked> gets = all.subList(0, 3);
            List<RespNode.Asked> sets = all.subList(3, 5);
            assertEquals(Set.of("k-0", "k-1"), Set.of(sets.get(0).option("idempotency-key"), sets.get(1).option("idempotency-key")));
            gets.get(0).value("va");
            gets.get(1).reply("_\r\n");
            gets.get(2).value("vc");
            sets.get(0).reply("+OK\r\n");
            sets.get(1).reply("-ERR odd\r\n");
            assertEquals("*[$<va>, _<>, $<vc>]", client.read());
            assertEquals("-<FAILED it may have run or not: 1 of 2 keys are recorded for certain; with the same idempotency key "
                    + "and in time it takes effect once>", client.read());
        }
    }

    @Test
    void aClientThatReadsNothingIsReadNoFurtherAndLetGo() throws Exception {
        start("", "");
        byte[] big = new byte[60_000];
        Arrays.fill(big, (byte) 'v');
        String value = new String(big, StandardCharsets.ISO_8859_1);
        node().play((asked, n) -> asked.value(value));
        try (RespClient deaf = client(); RespClient other = client()) {
            deaf.socket().setSoTimeout(0);
            int sent = 0;
            boolean full = false;
            try {
                // Until it is let go: the gateway takes no more than its bounds, and the rest waits on the client's side.
                while (sent < 100_000) {
                    deaf.send("GET m" + sent++);
                    if (sent % 500 == 0) {
                        assertEquals("$<" + value + ">", other.ask("GET m1"), "others are served meanwhile");
                    }
                }
            } catch (SocketException e) {
                full = true;
            }
            assertTrue(full, "it was never let go, with " + sent + " commands sent");
            assertEquals("$<" + value + ">", other.ask("GET m1"));
            assertEquals(0, site.service.status().owed());
        }
    }

    @Test
    void bytesThatAreNoCommandEndTheConnectionBehindWhatCameBefore() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            client.raw("*1\r\n$4\r\nPING\r\n" + "*1\r\n".repeat(10_000));
            assertEquals("+<PONG>", client.read());
            String error = client.read();
            assertTrue(error.startsWith("-<ERR Protocol error: expected '$'"), error);
            assertNull(client.read());
        }
        try (RespClient client = client()) {
            client.raw("*2\r\n$3\r\nGET\r\n$99999999\r\n");
            assertTrue(client.read().contains("over 65536"));
            assertNull(client.read());
        }
    }

    @Test
    void whoMayAskIsAskedForWhereTheFileSaysSo() throws Exception {
        start("[resp.passwords]\nacme = \"secret\"\n", "user = \"gate\"\npassword = \"door\"\n");
        try (RespClient client = client()) {
            assertTrue(client.ask("GET a").startsWith("-<NOAUTH"));
            assertTrue(client.ask("HELLO 3").startsWith("-<NOAUTH HELLO must be called"));
            assertTrue(client.ask("AUTH acme wrong").startsWith("-<WRONGPASS"));
            assertTrue(client.ask("HELLO 3 AUTH acme secret").startsWith("%["));
            client.send("GET a");
            RespNode.Asked get = node().next();
            assertEquals(List.of("HELLO", "3", "AUTH", "gate", "door"), node().greeting());
            get.value("v");
            assertEquals("$<v>", client.read());
        }
    }

    @Test
    void aNodeThatKnowsTheOlderVersionAloneIsSpokenToInIt() throws Exception {
        node().hello("-ERR unknown command 'HELLO'\r\n");
        writes = false;
        start("", "dialect = \"plain\"\npassword = \"door\"\n");
        try (RespClient client = client()) {
            client.send("GET a");
            RespNode.Asked get = node().next();
            assertEquals(List.of("AUTH", "door"), node().greeting());
            assertEquals(List.of("GET", "a"), get.words(), "and a plain node is told nothing else");
            get.reply("$-1\r\n");
            assertEquals("_<>", client.read());
        }
    }

    @Test
    void keysOfAnyBytesReachTheNodeAsTheyCame() throws Exception {
        start("", "");
        try (RespClient client = client()) {
            String key = "a b\u0000\u00ff%41?x/é\r\n";
            byte[] bytes = key.getBytes(StandardCharsets.ISO_8859_1);
            client.raw("*2\r\n$3\r\nGET\r\n$" + bytes.length + "\r\n" + key + "\r\n");
            RespNode.Asked get = node().next();
            assertEquals(key, get.bare().get(1));
            get.value("v");
            assertEquals("$<v>", client.read());
        }
    }

    /** Nodes n0 and the store of a group that knows no more than GET, SET and DEL. */
    private RespNode startPlain() throws Exception {
        RespNode store = new RespNode();
        writes = false;
        start("""
                [[route]]
                name = "plain-writes"
                path = "/api/**"
                method = "PUT"
                keys = { prefix = "w" }
                class = "keyed"
                group = "hall"
                """, "dialect = \"plain\"\nstore = \"" + store.dial() + "\"\nfill = \"30s\"\nguard = \"6s\"\n");
        return store;
    }

    @Test
    void atPlainNodesAMissLeavesACopyAndAWriteDropsIt() throws Exception {
        try (RespNode store = startPlain(); RespClient client = client()) {
            client.send("GET wa");
            node().next().reply("_\r\n");
            RespNode.Asked fetch = store.next();
            assertEquals(List.of("GET", "wa"), fetch.words());
            fetch.value("v1");
            assertEquals("$<v1>", client.read());
            RespNode.Asked copy = node().next();
            assertEquals(List.of("SET", "wa", "v1", "PX", "30000"), copy.words());
            copy.reply("+OK\r\n");
            client.send("RIDGE.WITH id c1 idempotency-key k1 DO SET wa v2");
            RespNode.Asked guard = store.next();
            assertEquals(List.of("SET", "ridge:once:k1", "c1", "NX", "PX", "6000"), guard.words());
            guard.reply("+OK\r\n");
            RespNode.Asked write = store.next();
            assertEquals(List.of("SET", "wa", "v2"), write.words());
            write.reply("+OK\r\n");
            assertEquals("+<OK>", client.read());
            assertEquals(List.of("DEL", "wa"), node().next().words());
        }
    }

    @Test
    void atPlainNodesAKeyThatTheStoreRemembersIsNotWrittenAgain() throws Exception {
        try (RespNode store = startPlain(); RespClient client = client()) {
            client.send("RIDGE.WITH idempotency-key k1 DO SET wa v");
            store.next().reply("_\r\n");
            String reply = client.read();
            assertTrue(reply.startsWith("-<FAILED it may have run or not"), "nobody knows here what became of the first: " + reply);
            client.send("RIDGE.WITH idempotency-key k2 DO SET wb v");
            store.next().reply("-OOM no memory\r\n");
            assertTrue(client.read().startsWith("-<TRYAGAIN refused and nothing ran"));
            assertTrue(store.heardNothing(), "no write went out without its key");
        }
    }

    @Test
    void atPlainNodesAReadThatAWriteOvertookLeavesNoCopy() throws Exception {
        try (RespNode store = startPlain(); RespClient reader = client(); RespClient writer = client()) {
            reader.send("GET wa");
            node().next().reply("_\r\n");
            RespNode.Asked fetch = store.next();
            writer.send("RIDGE.WITH idempotency-key k1 DO SET wa v2");
            RespNode.Asked guard = store.next();
            // The store answers each connection in order, so the write's may be the other one.
            if (guard.socket().equals(fetch.socket())) {
                fetch.value("v1");
                guard.reply("+OK\r\n");
            } else {
                guard.reply("+OK\r\n");
                fetch.value("v1");
            }
            assertEquals("$<v1>", reader.read());
            store.next().reply("+OK\r\n");
            assertEquals("+<OK>", writer.read());
            assertEquals(List.of("DEL", "wa"), node().next().words(), "and no SET of the older value before it");
        }
    }

    /** From a seed: whatever bytes come, others are served, and nothing is left behind. */
    @Test
    void garbageHarmsNobodyElse() throws Exception {
        start("", "");
        long seed = System.nanoTime();
        System.out.println("RespTest seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        node().play((asked, n) -> asked.value("v"));
        String[] pieces = {"*3\r\n", "$3\r\nSET\r\n", "$1\r\na\r\n", "$-1\r\n", "GET a\r\n", "*1\r\n$4\r\nPING\r\n", "\u0000\u00ff", "\r\n",
            "*2\r\n$3\r\nGET\r\n$2\r\nab\r\n", "HELLO 3\r\n", "*-1\r\n", "$99999999999\r\n", "RIDGE.WITH class\r\n", "\"", "x".repeat(5000)};
        int served = 0;
        try (RespClient steady = client()) {
            for (int i = 0; i < 200; i++) {
                try (RespClient odd = client()) {
                    StringBuilder bytes = new StringBuilder();
                    for (int n = 1 + random.nextInt(12); n > 0; n--) {
                        bytes.append(pieces[random.nextInt(pieces.length)]);
                    }
                    odd.raw(bytes.toString());
                    if (random.nextBoolean()) {
                        odd.socket().setSoLinger(true, 0);
                    }
                }
                // The decisions may hold the one node to little after many that left; they say so at once.
                String reply = steady.ask("GET k" + i);
                assertTrue(reply.equals("$<v>") || reply.startsWith("-<TRYAGAIN refused"), reply + ", seed " + seed);
                served += reply.equals("$<v>") ? 1 : 0;
            }
        }
        assertTrue(served >= 100, served + " of 200 were served, seed " + seed);
        while (site.service.status().clients() > 0 || site.service.status().owed() > 0) {
            Thread.onSpinWait();
        }
    }
}
