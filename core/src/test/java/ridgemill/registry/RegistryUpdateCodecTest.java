package ridgemill.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import ridgemill.lease.DatagramFrame;
import ridgemill.lease.LeaseWire;
import ridgemill.membership.Instance;
import ridgemill.membership.Status;

/** Registry updates and requests for them as datagrams, whole, too large and corrupt. */
class RegistryUpdateCodecTest {

    private static Instance instance(int i) {
        return new Instance("node-" + i, "10.0.0." + i + ":90", Status.values()[i % 5], i % 2 == 0 ? "teku" : "",
                1 + i / 3.0, 1.7e12 + i, 5 + i);
    }

    private static RegistryUpdate update(int puts, int gone) {
        List<InstanceChange> changes = new ArrayList<>();
        IntStream.range(0, puts).forEach(i -> changes.add(new InstanceChange.Put(instance(i))));
        IntStream.range(0, gone).forEach(i -> changes.add(new InstanceChange.Removed("was-" + i)));
        return new RegistryUpdate(7, 1L << 40, 3, -5, 130, changes);
    }

    @Test
    void updateIsDecodedFromDatagramsOfBoundedSize() {
        for (int puts = 0; puts <= 20; puts++) {
            RegistryUpdate sent = update(puts, puts / 2);
            List<InstanceChange> changes = new ArrayList<>();
            List<byte[]> datagrams = RegistryUpdateCodec.encode(sent, -9);
            for (byte[] d : datagrams) {
                assertTrue(d.length <= DatagramFrame.MAX_BYTES && d.length % 4 == 3);
                assertTrue(RegistryUpdateCodec.isUpdate(d));
                assertFalse(LeaseWire.isLease(d));
                assertEquals(OptionalInt.empty(), RegistryUpdateCodec.decodeListen(d));
                RegistryUpdatePart part = RegistryUpdateCodec.decode(d).orElseThrow();
                assertEquals(sent, new RegistryUpdate(part.applicationId(), part.term(), part.sequence(), part.digest(),
                        part.pollDurationMs(), sent.changes()));
                assertEquals(-9, part.echoTimestamp());
                assertEquals(datagrams.size(), part.partCount());
                changes.addAll(part.changes());
            }
            assertEquals(sent.changes(), changes);
        }
    }

    @Test
    void tooLargeUpdateIsSentWithoutChanges() {
        for (RegistryUpdate t : List.of(update(40, 0),
                new RegistryUpdate(7, 1, 1, 1, 0, List.of(new InstanceChange.Removed("x".repeat(250)))),
                new RegistryUpdate(7, 1, 1, 1, 0, List.of(new InstanceChange.Removed("x".repeat(300)))))) {
            List<byte[]> datagrams = RegistryUpdateCodec.encode(t, 0);
            assertEquals(1, datagrams.size());
            RegistryUpdatePart part = RegistryUpdateCodec.decode(datagrams.get(0)).orElseThrow();
            assertEquals(0, part.partCount());
            assertEquals(List.of(), part.changes());
            assertEquals(t.digest(), part.digest());
        }
    }

    @Test
    void listenRequestCarriesItsTimestamp() {
        byte[] listen = RegistryUpdateCodec.encodeListen(-77);
        assertEquals(OptionalInt.of(-77), RegistryUpdateCodec.decodeListen(listen));
        assertTrue(RegistryUpdateCodec.decode(listen).isEmpty());
        assertTrue(LeaseWire.decode(listen).isEmpty());
    }

    /** A datagram with a flipped bit or missing bytes is rejected. */
    @Test
    void corruptDatagramIsRejected() {
        List<byte[]> whole = new ArrayList<>(RegistryUpdateCodec.encode(update(6, 2), 4));
        whole.add(RegistryUpdateCodec.encodeListen(8));
        for (byte[] d : whole) {
            for (int bit = 0; bit < 8 * d.length; bit++) {
                byte[] corrupt = d.clone();
                corrupt[bit / 8] ^= (byte) (1 << bit % 8);
                // Changed padding bytes at the end have no effect.
                if (!RegistryUpdateCodec.decode(corrupt).equals(RegistryUpdateCodec.decode(d))
                        || !RegistryUpdateCodec.decodeListen(corrupt).equals(RegistryUpdateCodec.decodeListen(d))) {
                    assertTrue(RegistryUpdateCodec.decode(corrupt).isEmpty()
                            && RegistryUpdateCodec.decodeListen(corrupt).isEmpty());
                } else {
                    assertTrue(bit / 8 >= d.length - 3);
                }
            }
            for (int length = 0; length < d.length - 3; length++) {
                assertTrue(RegistryUpdateCodec.decode(Arrays.copyOf(d, length)).isEmpty());
            }
        }
        SplittableRandom random = new SplittableRandom(20261202);
        for (int i = 0; i < 100_000; i++) {
            byte[] d = new byte[random.nextInt(257)];
            random.nextBytes(d);
            assertTrue(RegistryUpdateCodec.decode(d).isEmpty());
        }
    }
}
