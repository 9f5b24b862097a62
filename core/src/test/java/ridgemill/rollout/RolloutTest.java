package ridgemill.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;
import ridgemill.rollout.Quarantine.CutOffAction;
import ridgemill.rollout.Quarantine.Peer;
import ridgemill.rollout.Quarantine.Reason;
import ridgemill.rollout.RolloutMessage.Progress;

/** Checks which orders a member follows, how it stores texts, and when a proxy is out of service. */
class RolloutTest {

    private static final FileVersion BASE = new FileVersion(1, 11);
    private static final FileVersion FIRST = new FileVersion(1, 1);
    private static final String TARGET_TEXT = "version = 2\n".repeat(100);
    private static final String ROLLBACK_TEXT = "version = 3\n".repeat(100);
    private static final FileFingerprint TARGET = FileFingerprint.of(2, 22, TARGET_TEXT);
    private static final FileFingerprint ROLLBACK = FileFingerprint.of(3, 33, ROLLBACK_TEXT);
    private static final Plan PLAN = new Plan(BASE, TARGET, ROLLBACK);

    /** Records the calls and does nothing else. */
    private static class RecordingCallbacks implements Rollout.Callbacks {
        private final List<RolloutMessage> sent = new ArrayList<>();
        private final List<FileFingerprint> applied = new ArrayList<>();
        private FileVersion inEffect = BASE;

        @Override
        public long term() {
            return 0;
        }

        @Override
        public void sendMessage(int to, RolloutMessage message) {
            sent.add(message);
        }

        @Override
        public void validate(FileFingerprint fingerprint, String text) { }

        @Override
        public void apply(FileFingerprint fingerprint, String text, double byMs, long term) {
            applied.add(fingerprint);
        }

        @Override
        public void notifyOperators(String event) { }

        @Override
        public FileVersion versionInEffect() {
            return inEffect;
        }

        @Override
        public boolean isOutOfService() {
            return false;
        }

        @Override
        public Rollout.Counts counts() {
            return new Rollout.Counts(5, 6);
        }

        <T> List<T> all(Class<T> type) {
            return sent.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    private final RecordingCallbacks callbacks = new RecordingCallbacks();
    private final Rollout rollout = new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, callbacks);
    private int sequence;

    private RolloutMessage.Order order(double timestamp, int incarnation, long term, int sequence, Action action) {
        return new RolloutMessage.Order((int) timestamp, incarnation,
                new Progress(PLAN, term, sequence, Action.FORWARD, 1, false), action);
    }

    /** Has both texts sent to the member chunk by chunk, and reports them as valid. */
    private void stage(double now) {
        TextStore source = new TextStore();
        source.put(TARGET, TARGET_TEXT);
        source.put(ROLLBACK, ROLLBACK_TEXT);
        rollout.receive(now, 1, order(now, 77, 4, ++sequence, Action.HOLD), false);
        for (double t = now; t < now + 1000; t += 50) {
            callbacks.sent.clear();
            rollout.tick(t, false, List.of(1), false);
            callbacks.all(RolloutMessage.ChunkRequest.class)
                    .forEach(request -> source.chunks(request).forEach(chunk -> rollout.receive(now, 1, chunk, false)));
        }
        rollout.validated(now, TARGET, "");
        rollout.validated(now, ROLLBACK, "");
    }

    @Test
    void datagramIsDecodedCompletelyOrRejected() {
        Progress progress = new Progress(PLAN, 1L << 40, 7, Action.BACK, 2, true);
        List<RolloutMessage> messages = List.of(new RolloutMessage.ReportRequest(9),
                new RolloutMessage.Report(1, 2, BASE, null, false, null, true, 3, 4),
                new RolloutMessage.Report(-1, 2, BASE, progress, true, "line 3: it is not understood", false, 3, 4),
                new RolloutMessage.Order(5, 6, progress, Action.HOLD),
                new RolloutMessage.ChunkRequest(99, List.of(0, 3, 300)), new RolloutMessage.VersionQuery(4),
                new RolloutMessage.VersionReply(TARGET));
        for (RolloutMessage message : messages) {
            byte[] datagram = RolloutWire.encode(message);
            assertTrue(datagram.length <= 256 && datagram.length % 4 == 3, message::toString);
            assertEquals(Optional.of(message), RolloutWire.decode(datagram));
            for (int bit = 0; bit < 8 * datagram.length; bit++) {
                byte[] corrupt = datagram.clone();
                corrupt[bit / 8] ^= (byte) (1 << bit % 8);
                assertTrue(RolloutWire.decode(corrupt).isEmpty() || bit / 8 >= datagram.length - 3);
            }
        }
        byte[] chunk = RolloutWire.encode(new RolloutMessage.Chunk(8, 2, new byte[RolloutWire.CHUNK_BYTES]));
        assertTrue(chunk.length <= 256);
        assertTrue(RolloutWire.decode(chunk).isPresent());
        String longReason = "x".repeat(300);
        assertEquals(72, ((RolloutMessage.Report) RolloutWire.decode(RolloutWire.encode(new RolloutMessage.Report(1, 2,
                BASE, progress, true, longReason, false, 3, 4))).orElseThrow()).rejection().length());
    }

    @Test
    void orderIsFollowedOnceItsTextsAreValid() {
        stage(100);
        rollout.receive(1200, 1, order(1150, 77, 4, ++sequence, Action.FORWARD), false);
        assertEquals(List.of(TARGET), callbacks.applied);
        callbacks.sent.clear();
        rollout.receive(1200, 1, new RolloutMessage.ReportRequest(4), false);
        RolloutMessage.Report report = callbacks.all(RolloutMessage.Report.class).get(0);
        assertEquals(List.of(5, 6), List.of(report.served(), report.ended()));
    }

    @Test
    void orderOfALowerTermIsIgnored() {
        stage(100);
        rollout.receive(1200, 2, new RolloutMessage.ReportRequest(5), false);
        rollout.receive(1200, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), callbacks.applied);
    }

    @Test
    void repeatedOrderIsIgnored() {
        stage(100);
        rollout.receive(1200, 1, order(1150, 77, 4, sequence, Action.FORWARD), false);
        assertEquals(List.of(), callbacks.applied);
    }

    @Test
    void orderThatAnswersAnOldReportIsIgnored() {
        stage(100);
        rollout.receive(9000, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), callbacks.applied);
        assertEquals("1 orders refused as old", rollout.explain().get(1));
    }

    @Test
    void orderForAPreviousProcessIsIgnored() {
        stage(100);
        rollout.receive(1200, 1, order(1150, 78, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), callbacks.applied);
    }

    /** The member is suspended between receiving the order and having the text. */
    @Test
    void orderIsNotFollowedLate() {
        rollout.receive(100, 1, order(100, 77, 4, ++sequence, Action.FORWARD), false);
        stage(3000);
        assertEquals(List.of(), callbacks.applied, "the order to stage was the last");
        rollout.receive(4100, 1, order(4100, 77, 4, 50, Action.FORWARD), false);
        callbacks.applied.clear();
        rollout.applied(4200, TARGET, "too late", true);
        rollout.tick(9000, false, List.of(1), false);
        assertEquals(List.of(), callbacks.applied);
    }

    @Test
    void lowerNumberIsNeverApplied() {
        stage(100);
        callbacks.inEffect = new FileVersion(9, 99);
        rollout.receive(1200, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), callbacks.applied);
    }

    @Test
    void textThatDoesNotMatchItsFingerprintIsFetchedAgain() {
        TextStore store = new TextStore();
        TextStore wrongStore = new TextStore();
        String other = TARGET_TEXT.replace('2', '7');
        wrongStore.put(FileFingerprint.of(2, 22, other), other);
        List<Integer> all = store.missingChunks(TARGET, 100);
        assertEquals((TARGET_TEXT.length() + RolloutWire.CHUNK_BYTES - 1) / RolloutWire.CHUNK_BYTES, all.size());
        wrongStore.chunks(new RolloutMessage.ChunkRequest(FileFingerprint.of(2, 22, other).hashHigh(), all))
                .forEach(chunk -> store.addChunk(TARGET,
                        new RolloutMessage.Chunk(TARGET.hashHigh(), chunk.index(), chunk.bytes())));
        assertNull(store.text(TARGET));
        assertEquals(all, store.missingChunks(TARGET, 100));
        TextStore source = new TextStore();
        source.put(TARGET, TARGET_TEXT);
        source.chunks(new RolloutMessage.ChunkRequest(TARGET.hashHigh(), all))
                .forEach(chunk -> store.addChunk(TARGET, chunk));
        assertEquals(TARGET_TEXT, store.text(TARGET));
        store.addChunk(TARGET, new RolloutMessage.Chunk(TARGET.hashHigh(), 4000, new byte[3]));
    }

    /**
     * However many rollouts are cancelled, the text in effect remains available to other members and for a rollback.
     */
    @Test
    void textInEffectIsNotEvicted() {
        FileFingerprint base = FileFingerprint.of(1, 11, "version = 1\n");
        rollout.setInEffect(base, "version = 1\n");
        for (int i = 0; i < 20; i++) {
            FileFingerprint target = FileFingerprint.of(2 + i, i, TARGET_TEXT + i);
            Plan plan = new Plan(BASE, target, ROLLBACK);
            TextStore source = new TextStore();
            source.put(target, TARGET_TEXT + i);
            rollout.receive(100, 1, new RolloutMessage.Order(100, 77,
                    new Progress(plan, 4, ++sequence, Action.FORWARD, 0, false), Action.HOLD), false);
            for (double t = 100; t < 1100; t += 100) {
                callbacks.sent.clear();
                rollout.tick(2000 * i + t, false, List.of(1), false);
                callbacks.all(RolloutMessage.ChunkRequest.class)
                        .forEach(request -> source.chunks(request)
                        .forEach(chunk -> rollout.receive(100, 1, chunk, false)));
            }
        }
        assertEquals("version = 1\n", rollout.textInEffect());
    }

    @Test
    void onlyOneRolloutRunsAtATime() {
        assertTrue(rollout.begin(TARGET, TARGET_TEXT, ROLLBACK, ROLLBACK_TEXT).startsWith("begun"));
        assertTrue(rollout.begin(TARGET, TARGET_TEXT, ROLLBACK, ROLLBACK_TEXT).startsWith("no: a roll is under way"));
        assertTrue(new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, callbacks)
                .begin(FileFingerprint.of(1, 5, TARGET_TEXT), TARGET_TEXT, ROLLBACK, ROLLBACK_TEXT)
                .startsWith("no: number 1 "));
    }

    /**
     * The next coordinator must not reuse the number of a cancelled rollout, as a member that is not heard of may have
     * applied it.
     */
    @Test
    void numberOfACancelledRolloutIsNotReused() {
        List<String> events = new ArrayList<>();
        RecordingCallbacks coordinatorCallbacks = new RecordingCallbacks() {
            @Override
            public long term() {
                return 6;
            }

            @Override
            public void notifyOperators(String event) {
                events.add(event);
            }
        };
        Rollout coordinator = new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, coordinatorCallbacks);
        coordinator.begin(TARGET, TARGET_TEXT, ROLLBACK, ROLLBACK_TEXT);
        coordinator.tick(0, true, List.of(1, 2), false);
        Progress cancelled = new Progress(new Plan(BASE, FileFingerprint.of(2, 44, "another"),
                FileFingerprint.of(3, 55, "back")), 5, 9, Action.CANCEL, 1, true);
        coordinator.receive(10, 1, new RolloutMessage.Report(1, 1, BASE, cancelled, false, null, false, 1, 1), false);
        coordinator.receive(10, 2, new RolloutMessage.Report(1, 1, BASE, null, false, null, false, 1, 1), false);
        coordinator.tick(20, true, List.of(1, 2), false);
        assertEquals(List.of("the roll of " + TARGET.text() + " is not begun: number 3 is known already"), events);
    }

    private static Peer peer(int member, int number) {
        return new Peer(member, new FileVersion(number, number), true, false);
    }

    private static List<Peer> fleet(int members, int number) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 1; i < members; i++) {
            peers.add(peer(i, number));
        }
        return peers;
    }

    @Test
    void laggingProxyIsOutOfServiceUntilItHasCaughtUp() {
        FileVersion old = new FileVersion(4, 4);
        Quarantine quarantine = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        assertFalse(quarantine.update(0, old, fleet(5, 4), false));
        assertFalse(quarantine.update(1000, old, fleet(5, 5), false));
        assertEquals(Reason.LAGS, quarantine.reason());
        assertFalse(quarantine.update(10_900, old, fleet(5, 5), false));
        assertTrue(quarantine.update(11_100, old, fleet(5, 5), false));
        assertEquals(Reason.BEHIND, quarantine.reason());
        assertTrue(quarantine.update(12_000, new FileVersion(5, 5), fleet(5, 5), false), "still on probation");
        assertTrue(quarantine.update(15_900, new FileVersion(5, 5), fleet(5, 5), false),
                "twice the probation, as it was in service for a short time only");
        assertFalse(quarantine.update(16_100, new FileVersion(5, 5), fleet(5, 5), false));
        assertEquals(Reason.IN, quarantine.reason());
    }

    @Test
    void higherNumberAndOtherTextAreToldApartUnlessCoordinated() {
        Quarantine quarantine = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        assertFalse(quarantine.update(0, new FileVersion(9, 9), fleet(5, 5), true));
        assertFalse(quarantine.update(20_000, new FileVersion(9, 9), fleet(5, 5), true));
        quarantine.update(21_000, new FileVersion(9, 9), fleet(5, 5), false);
        assertTrue(quarantine.update(31_500, new FileVersion(9, 9), fleet(5, 5), false));
        assertEquals(Reason.AHEAD, quarantine.reason());
        assertTrue(quarantine.update(32_000, new FileVersion(5, 6), fleet(5, 5), false));
        assertEquals(Reason.OTHER_TEXT, quarantine.reason());
    }

    /**
     * Of five proxies at most one may be out of service. Of two that lag the one with the lower number goes; if one is
     * silent, none does.
     */
    @Test
    void numberOfProxiesOutOfServiceIsLimited() {
        List<Peer> peers = List.of(peer(0, 4), peer(1, 5), peer(3, 5), peer(4, 5));
        Quarantine second = new Quarantine(2, 5, 0, Quarantine.Limits.DEFAULT);
        second.update(0, new FileVersion(4, 4), peers, false);
        assertFalse(second.update(20_000, new FileVersion(4, 4), peers, false));
        assertEquals(Reason.TOO_MANY, second.reason());
        Quarantine first = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        List<Peer> others = List.of(peer(1, 5), peer(2, 4), peer(3, 5), peer(4, 5));
        first.update(0, new FileVersion(4, 4), others, false);
        assertTrue(first.update(20_000, new FileVersion(4, 4), others, false));
        Quarantine third = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        third.update(0, new FileVersion(4, 4), fleet(4, 5), false);
        assertFalse(third.update(20_000, new FileVersion(4, 4), fleet(4, 5), false));
    }

    @Test
    void cutOffProxyServesOrNotAsConfigured() {
        Quarantine serving = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        serving.update(0, FIRST, fleet(5, 1), false);
        assertFalse(serving.isOutOfService(60_000));
        Quarantine.Limits strict = new Quarantine.Limits(10_000, 5000, CutOffAction.STEP_ASIDE, 0.34, 2000);
        Quarantine leaving = new Quarantine(0, 5, 0, strict);
        for (double now = 0; now <= 20_000; now += 500) {
            assertFalse(leaving.update(now, FIRST, fleet(5, 1), false));
        }
        assertFalse(leaving.isOutOfService(24_900));
        assertTrue(leaving.isOutOfService(25_100), "by the clock alone, before any update");
        assertTrue(leaving.update(25_200, FIRST, fleet(5, 1), false), "still on probation");
        assertFalse(leaving.update(27_300, FIRST, fleet(5, 1), false));
    }

    /** The probation doubles each time that the proxy is soon out of service again. */
    @Test
    void probationOfAFlappingProxyGrows() {
        Quarantine quarantine = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        quarantine.update(0, FIRST, fleet(5, 1), false);
        double now = 100_000;
        List<Double> probations = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            while (!quarantine.update(now, FIRST, fleet(5, 2), false)) {
                now += 100;
            }
            double since = now;
            while (quarantine.update(now, new FileVersion(2, 2), fleet(5, 2), false)) {
                now += 100;
            }
            probations.add(now - since);
        }
        assertEquals(List.of(2000.0, 4000.0, 8000.0, 16_000.0), probations);
    }

    @Test
    void policyThatCannotWorkIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(0.5), 1, 1, 0, 0.3, 1, 100));
        assertThrows(IllegalArgumentException.class,
                () -> new RolloutPolicy(List.of(0.5, 0.2, 1.0), 1, 1, 0, 0.3, 1, 100));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(1.0), 1, 1, 0, 0.5, 1, 100));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(1.0), 50, 1, 0, 0.3, 50, 100));
    }
}
