package ridgemill.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ridgemill.connections.ConnectionReleaseRequests;
import ridgemill.lease.LeaseMessage.RefusalReason;
import ridgemill.lease.LeaseMessage.SenderState;

/** Datagrams of leases: what is said is read, what is spoilt is not, and nobody takes one for another kind. */
class LeaseWireTest {

    private static final SenderState SAID = new SenderState(70_000, 0xfedc, true, false);
    private static final List<LeaseMessage> ALL = List.of(
            new LeaseMessage.VoteRequest(-5, SAID, -1, Long.MAX_VALUE, 3), new LeaseMessage.Vote(7, new SenderState(1, 0, false, true), 9, 1L << 41, 1 << 30),
            new LeaseMessage.Refusal(7, SAID, 9, 4, RefusalReason.NO_VOTER, 12, 300), new LeaseMessage.Release(7, SAID, 9, 12, -1),
            new LeaseMessage.Release(7, SAID, 9, 12, Integer.MAX_VALUE), new LeaseMessage.TermQuery(7, SAID, 9, 4),
            new LeaseMessage.TermReply(7, SAID, 9, 4, 12, true), new LeaseMessage.TermReply(7, SAID, 9, 4, 12, false),
            new LeaseMessage.Forbid(7, SAID, 60_000));

    private static List<LeaseMessage> decoded(List<byte[]> datagrams) {
        return datagrams.stream().flatMap(d -> LeaseWire.decode(d).stream()).toList();
    }

    @Test
    void allThatIsSaidIsRead() {
        assertEquals(ALL, decoded(LeaseWire.encode(ALL)));
        for (LeaseMessage m : ALL) {
            assertEquals(List.of(m), decoded(LeaseWire.encode(List.of(m))));
        }
        assertEquals(List.of(), LeaseWire.encode(List.of()));
    }

    @Test
    void manyMessagesTakeAsFewDatagramsAsTheyNeedOfAtMost256Bytes() {
        List<LeaseMessage> many = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            many.add(ALL.get(i % ALL.size()));
        }
        List<byte[]> datagrams = LeaseWire.encode(many);
        assertEquals(many, decoded(datagrams));
        assertTrue(datagrams.size() <= 13, datagrams.size() + " datagrams");
        assertTrue(datagrams.stream().allMatch(d -> d.length <= DatagramFrame.MAX_BYTES && LeaseWire.isLease(d)));
    }

    /** A wait is told in steps, rounded up, and a longer one than can be told is told as the longest. */
    @Test
    void waitsAreRoundedUp() {
        LeaseMessage.Refusal told = (LeaseMessage.Refusal) decoded(LeaseWire.encode(List.of(
                new LeaseMessage.Refusal(7, SAID, 9, 4, RefusalReason.HELD, 12, 101)))).get(0);
        assertEquals(200, told.retryAfterMs());
        LeaseMessage.Refusal most = (LeaseMessage.Refusal) decoded(LeaseWire.encode(List.of(
                new LeaseMessage.Refusal(7, SAID, 9, 4, RefusalReason.HELD, 12, 1_000_000)))).get(0);
        assertEquals(12_700, most.retryAfterMs());
    }

    @Test
    void noBitThatIsFlippedGoesUnseen() {
        byte[] good = LeaseWire.encode(ALL.subList(0, 3)).get(0);
        for (int bit = 0; bit < good.length * Byte.SIZE; bit++) {
            byte[] spoilt = good.clone();
            spoilt[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            List<LeaseMessage> read = LeaseWire.decode(spoilt);
            assertTrue(read.isEmpty() || read.equals(ALL.subList(0, 3)), "bit " + bit + " gives " + read);
        }
    }

    @Test
    void garbageIsNothing() {
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 100_000; i++) {
            byte[] garbage = new byte[random.nextInt(DatagramFrame.MAX_BYTES + 1)];
            random.nextBytes(garbage);
            if (garbage.length > 1) {
                garbage[0] = 'L';
                garbage[1] = 1;
            }
            assertEquals(List.of(), LeaseWire.decode(garbage));
        }
    }

    @Test
    void noOtherKindCanBeTakenForOneNorOneForAnother() {
        byte[] call = new ConnectionReleaseRequests().connectionRejected("c0", 0);
        assertFalse(LeaseWire.isLease(call));
        assertFalse(LeaseWire.isLease(new byte[4 * 12]));
        assertFalse(LeaseWire.isLease(new byte[0]));
        assertFalse(ConnectionReleaseRequests.isReleaseRequest(LeaseWire.hello()));
        assertTrue(LeaseWire.hello().length < Integer.BYTES, "too short to hold a key, for builds that know no leases");
        assertEquals(List.of(), LeaseWire.decode(LeaseWire.hello()));
    }
}
