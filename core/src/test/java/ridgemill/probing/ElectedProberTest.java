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

/** The prober of one proxy, step by step, and its datagrams. */
class ElectedProberTest {

    private static final List<Integer> VOTERS = List.of(1, 2);
    private static final int NODE = 77;

    private final List<String> actions = new ArrayList<>();
    private final ElectedProber prober = new ElectedProber(0, new ElectedProber.Out() {
        @Override
        public void sendRequest(int to, ProbeRequest request) {
            actions.add("request " + to + " " + request.timestamp() + " " + request.nodes());
        }

        @Override
        public void sendResult(int to, ProbeResult result) {
            actions.add("result " + to + " " + result.sequence() + " at " + result.echoTimestamp() + " " + result.node()
                    + " " + result.answered());
        }

        @Override
        public void startProbe(int node) {
            actions.add("probe " + node);
        }

        @Override
        public void nodeProbed(int node, boolean answered, double durationMs) {
            actions.add("probed " + node + " " + answered);
        }
    });

    private List<String> takeActions() {
        List<String> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    @Test
    void nothingIsSentWhileNoNodeIsUnreachable() {
        for (double t = 0; t < 5000; t = prober.tick(t, false, VOTERS, List.of())) {
            assertEquals(List.of(), takeActions());
        }
        prober.tick(5000, true, VOTERS, List.of());
        assertEquals(List.of(), takeActions());
    }

    @Test
    void unreachableNodeIsReportedAndOnlyLaterResultsCount() {
        prober.tick(1000, false, VOTERS, List.of(NODE));
        assertEquals(List.of("request 1 1000 [77]", "request 2 1000 [77]"), takeActions());
        prober.tick(1100, false, VOTERS, List.of(NODE));
        assertEquals(List.of(), takeActions());
        prober.resultReceived(1150, 2, new ProbeResult(5, 1, 900, NODE, true, 10));
        assertEquals(List.of(), takeActions(), "the probe began before the node was unreachable");
        prober.resultReceived(1200, 2, new ProbeResult(5, 2, 1000, NODE, false, 10));
        assertEquals(List.of("probed 77 false"), takeActions());
        prober.tick(1250, false, VOTERS, List.of(NODE));
        assertEquals(List.of("request 2 1250 [77]"), takeActions(), "the prober is known");
        prober.resultReceived(1260, 2, new ProbeResult(5, 2, 1250, NODE, true, 10));
        prober.resultReceived(1270, 1, new ProbeResult(4, 9, 1250, NODE, true, 10));
        prober.resultReceived(1280, 2, new ProbeResult(5, 3, 1281, NODE, true, 10));
        prober.resultReceived(2020, 2, new ProbeResult(5, 4, 1250, NODE, true, 10));
        assertEquals(List.of(), takeActions(),
                "repeated, of a lower term, with a timestamp that was never sent, or long in transit");
        prober.resultReceived(2005, 2, new ProbeResult(5, 5, 1250, NODE, true, 10));
        prober.resultReceived(2010, 2, new ProbeResult(5, 6, 1250, NODE + 1, true, 10));
        assertEquals(List.of("probed 77 true"), takeActions());
        prober.tick(2300, false, VOTERS, List.of());
        prober.tick(2400, false, VOTERS, List.of(NODE));
        prober.resultReceived(2410, 2, new ProbeResult(5, 7, 2300, NODE, true, 10));
        assertTrue(takeActions().stream().noneMatch(d -> d.startsWith("probed")),
                "the node has become unreachable again since");
    }

    @Test
    void leaseHolderProbesOnceForAll() {
        prober.requestReceived(1000, 8, new ProbeRequest(50, List.of(NODE, 78)));
        prober.requestReceived(1010, 9, new ProbeRequest(60, List.of(NODE)));
        prober.tick(1020, true, VOTERS, List.of());
        assertEquals(List.of("probe 77", "probe 78"), takeActions());
        prober.requestReceived(1030, 9, new ProbeRequest(80, List.of(NODE)));
        prober.tick(1120, true, VOTERS, List.of(NODE));
        assertEquals(List.of(), takeActions(), "one probe at a time");
        prober.probeEnded(1200, NODE, false, 3);
        assertEquals(List.of("result 8 1 at 50 77 false", "result 9 2 at 60 77 false"), takeActions(),
                "with the timestamps received before the probe began");
        prober.tick(1269, true, VOTERS, List.of(NODE));
        assertEquals(List.of(), takeActions());
        prober.tick(1270, true, VOTERS, List.of(NODE));
        assertEquals(List.of("probe 77"), takeActions());
        prober.probeEnded(1280, NODE, true, 0);
        assertEquals(List.of("probed 77 true"), takeActions(), "without a lease no results are sent");
        prober.probeEnded(1290, NODE, true, 3);
        prober.probeEnded(1295, 78, true, 2);
        assertEquals(List.of(), takeActions());
        prober.tick(2200, true, VOTERS, List.of());
        assertEquals(List.of(), takeActions(), "no subscriber is left");
    }

    @Test
    void datagramsAreDecodedCompletelyOrNotAtAll() {
        List<Message> all = List.of(new ProbeRequest(-3, List.of()),
                new ProbeRequest(9, IntStream.range(0, ProbeCodec.MAX_NODES).boxed().toList()),
                new ProbeResult(1L << 40, 7, -9, 12, true, 300), new ProbeResult(2, 1, 0, -5, false, 0));
        for (Message message : all) {
            byte[] d = ProbeCodec.encode(message);
            assertTrue(d.length <= DatagramFrame.MAX_BYTES && d.length % 4 == 3);
            assertEquals(Optional.of(message), ProbeCodec.decode(d));
            assertTrue(LeaseWire.decode(d).isEmpty());
            for (int bit = 0; bit < 8 * d.length; bit++) {
                byte[] corrupt = d.clone();
                corrupt[bit / 8] ^= (byte) (1 << bit % 8);
                assertTrue(ProbeCodec.decode(corrupt).isEmpty() || bit / 8 >= d.length - 3
                        && ProbeCodec.decode(corrupt).equals(Optional.of(message)));
            }
        }
        assertEquals(ProbeCodec.MAX_NODES,
                ((ProbeRequest) ProbeCodec.decode(ProbeCodec.encode(new ProbeRequest(1,
                        IntStream.range(0, 500).boxed().toList()))).orElseThrow()).nodes().size());
        SplittableRandom random = new SplittableRandom(20261203);
        for (int i = 0; i < 100_000; i++) {
            byte[] d = new byte[random.nextInt(257)];
            random.nextBytes(d);
            assertTrue(ProbeCodec.decode(d).isEmpty());
        }
    }
}
