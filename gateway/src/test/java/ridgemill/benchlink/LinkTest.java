package ridgemill.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;

/** The wire, as short dialogues. */
class LinkTest {

    private static final String SETTINGS = "{\"balancers\":2,\"rank\":0,\"tick_ms\":5.0,\"zone\":\"a\",\"unheard_of\":[1],"
            + "\"kinds\":[\"std\",\"origin\"],\"domain\":{\"mode\":\"aside\",\"origin_kind\":1},\"discovery\":\"subscribe\","
            + "\"limits\":{\"try_limit\":4,\"cancelling\":true,\"retry_after\":true,\"max_retry_after_ms\":500.0},"
            + "\"obligations\":{\"cold_from\":0.3,\"cold_ms\":9000.0,\"fall_multiple\":2.5,\"fall_ms\":1000.0},"
            + "\"services\":[{\"name\":\"read\",\"objective_ms\":300.0,\"deadline_ms\":1000.0,\"gain\":1.0,"
            + "\"effect\":\"retryable\"},{\"name\":\"pay\",\"objective_ms\":300.0,\"deadline_ms\":1000.0,"
            + "\"gain\":2.0,\"effect\":\"fragile\"}]}";
    private static final String START = "ROUND 1000.5 0\nINIT 3 42 " + SETTINGS
            + "\nTOPOLOGY 3 remembered 1 2\nNODE 1 a - IN c1 std 0\nNODE 1 a - IN db origin 0\nYOUR_TURN\n";

    private static String talk(String input) throws IOException {
        StringWriter out = new StringWriter();
        new Link(new BufferedReader(new StringReader(input)), out).run();
        return out.toString();
    }

    private static String lastBatch(String input) throws IOException {
        String all = talk(input);
        int end = all.lastIndexOf("READY");
        int begin = all.lastIndexOf("READY", end - 1);
        return all.substring(all.indexOf('\n', begin) + 1);
    }

    private static String batch(double now, int index, String... events) {
        return "ROUND " + now + " " + index + "\n" + String.join("", events) + "YOUR_TURN\n";
    }

    @Test
    void anEmptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("READY 1\n", talk("ROUND 8412.25 1\nYOUR_TURN\n"));
    }

    @Test
    void startArmsTimersAndLeadsToASubscription() throws IOException {
        String reply = talk(START);
        assertTrue(reply.matches("ARM 3 2000.500 step\nARM 3 [0-9.]+ subscribe\nREADY 0\n"), reply);
        assertEquals("SUBSCRIBE 3 1\nREADY 1\n", lastBatch(START + batch(2000, 1, "WAKE 3 subscribe\n")));
    }

    @Test
    void readMissFetchAndAnswer() throws IOException {
        String ask = START + batch(1100, 1, "ORDER 3 00000000000000aa - 800 - 0 77 read -\n");
        String sent = lastBatch(ask);
        assertTrue(sent.matches("ARM 3 1890 r00000000000000aa\nDELIVER 3 00000000000000aa c1 [0-9.]+\nREADY 1\n"), sent);
        String miss = ask + batch(1110, 2, "ENDED 3 00000000000000aa 0 c1 8 9.5 0 2 -\n");
        assertEquals("DELIVER 3 00000000000000aa db 780\nREADY 2\n", lastBatch(miss));
        String ok = miss + batch(1150, 3, "ENDED 3 00000000000000aa 1 db 0 40 1 - outstanding:2,odd:x,backlog:1\n");
        assertEquals("READY 3\n", lastBatch(ok));
        assertEquals("READY 4\n", lastBatch(ok + batch(1890, 4, "WAKE 3 r00000000000000aa\n")));
    }

    @Test
    void aDeadlineCancelsAndAnswersOnce() throws IOException {
        String ask = START + batch(1100, 1, "ORDER 3 00000000000000aa - 800 - 0 77 read -\n",
                "ORDER 3 00000000000000bb - 800 - 4 78 pay -\n");
        String due = ask + batch(1890, 2, "WAKE 3 r00000000000000aa\n", "WAKE 3 r00000000000000bb\n");
        assertEquals("DROP_ATTEMPT 3 00000000000000aa 0\nPUSH_BACK 3 00000000000000aa 0\n"
                + "DROP_ATTEMPT 3 00000000000000bb 0\nDROP_REQUEST 3 00000000000000bb\nREADY 2\n", lastBatch(due));
        String late = due + batch(1900, 3, "CLIENT_LEFT 3 00000000000000aa\n",
                "ENDED 3 00000000000000bb 0 db 6 790 1 - -\n");
        assertEquals("READY 3\n", lastBatch(late));
    }

    @Test
    void theOtherEventsAreUnderstood() throws IOException {
        String all = START + batch(1100, 1, "TOPOLOGY 3 changes 2 1\nNODE 0.5 a 900.5 LAME c1 std 0\n",
                "TOPOLOGY 3 refused 2 0\n", "PING_RESULT 3 4.5 c1 0 utilization:0.5\n", "INBOX 3 1 aGkgNw==\n",
                "FLOWING 3 00000000000000aa 4 0 c1\n", "ORDER 3 00000000000000ab 12.5 800 t 1 77 read 512\n");
        assertTrue(lastBatch(all).contains("PUSH_BACK 3 00000000000000ab"));
    }

    @Test
    void aKilledInstanceIsForgottenAndMayStartAgain() throws IOException {
        String down = START + batch(1100, 1, "DOWN 3\n");
        assertEquals("READY 1\n", lastBatch(down));
        assertThrows(WireException.class, () -> talk(down + batch(1101, 2, "WAKE 3 step\n")));
        assertTrue(lastBatch(down + batch(1101, 2, "INIT 3 43 " + SETTINGS + "\n")).contains("step"));
    }

    @Test
    void malformedInputIsNamedAndNothingIsSaidOnTheWire() {
        String[] bad = {"NOISE 3\n", "WAKE 9 step\n", "WAKE 3\n", "ORDER 3 aa - 800\n", "ENDED 3 aa 0 c1 11 9.5 0 2 -\n",
            "ENDED 3 aa 0 c1 x 9.5 0 2 -\n", "TOPOLOGY 3 all 2 2\nNODE 1 a - IN c1 std 0\n", "INBOX 3 1 %%\n",
            "TOPOLOGY 3 all 2 1\nNODE 1 a - AWAY c1 std 0\n", "INIT 4 1 {\"services\":[]}\n", "INIT 4 1 {\n",
            "CLIENT_LEFT 3 aa bb\n", "DOWN 8\n"};
        for (String line : bad) {
            StringWriter out = new StringWriter();
            Link link = new Link(new BufferedReader(new StringReader(START + batch(1100, 1, line))), out);
            assertTrue(assertThrows(WireException.class, link::run, line).getMessage().length() > 5);
            assertEquals(1, out.toString().split("READY", -1).length - 1, line);
        }
        assertThrows(WireException.class, () -> talk("ROUND 5 1\nYOUR"));
        assertThrows(WireException.class, () -> talk("ROUND 5 1\nYOUR_TURN\nROUND 4 2\nYOUR_TURN\n"));
    }
}
