package ridgemill.datacenter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ridgemill.datacenter.DatacenterRouter.Forward;
import ridgemill.datacenter.DatacenterRouter.UseHomeAnswer;
import ridgemill.datacenter.DatacenterRouter.QueryKey;
import ridgemill.datacenter.DatacenterRouter.Indeterminate;
import ridgemill.datacenter.DatacenterRouter.ForwardOutcome;
import ridgemill.datacenter.DatacenterRouter.Fail;
import ridgemill.datacenter.DatacenterRouter.TryHome;
import ridgemill.datacenter.DatacenterRouter.HomeOutcome;
import ridgemill.datacenter.DatacenterRouter.NotSeen;
import ridgemill.datacenter.DatacenterRouter.MayHaveRun;
import ridgemill.datacenter.DatacenterRouter.Refuse;
import ridgemill.datacenter.DatacenterRouter.GatewayState;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.ServiceClass;

/** The decisions between halls, one at a time, on passed-in time. */
class DatacenterRouterTest {

    private static final ServiceClass READ = new ServiceClass("reading", 500, 0, 1000, 1, 0, Effect.SAFE, DeduplicationScope.ALL, 0, false);
    private static final ServiceClass CREDIT = new ServiceClass("credit", 500, 0, 1000, 1, 0, Effect.KEYED, DeduplicationScope.ALL, 6000, false);
    private static final double LATER = 1_000_000;
    private int ids;

    private static DatacenterPolicy policy(Set<String> classes, Set<String> sharing, double perS, int inFlight) {
        Map<String, List<String>> others = new LinkedHashMap<>();
        others.put("b", List.of("b0", "b1"));
        others.put("c", List.of("c0"));
        return new DatacenterPolicy("a", others, classes, sharing, perS, inFlight, 100, 2, 30_000);
    }

    private static DatacenterRouter halls(DatacenterPolicy policy) {
        DatacenterRouter h = new DatacenterRouter(policy, 0);
        policy.allGateways().forEach(g -> h.linkStateChanged(g, LinkHealth.State.UP, 10));
        return h;
    }

    private static DatacenterRouter halls() {
        return halls(policy(Set.of(), Set.of(), 1000, 100));
    }

    private RoutedRequest own(ServiceClass service, String key, boolean retry, double now) {
        return new RoutedRequest("r" + ids++, service, key, retry, DatacenterPath.LOCAL, now + 1000);
    }

    @Test
    void whatHomeRefusesGoesToThePreferredHallAndTheNextIfThatRefuses() {
        DatacenterRouter h = halls();
        RoutedRequest p = own(READ, null, false, LATER);
        assertEquals(new TryHome(0), h.requestArrived(LATER, p));
        Forward first = assertInstanceOf(Forward.class, h.homeEnded(LATER + 5, p, HomeOutcome.REFUSED, true));
        assertEquals("b", first.datacenter());
        assertTrue(first.timeoutMs() > 900 && first.timeoutMs() < 995, first.toString());
        assertEquals(List.of("a"), p.forwardedPath("a").datacenters());
        Forward second = assertInstanceOf(Forward.class, h.forwardEnded(LATER + 30, p, ForwardOutcome.REFUSED, 0, List.of()));
        assertEquals("c", second.datacenter());
        assertEquals(List.of("b", "a"), p.forwardedPath("a").datacenters(), "the next hall knows that it was in that one");
        assertInstanceOf(UseHomeAnswer.class, h.forwardEnded(LATER + 60, p, ForwardOutcome.REFUSED, 0, List.of()));
    }

    @Test
    void nothingBeginsWhileAnAttemptMayBeOut() {
        DatacenterRouter h = halls();
        RoutedRequest p = own(READ, null, false, LATER);
        h.requestArrived(LATER, p);
        assertInstanceOf(UseHomeAnswer.class, h.homeEnded(LATER + 5, p, HomeOutcome.UNPROVEN, false), "home has one out still");
        assertTrue(p.mayBeInProgress());
        RoutedRequest q = own(READ, null, false, LATER);
        h.requestArrived(LATER, q);
        h.homeEnded(LATER + 5, q, HomeOutcome.REFUSED, true);
        assertEquals(new Refuse(250, false), h.forwardEnded(LATER + 40, q, ForwardOutcome.LOST, 0, List.of()));
    }

    @Test
    void aCreditThatMayHaveRunStaysUnlessTheHallsShareTheirMemory() {
        DatacenterRouter alone = halls();
        RoutedRequest p = own(CREDIT, "k", false, LATER);
        alone.requestArrived(LATER, p);
        assertInstanceOf(UseHomeAnswer.class, alone.homeEnded(LATER + 5, p, HomeOutcome.FAILED, true));
        DatacenterRouter sharing = halls(policy(Set.of(), Set.of("c"), 1000, 100));
        RoutedRequest q = own(CREDIT, "k", false, LATER);
        sharing.requestArrived(LATER, q);
        assertEquals("c", assertInstanceOf(Forward.class, sharing.homeEnded(LATER + 5, q, HomeOutcome.FAILED, true)).datacenter());
        assertInstanceOf(Fail.class, sharing.forwardEnded(LATER + 9, q, ForwardOutcome.LOST, 0, List.of()));
    }

    @Test
    void aCreditThatMayHaveRunElsewhereGoesThereWhileItIsRemembered() {
        DatacenterRouter h = halls();
        RoutedRequest p = own(CREDIT, "k", false, LATER);
        h.requestArrived(LATER, p);
        assertEquals("b", assertInstanceOf(Forward.class, h.homeEnded(LATER + 5, p, HomeOutcome.REFUSED, true)).datacenter());
        assertInstanceOf(Fail.class, h.forwardEnded(LATER + 900, p, ForwardOutcome.LOST, 0, List.of()));
        RoutedRequest again = own(CREDIT, "k", true, LATER + 1000);
        assertEquals("b", assertInstanceOf(Forward.class, h.requestArrived(LATER + 1000, again)).datacenter());
        h.forwardEnded(LATER + 1100, again, ForwardOutcome.REFUSED, 0, List.of());
        RoutedRequest short5 = own(CREDIT, "k", true, LATER + 5500);
        Forward late = assertInstanceOf(Forward.class, h.requestArrived(LATER + 5500, short5));
        assertTrue(late.timeoutMs() < 450, "its time ends before the nodes forget: " + late);
        h.forwardEnded(LATER + 5510, short5, ForwardOutcome.LOST, 0, List.of());
        assertInstanceOf(Fail.class, h.requestArrived(LATER + 6100, own(CREDIT, "k", true, LATER + 6100)), "they may have forgotten it");
        h.linkStateChanged("b0", LinkHealth.State.STALLED, 10);
        h.linkStateChanged("b1", LinkHealth.State.DEAD, 10);
        RoutedRequest cut = own(CREDIT, "k2", false, LATER + 7000);
        h.requestArrived(LATER + 7000, cut);
        assertEquals("c", assertInstanceOf(Forward.class, h.homeEnded(LATER + 7000, cut, HomeOutcome.REFUSED, true)).datacenter());
    }

    @Test
    void aRetryThatNobodyKnowsIsAskedForAndRunsWhereItRan() {
        DatacenterRouter h = halls();
        RoutedRequest p = own(CREDIT, "k", true, LATER);
        QueryKey ask = assertInstanceOf(QueryKey.class, h.requestArrived(LATER, p));
        assertEquals(List.of("b0", "b1", "c0"), ask.gateways());
        assertInstanceOf(Refuse.class, h.keyStatusesReceived(LATER + 20, p, ask.gateways(), Map.of("b0", new NotSeen(), "b1", new NotSeen())),
                "one has not answered");
        RoutedRequest q = own(CREDIT, "k", true, LATER + 100);
        h.requestArrived(LATER + 100, q);
        assertEquals("c", assertInstanceOf(Forward.class, h.keyStatusesReceived(LATER + 120, q, ask.gateways(), Map.of("b0", new NotSeen(), "b1",
                new NotSeen(), "c0", new MayHaveRun("c", 500)))).datacenter());
        h.forwardEnded(LATER + 130, q, ForwardOutcome.SERVED, 0, List.of());
        RoutedRequest r = own(CREDIT, "other", true, LATER + 200);
        h.requestArrived(LATER + 200, r);
        assertEquals(new TryHome(0), h.keyStatusesReceived(LATER + 220, r, ask.gateways(), Map.of("b0", new NotSeen(), "b1", new NotSeen(), "c0",
                new NotSeen())));
        assertInstanceOf(UseHomeAnswer.class, h.homeEnded(LATER + 230, r, HomeOutcome.REFUSED, true),
                "it may have run here through a gateway beside this one: it does not leave");
        RoutedRequest s = own(CREDIT, "both", true, LATER + 300);
        h.requestArrived(LATER + 300, s);
        assertInstanceOf(Refuse.class, h.keyStatusesReceived(LATER + 320, s, ask.gateways(), Map.of("b0", new MayHaveRun("b", 10), "b1", new NotSeen(), "c0",
                new MayHaveRun("c", 500))), "two say that it ran with them");
    }

    @Test
    void whoSaysThatItKnowsNothingDoesNotRunIt() {
        DatacenterRouter h = halls();
        assertInstanceOf(Indeterminate.class, halls().answerKeyQuery(100, "k", "b", 6000), "what ran before its start it can't know");
        assertInstanceOf(Indeterminate.class, h.answerKeyQuery(LATER, "k", "nobody", 6000));
        assertInstanceOf(NotSeen.class, h.answerKeyQuery(LATER, "k", "b", 6000));
        assertInstanceOf(QueryKey.class, h.requestArrived(LATER + 10, own(CREDIT, "k", false, LATER)), "even a first try asks in its turn");
        RoutedRequest ran = own(CREDIT, "here", false, LATER);
        h.requestArrived(LATER, ran);
        h.homeEnded(LATER + 5, ran, HomeOutcome.SERVED, true);
        assertEquals(new MayHaveRun("a", 100), h.answerKeyQuery(LATER + 100, "here", "b", 6000));
        // Two that ask each other: the one with the lesser name goes on.
        RoutedRequest p = own(CREDIT, "x", true, LATER);
        h.requestArrived(LATER, p);
        assertInstanceOf(Indeterminate.class, h.answerKeyQuery(LATER, "x", "b", 6000));
    }

    @Test
    void aGatewayThatRefusesConnectionsForLongIsNotAskedAndOneThatIsSilentIs() {
        DatacenterRouter h = halls();
        h.connectionFailed(LATER, "b0", true);
        assertInstanceOf(Refuse.class, h.requestArrived(LATER + 100, own(CREDIT, "k", true, LATER + 100)));
        h.connectionFailed(LATER + 31_000, "b0", true);
        assertEquals(List.of("b1", "c0"), assertInstanceOf(QueryKey.class, h.requestArrived(LATER + 31_000, own(CREDIT, "k2", true, LATER + 31_000)))
                .gateways());
        h.connectionFailed(LATER + 32_000, "b0", false);
        assertInstanceOf(Refuse.class, h.requestArrived(LATER + 90_000, own(CREDIT, "k3", true, LATER + 90_000)), "cut off, it may run anything");
    }

    @Test
    void aRequestEntersAHallOnceAndLoopsEndAtOnce() {
        DatacenterRouter h = halls();
        RoutedRequest back = new RoutedRequest("x", READ, null, false, new DatacenterPath(List.of("a", "b"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.requestArrived(LATER, back));
        RoutedRequest far = new RoutedRequest("y", READ, null, false, new DatacenterPath(List.of("b", "c", "d"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.requestArrived(LATER, far), "past the limit of hops");
        RoutedRequest once = new RoutedRequest("z", READ, null, false, new DatacenterPath(List.of("b"), Set.of()), LATER + 1000);
        assertInstanceOf(TryHome.class, h.requestArrived(LATER, once));
        assertEquals("c", assertInstanceOf(Forward.class, h.homeEnded(LATER + 5, once, HomeOutcome.REFUSED, true)).datacenter());
        RoutedRequest twice = new RoutedRequest("z", READ, null, false, new DatacenterPath(List.of("c"), Set.of()), LATER + 1000);
        assertEquals(new Refuse(0, true), h.requestArrived(LATER + 10, twice));
        assertEquals(3, h.counts().loops());
        RoutedRequest credit = new RoutedRequest("w", CREDIT, "k", false, new DatacenterPath(List.of("b"), Set.of()), LATER + 1000);
        h.requestArrived(LATER, credit);
        assertInstanceOf(UseHomeAnswer.class, h.homeEnded(LATER + 5, credit, HomeOutcome.REFUSED, true), "a credit crosses once");
    }

    @Test
    void classesBudgetAndTimeBoundWhatCrosses() {
        DatacenterRouter only = halls(policy(Set.of("credit"), Set.of(), 1000, 100));
        RoutedRequest p = own(READ, null, false, LATER);
        only.requestArrived(LATER, p);
        assertInstanceOf(UseHomeAnswer.class, only.homeEnded(LATER + 5, p, HomeOutcome.REFUSED, true));
        assertInstanceOf(Refuse.class, only.requestArrived(LATER, new RoutedRequest("f", READ, null, false, new DatacenterPath(List.of("b"), Set.of()),
                LATER + 1000)), "nor does it come in");
        DatacenterRouter reads = halls(policy(Set.of("reading"), Set.of(), 1000, 100));
        reads.policy().allGateways().forEach(g -> reads.linkStateChanged(g, LinkHealth.State.DEAD, 10));
        assertInstanceOf(TryHome.class, reads.requestArrived(LATER, own(CREDIT, "k", true, LATER)), "nobody is asked of what never crosses");
        DatacenterRouter poor = halls(policy(Set.of(), Set.of(), 4, 100));
        int across = 0;
        for (int i = 0; i < 40; i++) {
            RoutedRequest q = own(READ, null, false, LATER + i * 50);
            if (poor.requestArrived(LATER + i * 50, q) instanceof TryHome) {
                across += poor.homeEnded(LATER + i * 50, q, HomeOutcome.REFUSED, true) instanceof Forward ? 1 : 0;
                if (q.gateway != null) {
                    poor.forwardEnded(LATER + i * 50, q, ForwardOutcome.SERVED, 0, List.of());
                }
            } else if (q.gateway != null) {
                across++;
                poor.forwardEnded(LATER + i * 50, q, ForwardOutcome.SERVED, 0, List.of());
            }
        }
        assertTrue(across >= 7 && across <= 10, across + " in 2 s at 4/s");
        DatacenterRouter slow = halls();
        slow.policy().allGateways().forEach(g -> slow.linkStateChanged(g, LinkHealth.State.UP, 600));
        RoutedRequest s = new RoutedRequest("s", READ, null, false, DatacenterPath.LOCAL, LATER + 500);
        slow.requestArrived(LATER, s);
        assertInstanceOf(UseHomeAnswer.class, slow.homeEnded(LATER + 5, s, HomeOutcome.REFUSED, true), "there and back takes longer than it has");
    }

    @Test
    void aHallThatSaysSoIsLeftAloneWhileItsWordIsFresh() {
        DatacenterRouter h = halls();
        h.gatewayStateReceived(LATER, "b0", new GatewayState(0, false, false));
        h.gatewayStateReceived(LATER, "b1", new GatewayState(0, true, true));
        RoutedRequest p = own(READ, null, false, LATER);
        h.requestArrived(LATER, p);
        assertEquals("c", assertInstanceOf(Forward.class, h.homeEnded(LATER + 5, p, HomeOutcome.REFUSED, true)).datacenter());
        RoutedRequest q = own(READ, null, false, LATER + 5000);
        h.requestArrived(LATER + 5000, q);
        assertEquals("b", assertInstanceOf(Forward.class, h.homeEnded(LATER + 5005, q, HomeOutcome.REFUSED, true)).datacenter(), "old news is none");
    }

    @Test
    void aClassLeavesAHomeThatFailsAndComesBackByDegreesWithoutSwinging() {
        HomeCircuitBreaker w = new HomeCircuitBreaker(false);
        double now = 0;
        for (int i = 0; w.state() == HomeCircuitBreaker.State.HOME; i++, now += 10) {
            assertTrue(w.tryHomeFirst(now));
            w.recordOutcome(now, i % 3 == 0);
        }
        assertTrue(now < 200, "away after " + now);
        int looks = 0;
        for (int i = 0; i < 300; i++, now += 10) {
            if (w.tryHomeFirst(now)) {
                looks++;
                w.recordOutcome(now, false);
            }
        }
        assertTrue(looks >= 4 && looks <= 7, looks + " looks in 3 s");
        while (w.state() == HomeCircuitBreaker.State.AWAY) {
            now += 10;
            if (w.tryHomeFirst(now)) {
                w.recordOutcome(now, true);
            }
        }
        double back = now;
        int first = 0;
        for (int i = 0; i < 90; i++, now += 10) {
            if (w.tryHomeFirst(now)) {
                first++;
                w.recordOutcome(now, true);
            }
        }
        assertTrue(first >= 5 && first <= 12, first + " of 90 in the first second");
        while (w.state() == HomeCircuitBreaker.State.RETURNING) {
            now += 10;
            if (w.tryHomeFirst(now)) {
                w.recordOutcome(now, true);
            }
        }
        assertEquals(HomeCircuitBreaker.State.HOME, w.state());
        assertTrue(now - back >= 3000 && now - back < 6000, "back after " + (now - back));
        // A quarter that fails is no reason to go, and a home that fails each time it is tried is tried ever more seldom.
        for (int i = 0; i < 400; i++, now += 10) {
            w.recordOutcome(now, i % 4 != 0);
            assertEquals(HomeCircuitBreaker.State.HOME, w.state());
        }
        int returns = 0;
        double end = now + 120_000;
        HomeCircuitBreaker.State before = w.state();
        for (; now < end; now += 10) {
            if (w.tryHomeFirst(now)) {
                w.recordOutcome(now, w.state() == HomeCircuitBreaker.State.AWAY);
            }
            returns += w.state() == HomeCircuitBreaker.State.RETURNING && before != w.state() ? 1 : 0;
            before = w.state();
        }
        assertTrue(returns < 12, returns + " returns in two minutes");
    }

    @Test
    void aWindowGrowsWithWhatIsServedAndFallsOnceForRefusalsThatBelongTogether() {
        ForwardingWindow w = new ForwardingWindow(50);
        for (int i = 0; i < 200; i++) {
            int out = 0;
            while (w.hasRoom(i * 20)) {
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
        assertEquals(0, w.inFlight());
        ForwardingWindow idle = new ForwardingWindow(50);
        for (int i = 0; i < 10; i++) {
            idle.started(0);
        }
        for (int i = 0; i < 10; i++) {
            idle.served();
        }
        int size = idle.size();
        assertTrue(idle.hasRoom(60_000));
        assertTrue(idle.size() < size || size == 4, "what it took a minute ago says little");
    }

    @Test
    void ownClientsComeFirst() {
        RemoteRequestLimit s = new RemoteRequestLimit(100);
        double now = 0;
        int admitted = 0;
        for (int i = 0; i < 500; i++, now += 10) {
            s.recordLocalOutcome(now, true);
            while (s.tryAdmit(now)) {
                admitted++;
            }
        }
        assertTrue(s.open() > 50, s.open() + " let in while own clients are served");
        for (int i = 0; i < 300; i++, now += 10) {
            s.recordLocalOutcome(now, i % 5 != 0);
            if (s.open() > 0) {
                s.release();
            }
        }
        assertEquals(0, s.limit(), "a fifth of the own is not served");
        assertFalse(s.tryAdmit(now));
        for (int i = 0; i < 200; i++, now += 10) {
            s.recordLocalOutcome(now, true);
            s.tryAdmit(now);
        }
        assertTrue(s.limit() > 0 && s.open() > 0, "they are served again");
        assertTrue(admitted > 0);
    }

    @Test
    void aMessageThatWasHeldBackIsSeenToBeOld() {
        TransitDelayEstimator c = new TransitDelayEstimator();
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
        LinkHealth p = new LinkHealth();
        for (int i = 0; i < 20; i++) {
            p.heartbeatSent(i * 250);
            p.heartbeatAnswered(i * 250 + 20);
        }
        assertEquals(20, p.rttMs(), 0.5);
        assertEquals(20, p.minRttMs());
        p.heartbeatSent(5000);
        assertEquals(LinkHealth.State.UP, p.state(5200));
        assertEquals(LinkHealth.State.STALLED, p.state(5400));
        assertEquals(LinkHealth.State.DEAD, p.state(8100));
        p.heartbeatAnswered(8050);
        assertEquals(LinkHealth.State.UP, p.state(8100));
        LinkHealth slow = new LinkHealth();
        for (int i = 0; i < 40; i++) {
            slow.heartbeatSent(i * 2000);
            slow.heartbeatAnswered(i * 2000 + 900);
        }
        slow.heartbeatSent(100_000);
        assertEquals(LinkHealth.State.UP, slow.state(101_000), "slow is not stalled");
    }

    @Test
    void theLedgerForgetsInTimeAndSaysSoWhenItIsFull() {
        IdempotencyKeyTable l = new IdempotencyKeyTable();
        l.recordRun(0, "k", "b", 0, 6000);
        assertEquals("b", l.find(11_999, "k").datacenter());
        assertEquals(null, l.find(12_000, "k"));
        for (int i = 0; i < 200_000; i++) {
            l.recordRun(20_000, "k" + i, "b", 20_000, 6000);
        }
        assertEquals(null, l.recordRun(20_001, "one-more", "b", 20_001, 6000));
        assertEquals("b", l.find(20_001, "k7").datacenter());
        l.recordRun(40_000, "again", "b", 40_000, 6000);
        assertEquals(1, l.size());
    }
}
