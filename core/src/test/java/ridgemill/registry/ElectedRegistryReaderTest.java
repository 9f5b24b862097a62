package ridgemill.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ridgemill.lease.LeaseManager;
import ridgemill.membership.Instance;
import ridgemill.membership.Status;

/** The reader of one proxy, step by step. */
class ElectedRegistryReaderTest {

    private static final String APP = "METERS";
    private static final int APP_ID = LeaseManager.hash(APP);
    private static final RegistryReadPolicy POLICY = RegistryReadPolicy.of(200, 10_000);
    private static final List<Integer> VOTERS = List.of(1, 2, 3);

    private final List<String> actions = new ArrayList<>();
    private final ElectedRegistryReader reader = new ElectedRegistryReader(POLICY, List.of(APP), 1, 0,
            new ElectedRegistryReader.Out() {
        @Override
        public void sendListen(int to, int timestamp) {
            actions.add("listen " + to + " " + timestamp);
        }

        @Override
        public void sendUpdate(int to, RegistryUpdate update, int echoTimestamp) {
            actions.add("update " + to + " " + update.sequence() + " of " + update.changes().size() + " at "
                    + echoTimestamp);
        }

        @Override
        public void instancesChanged(String application, List<Instance> instances) {
            actions.add("instances " + instances.stream().map(i -> i.id() + " " + i.status()).sorted().toList());
        }

        @Override
        public void pollNow() {
            actions.add("read");
        }

        @Override
        public void log(String message) {
            actions.add(message);
        }
    });

    private static Instance node(String id, Status status, long changed) {
        return new Instance(id, "10.0.0.1:" + id.charAt(0), status, "", 1, 0, changed);
    }

    private static final List<Instance> BOTH_UP = List.of(node("a", Status.UP, 1), node("b", Status.UP, 1));
    private static final List<Instance> B_DRAINING = List.of(node("a", Status.UP, 1),
            node("b", Status.OUT_OF_SERVICE, 2));

    private List<String> takeActions() {
        List<String> taken = List.copyOf(actions);
        actions.clear();
        return taken;
    }

    private static RegistryUpdatePart updatePart(long term, int sequence, List<Instance> all, int echoTimestamp,
                                                 InstanceChange... changes) {
        return new RegistryUpdatePart(APP_ID, term, sequence, InstanceSnapshot.of(all, InstanceSnapshot.EMPTY).digest(),
                echoTimestamp, 0, 0, 1, List.of(changes));
    }

    private static InstanceChange drainOfB() {
        return new InstanceChange.Put(B_DRAINING.get(1));
    }

    @Test
    void pollsAtFirstAndWhileNoUpdatesArrive() {
        assertEquals(0, reader.pollNotDueUntil(0, false));
        reader.updateReceived(1, 1, updatePart(1, 1, BOTH_UP, 0));
        assertEquals(List.of(), takeActions());
        reader.pollSucceeded(10, 0, APP, BOTH_UP, 0);
        assertEquals(List.of("instances [a UP, b UP]"), takeActions());
        assertEquals(10, reader.pollNotDueUntil(10, false), "no updates arrive");
                reader.tick(500, false, VOTERS);
        assertEquals(List.of("listen 1 500", "listen 2 500", "listen 3 500"), takeActions());
        reader.updateReceived(510, 2, updatePart(1, 2, BOTH_UP, 500));
        assertEquals(500 + 200 + 400, reader.pollNotDueUntil(510, false), "as recent as the echoed timestamp");
        assertEquals(700, reader.tick(510, false, VOTERS));
        reader.tick(700, false, VOTERS);
        assertEquals(List.of("listen 2 700"), takeActions(), "the reader is known");
    }

    @Test
    void updateIsAppliedIfItsChangesLeadToItsDigest() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 0);
        takeActions();
        reader.updateReceived(100, 1, updatePart(1, 1, B_DRAINING, 0, drainOfB()));
        assertEquals(List.of("instances [a UP, b OUT_OF_SERVICE]"), takeActions());
        // A repeated update and a late one of an earlier term change nothing.
        reader.updateReceived(110, 1, updatePart(1, 1, B_DRAINING, 0, drainOfB()));
        reader.updateReceived(120, 1, updatePart(0, 9, BOTH_UP, 0, new InstanceChange.Put(BOTH_UP.get(1))));
        assertEquals(List.of(), takeActions());
        // A poll that started before the update is older.
        reader.pollSucceeded(130, 90, APP, BOTH_UP, 0);
        assertEquals(List.of(), takeActions());
        assertEquals(B_DRAINING.size(), reader.snapshot(APP).size());
        reader.pollSucceeded(140, 110, APP, B_DRAINING, 0);
        assertEquals(List.of("instances [a UP, b OUT_OF_SERVICE]"), takeActions());
    }

    @Test
    void mismatchCausesAPollAndSeveralInARowCauseDistrust() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 0);
        takeActions();
        // An update after a lost one, one with older records than those known, and one that is too large.
        reader.updateReceived(10, 1, updatePart(1, 1, B_DRAINING, 0));
        assertEquals(List.of("read"), takeActions());
        assertEquals(11, reader.pollNotDueUntil(11, false));
        reader.pollSucceeded(20, 11, APP, B_DRAINING, 0);
        takeActions();
        reader.updateReceived(30, 1, updatePart(1, 2, BOTH_UP, 21, new InstanceChange.Put(BOTH_UP.get(1))));
        assertEquals(List.of("read"), takeActions());
        reader.pollSucceeded(40, 31, APP, B_DRAINING, 0);
        takeActions();
        reader.updateReceived(50, 1, new RegistryUpdatePart(APP_ID, 1, 3, 5, 41, 0, 0, 0, List.of()));
        assertEquals(List.of("read"), takeActions());
        reader.updateReceived(60, 1, updatePart(1, 4, BOTH_UP, 51));
        assertEquals(List.of("read"), takeActions(),
                "the first was confirmed by the own poll and does not count any more");
        reader.pollSucceeded(65, 61, APP, B_DRAINING, 0);
        takeActions();
        reader.updateReceived(66, 1, updatePart(1, 5, BOTH_UP, 65));
        assertEquals(List.of(
                "updates received for METERS do not match the registry; this proxy polls for itself for 30.0 s",
                "read"), takeActions());
        reader.pollSucceeded(70, 67, APP, B_DRAINING, 0);
        takeActions();
        reader.updateReceived(80, 1, updatePart(1, 6, BOTH_UP, 70, new InstanceChange.Put(BOTH_UP.get(1))));
        assertEquals(List.of(), takeActions());
        assertEquals(90, reader.pollNotDueUntil(90, false));
        reader.updateReceived(30_200, 1, updatePart(1, 7, B_DRAINING, 30_190));
        assertEquals(30_200, reader.pollNotDueUntil(30_200, false), "the own check is due");
        reader.pollSucceeded(30_210, 30_200, APP, B_DRAINING, 0);
        assertEquals(30_190 + 200 + 400, reader.pollNotDueUntil(30_210, false));
    }

    @Test
    void updateThatWasLongInTransitIsIgnored() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 0);
        takeActions();
        reader.updateReceived(441, 1, updatePart(1, 1, B_DRAINING, 0, drainOfB()));
        assertEquals(List.of(), takeActions());
        reader.updateReceived(442, 1, updatePart(1, 2, B_DRAINING, 500, drainOfB()));
        assertEquals(List.of(), takeActions(), "echoes a timestamp that was never sent");
        reader.updateReceived(443, 1, updatePart(1, 3, B_DRAINING, 4, drainOfB()));
        assertEquals(1, takeActions().size());
    }

    @Test
    void updateThatMayBeOlderThanOwnPollIsIgnored() {
        reader.pollSucceeded(100, 50, APP, BOTH_UP, 0);
        takeActions();
        reader.updateReceived(110, 1, updatePart(1, 1, B_DRAINING, 99, drainOfB()));
        assertEquals(List.of(), takeActions());
        reader.updateReceived(120, 1, updatePart(1, 2, B_DRAINING, 101, drainOfB()));
        assertEquals(List.of("instances [a UP, b OUT_OF_SERVICE]"), takeActions());
        // An update of another reader may be older than the first reader's; that reader's next update is not.
        reader.updateReceived(130, 2,
                updatePart(2, 1, BOTH_UP, 119, new InstanceChange.Removed("b"),
                new InstanceChange.Put(BOTH_UP.get(1))));
        assertEquals(List.of(), takeActions());
        reader.updateReceived(140, 1, updatePart(1, 3, BOTH_UP, 139));
        assertEquals(List.of(), takeActions(), "a lower term");
        reader.updateReceived(150, 2, updatePart(2, 2, List.of(BOTH_UP.get(0)), 121, new InstanceChange.Removed("b")));
        assertEquals(List.of("instances [a UP]"), takeActions());
    }

    @Test
    void partsMayArriveInAnyOrderAndTwice() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 0);
        takeActions();
        List<Instance> other = List.of(B_DRAINING.get(1), node("c", Status.UP, 3));
        long digest = InstanceSnapshot.of(other, InstanceSnapshot.EMPTY).digest();
        RegistryUpdatePart second = new RegistryUpdatePart(APP_ID, 1, 1, digest, 5, 0, 1, 2,
                List.of(new InstanceChange.Put(other.get(0)), new InstanceChange.Put(other.get(1))));
        reader.updateReceived(10, 1, second);
        reader.updateReceived(11, 1, second);
        assertEquals(List.of(), takeActions());
        reader.updateReceived(12, 1,
                new RegistryUpdatePart(APP_ID, 1, 1, digest, 5, 0, 0, 2, List.of(new InstanceChange.Removed("a"))));
        assertEquals(List.of("instances [b OUT_OF_SERVICE, c UP]"), takeActions());
        reader.updateReceived(13, 1, second);
        assertEquals(List.of(), takeActions());
    }

    @Test
    void readerSendsUpdatesToListeners() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 5);
        reader.listenReceived(1, 8, 100);
        reader.listenReceived(2, 8, 90);
        reader.listenReceived(3, 9, 7);
        takeActions();
        assertEquals(200, reader.pollNotDueUntil(200, true));
        reader.pollStarted();
        reader.pollSucceeded(200, 190, APP, B_DRAINING, 5);
        assertEquals(List.of("instances [a UP, b OUT_OF_SERVICE]", "update 8 2 of 1 at 100", "update 9 2 of 1 at 7"),
                takeActions());
        reader.pollStarted();
        // Received after the poll started: the result of the poll may be older than this timestamp.
        reader.listenReceived(395, 8, 394);
        reader.pollSucceeded(400, 390, APP, B_DRAINING, 5);
        assertEquals("update 8 3 of 1 at 100", takeActions().get(1), "the change is repeated");
        reader.pollStarted();
        reader.pollSucceeded(600, 590, APP, B_DRAINING, 5);
        assertEquals("update 8 4 of 1 at 394", takeActions().get(1));
        reader.pollSucceeded(800, 790, APP, B_DRAINING, 5);
        assertEquals("update 8 5 of 0 at 394", takeActions().get(1));
        // Under a lower term or none, no updates are sent.
        reader.pollSucceeded(1000, 990, APP, B_DRAINING, 4);
        reader.pollSucceeded(1200, 1190, APP, B_DRAINING, 0);
        assertEquals(2, takeActions().size());
        reader.listenReceived(2000, 9, 2000);
        reader.pollStarted();
        reader.pollSucceeded(2900, 2890, APP, B_DRAINING, 6);
        assertEquals(List.of("instances [a UP, b OUT_OF_SERVICE]", "update 9 1 of 0 at 2000"), takeActions(),
                "a listener that was silent is sent no more updates");
    }

    @Test
    void readerThatCannotPollLeavesTheLeaseToOthers() {
        assertFalse(reader.pollFailed(0, false));
        assertTrue(reader.wantsLease(0));
        reader.pollSucceeded(1, 0, APP, BOTH_UP, 1);
        assertFalse(reader.pollFailed(200, true));
        assertTrue(reader.pollFailed(400, true));
        assertFalse(reader.wantsLease(400));
        assertTrue(reader.wantsLease(5400));
    }

    @Test
    void startTimeObservedByAnotherProxyIsKept() {
        reader.pollSucceeded(0, 0, APP, BOTH_UP, 0);
        Instance restarted = new Instance("b", BOTH_UP.get(1).address(), Status.UP, "", 1, 700, 2);
        List<Instance> all = List.of(BOTH_UP.get(0), restarted);
        reader.updateReceived(10, 1, updatePart(1, 1, all, 0, new InstanceChange.Put(restarted)));
        // This proxy did not observe the restart, so its own poll has no start time.
        reader.pollSucceeded(500, 490, APP, List.of(BOTH_UP.get(0), node("b", Status.UP, 2)), 0);
        assertEquals(700,
                reader.snapshot(APP).instances().stream().filter(i -> i.id().equals("b")).findFirst().orElseThrow()
                .startedAtMs());
    }
}
