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

/** The decisions of the router and its parts, one at a time, on simulated time. */
class DatacenterRouterTest {

    private static final ServiceClass READ = new ServiceClass("reading", 500, 0, 1000, 1, 0, Effect.SAFE,
            DeduplicationScope.ALL, 0, false);
    private static final ServiceClass CREDIT = new ServiceClass("credit", 500, 0, 1000, 1, 0, Effect.KEYED,
            DeduplicationScope.ALL, 6000, false);
    /** A time after the warm-up phase of a gateway. */
    private static final double NOW = 1_000_000;
    private int nextId;

    private static DatacenterPolicy policy(Set<String> classes, Set<String> sharedDeduplication, double perSecond,
                                           int inFlight) {
        Map<String, List<String>> others = new LinkedHashMap<>();
        others.put("b", List.of("b0", "b1"));
        others.put("c", List.of("c0"));
        return new DatacenterPolicy("a", others, classes, sharedDeduplication, perSecond, inFlight, 100, 2, 30_000);
    }

    private static DatacenterRouter router(DatacenterPolicy policy) {
        DatacenterRouter router = new DatacenterRouter(policy, 0);
        policy.allGateways().forEach(g -> router.linkStateChanged(g, LinkHealth.State.UP, 10));
        return router;
    }

    private static DatacenterRouter router() {
        return router(policy(Set.of(), Set.of(), 1000, 100));
    }

    private RoutedRequest localRequest(ServiceClass service, String key, boolean retry, double now) {
        return new RoutedRequest("r" + nextId++, service, key, retry, DatacenterPath.LOCAL, now + 1000);
    }

    @Test
    void requestRefusedAtHomeIsForwardedToThePreferredDatacenterAndThenToTheNext() {
        DatacenterRouter router = router();
        RoutedRequest p = localRequest(READ, null, false, NOW);
        assertEquals(new TryHome(0), router.requestArrived(NOW, p));
        Forward first = assertInstanceOf(Forward.class, router.homeEnded(NOW + 5, p, HomeOutcome.REFUSED, true));
        assertEquals("b", first.datacenter());
        assertTrue(first.timeoutMs() > 900 && first.timeoutMs() < 995, first.toString());
        assertEquals(List.of("a"), p.forwardedPath("a").datacenters());
        Forward second = assertInstanceOf(Forward.class,
                router.forwardEnded(NOW + 30, p, ForwardOutcome.REFUSED, 0, List.of()));
        assertEquals("c", second.datacenter());
        assertEquals(List.of("b", "a"), p.forwardedPath("a").datacenters(),
                "the path holds the datacenter that refused it");
        assertInstanceOf(UseHomeAnswer.class, router.forwardEnded(NOW + 60, p, ForwardOutcome.REFUSED, 0, List.of()));
    }

    @Test
    void noAttemptStartsWhileAnotherMayBeInProgress() {
        DatacenterRouter router = router();
        RoutedRequest p = localRequest(READ, null, false, NOW);
        router.requestArrived(NOW, p);
        assertInstanceOf(UseHomeAnswer.class, router.homeEnded(NOW + 5, p, HomeOutcome.UNPROVEN, false),
                "an attempt is still in progress at home");
        assertTrue(p.mayBeInProgress());
        RoutedRequest q = localRequest(READ, null, false, NOW);
        router.requestArrived(NOW, q);
        router.homeEnded(NOW + 5, q, HomeOutcome.REFUSED, true);
        assertEquals(new Refuse(250, false), router.forwardEnded(NOW + 40, q, ForwardOutcome.LOST, 0, List.of()));
    }

    @Test
    void keyedWriteThatMayHaveRunStaysUnlessDeduplicationIsShared() {
        DatacenterRouter notSharing = router();
        RoutedRequest p = localRequest(CREDIT, "k", false, NOW);
        notSharing.requestArrived(NOW, p);
        assertInstanceOf(UseHomeAnswer.class, notSharing.homeEnded(NOW + 5, p, HomeOutcome.FAILED, true));
        DatacenterRouter sharing = router(policy(Set.of(), Set.of("c"), 1000, 100));
        RoutedRequest q = localRequest(CREDIT, "k", false, NOW);
        sharing.requestArrived(NOW, q);
        assertEquals("c",
                assertInstanceOf(Forward.class, sharing.homeEnded(NOW + 5, q, HomeOutcome.FAILED, true)).datacenter());
        assertInstanceOf(Fail.class, sharing.forwardEnded(NOW + 9, q, ForwardOutcome.LOST, 0, List.of()));
    }

    @Test
    void keyedWriteThatMayHaveRunElsewhereGoesThereWithinTheDeduplicationWindow() {
        DatacenterRouter router = router();
        RoutedRequest p = localRequest(CREDIT, "k", false, NOW);
        router.requestArrived(NOW, p);
        assertEquals("b",
                assertInstanceOf(Forward.class, router.homeEnded(NOW + 5, p, HomeOutcome.REFUSED, true)).datacenter());
        assertInstanceOf(Fail.class, router.forwardEnded(NOW + 900, p, ForwardOutcome.LOST, 0, List.of()));
        RoutedRequest again = localRequest(CREDIT, "k", true, NOW + 1000);
        assertEquals("b", assertInstanceOf(Forward.class, router.requestArrived(NOW + 1000, again)).datacenter());
        router.forwardEnded(NOW + 1100, again, ForwardOutcome.REFUSED, 0, List.of());
        RoutedRequest lateRetry = localRequest(CREDIT, "k", true, NOW + 5500);
        Forward late = assertInstanceOf(Forward.class, router.requestArrived(NOW + 5500, lateRetry));
        assertTrue(late.timeoutMs() < 450, "its time ends before the nodes forget the key: " + late);
        router.forwardEnded(NOW + 5510, lateRetry, ForwardOutcome.LOST, 0, List.of());
        assertInstanceOf(Fail.class, router.requestArrived(NOW + 6100, localRequest(CREDIT, "k", true, NOW + 6100)),
                "the nodes may have forgotten the key");
        router.linkStateChanged("b0", LinkHealth.State.STALLED, 10);
        router.linkStateChanged("b1", LinkHealth.State.DEAD, 10);
        RoutedRequest other = localRequest(CREDIT, "k2", false, NOW + 7000);
        router.requestArrived(NOW + 7000, other);
        assertEquals("c",
                assertInstanceOf(Forward.class, router.homeEnded(NOW + 7000, other, HomeOutcome.REFUSED, true))
                .datacenter());
    }

    @Test
    void retryWithAnUnknownKeyIsQueriedAndGoesWhereItMayHaveRun() {
        DatacenterRouter router = router();
        RoutedRequest p = localRequest(CREDIT, "k", true, NOW);
        QueryKey ask = assertInstanceOf(QueryKey.class, router.requestArrived(NOW, p));
        assertEquals(List.of("b0", "b1", "c0"), ask.gateways());
        assertInstanceOf(Refuse.class,
                router.keyStatusesReceived(NOW + 20, p, ask.gateways(),
                        Map.of("b0", new NotSeen(), "b1", new NotSeen())), "one gateway has not answered");
        RoutedRequest q = localRequest(CREDIT, "k", true, NOW + 100);
        router.requestArrived(NOW + 100, q);
        assertEquals("c",
                assertInstanceOf(Forward.class,
                        router.keyStatusesReceived(NOW + 120, q, ask.gateways(),
                                Map.of("b0", new NotSeen(), "b1", new NotSeen(), "c0", new MayHaveRun("c", 500))))
                        .datacenter());
        router.forwardEnded(NOW + 130, q, ForwardOutcome.SERVED, 0, List.of());
        RoutedRequest r = localRequest(CREDIT, "other", true, NOW + 200);
        router.requestArrived(NOW + 200, r);
        assertEquals(new TryHome(0),
                router.keyStatusesReceived(NOW + 220, r, ask.gateways(),
                        Map.of("b0", new NotSeen(), "b1", new NotSeen(), "c0", new NotSeen())));
        assertInstanceOf(UseHomeAnswer.class, router.homeEnded(NOW + 230, r, HomeOutcome.REFUSED, true),
                "it may have run here through another gateway, so it is not forwarded");
        RoutedRequest s = localRequest(CREDIT, "both", true, NOW + 300);
        router.requestArrived(NOW + 300, s);
        assertInstanceOf(Refuse.class,
                router.keyStatusesReceived(NOW + 320, s, ask.gateways(),
                        Map.of("b0", new MayHaveRun("b", 10), "b1", new NotSeen(), "c0", new MayHaveRun("c", 500))),
                "two datacenters report that it may have run there");
    }

    @Test
    void gatewayThatAnswersNotSeenDoesNotRunTheKey() {
        DatacenterRouter router = router();
        assertInstanceOf(Indeterminate.class, router().answerKeyQuery(100, "k", "b", 6000),
                "it cannot know what ran before its start");
        assertInstanceOf(Indeterminate.class, router.answerKeyQuery(NOW, "k", "nobody", 6000));
        assertInstanceOf(NotSeen.class, router.answerKeyQuery(NOW, "k", "b", 6000));
        assertInstanceOf(QueryKey.class, router.requestArrived(NOW + 10, localRequest(CREDIT, "k", false, NOW)),
                "after the promise even a first try queries the others");
        RoutedRequest ran = localRequest(CREDIT, "here", false, NOW);
        router.requestArrived(NOW, ran);
        router.homeEnded(NOW + 5, ran, HomeOutcome.SERVED, true);
        assertEquals(new MayHaveRun("a", 100), router.answerKeyQuery(NOW + 100, "here", "b", 6000));
        // Of two gateways that query each other, the one whose datacenter has the lesser name goes on.
        RoutedRequest p = localRequest(CREDIT, "x", true, NOW);
        router.requestArrived(NOW, p);
        assertInstanceOf(Indeterminate.class, router.answerKeyQuery(NOW, "x", "b", 6000));
    }

    @Test
    void gatewayThatRefusesConnectionsForLongIsNotQueriedButASilentOneIs() {
        DatacenterRouter router = router();
        router.connectionFailed(NOW, "b0", true);
        assertInstanceOf(Refuse.class, router.requestArrived(NOW + 100, localRequest(CREDIT, "k", true, NOW + 100)));
        router.connectionFailed(NOW + 31_000, "b0", true);
        assertEquals(List.of("b1", "c0"),
                assertInstanceOf(QueryKey.class,
                router.requestArrived(NOW + 31_000, localRequest(CREDIT, "k2", true, NOW + 31_000))).gateways());
        router.connectionFailed(NOW + 32_000, "b0", false);
        assertInstanceOf(Refuse.class,
                router.requestArrived(NOW + 90_000, localRequest(CREDIT, "k3", true, NOW + 90_000)),
                "a gateway that is cut off may still run requests");
    }

    @Test
    void requestEntersADatacenterOnceAndLoopsAreRefused() {
        DatacenterRouter router = router();
        RoutedRequest back = new RoutedRequest("x", READ, null, false, new DatacenterPath(List.of("a", "b"), Set.of()),
                NOW + 1000);
        assertEquals(new Refuse(0, true), router.requestArrived(NOW, back));
        RoutedRequest far = new RoutedRequest("y", READ, null, false,
                new DatacenterPath(List.of("b", "c", "d"), Set.of()), NOW + 1000);
        assertEquals(new Refuse(0, true), router.requestArrived(NOW, far), "beyond the hop limit");
        RoutedRequest once = new RoutedRequest("z", READ, null, false, new DatacenterPath(List.of("b"), Set.of()),
                NOW + 1000);
        assertInstanceOf(TryHome.class, router.requestArrived(NOW, once));
        assertEquals("c",
                assertInstanceOf(Forward.class, router.homeEnded(NOW + 5, once, HomeOutcome.REFUSED, true))
                .datacenter());
        RoutedRequest twice = new RoutedRequest("z", READ, null, false, new DatacenterPath(List.of("c"), Set.of()),
                NOW + 1000);
        assertEquals(new Refuse(0, true), router.requestArrived(NOW + 10, twice));
        assertEquals(3, router.counts().loops());
        RoutedRequest credit = new RoutedRequest("w", CREDIT, "k", false, new DatacenterPath(List.of("b"), Set.of()),
                NOW + 1000);
        router.requestArrived(NOW, credit);
        assertInstanceOf(UseHomeAnswer.class, router.homeEnded(NOW + 5, credit, HomeOutcome.REFUSED, true),
                "a keyed write is forwarded only once");
    }

    @Test
    void classesBudgetAndTimeLimitForwarding() {
        DatacenterRouter only = router(policy(Set.of("credit"), Set.of(), 1000, 100));
        RoutedRequest p = localRequest(READ, null, false, NOW);
        only.requestArrived(NOW, p);
        assertInstanceOf(UseHomeAnswer.class, only.homeEnded(NOW + 5, p, HomeOutcome.REFUSED, true));
        assertInstanceOf(Refuse.class,
                only.requestArrived(NOW,
                        new RoutedRequest("f", READ, null, false, new DatacenterPath(List.of("b"), Set.of()),
                        NOW + 1000)), "nor is it accepted from another datacenter");
        DatacenterRouter reads = router(policy(Set.of("reading"), Set.of(), 1000, 100));
        reads.policy().allGateways().forEach(g -> reads.linkStateChanged(g, LinkHealth.State.DEAD, 10));
        assertInstanceOf(TryHome.class, reads.requestArrived(NOW, localRequest(CREDIT, "k", true, NOW)),
                "a class that is never forwarded causes no query");
        DatacenterRouter poor = router(policy(Set.of(), Set.of(), 4, 100));
        int forwarded = 0;
        for (int i = 0; i < 40; i++) {
            RoutedRequest q = localRequest(READ, null, false, NOW + i * 50);
            if (poor.requestArrived(NOW + i * 50, q) instanceof TryHome) {
                forwarded += poor.homeEnded(NOW + i * 50, q, HomeOutcome.REFUSED, true) instanceof Forward ? 1 : 0;
                if (q.gateway != null) {
                    poor.forwardEnded(NOW + i * 50, q, ForwardOutcome.SERVED, 0, List.of());
                }
            } else if (q.gateway != null) {
                forwarded++;
                poor.forwardEnded(NOW + i * 50, q, ForwardOutcome.SERVED, 0, List.of());
            }
        }
        assertTrue(forwarded >= 7 && forwarded <= 10, forwarded + " in 2 s at 4/s");
        DatacenterRouter slow = router();
        slow.policy().allGateways().forEach(g -> slow.linkStateChanged(g, LinkHealth.State.UP, 600));
        RoutedRequest s = new RoutedRequest("s", READ, null, false, DatacenterPath.LOCAL, NOW + 500);
        slow.requestArrived(NOW, s);
        assertInstanceOf(UseHomeAnswer.class, slow.homeEnded(NOW + 5, s, HomeOutcome.REFUSED, true),
                "the round trip takes longer than the time left");
    }

    @Test
    void gatewayThatDoesNotAcceptRequestsIsSkippedWhileItsStateIsRecent() {
        DatacenterRouter router = router();
        router.gatewayStateReceived(NOW, "b0", new GatewayState(0, false, false));
        router.gatewayStateReceived(NOW, "b1", new GatewayState(0, true, true));
        RoutedRequest p = localRequest(READ, null, false, NOW);
        router.requestArrived(NOW, p);
        assertEquals("c",
                assertInstanceOf(Forward.class, router.homeEnded(NOW + 5, p, HomeOutcome.REFUSED, true)).datacenter());
        RoutedRequest q = localRequest(READ, null, false, NOW + 5000);
        router.requestArrived(NOW + 5000, q);
        assertEquals("b",
                assertInstanceOf(Forward.class, router.homeEnded(NOW + 5005, q, HomeOutcome.REFUSED, true))
                .datacenter(), "an old state is ignored");
    }

    @Test
    void breakerOpensOnFailuresAndClosesInStepsWithoutOscillating() {
        HomeCircuitBreaker breaker = new HomeCircuitBreaker(false);
        double now = 0;
        for (int i = 0; breaker.state() == HomeCircuitBreaker.State.HOME; i++, now += 10) {
            assertTrue(breaker.tryHomeFirst(now));
            breaker.recordOutcome(now, i % 3 == 0);
        }
        assertTrue(now < 200, "away after " + now);
        int probes = 0;
        for (int i = 0; i < 300; i++, now += 10) {
            if (breaker.tryHomeFirst(now)) {
                probes++;
                breaker.recordOutcome(now, false);
            }
        }
        assertTrue(probes >= 4 && probes <= 7, probes + " probes in 3 s");
        while (breaker.state() == HomeCircuitBreaker.State.AWAY) {
            now += 10;
            if (breaker.tryHomeFirst(now)) {
                breaker.recordOutcome(now, true);
            }
        }
        double returningSince = now;
        int triedHome = 0;
        for (int i = 0; i < 90; i++, now += 10) {
            if (breaker.tryHomeFirst(now)) {
                triedHome++;
                breaker.recordOutcome(now, true);
            }
        }
        assertTrue(triedHome >= 5 && triedHome <= 12, triedHome + " of 90 in the first second");
        while (breaker.state() == HomeCircuitBreaker.State.RETURNING) {
            now += 10;
            if (breaker.tryHomeFirst(now)) {
                breaker.recordOutcome(now, true);
            }
        }
        assertEquals(HomeCircuitBreaker.State.HOME, breaker.state());
        assertTrue(now - returningSince >= 3000 && now - returningSince < 6000, "back after " + (now - returningSince));
        // A quarter of failures does not open the breaker. A home that fails at each return is tried less and less
        // often.
        for (int i = 0; i < 400; i++, now += 10) {
            breaker.recordOutcome(now, i % 4 != 0);
            assertEquals(HomeCircuitBreaker.State.HOME, breaker.state());
        }
        int returns = 0;
        double end = now + 120_000;
        HomeCircuitBreaker.State before = breaker.state();
        for (; now < end; now += 10) {
            if (breaker.tryHomeFirst(now)) {
                breaker.recordOutcome(now, breaker.state() == HomeCircuitBreaker.State.AWAY);
            }
            returns += breaker.state() == HomeCircuitBreaker.State.RETURNING && before != breaker.state() ? 1 : 0;
            before = breaker.state();
        }
        assertTrue(returns < 12, returns + " returns in two minutes");
    }

    @Test
    void windowGrowsWithSuccessesAndShrinksOnceForRefusalsOfOneGroup() {
        ForwardingWindow window = new ForwardingWindow(50);
        for (int i = 0; i < 200; i++) {
            int out = 0;
            while (window.hasRoom(i * 20)) {
                window.started(i * 20);
                out++;
            }
            for (int j = 0; j < out; j++) {
                window.served();
            }
        }
        assertEquals(50, window.size());
        for (int i = 0; i < 50; i++) {
            window.started(5000);
        }
        for (int i = 0; i < 50; i++) {
            window.refused(5001 + i);
        }
        assertEquals(35, window.size());
        window.started(6000);
        window.lost(6000);
        assertEquals(4, window.size());
        assertEquals(0, window.inFlight());
        ForwardingWindow idle = new ForwardingWindow(50);
        for (int i = 0; i < 10; i++) {
            idle.started(0);
        }
        for (int i = 0; i < 10; i++) {
            idle.served();
        }
        int size = idle.size();
        assertTrue(idle.hasRoom(60_000));
        assertTrue(idle.size() < size || size == 4, "the window shrinks after an idle minute");
    }

    @Test
    void localClientsComeFirst() {
        RemoteRequestLimit limit = new RemoteRequestLimit(100);
        double now = 0;
        int admitted = 0;
        for (int i = 0; i < 500; i++, now += 10) {
            limit.recordLocalOutcome(now, true);
            while (limit.tryAdmit(now)) {
                admitted++;
            }
        }
        assertTrue(limit.open() > 50, limit.open() + " admitted while local clients are served");
        for (int i = 0; i < 300; i++, now += 10) {
            limit.recordLocalOutcome(now, i % 5 != 0);
            if (limit.open() > 0) {
                limit.release();
            }
        }
        assertEquals(0, limit.limit(), "a fifth of the local requests is not served");
        assertFalse(limit.tryAdmit(now));
        for (int i = 0; i < 200; i++, now += 10) {
            limit.recordLocalOutcome(now, true);
            limit.tryAdmit(now);
        }
        assertTrue(limit.limit() > 0 && limit.open() > 0, "local clients are served again");
        assertTrue(admitted > 0);
    }

    @Test
    void delayedMessageIsRecognisedAsOld() {
        TransitDelayEstimator estimator = new TransitDelayEstimator();
        double offset = -123_456;
        assertEquals(0, estimator.excessMs(1000, 1000 + offset + 30));
        assertEquals(5, estimator.excessMs(1100, 1100 + offset + 35), 1e-6);
        assertEquals(10_000, estimator.excessMs(1200, 1200 + offset + 10_030), 1e-6);
        assertEquals(0, estimator.excessMs(20_000, 20_000 + offset + 20), 1e-6);
        // Two clocks that drift apart by 100 ppm: after an hour that is 360 ms, and no message may appear that old.
        double worst = 0;
        for (double t = 30_000; t < 3_600_000; t += 1000) {
            worst = Math.max(worst, estimator.excessMs(t, t * 1.0001 + offset + 20));
        }
        assertTrue(worst < 30, "clock drift taken for delay: " + worst);
    }

    @Test
    void linkWithoutAnswersIsStalledAndThenDead() {
        LinkHealth link = new LinkHealth();
        for (int i = 0; i < 20; i++) {
            link.heartbeatSent(i * 250);
            link.heartbeatAnswered(i * 250 + 20);
        }
        assertEquals(20, link.rttMs(), 0.5);
        assertEquals(20, link.minRttMs());
        link.heartbeatSent(5000);
        assertEquals(LinkHealth.State.UP, link.state(5200));
        assertEquals(LinkHealth.State.STALLED, link.state(5400));
        assertEquals(LinkHealth.State.DEAD, link.state(8100));
        link.heartbeatAnswered(8050);
        assertEquals(LinkHealth.State.UP, link.state(8100));
        LinkHealth slow = new LinkHealth();
        for (int i = 0; i < 40; i++) {
            slow.heartbeatSent(i * 2000);
            slow.heartbeatAnswered(i * 2000 + 900);
        }
        slow.heartbeatSent(100_000);
        assertEquals(LinkHealth.State.UP, slow.state(101_000), "slow is not stalled");
    }

    @Test
    void keyTableExpiresEntriesAndReportsWhenItIsFull() {
        IdempotencyKeyTable table = new IdempotencyKeyTable();
        table.recordRun(0, "k", "b", 0, 6000);
        assertEquals("b", table.find(11_999, "k").datacenter());
        assertEquals(null, table.find(12_000, "k"));
        for (int i = 0; i < 200_000; i++) {
            table.recordRun(20_000, "k" + i, "b", 20_000, 6000);
        }
        assertEquals(null, table.recordRun(20_001, "one-more", "b", 20_001, 6000));
        assertEquals("b", table.find(20_001, "k7").datacenter());
        table.recordRun(40_000, "again", "b", 40_000, 6000);
        assertEquals(1, table.size());
    }
}
