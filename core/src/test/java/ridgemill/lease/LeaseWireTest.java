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

/**
 * Checks that lease messages survive encoding, corrupt datagrams are rejected, and other kinds of datagrams are told
 * apart.
 */
class LeaseWireTest {

    private static final SenderState SENDER = new SenderState(70_000, 0xfedc, true, false);
    private static final List<LeaseMessage> ALL = List.of(
            new LeaseMessage.VoteRequest(-5, SENDER, -1, Long.MAX_VALUE, 3),
            new LeaseMessage.Vote(7, new SenderState(1, 0, false, true), 9, 1L << 41, 1 << 30),
            new LeaseMessage.Refusal(7, SENDER, 9, 4, RefusalReason.NO_VOTER, 12, 300),
            new LeaseMessage.Release(7, SENDER, 9, 12, -1),
            new LeaseMessage.Release(7, SENDER, 9, 12, Integer.MAX_VALUE), new LeaseMessage.TermQuery(7, SENDER, 9, 4),
            new LeaseMessage.TermReply(7, SENDER, 9, 4, 12, true),
            new LeaseMessage.TermReply(7, SENDER, 9, 4, 12, false), new LeaseMessage.Forbid(7, SENDER, 60_000));

    private static List<LeaseMessage> decoded(List<byte[]> datagrams) {
        return datagrams.stream().flatMap(d -> LeaseWire.decode(d).stream()).toList();
    }

    @Test
    void decodingReturnsWhatWasEncoded() {
        assertEquals(ALL, decoded(LeaseWire.encode(ALL)));
        for (LeaseMessage message : ALL) {
            assertEquals(List.of(message), decoded(LeaseWire.encode(List.of(message))));
        }
        assertEquals(List.of(), LeaseWire.encode(List.of()));
    }

    @Test
    void messagesShareDatagramsOfAtMost256Bytes() {
        List<LeaseMessage> messages = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            messages.add(ALL.get(i % ALL.size()));
        }
        List<byte[]> datagrams = LeaseWire.encode(messages);
        assertEquals(messages, decoded(datagrams));
        assertTrue(datagrams.size() <= 13, datagrams.size() + " datagrams");
        assertTrue(datagrams.stream().allMatch(d -> d.length <= DatagramFrame.MAX_BYTES && LeaseWire.isLease(d)));
    }

    /** Waits are encoded in steps and rounded up; one that is too long is encoded as the longest. */
    @Test
    void waitsAreRoundedUp() {
        LeaseMessage.Refusal refusal = (LeaseMessage.Refusal) decoded(LeaseWire.encode(List.of(
                new LeaseMessage.Refusal(7, SENDER, 9, 4, RefusalReason.HELD, 12, 101)))).get(0);
        assertEquals(200, refusal.retryAfterMs());
        LeaseMessage.Refusal longest = (LeaseMessage.Refusal) decoded(LeaseWire.encode(List.of(
                new LeaseMessage.Refusal(7, SENDER, 9, 4, RefusalReason.HELD, 12, 1_000_000)))).get(0);
        assertEquals(12_700, longest.retryAfterMs());
    }

    @Test
    void flippedBitIsDetected() {
        byte[] datagram = LeaseWire.encode(ALL.subList(0, 3)).get(0);
        for (int bit = 0; bit < datagram.length * Byte.SIZE; bit++) {
            byte[] corrupt = datagram.clone();
            corrupt[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            List<LeaseMessage> decoded = LeaseWire.decode(corrupt);
            assertTrue(decoded.isEmpty() || decoded.equals(ALL.subList(0, 3)), "bit " + bit + " gives " + decoded);
        }
    }

    @Test
    void randomBytesDecodeToNothing() {
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
    void datagramsOfOtherKindsAreToldApart() {
        byte[] request = new ConnectionReleaseRequests().connectionRejected("c0", 0);
        assertFalse(LeaseWire.isLease(request));
        assertFalse(LeaseWire.isLease(new byte[4 * 12]));
        assertFalse(LeaseWire.isLease(new byte[0]));
        assertFalse(ConnectionReleaseRequests.isReleaseRequest(LeaseWire.hello()));
        assertTrue(LeaseWire.hello().length < Integer.BYTES, "too short to hold a key, for builds that know no leases");
        assertEquals(List.of(), LeaseWire.decode(LeaseWire.hello()));
    }
}
