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

/** One proxy's part by itself: what it obeys, what it takes for a text, when it steps aside. */
class RollTest {

    private static final FileVersion BASE = new FileVersion(1, 11);
    private static final FileVersion ONE = new FileVersion(1, 1);
    private static final String TEXT = "version = 2\n".repeat(100);
    private static final String OLD = "version = 3\n".repeat(100);
    private static final FileFingerprint TARGET = FileFingerprint.of(2, 22, TEXT);
    private static final FileFingerprint BACK = FileFingerprint.of(3, 33, OLD);
    private static final Plan PLAN = new Plan(BASE, TARGET, BACK);

    /** Keeps what it is told to do, and does none of it. */
    private static class Kept implements Rollout.Callbacks {
        private final List<RolloutMessage> said = new ArrayList<>();
        private final List<FileFingerprint> acts = new ArrayList<>();
        private FileVersion acting = BASE;

        @Override
        public long term() {
            return 0;
        }

        @Override
        public void sendMessage(int to, RolloutMessage word) {
            said.add(word);
        }

        @Override
        public void validate(FileFingerprint stamp, String text) { }

        @Override
        public void apply(FileFingerprint stamp, String text, double byMs, long term) {
            acts.add(stamp);
        }

        @Override
        public void notifyOperators(String words) { }

        @Override
        public FileVersion versionInEffect() {
            return acting;
        }

        @Override
        public boolean isOutOfService() {
            return false;
        }

        @Override
        public Rollout.Counts counts() {
            return new Rollout.Counts(5, 6);
        }

        <T> List<T> all(Class<T> kind) {
            return said.stream().filter(kind::isInstance).map(kind::cast).toList();
        }
    }

    private final Kept kept = new Kept();
    private final Rollout roll = new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, kept);
    private int number;

    private RolloutMessage.Order order(double mark, int incarnation, long term, int at, Action what) {
        return new RolloutMessage.Order((int) mark, incarnation, new Progress(PLAN, term, at, Action.FORWARD, 1, false), what);
    }

    /** Has both texts sent to it, piece by piece, and found good. */
    private void stage(double now) {
        Shelf holder = new Shelf();
        holder.put(TARGET, TEXT);
        holder.put(BACK, OLD);
        roll.receive(now, 1, order(now, 77, 4, ++number, Action.HOLD), false);
        for (double t = now; t < now + 1000; t += 50) {
            kept.said.clear();
            roll.tick(t, false, List.of(1), false);
            kept.all(RolloutMessage.ChunkRequest.class).forEach(w -> holder.pieces(w).forEach(p -> roll.receive(now, 1, p, false)));
        }
        roll.validated(now, TARGET, "");
        roll.validated(now, BACK, "");
    }

    @Test
    void whatIsSaidComesBackWholeOrNotAtAll() {
        Progress stage = new Progress(PLAN, 1L << 40, 7, Action.BACK, 2, true);
        List<RolloutMessage> words = List.of(new RolloutMessage.ReportRequest(9), new RolloutMessage.Report(1, 2, BASE, null, false, null, true, 3, 4),
                new RolloutMessage.Report(-1, 2, BASE, stage, true, "line 3: it is not understood", false, 3, 4), new RolloutMessage.Order(5, 6, stage, Action.HOLD),
                new RolloutMessage.ChunkRequest(99, List.of(0, 3, 300)), new RolloutMessage.VersionQuery(4), new RolloutMessage.VersionReply(TARGET));
        for (RolloutMessage word : words) {
            byte[] d = RolloutWire.encode(word);
            assertTrue(d.length <= 256 && d.length % 4 == 3, word::toString);
            assertEquals(Optional.of(word), RolloutWire.decode(d));
            for (int bit = 0; bit < 8 * d.length; bit++) {
                byte[] spoilt = d.clone();
                spoilt[bit / 8] ^= (byte) (1 << bit % 8);
                assertTrue(RolloutWire.decode(spoilt).isEmpty() || bit / 8 >= d.length - 3);
            }
        }
        byte[] piece = RolloutWire.encode(new RolloutMessage.Chunk(8, 2, new byte[RolloutWire.CHUNK_BYTES]));
        assertTrue(piece.length <= 256);
        assertTrue(RolloutWire.decode(piece).isPresent());
        String longest = "x".repeat(300);
        assertEquals(72, ((RolloutMessage.Report) RolloutWire.decode(RolloutWire.encode(new RolloutMessage.Report(1, 2, BASE, stage, true, longest, false, 3, 4))).orElseThrow())
                .rejection().length());
    }

    @Test
    void anOrderIsObeyedOnceItsTextsAreGood() {
        stage(100);
        roll.receive(1200, 1, order(1150, 77, 4, ++number, Action.FORWARD), false);
        assertEquals(List.of(TARGET), kept.acts);
        kept.said.clear();
        roll.receive(1200, 1, new RolloutMessage.ReportRequest(4), false);
        RolloutMessage.Report report = kept.all(RolloutMessage.Report.class).get(0);
        assertEquals(List.of(5, 6), List.of(report.served(), report.ended()));
    }

    @Test
    void anOrderOfAnOlderTermIsNotObeyed() {
        stage(100);
        roll.receive(1200, 2, new RolloutMessage.ReportRequest(5), false);
        roll.receive(1200, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), kept.acts);
    }

    @Test
    void anOrderThatWasSaidBeforeIsNotObeyed() {
        stage(100);
        roll.receive(1200, 1, order(1150, 77, 4, number, Action.FORWARD), false);
        assertEquals(List.of(), kept.acts);
    }

    @Test
    void anOrderThatAnswersWhatWasSaidLongAgoIsNotObeyed() {
        stage(100);
        roll.receive(9000, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), kept.acts);
        assertEquals("1 orders refused as old", roll.explain().get(1));
    }

    @Test
    void anOrderForTheProcessBeforeIsNotObeyed() {
        stage(100);
        roll.receive(1200, 1, order(1150, 78, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), kept.acts);
    }

    /** It was stopped between hearing the order and having the text. */
    @Test
    void anOrderIsNotObeyedLongAfter() {
        roll.receive(100, 1, order(100, 77, 4, ++number, Action.FORWARD), false);
        stage(3000);
        assertEquals(List.of(), kept.acts, "the order to stage was the last");
        roll.receive(4100, 1, order(4100, 77, 4, 50, Action.FORWARD), false);
        kept.acts.clear();
        roll.applied(4200, TARGET, "too late", true);
        roll.tick(9000, false, List.of(1), false);
        assertEquals(List.of(), kept.acts);
    }

    @Test
    void aNumberThatIsActedUnderIsNeverGoneBackFrom() {
        stage(100);
        kept.acting = new FileVersion(9, 99);
        roll.receive(1200, 1, order(1150, 77, 4, 100, Action.FORWARD), false);
        assertEquals(List.of(), kept.acts);
    }

    @Test
    void aTextThatIsNotItsDigestsIsAskedForAgain() {
        Shelf shelf = new Shelf();
        Shelf liar = new Shelf();
        String other = TEXT.replace('2', '7');
        liar.put(FileFingerprint.of(2, 22, other), other);
        List<Integer> all = shelf.missing(TARGET, 100);
        assertEquals((TEXT.length() + RolloutWire.CHUNK_BYTES - 1) / RolloutWire.CHUNK_BYTES, all.size());
        liar.pieces(new RolloutMessage.ChunkRequest(FileFingerprint.of(2, 22, other).hashHigh(), all)).forEach(p -> shelf.take(TARGET, new RolloutMessage.Chunk(TARGET.hashHigh(), p.index(), p.bytes())));
        assertNull(shelf.text(TARGET));
        assertEquals(all, shelf.missing(TARGET, 100));
        Shelf holder = new Shelf();
        holder.put(TARGET, TEXT);
        holder.pieces(new RolloutMessage.ChunkRequest(TARGET.hashHigh(), all)).forEach(p -> shelf.take(TARGET, p));
        assertEquals(TEXT, shelf.text(TARGET));
        shelf.take(TARGET, new RolloutMessage.Chunk(TARGET.hashHigh(), 4000, new byte[3]));
    }

    /** However many rolls are given up, what this proxy acts under is there for others, and for the way back. */
    @Test
    void whatIsActedUnderStays() {
        FileFingerprint base = FileFingerprint.of(1, 11, "version = 1\n");
        roll.setInEffect(base, "version = 1\n");
        for (int i = 0; i < 20; i++) {
            FileFingerprint other = FileFingerprint.of(2 + i, i, TEXT + i);
            Plan plan = new Plan(BASE, other, BACK);
            Shelf holder = new Shelf();
            holder.put(other, TEXT + i);
            roll.receive(100, 1, new RolloutMessage.Order(100, 77, new Progress(plan, 4, ++number, Action.FORWARD, 0, false), Action.HOLD), false);
            for (double t = 100; t < 1100; t += 100) {
                kept.said.clear();
                roll.tick(2000 * i + t, false, List.of(1), false);
                kept.all(RolloutMessage.ChunkRequest.class).forEach(w -> holder.pieces(w).forEach(p -> roll.receive(100, 1, p, false)));
            }
        }
        assertEquals("version = 1\n", roll.textInEffect());
    }

    @Test
    void oneRollAtATime() {
        assertTrue(roll.begin(TARGET, TEXT, BACK, OLD).startsWith("begun"));
        assertTrue(roll.begin(TARGET, TEXT, BACK, OLD).startsWith("no: a roll is under way"));
        assertTrue(new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, kept).begin(FileFingerprint.of(1, 5, TEXT), TEXT, BACK, OLD).startsWith("no: number 1 "));
    }

    /** Whoever conducts next may not use a number again on which one of whom nothing is heard may have acted. */
    @Test
    void aNumberThatWasGivenUpStaysUsed() {
        List<String> says = new ArrayList<>();
        Kept out = new Kept() {
            @Override
            public long term() {
                return 6;
            }

            @Override
            public void notifyOperators(String words) {
                says.add(words);
            }
        };
        Rollout conducts = new Rollout(0, 3, 77, 0, RolloutPolicy.DEFAULT, out);
        conducts.begin(TARGET, TEXT, BACK, OLD);
        conducts.tick(0, true, List.of(1, 2), false);
        Progress givenUp = new Progress(new Plan(BASE, FileFingerprint.of(2, 44, "another"), FileFingerprint.of(3, 55, "back")), 5, 9, Action.CANCEL, 1, true);
        conducts.receive(10, 1, new RolloutMessage.Report(1, 1, BASE, givenUp, false, null, false, 1, 1), false);
        conducts.receive(10, 2, new RolloutMessage.Report(1, 1, BASE, null, false, null, false, 1, 1), false);
        conducts.tick(20, true, List.of(1, 2), false);
        assertEquals(List.of("the roll of " + TARGET.text() + " is not begun: number 3 is known already"), says);
    }

    private static Peer peer(int member, int file) {
        return new Peer(member, new FileVersion(file, file), true, false);
    }

    private static List<Peer> fleet(int members, int file) {
        List<Peer> peers = new ArrayList<>();
        for (int i = 1; i < members; i++) {
            peers.add(peer(i, file));
        }
        return peers;
    }

    @Test
    void whoLagsForTooLongStepsAsideUntilItDoesNot() {
        FileVersion old = new FileVersion(4, 4);
        Quarantine aside = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        assertFalse(aside.update(0, old, fleet(5, 4), false));
        assertFalse(aside.update(1000, old, fleet(5, 5), false));
        assertEquals(Reason.LAGS, aside.reason());
        assertFalse(aside.update(10_900, old, fleet(5, 5), false));
        assertTrue(aside.update(11_100, old, fleet(5, 5), false));
        assertEquals(Reason.BEHIND, aside.reason());
        assertTrue(aside.update(12_000, new FileVersion(5, 5), fleet(5, 5), false), "not before it has stayed so");
        assertTrue(aside.update(15_900, new FileVersion(5, 5), fleet(5, 5), false), "twice as long as ever, as it had not been in for long");
        assertFalse(aside.update(16_100, new FileVersion(5, 5), fleet(5, 5), false));
        assertEquals(Reason.IN, aside.reason());
    }

    @Test
    void aheadAndForkedAreToldApartAndWhoIsLedIsNeither() {
        Quarantine aside = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        assertFalse(aside.update(0, new FileVersion(9, 9), fleet(5, 5), true));
        assertFalse(aside.update(20_000, new FileVersion(9, 9), fleet(5, 5), true));
        aside.update(21_000, new FileVersion(9, 9), fleet(5, 5), false);
        assertTrue(aside.update(31_500, new FileVersion(9, 9), fleet(5, 5), false));
        assertEquals(Reason.AHEAD, aside.reason());
        assertTrue(aside.update(32_000, new FileVersion(5, 6), fleet(5, 5), false));
        assertEquals(Reason.OTHER_TEXT, aside.reason());
    }

    /** Of five at most one may be out: with two that lag the one with the lower number goes, and where one is silent nobody does. */
    @Test
    void notTooManyStepAside() {
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
    void whoIsCutOffServesOrNotAsItIsTold() {
        Quarantine serves = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        serves.update(0, ONE, fleet(5, 1), false);
        assertFalse(serves.isOutOfService(60_000));
        Quarantine.Limits strict = new Quarantine.Limits(10_000, 5000, CutOffAction.STEP_ASIDE, 0.34, 2000);
        Quarantine steps = new Quarantine(0, 5, 0, strict);
        for (double now = 0; now <= 20_000; now += 500) {
            assertFalse(steps.update(now, ONE, fleet(5, 1), false));
        }
        assertFalse(steps.isOutOfService(24_900));
        assertTrue(steps.isOutOfService(25_100), "by the clock alone, before it has looked at anything");
        assertTrue(steps.update(25_200, ONE, fleet(5, 1), false), "and it has to stay as the fleet is, first");
        assertFalse(steps.update(27_300, ONE, fleet(5, 1), false));
    }

    /** Who is out again soon has to stay for longer each time. */
    @Test
    void whoFlapsIsLetInEverLater() {
        Quarantine aside = new Quarantine(0, 5, 0, Quarantine.Limits.DEFAULT);
        aside.update(0, ONE, fleet(5, 1), false);
        double now = 100_000;
        List<Double> stays = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            while (!aside.update(now, ONE, fleet(5, 2), false)) {
                now += 100;
            }
            double from = now;
            while (aside.update(now, new FileVersion(2, 2), fleet(5, 2), false)) {
                now += 100;
            }
            stays.add(now - from);
        }
        assertEquals(List.of(2000.0, 4000.0, 8000.0, 16_000.0), stays);
    }

    @Test
    void policiesThatCantWorkAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(0.5), 1, 1, 0, 0.3, 1, 100));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(0.5, 0.2, 1.0), 1, 1, 0, 0.3, 1, 100));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(1.0), 1, 1, 0, 0.5, 1, 100));
        assertThrows(IllegalArgumentException.class, () -> new RolloutPolicy(List.of(1.0), 50, 1, 0, 0.3, 50, 100));
    }
}
