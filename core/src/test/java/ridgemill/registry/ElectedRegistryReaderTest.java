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

/** One listener, step by step. */
class ElectedRegistryReaderTest {

    private static final String APP = "METERS";
    private static final int STREAM = LeaseManager.hash(APP);
    private static final RegistryReadPolicy POLICY = RegistryReadPolicy.of(200, 10_000);
    private static final List<Integer> ELECTORS = List.of(1, 2, 3);

    private final List<String> done = new ArrayList<>();
    private final ElectedRegistryReader reader = new ElectedRegistryReader(POLICY, List.of(APP), 1, 0, new ElectedRegistryReader.Out() {
        @Override
        public void sendListen(int to, int mark) {
            done.add("listen " + to + " " + mark);
        }

        @Override
        public void sendUpdate(int to, RegistryUpdate telling, int mark) {
            done.add("tell " + to + " " + telling.sequence() + " of " + telling.changes().size() + " at " + mark);
        }

        @Override
        public void instancesChanged(String stream, List<Instance> instances) {
            done.add("found " + instances.stream().map(i -> i.id() + " " + i.status()).sorted().toList());
        }

        @Override
        public void pollNow() {
            done.add("read");
        }

        @Override
        public void log(String words) {
            done.add(words);
        }
    });

    private static Instance node(String id, Status status, long changed) {
        return new Instance(id, "10.0.0.1:" + id.charAt(0), status, "", 1, 0, changed);
    }

    private static final List<Instance> BOTH = List.of(node("a", Status.UP, 1), node("b", Status.UP, 1));
    private static final List<Instance> DRAINS = List.of(node("a", Status.UP, 1), node("b", Status.OUT_OF_SERVICE, 2));

    private List<String> done() {
        List<String> all = List.copyOf(done);
        done.clear();
        return all;
    }

    private static RegistryUpdatePart news(long term, int number, List<Instance> all, int mark, InstanceChange... changes) {
        return new RegistryUpdatePart(STREAM, term, number, InstanceSnapshot.of(all, InstanceSnapshot.EMPTY).digest(), mark, 0, 0, 1, List.of(changes));
    }

    private static InstanceChange drain() {
        return new InstanceChange.Put(DRAINS.get(1));
    }

    @Test
    void itReadsForItselfFirstAndThenAsLongAsNobodyTells() {
        assertEquals(0, reader.pollNotDueUntil(0, false));
        reader.updateReceived(1, 1, news(1, 1, BOTH, 0));
        assertEquals(List.of(), done());
        reader.pollSucceeded(10, 0, APP, BOTH, 0);
        assertEquals(List.of("found [a UP, b UP]"), done());
        assertEquals(10, reader.pollNotDueUntil(10, false), "nobody tells");
                reader.tick(500, false, ELECTORS);
        assertEquals(List.of("listen 1 500", "listen 2 500", "listen 3 500"), done());
        reader.updateReceived(510, 2, news(1, 2, BOTH, 500));
        assertEquals(500 + 200 + 400, reader.pollNotDueUntil(510, false), "as fresh as its mark");
        assertEquals(700, reader.tick(510, false, ELECTORS));
        reader.tick(700, false, ELECTORS);
        assertEquals(List.of("listen 2 700"), done(), "who tells is known");
    }

    @Test
    void itGoesByWhatItIsToldWhereThatLeadsToWhatIsNamed() {
        reader.pollSucceeded(0, 0, APP, BOTH, 0);
        done();
        reader.updateReceived(100, 1, news(1, 1, DRAINS, 0, drain()));
        assertEquals(List.of("found [a UP, b OUT_OF_SERVICE]"), done());
        // Told again, and late ones of before: nothing.
        reader.updateReceived(110, 1, news(1, 1, DRAINS, 0, drain()));
        reader.updateReceived(120, 1, news(0, 9, BOTH, 0, new InstanceChange.Put(BOTH.get(1))));
        assertEquals(List.of(), done());
        // A poll that was asked for before that is older.
        reader.pollSucceeded(130, 90, APP, BOTH, 0);
        assertEquals(List.of(), done());
        assertEquals(DRAINS.size(), reader.snapshot(APP).size());
        reader.pollSucceeded(140, 110, APP, DRAINS, 0);
        assertEquals(List.of("found [a UP, b OUT_OF_SERVICE]"), done());
    }

    @Test
    void whatDoesNotFitMakesItReadAndTooOftenMakesItDoubt() {
        reader.pollSucceeded(0, 0, APP, BOTH, 0);
        done();
        // One that lost what came before, one whose changes are older than what is known, and one that has too much to tell.
        reader.updateReceived(10, 1, news(1, 1, DRAINS, 0));
        assertEquals(List.of("read"), done());
        assertEquals(11, reader.pollNotDueUntil(11, false));
        reader.pollSucceeded(20, 11, APP, DRAINS, 0);
        done();
        reader.updateReceived(30, 1, news(1, 2, BOTH, 21, new InstanceChange.Put(BOTH.get(1))));
        assertEquals(List.of("read"), done());
        reader.pollSucceeded(40, 31, APP, DRAINS, 0);
        done();
        reader.updateReceived(50, 1, new RegistryUpdatePart(STREAM, 1, 3, 5, 41, 0, 0, 0, List.of()));
        assertEquals(List.of("read"), done());
        reader.updateReceived(60, 1, news(1, 4, BOTH, 51));
        assertEquals(List.of("read"), done(), "the first was borne out by its own poll, and counts no more");
        reader.pollSucceeded(65, 61, APP, DRAINS, 0);
        done();
        reader.updateReceived(66, 1, news(1, 5, BOTH, 65));
        assertEquals(List.of("updates received for METERS do not match the registry; this proxy polls for itself for 30.0 s", "read"), done());
        reader.pollSucceeded(70, 67, APP, DRAINS, 0);
        done();
        reader.updateReceived(80, 1, news(1, 6, BOTH, 70, new InstanceChange.Put(BOTH.get(1))));
        assertEquals(List.of(), done());
        assertEquals(90, reader.pollNotDueUntil(90, false));
        reader.updateReceived(30_200, 1, news(1, 7, DRAINS, 30_190));
        assertEquals(30_200, reader.pollNotDueUntil(30_200, false), "its own check is due");
        reader.pollSucceeded(30_210, 30_200, APP, DRAINS, 0);
        assertEquals(30_190 + 200 + 400, reader.pollNotDueUntil(30_210, false));
    }

    @Test
    void newsThatWasLongOnItsWayIsNone() {
        reader.pollSucceeded(0, 0, APP, BOTH, 0);
        done();
        reader.updateReceived(441, 1, news(1, 1, DRAINS, 0, drain()));
        assertEquals(List.of(), done());
        reader.updateReceived(442, 1, news(1, 2, DRAINS, 500, drain()));
        assertEquals(List.of(), done(), "an answer to what was never said");
        reader.updateReceived(443, 1, news(1, 3, DRAINS, 4, drain()));
        assertEquals(1, done().size());
    }

    @Test
    void whatMayBeOlderThanWhatItReadItselfIsLeftAlone() {
        reader.pollSucceeded(100, 50, APP, BOTH, 0);
        done();
        reader.updateReceived(110, 1, news(1, 1, DRAINS, 99, drain()));
        assertEquals(List.of(), done());
        reader.updateReceived(120, 1, news(1, 2, DRAINS, 101, drain()));
        assertEquals(List.of("found [a UP, b OUT_OF_SERVICE]"), done());
        // Another reader's may be older than the first one's, told or not; its own next is not.
        reader.updateReceived(130, 2, news(2, 1, BOTH, 119, new InstanceChange.Removed("b"), new InstanceChange.Put(BOTH.get(1))));
        assertEquals(List.of(), done());
        reader.updateReceived(140, 1, news(1, 3, BOTH, 139));
        assertEquals(List.of(), done(), "a lower term");
        reader.updateReceived(150, 2, news(2, 2, List.of(BOTH.get(0)), 121, new InstanceChange.Removed("b")));
        assertEquals(List.of("found [a UP]"), done());
    }

    @Test
    void partsMayComeInAnyOrderAndTwice() {
        reader.pollSucceeded(0, 0, APP, BOTH, 0);
        done();
        List<Instance> other = List.of(DRAINS.get(1), node("c", Status.UP, 3));
        long digest = InstanceSnapshot.of(other, InstanceSnapshot.EMPTY).digest();
        RegistryUpdatePart second = new RegistryUpdatePart(STREAM, 1, 1, digest, 5, 0, 1, 2, List.of(new InstanceChange.Put(other.get(0)), new InstanceChange.Put(other.get(1))));
        reader.updateReceived(10, 1, second);
        reader.updateReceived(11, 1, second);
        assertEquals(List.of(), done());
        reader.updateReceived(12, 1, new RegistryUpdatePart(STREAM, 1, 1, digest, 5, 0, 0, 2, List.of(new InstanceChange.Removed("a"))));
        assertEquals(List.of("found [b OUT_OF_SERVICE, c UP]"), done());
        reader.updateReceived(13, 1, second);
        assertEquals(List.of(), done());
    }

    @Test
    void theOneThatReadsTellsThoseThatListen() {
        reader.pollSucceeded(0, 0, APP, BOTH, 5);
        reader.listenReceived(1, 8, 100);
        reader.listenReceived(2, 8, 90);
        reader.listenReceived(3, 9, 7);
        done();
        assertEquals(200, reader.pollNotDueUntil(200, true));
        reader.pollStarted();
        reader.pollSucceeded(200, 190, APP, DRAINS, 5);
        assertEquals(List.of("found [a UP, b OUT_OF_SERVICE]", "tell 8 2 of 1 at 100", "tell 9 2 of 1 at 7"), done());
        reader.pollStarted();
        // Heard after the registry was asked: what it answers may be older.
        reader.listenReceived(395, 8, 394);
        reader.pollSucceeded(400, 390, APP, DRAINS, 5);
        assertEquals("tell 8 3 of 1 at 100", done().get(1), "told again");
        reader.pollStarted();
        reader.pollSucceeded(600, 590, APP, DRAINS, 5);
        assertEquals("tell 8 4 of 1 at 394", done().get(1));
        reader.pollSucceeded(800, 790, APP, DRAINS, 5);
        assertEquals("tell 8 5 of 0 at 394", done().get(1));
        // Under a lower term, or none, nobody is told.
        reader.pollSucceeded(1000, 990, APP, DRAINS, 4);
        reader.pollSucceeded(1200, 1190, APP, DRAINS, 0);
        assertEquals(2, done().size());
        reader.listenReceived(2000, 9, 2000);
        reader.pollStarted();
        reader.pollSucceeded(2900, 2890, APP, DRAINS, 6);
        assertEquals(List.of("found [a UP, b OUT_OF_SERVICE]", "tell 9 1 of 0 at 2000"), done(), "who has been silent is told no more");
    }

    @Test
    void oneThatCannotReadLeavesItToAnother() {
        assertFalse(reader.pollFailed(0, false));
        assertTrue(reader.wantsLease(0));
        reader.pollSucceeded(1, 0, APP, BOTH, 1);
        assertFalse(reader.pollFailed(200, true));
        assertTrue(reader.pollFailed(400, true));
        assertFalse(reader.wantsLease(400));
        assertTrue(reader.wantsLease(5400));
    }

    @Test
    void aRestartThatAnotherSawIsKept() {
        reader.pollSucceeded(0, 0, APP, BOTH, 0);
        Instance restarted = new Instance("b", BOTH.get(1).address(), Status.UP, "", 1, 700, 2);
        List<Instance> all = List.of(BOTH.get(0), restarted);
        reader.updateReceived(10, 1, news(1, 1, all, 0, new InstanceChange.Put(restarted)));
        // Its own view of the registry can't tell when it started.
        reader.pollSucceeded(500, 490, APP, List.of(BOTH.get(0), node("b", Status.UP, 2)), 0);
        assertEquals(700, reader.snapshot(APP).instances().stream().filter(i -> i.id().equals("b")).findFirst().orElseThrow().startedAtMs());
    }
}
