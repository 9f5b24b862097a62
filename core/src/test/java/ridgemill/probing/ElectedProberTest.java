package ridgemill.probing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ridgemill.lease.DatagramFrame;
import ridgemill.lease.LeaseWire;
import ridgemill.probing.ProbeCodec.Message;
import ridgemill.probing.ProbeCodec.ProbeRequest;
import ridgemill.probing.ProbeCodec.ProbeResult;

class ElectedProberTest {

    private static final List<Integer> ELECTORS = List.of(1, 2);
    private static final int NODE = 77;

    private final List<String> done = new ArrayList<>();
    private final ElectedProber prober = new ElectedProber(0, new ElectedProber.Out() {
        @Override
        public void sendRequest(int to, ProbeRequest asks) {
            done.add("ask " + to + " " + asks.timestamp() + " " + asks.nodes());
        }

        @Override
        public void sendResult(int to, ProbeResult tells) {
            done.add("tell " + to + " " + tells.sequence() + " at " + tells.echoTimestamp() + " " + tells.node() + " " + tells.answered());
        }

        @Override
        public void startProbe(int node) {
            done.add("probe " + node);
        }

        @Override
        public void nodeProbed(int node, boolean answered, double tookMs) {
            done.add("found " + node + " " + answered);
        }
    });

    private List<String> done() {
        List<String> all = List.copyOf(done);
        done.clear();
        return all;
    }

    @Test
    void nothingIsSaidWhileNothingIsSpared() {
        for (double t = 0; t < 5000; t = prober.tick(t, false, ELECTORS, List.of())) {
            assertEquals(List.of(), done());
        }
        prober.tick(5000, true, ELECTORS, List.of());
        assertEquals(List.of(), done());
    }

    @Test
    void whoSparesANodeAsksAndGoesByAnswersThatAreOfSince() {
        prober.tick(1000, false, ELECTORS, List.of(NODE));
        assertEquals(List.of("ask 1 1000 [77]", "ask 2 1000 [77]"), done());
        prober.tick(1100, false, ELECTORS, List.of(NODE));
        assertEquals(List.of(), done());
        prober.resultReceived(1150, 2, new ProbeResult(5, 1, 900, NODE, true, 10));
        assertEquals(List.of(), done(), "of before it was spared");
        prober.resultReceived(1200, 2, new ProbeResult(5, 2, 1000, NODE, false, 10));
        assertEquals(List.of("found 77 false"), done());
        prober.tick(1250, false, ELECTORS, List.of(NODE));
        assertEquals(List.of("ask 2 1250 [77]"), done(), "who tells is known");
        prober.resultReceived(1260, 2, new ProbeResult(5, 2, 1250, NODE, true, 10));
        prober.resultReceived(1270, 1, new ProbeResult(4, 9, 1250, NODE, true, 10));
        prober.resultReceived(1280, 2, new ProbeResult(5, 3, 1281, NODE, true, 10));
        prober.resultReceived(2020, 2, new ProbeResult(5, 4, 1250, NODE, true, 10));
        assertEquals(List.of(), done(), "told before, by a term of before, of a mark that was never sent, or long on its way");
        prober.resultReceived(2005, 2, new ProbeResult(5, 5, 1250, NODE, true, 10));
        prober.resultReceived(2010, 2, new ProbeResult(5, 6, 1250, NODE + 1, true, 10));
        assertEquals(List.of("found 77 true"), done());
        prober.tick(2300, false, ELECTORS, List.of());
        prober.tick(2400, false, ELECTORS, List.of(NODE));
        prober.resultReceived(2410, 2, new ProbeResult(5, 7, 2300, NODE, true, 10));
        assertTrue(done().stream().noneMatch(d -> d.startsWith("found")), "spared anew since");
    }

    @Test
    void theOneThatProbesDoesSoOnceForAll() {
        prober.requestReceived(1000, 8, new ProbeRequest(50, List.of(NODE, 78)));
        prober.requestReceived(1010, 9, new ProbeRequest(60, List.of(NODE)));
        prober.tick(1020, true, ELECTORS, List.of());
        assertEquals(List.of("probe 77", "probe 78"), done());
        prober.requestReceived(1030, 9, new ProbeRequest(80, List.of(NODE)));
        prober.tick(1120, true, ELECTORS, List.of(NODE));
        assertEquals(List.of(), done(), "one at a time");
        prober.probeEnded(1200, NODE, false, 3);
        assertEquals(List.of("tell 8 1 at 50 77 false", "tell 9 2 at 60 77 false"), done(), "by the marks that it had when it began");
        prober.tick(1269, true, ELECTORS, List.of(NODE));
        assertEquals(List.of(), done());
        prober.tick(1270, true, ELECTORS, List.of(NODE));
        assertEquals(List.of("probe 77"), done());
        prober.probeEnded(1280, NODE, true, 0);
        assertEquals(List.of("found 77 true"), done(), "without a lease nobody else is told");
        prober.probeEnded(1290, NODE, true, 3);
        prober.probeEnded(1295, 78, true, 2);
        assertEquals(List.of(), done());
        prober.tick(2200, true, ELECTORS, List.of());
        assertEquals(List.of(), done(), "nobody asks for any more");
    }

    @Test
    void datagramsComeBackWholeOrNotAtAll() {
        List<Message> all = List.of(new ProbeRequest(-3, List.of()), new ProbeRequest(9, IntStream.range(0, ProbeCodec.MAX_NODES).boxed().toList()),
                new ProbeResult(1L << 40, 7, -9, 12, true, 300), new ProbeResult(2, 1, 0, -5, false, 0));
        for (Message said : all) {
            byte[] d = ProbeCodec.encode(said);
            assertTrue(d.length <= DatagramFrame.MAX_BYTES && d.length % 4 == 3);
            assertEquals(Optional.of(said), ProbeCodec.decode(d));
            assertTrue(LeaseWire.decode(d).isEmpty());
            for (int bit = 0; bit < 8 * d.length; bit++) {
                byte[] spoilt = d.clone();
                spoilt[bit / 8] ^= (byte) (1 << bit % 8);
                assertTrue(ProbeCodec.decode(spoilt).isEmpty() || bit / 8 >= d.length - 3 && ProbeCodec.decode(spoilt).equals(Optional.of(said)));
            }
        }
        assertEquals(ProbeCodec.MAX_NODES, ((ProbeRequest) ProbeCodec.decode(ProbeCodec.encode(new ProbeRequest(1, IntStream.range(0, 500).boxed().toList())))
                .orElseThrow()).nodes().size());
        SplittableRandom random = new SplittableRandom(20261203);
        for (int i = 0; i < 100_000; i++) {
            byte[] d = new byte[random.nextInt(257)];
            random.nextBytes(d);
            assertTrue(ProbeCodec.decode(d).isEmpty());
        }
    }
}
