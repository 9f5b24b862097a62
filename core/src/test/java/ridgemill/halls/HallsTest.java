package ridgemill.halls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ridgemill.halls.Halls.Across;
import ridgemill.halls.Halls.AsHome;
import ridgemill.halls.Halls.Ask;
import ridgemill.halls.Halls.CannotSay;
import ridgemill.halls.Halls.CrossingEnd;
import ridgemill.halls.Halls.Fail;
import ridgemill.halls.Halls.Home;
import ridgemill.halls.Halls.HomeEnd;
import ridgemill.halls.Halls.Nothing;
import ridgemill.halls.Halls.RanIn;
import ridgemill.halls.Halls.Refuse;
import ridgemill.halls.Halls.Told;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ServiceClass;

/** The decisions between halls, one at a time, on passed-in time. */
class HallsTest {

    private static final ServiceClass READ = new ServiceClass("reading", 500, 0, 1000, 1, 0, Effect.SAFE, DeduplicationScope.ALL, 0, false);
    private static final ServiceClass CREDIT = new ServiceClass("credit", 500, 0, 1000, 1, 0, Effect.KEYED, DeduplicationScope.ALL, 6000, false);
    private static final double LATER = 1_000_000;
    private int ids;

    private static HallPolicy policy(Set<String> classes, Set<String> sharing, double perS, int inFlight) {
        Map<String, List<String>> others = new LinkedHashMap<>();
        others.put("b", List.of("b0", "b1"));
        others.put("c", List.of("c0"));
        return new HallPolicy("a", others, classes, sharing, perS, inFlight, 100, 2, 30_000);
    }

    private static Halls halls(HallPolicy policy) {
        Halls h = new Halls(policy, 0);
        policy.all().forEach(g -> h.link(g, LinkPulse.State.UP, 10));
        return h;
    }

    private static Halls halls() {
        return halls(policy(Set.of(), Set.of(), 1000, 100));
    }

    private Passing own(ServiceClass service, String key, boolean retry, double now) {
        return new Passing("r" + ids++, service, key, retry, Trail.OWN, now + 1000);
    }

    @Test
    void whatHomeRefusesGoesToThePreferredHallAndTheNextIfThatRefuses() {
        Halls h = halls();
        Passing p = own(READ, null, false, LATER);
        assertEquals(new Home(0), h.arrived(LATER, p));
        Across first = assertInstanceOf(Across.class, h.homeEnded(LATER + 5, p, HomeEnd.REFUSED, true));
        assertEquals("b", first.hall());
        assertTrue(first.timeoutMs() > 900 && first.timeoutMs() < 995, first.toString());
        assertEquals(List.of("a"), p.onward("a").halls());
        Across second = assertInstanceOf(Across.class, h.crossingEnded(LATER + 30, p, CrossingEnd.REFUSED, 0, List.of()));
        assertEquals("c", second.hall());
        assertEquals(List.of("b", "a"), p.onward("a").halls(), "the next hall knows that it was in that one");
        assertInstanceOf(AsHome.class, h.crossingEnded(LATER + 60, p, CrossingEnd.REFUSED, 0, List.of()));
    }

    @Test
    void nothingBeginsWhileAnAttemptMayBeOut() {
        Halls h = halls();
        Passing p = own(READ, null, false, LATER);
        h.arrived(LATER, p);
        assertInstanceOf(AsHome.class, h.homeEnded(LATER + 5, p, HomeEnd.UNPROVEN, false), "home has one out still");
        assertTrue(p.mayBeOut());
        Passing q = own(READ, null, false, LATER);
        h.arrived(LATER, q);
        h.homeEnded(LATER + 5, q, HomeEnd.REFUSED, true);
        assertEquals(new Refuse(250, false), h.crossingEnded(LATER + 40, q, CrossingEnd.LOST, 0, List.of()));
    }

    @Test
    void aCreditThatMayHaveRunStaysUnlessTheHallsShareTheirMemory() {
        Halls alone = halls();
        Passing p = own(CREDIT, "k", false, LATER);
        alone.arrived(LATER, p);
        assertInstanceOf(AsHome.class, alone.homeEnded(LATER + 5, p, HomeEnd.FAILED, true));
        Halls sharing = halls(policy(Set.of(), Set.of("c"), 1000, 100));
        Passing q = own(CREDIT, "k", false, LATER);
        sharing.arrived(LATER, q);
        assertEquals("c", assertInstanceOf(Across.class, sharing.homeEnded(LATER + 5, q, HomeEnd.FAILED, true)).hall());
        assertInstanceOf(Fail.class, sharing.crossingEnded(LATER + 9, q, CrossingEnd.LOST, 0, List.of()));
    }

    @Test
    void aCreditThatMayHaveRunElsewhereGoesThereWhileItIsRemembered() {
        Halls h = halls();
        Passing p = own(CREDIT, "k", false, LATER);
        h.arrived(LATER, p);
        assertEquals("b", assertInstanceOf(Across.class, h.homeEnded(LATER + 5, p, HomeEnd.REFUSED, true)).hall());
        assertInstanceOf(Fail.class, h.crossingEnded(LATER + 900, p, CrossingEnd.LOST, 0, List.of()));
        Passing again = own(CREDIT, "k", true, LATER + 1000);
        assertEquals("b", assertInstanceOf(Across.class, h.arrived(LATER + 1000, again)).hall());
        h.crossingEnded(LATER + 1100, again, CrossingEnd.REFUSED, 0, List.of());
        Passing short5 = own(CREDIT, "k", true, LATER + 5500);
        Across late = assertInstanceOf(Across.class, h.arrived(LATER + 5500, short5));
        assertTrue(late.timeoutMs() < 450, "its time ends before the nodes forget: " + late);
        h.crossingEnded(LATER + 5510, short5, CrossingEnd.LOST, 0, List.of());
        assertInstanceOf(Fail.class, h.arrived(LATER + 6100, own(CREDIT, "k", true, LATER + 6100)), "they may have forgotten it");
        h.link("b0", LinkPulse.State.STALLED, 10);
        h.link("b1", LinkPulse.State.DEAD, 10);
        Passing cut = own(CREDIT, "k2", false, LATER + 7000);
        h.arrived(LATER + 7000, cut);
        assertEquals("c", assertInstanceOf(Across.class, h.homeEnded(LATER + 7000, cut, HomeEnd.REFUSED, true)).hall());
    }

    @Test
    void aRetryThatNobodyKnowsIsAskedForAndRunsWhereItRan() {
        Halls h = halls();
        Passing p = own(CREDIT, "k", true, LATER);
        Ask ask = assertInstanceOf(Ask.class, h.arrived(LATER, p));
        assertEquals(List.of("b0", "b1", "c0"), ask.gateways());
        assertInstanceOf(Refuse.class, h.asked(LATER + 20, p, ask.gateways(), Map.of("b0", new Nothing(), "b1", new Nothing())),
                "one has not answered");
        Passing q = own(CREDIT, "k", true, LATER + 100);
        h.arrived(LATER + 100, q);
        assertEquals("c", assertInstanceOf(Across.class, h.asked(LATER + 120, q, ask.gateways(), Map.of("b0", new Nothing(), "b1",
                new Nothing(), "c0", new RanIn("c", 500)))).hall());
        h.crossingEnded(LATER + 130, q, CrossingEnd.SERVED, 0, List.of());
        Passing r = own(CREDIT, "other", true, LATER + 200);
        h.arrived(LATER + 200, r);
        assertEquals(new Home(0), h.asked(LATER + 220, r, ask.gateways(), Map.of("b0", new Nothing(), "b1", new Nothing(), "c0",
                new Nothing())));
        assertInstanceOf(AsHome.class, h.homeEnded(LATER + 230, r, HomeEnd.REFUSED, true),
                "it may have run here through a gateway beside this one: it does not leave");
        Passing s = own(CREDIT, "both", true, LATER + 300);
        h.arrived(LATER + 300, s);
        assertInstanceOf(Refuse.class, h.asked(LATER + 320, s, ask.gateways(), Map.of("b0", new RanIn("b", 10), "b1", new Nothing(), "c0",
                new RanIn("c", 500))), "two say that it ran with them");
    }

    @Test
    void whoSaysThatItKnowsNothingDoesNotRunIt() {
        Halls h = halls();
        assertInstanceOf(CannotSay.class, halls().keyAsked(100, "k", "b", 6000), "what ran before its start it can't know");
        assertInstanceOf(CannotSay.class, h.keyAsked(LATER, "k", "nobody", 6000));
        assertInstanceOf(Nothing.class, h.keyAsked(LATER, "k", "b", 6000));
        assertInstanceOf(Ask.class, h.arrived(LATER + 10, own(CREDIT, "k", false, LATER)), "even a first try asks in its turn");
        Passing ran = own(CREDIT, "here", false, LATER);
        h.arrived(LATER, ran);
        h.homeEnded(LATER + 5, ran, HomeEnd.SERVED, true);
        assertEquals(new RanIn("a", 100), h.keyAsked(LATER + 100, "here", "b", 6000));
        // Two that ask each other: the one with the lesser name goes on.
        Passing p = own(CREDIT, "x", true, LATER);
        h.arrived(LATER, p);
        assertInstanceOf(CannotSay.class, h.keyAsked(LATER, "x", "b", 6000));
    }

    @Test
    void aGatewayThatRefusesConnectionsForLongIsNotAskedAndOneThatIsSilentIs() {
        Halls h = halls();
        h.noConnection(LATER, "b0", true);
        assertInstanceOf(Refuse.class, h.arrived(LATER + 100, own(CREDIT, "k", true, LATER + 100)));
        h.noConnection(LATER + 31_000, "b0", true);
        assertEquals(List.of("b1", "c0"), assertInstanceOf(Ask.class, h.arrived(LATER + 31_000, own(CREDIT, "k2", true, LATER + 31_000)))
                .gateways());
        h.noConnection(LATER + 32_000, "b0", false);
        assertInstanceOf(Refuse.class, h.arrived(LATER + 90_000, own(CREDIT, "k3", true, LATER + 90_000)), "cut off, it may run anything");
    }

    @Test
    void aRequestEntersAHallOnceAndLoopsEndAtOnce() {
        Halls h = halls();
        Passing back = new Passing("x", READ, null, false, new Trail(List.of("a", "b"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.arrived(LATER, back));
        Passing far = new Passing("y", READ, null, false, new Trail(List.of("b", "c", "d"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.arrived(LATER, far), "past the limit of hops");
        Passing once = new Passing("z", READ, null, false, new Trail(List.of("b"), Set.of()), LATER + 1000);
        assertInstanceOf(Home.class, h.arrived(LATER, once));
        assertEquals("c", assertInstanceOf(Across.class, h.homeEnded(LATER + 5, once, HomeEnd.REFUSED, true)).hall());
        Passing twice = new Passing("z", READ, null, false, new Trail(List.of("c"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.arrived(LATER + 10, twice));
        assertEquals(3, h.counts().loops());
        Passing credit = new Passing("w", CREDIT, "k", false, new Trail(List.of("b"), Set.of()), LATER + 1000);
        h.arrived(LATER, credit);
        assertInstanceOf(AsHome.class, h.homeEnded(LATER + 5, credit, HomeEnd.REFUSED, true), "a credit crosses once");
    }

    @Test
    void classesBudgetAndTimeBoundWhatCrosses() {
        Halls only = halls(policy(Set.of("credit"), Set.of(), 1000, 100));
        Passing p = own(READ, null, false, LATER);
        only.arrived(LATER, p);
        assertInstanceOf(AsHome.class, only.homeEnded(LATER + 5, p, HomeEnd.REFUSED, true));
        assertInstanceOf(Refuse.class, only.arrived(LATER, new Passing("f", READ, null, false, new Trail(List.of("b"), Set.of()),
                LATER + 1000)), "nor does it come in");
        Halls reads = halls(policy(Set.of("reading"), Set.of(), 1000, 100));
        reads.policy().all().forEach(g -> reads.link(g, LinkPulse.State.DEAD, 10));
        assertInstanceOf(Home.class, reads.arrived(LATER, own(CREDIT, "k", true, LATER)), "nobody is asked of what never crosses");
        Halls poor = halls(policy(Set.of(), Set.of(), 4, 100));
        int across = 0;
        for (int i = 0; i < 40; i++) {
            Passing q = own(READ, null, false, LATER + i * 50);
            if (poor.arrived(LATER + i * 50, q) instanceof Home) {
                across += poor.homeEnded(LATER + i * 50, q, HomeEnd.REFUSED, true) instanceof Across ? 1 : 0;
                if (q.gateway != null) {
                    poor.crossingEnded(LATER + i * 50, q, CrossingEnd.SERVED, 0, List.of());
                }
            } else if (q.gateway != null) {
                across++;
                poor.crossingEnded(LATER + i * 50, q, CrossingEnd.SERVED, 0, List.of());
            }
        }
        assertTrue(across >= 7 && across <= 10, across + " in 2 s at 4/s");
        Halls slow = halls();
        slow.policy().all().forEach(g -> slow.link(g, LinkPulse.State.UP, 600));
        Passing s = new Passing("s", READ, null, false, Trail.OWN, LATER + 500);
        slow.arrived(LATER, s);
        assertInstanceOf(AsHome.class, slow.homeEnded(LATER + 5, s, HomeEnd.REFUSED, true), "there and back takes longer than it has");
    }

    @Test
    void aHallThatSaysSoIsLeftAloneWhileItsWordIsFresh() {
        Halls h = halls();
        h.told(LATER, "b0", new Told(0, false, false));
        h.told(LATER, "b1", new Told(0, true, true));
        Passing p = own(READ, null, false, LATER);
        h.arrived(LATER, p);
        assertEquals("c", assertInstanceOf(Across.class, h.homeEnded(LATER + 5, p, HomeEnd.REFUSED, true)).hall());
        Passing q = own(READ, null, false, LATER + 5000);
        h.arrived(LATER + 5000, q);
        assertEquals("b", assertInstanceOf(Across.class, h.homeEnded(LATER + 5005, q, HomeEnd.REFUSED, true)).hall(), "old news is none");
    }

    @Test
    void aClassLeavesAHomeThatFailsAndComesBackByDegreesWithoutSwinging() {
        Homeward w = new Homeward(false);
        double now = 0;
        for (int i = 0; w.state() == Homeward.State.HOME; i++, now += 10) {
            assertTrue(w.homeFirst(now));
            w.outcome(now, i % 3 == 0);
        }
        assertTrue(now < 200, "away after " + now);
        int looks = 0;
        for (int i = 0; i < 300; i++, now += 10) {
            if (w.homeFirst(now)) {
                looks++;
                w.outcome(now, false);
            }
        }
        assertTrue(looks >= 4 && looks <= 7, looks + " looks in 3 s");
        while (w.state() == Homeward.State.AWAY) {
            now += 10;
            if (w.homeFirst(now)) {
                w.outcome(now, true);
            }
        }
        double back = now;
        int first = 0;
        for (int i = 0; i < 90; i++, now += 10) {
            if (w.homeFirst(now)) {
                first++;
                w.outcome(now, true);
            }
        }
        assertTrue(first >= 5 && first <= 12, first + " of 90 in the first second");
        while (w.state() == Homeward.State.RETURNING) {
            now += 10;
            if (w.homeFirst(now)) {
                w.outcome(now, true);
            }
        }
        assertEquals(Homeward.State.HOME, w.state());
        assertTrue(now - back >= 3000 && now - back < 6000, "back after " + (now - back));
        // A quarter that fails is no reason to go, and a home that fails each time it is tried is tried ever more seldom.
        for (int i = 0; i < 400; i++, now += 10) {
            w.outcome(now, i % 4 != 0);
            assertEquals(Homeward.State.HOME, w.state());
        }
        int returns = 0;
        double end = now + 120_000;
        Homeward.State before = w.state();
        for (; now < end; now += 10) {
            if (w.homeFirst(now)) {
                w.outcome(now, w.state() == Homeward.State.AWAY);
            }
            returns += w.state() == Homeward.State.RETURNING && before != w.state() ? 1 : 0;
            before = w.state();
        }
        assertTrue(returns < 12, returns + " returns in two minutes");
    }

    @Test
    void aWindowGrowsWithWhatIsServedAndFallsOnceForRefusalsThatBelongTogether() {
        CrossingWindow w = new CrossingWindow(50);
        for (int i = 0; i < 200; i++) {
            int out = 0;
            while (w.takes(i * 20)) {
                w.started(i * 20);
                out++;
            }
            for (int j = 0; j < out; j++) {
                w.served();
            }
        }
        assertEquals(50, w.size());
        for (int i = 0; i < 50; i++) {
            w.started(5000);
        }
        for (int i = 0; i < 50; i++) {
            w.refused(5001 + i);
        }
        assertEquals(35, w.size());
        w.started(6000);
        w.lost(6000);
        assertEquals(4, w.size());
        assertEquals(0, w.out());
        CrossingWindow idle = new CrossingWindow(50);
        for (int i = 0; i < 10; i++) {
            idle.started(0);
        }
        for (int i = 0; i < 10; i++) {
            idle.served();
        }
        int size = idle.size();
        assertTrue(idle.takes(60_000));
        assertTrue(idle.size() < size || size == 4, "what it took a minute ago says little");
    }

    @Test
    void ownClientsComeFirst() {
        ForeignShare s = new ForeignShare(100);
        double now = 0;
        int admitted = 0;
        for (int i = 0; i < 500; i++, now += 10) {
            s.own(now, true);
            while (s.admit(now)) {
                admitted++;
            }
        }
        assertTrue(s.open() > 50, s.open() + " let in while own clients are served");
        for (int i = 0; i < 300; i++, now += 10) {
            s.own(now, i % 5 != 0);
            if (s.open() > 0) {
                s.ended();
            }
        }
        assertEquals(0, s.size(), "a fifth of the own is not served");
        assertFalse(s.admit(now));
        for (int i = 0; i < 200; i++, now += 10) {
            s.own(now, true);
            s.admit(now);
        }
        assertTrue(s.size() > 0 && s.open() > 0, "they are served again");
        assertTrue(admitted > 0);
    }

    @Test
    void aMessageThatWasHeldBackIsSeenToBeOld() {
        TransitClock c = new TransitClock();
        double offset = -123_456;
        assertEquals(0, c.excessMs(1000, 1000 + offset + 30));
        assertEquals(5, c.excessMs(1100, 1100 + offset + 35), 1e-6);
        assertEquals(10_000, c.excessMs(1200, 1200 + offset + 10_030), 1e-6);
        assertEquals(0, c.excessMs(20_000, 20_000 + offset + 20), 1e-6);
        // Two clocks that drift by 100 in a million: after an hour that is 360 ms, and no message is taken for that old.
        double worst = 0;
        for (double t = 30_000; t < 3_600_000; t += 1000) {
            worst = Math.max(worst, c.excessMs(t, t * 1.0001 + offset + 20));
        }
        assertTrue(worst < 30, "drift taken for age: " + worst);
    }

    @Test
    void aLinkThatDoesNotAnswerIsStalledAndThenGivenUp() {
        LinkPulse p = new LinkPulse();
        for (int i = 0; i < 20; i++) {
            p.asked(i * 250);
            p.answered(i * 250 + 20);
        }
        assertEquals(20, p.rttMs(), 0.5);
        assertEquals(20, p.leastMs());
        p.asked(5000);
        assertEquals(LinkPulse.State.UP, p.state(5200));
        assertEquals(LinkPulse.State.STALLED, p.state(5400));
        assertEquals(LinkPulse.State.DEAD, p.state(8100));
        p.answered(8050);
        assertEquals(LinkPulse.State.UP, p.state(8100));
        LinkPulse slow = new LinkPulse();
        for (int i = 0; i < 40; i++) {
            slow.asked(i * 2000);
            slow.answered(i * 2000 + 900);
        }
        slow.asked(100_000);
        assertEquals(LinkPulse.State.UP, slow.state(101_000), "slow is not stalled");
    }

    @Test
    void theLedgerForgetsInTimeAndSaysSoWhenItIsFull() {
        RepeatLedger l = new RepeatLedger();
        l.note(0, "k", "b", 0, 6000);
        assertEquals("b", l.find(11_999, "k").hall());
        assertEquals(null, l.find(12_000, "k"));
        for (int i = 0; i < 200_000; i++) {
            l.note(20_000, "k" + i, "b", 20_000, 6000);
        }
        assertEquals(null, l.note(20_001, "one-more", "b", 20_001, 6000));
        assertEquals("b", l.find(20_001, "k7").hall());
        l.note(40_000, "again", "b", 40_000, 6000);
        assertEquals(1, l.size());
    }
}
