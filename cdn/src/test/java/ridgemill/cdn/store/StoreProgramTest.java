package ridgemill.cdn.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ridgemill.cdn.agreement.ChangeResult;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.RecentPurge;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.MessageCodec;
import ridgemill.cdn.wire.StoreMessages;

/** Tests three stores over sockets. */
@Timeout(60)
final class StoreProgramTest {

    private static final long BUDGET_MS = 900;
    private static final long MAX_EPOCHS = 20;
    private static final int MAX_ATTEMPTS = 2_000;
    private static final byte[] ANSWER = "answer".getBytes(StandardCharsets.UTF_8);

    @TempDir
    Path folder;

    private StoreCluster cluster;

    @BeforeEach
    void form() throws Exception {
        cluster = new StoreCluster(folder);
        cluster.startAll();
    }

    @AfterEach
    void end() {
        cluster.close();
    }

    @Test
    void itemsSurviveARestart() {
        Item item = item("r1", 3);
        changeUntilConfirmed(cluster.caller(0), item);
        for (int i = 0; i < StoreCluster.HOSTS.size(); i++) {
            cluster.stop(i);
        }
        for (int i = 0; i < StoreCluster.HOSTS.size(); i++) {
            cluster.start(i, false);
        }
        assertThat(read(cluster.caller(0))).containsExactly(item);
    }

    /** A store that had lost its disk founded a cluster, and what the others had decided was lost. */
    @Test
    void aStoreThatLostItsDiskFoundsNoClusterOfItsOwn() throws Exception {
        Item item = item("r1", 3);
        changeUntilConfirmed(cluster.caller(0), item);
        for (int i = 0; i < StoreCluster.HOSTS.size(); i++) {
            cluster.stop(i);
        }
        cluster.wipe(0);
        cluster.startAlone(0);
        StoreCluster.Caller alone = cluster.caller(0);
        StoreMessages.ItemsRead read =
                alone.call(id -> new StoreMessages.ReadItems(id, true, BUDGET_MS), StoreMessages.ItemsRead.class);
        assertThat(read.outcome()).isNotEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(change(alone, true, item("r2", 1)).outcome()).isNotEqualTo(ChangeResult.Outcome.CONFIRMED);
        cluster.start(1, false);
        cluster.start(2, false);
        assertThat(read(cluster.caller(1))).containsExactly(item);
    }

    @Test
    void itemsReachTheOtherStoresAndTheirSubscribers() throws Exception {
        StoreCluster.Caller subscriber = cluster.caller(1);
        subscriber.send(new StoreMessages.Subscribe("", 0));
        StoreMessages.Snapshot snapshot = subscriber.take(StoreMessages.Snapshot.class);
        assertThat(snapshot.voters().addresses()).isEqualTo(StoreCluster.HOSTS);
        assertThat(snapshot.store().address()).isEqualTo(StoreCluster.HOSTS.get(1));
        Item item = item("r1", 1);
        changeUntilConfirmed(cluster.caller(0), item);
        StoreMessages.Update update = subscriber.take(StoreMessages.Update.class);
        assertThat(update.number()).isEqualTo(snapshot.number() + 1);
        assertThat(update.items()).containsExactly(item);
        assertThat(update.voters()).isEqualTo(snapshot.voters());
    }

    @Test
    void aReconnectingSubscriberGetsEachPurgeExactlyOnce() throws Exception {
        StoreCluster.Caller first = cluster.caller(0);
        first.send(new StoreMessages.Subscribe("", 0));
        StoreMessages.Snapshot before = first.take(StoreMessages.Snapshot.class);
        String incarnationId = before.incarnationId();
        long number = before.number();
        Purge purge = Purge.ofTag("p1", "tag");
        purge(first, purge);
        purge(first, purge);
        purge(first, Purge.ofTag("p2", "tag"));
        assertThat(first.take(StoreMessages.Update.class).purges()).containsExactly(purge);
        assertThat(first.take(StoreMessages.Update.class).number()).isEqualTo(number + 2);
        StoreCluster.Caller again = cluster.caller(0);
        again.send(new StoreMessages.Subscribe(incarnationId, number + 1));
        assertThat(again.take(StoreMessages.Update.class).purges()).containsExactly(Purge.ofTag("p2", "tag"));
        StoreCluster.Caller otherIncarnation = cluster.caller(0);
        otherIncarnation.send(new StoreMessages.Subscribe("other", 1));
        assertThat(otherIncarnation.take(StoreMessages.Snapshot.class).number()).isEqualTo(number + 2);
    }

    @Test
    void aLinkWithoutASnapshotGetsNoConfirmationOfPurges() throws Exception {
        StoreCluster.Caller subscriber = cluster.caller(0);
        subscriber.send(new StoreMessages.ConfirmPurges(1));
        subscriber.send(new StoreMessages.Subscribe("", 0));
        StoreMessages.Snapshot snapshot = subscriber.take(StoreMessages.Snapshot.class);
        subscriber.send(new StoreMessages.ConfirmPurges(2));
        assertThat(subscriber.take(StoreMessages.PurgesConfirmed.class))
                .isEqualTo(new StoreMessages.PurgesConfirmed(2, snapshot.number(), 1));
    }

    @Test
    void aConfirmationFollowsThePurgesPublishedBefore() throws Exception {
        StoreCluster.Caller subscriber = cluster.caller(0);
        subscriber.send(new StoreMessages.Subscribe("", 0));
        long number = subscriber.take(StoreMessages.Snapshot.class).number();
        Purge purge = Purge.ofTag("p1", "tag");
        purge(cluster.caller(0), purge);
        subscriber.send(new StoreMessages.ConfirmPurges(1));
        assertThat(subscriber.take(StoreMessages.Update.class).purges()).containsExactly(purge);
        assertThat(subscriber.take(StoreMessages.PurgesConfirmed.class).number())
                .isEqualTo(number + 1);
    }

    @Test
    void aSnapshotHasTheRecentPurgesOfThisIncarnation() throws Exception {
        Purge purge = Purge.ofTag("p1", "tag");
        purge(cluster.caller(0), purge);
        StoreCluster.Caller subscriber = cluster.caller(0);
        subscriber.send(new StoreMessages.Subscribe("", 0));
        StoreMessages.Snapshot snapshot = subscriber.take(StoreMessages.Snapshot.class);
        assertThat(snapshot.purges()).extracting(RecentPurge::purge).containsExactly(purge);
        assertThat(snapshot.purges().get(0).ageMs()).isBetween(0L, snapshot.purgesCompleteForMs());
        cluster.stop(0);
        cluster.start(0, false);
        StoreCluster.Caller later = cluster.caller(0);
        later.send(new StoreMessages.Subscribe("", 0));
        assertThat(later.take(StoreMessages.Snapshot.class).purges())
                .as("the next incarnation has not published it")
                .isEmpty();
    }

    @Test
    void aStoppedStoreKeepsNoConnectionThatItHadAcceptedBefore() throws Exception {
        try (Socket accepted = cluster.connect(0)) {
            // Connections are accepted in order.
            awaitVote(cluster.caller(0), "c1");
            cluster.stop(0);
            send(accepted, new LinkMessages.Hello(LinkMessages.Hello.PROTOCOL, "test", "test", "127.0.0.1", "life"));
            send(accepted, new LinkMessages.Ping());
            assertThat(accepted.getInputStream().read())
                    .as("the end of the stream")
                    .isEqualTo(-1);
        }
    }

    private static void send(Socket socket, Message message) throws IOException {
        byte[] contents = MessageCodec.encode(message);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(contents.length);
        out.write(contents);
    }

    @Test
    void aFinishedKeyStaysFinishedAfterARestart() {
        StoreCluster.Caller caller = cluster.caller(0);
        assertThat(awaitVote(caller, "c1").claimId()).isEqualTo("c1");
        assertThat(claim(caller, "c2").claimId()).isEqualTo("c1");
        cluster.stop(0);
        cluster.start(0, false);
        StoreCluster.Caller after = cluster.caller(0);
        assertThat(awaitVote(after, "c2").claimId()).isEqualTo("c1");
        assertThat(finish(after, "c1").durable()).isTrue();
        StoreMessages.KeyStatus status = claim(after, "c2");
        assertThat(status.state()).isEqualTo(KeyState.FINISHED);
        assertThat(status.answer()).isEqualTo(ANSWER);
    }

    @Test
    void aWipedVoterVotesUnderANewDiskIdOnceItHoldsAllData() throws Exception {
        Item item = item("r1", 1);
        changeUntilConfirmed(cluster.caller(0), item);
        claim(cluster.caller(0), "c1");
        finish(cluster.caller(1), "c1");
        VoterSet before = voters(cluster.caller(1));
        cluster.stop(0);
        cluster.stop(2);
        cluster.wipe(0);
        cluster.start(0, false);
        StoreCluster.Caller wiped = cluster.caller(0);
        assertThat(claim(wiped, "c2").availability()).isNotEqualTo(StoreMessages.KeyStatus.Availability.VOTES);
        assertThat(change(wiped, true, item("r2", 1)).outcome())
                .as("an order with one voter of three")
                .isNotEqualTo(ChangeResult.Outcome.CONFIRMED);
        cluster.start(2, false);
        StoreCluster.Caller other = cluster.caller(1);
        other.send(new StoreMessages.WatchVoters());
        VoterSet after = other.take(StoreMessages.CurrentVoters.class).voters();
        while (after.isJoint() || after.equals(before)) {
            after = other.take(StoreMessages.CurrentVoters.class).voters();
        }
        assertThat(after.addresses()).containsExactlyInAnyOrderElementsOf(StoreCluster.HOSTS);
        assertThat(after.voters()).isNotEqualTo(before.voters());
        StoreMessages.KeyStatus status = claim(cluster.caller(0), "c2");
        assertThat(status.availability()).isEqualTo(StoreMessages.KeyStatus.Availability.VOTES);
        assertThat(status.state()).isEqualTo(KeyState.FINISHED);
        assertThat(read(cluster.caller(0))).contains(item);
    }

    @Test
    void conflictingContentOfAVersionIsRejectedAndARepeatedChangeIsConfirmed() {
        StoreCluster.Caller here = cluster.caller(0);
        StoreCluster.Caller there = cluster.caller(1);
        Item one = new Item(new ItemName(ItemKind.SERVICE, "s"), 4, "{\"version\":4,\"a\":1}");
        Item other = new Item(new ItemName(ItemKind.SERVICE, "s"), 4, "{\"version\":4,\"a\":2}");
        changeUntilConfirmed(here, one);
        assertThat(changeUntilClear(there, other).outcome()).isEqualTo(ChangeResult.Outcome.CONFLICT);
        assertThat(changeUntilClear(there, one).outcome()).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        changeUntilConfirmed(here, new Item(one.name(), 9, "{\"version\":9}"));
        assertThat(changeUntilClear(there, one).outcome()).isEqualTo(ChangeResult.Outcome.CONFIRMED);
        assertThat(changeUntilClear(there, other).outcome()).isEqualTo(ChangeResult.Outcome.CONFLICT);
    }

    @ParameterizedTest
    @CsvSource({"true,false", "false,true"})
    void aFailingDiskIsReportedAndUsedAgainOnceItWorks(boolean writes, boolean syncs) {
        FaultyDisk faults = new FaultyDisk();
        restartOn(faults);
        StoreCluster.Caller caller = cluster.caller(0);
        Item item = item("r1", 1);
        awaitVote(caller, "c1");
        faults.setFailing(writes, syncs);
        assertThat(finish(caller, "c1").durable()).isFalse();
        assertThat(claim(caller, "c2").state()).isEqualTo(KeyState.FINISHED);
        changeUntilConfirmed(cluster.caller(1), item);
        faults.setFailing(false, false);
        while (!finish(caller, "c1").durable()) {
            continue;
        }
        cluster.stop(0);
        cluster.start(0, false);
        StoreCluster.Caller after = cluster.caller(0);
        assertThat(awaitVote(after, "c2").state()).isEqualTo(KeyState.FINISHED);
        assertThat(read(after)).containsExactly(item);
    }

    @Test
    void aHangingDiskDelaysOnlyVotesThatNeedIt() throws Exception {
        FaultyDisk faults = new FaultyDisk();
        restartOn(faults);
        StoreCluster.Caller caller = cluster.caller(0);
        caller.send(new StoreMessages.Subscribe("", 0));
        caller.take(StoreMessages.Snapshot.class);
        awaitVote(caller, "c0");
        faults.hang();
        long epoch = voters(cluster.caller(0)).epoch();
        var granted = caller.startCall(
                id -> new StoreMessages.ClaimKey(id, epoch, "other", "c1"), StoreMessages.KeyStatus.class);
        changeUntilConfirmed(cluster.caller(1), item("r1", 1));
        StoreMessages.Update update = caller.take(StoreMessages.Update.class);
        assertThat(update.items()).as("decided by the others").containsExactly(item("r1", 1));
        assertThat(claim(caller, "c2").claimId()).as("a claim that is denied").isEqualTo("c0");
        assertThat(granted).isNotDone();
        faults.resume();
        assertThat(granted.join().claimId()).isEqualTo("c1");
    }

    private void restartOn(FaultyDisk faults) {
        cluster.stop(0);
        cluster.start(0, false, new JournalDisk(cluster.folderOf(0).resolve("store"), faults));
    }

    private static Item item(String name, long version) {
        return new Item(new ItemName(ItemKind.ROUTE, name), version, "{\"version\":" + version + "}");
    }

    /** Sends a change until it is confirmed, like an operator who receives no definite result. */
    private void changeUntilConfirmed(StoreCluster.Caller caller, Item item) {
        assertThat(changeUntilClear(caller, item).outcome()).isEqualTo(ChangeResult.Outcome.CONFIRMED);
    }

    /** Sends a change to the leader or to another store until the result is definite, like a registry. */
    private ChangeResult changeUntilClear(StoreCluster.Caller caller, Item item) {
        StoreCluster.Caller asked = caller;
        ChangeResult result = change(asked, false, item);
        for (int i = 0; i < MAX_ATTEMPTS && !isClear(result); i++) {
            boolean hint =
                    result.outcome() == ChangeResult.Outcome.NOT_LEADER && StoreCluster.HOSTS.contains(result.detail());
            asked = hint ? cluster.caller(StoreCluster.HOSTS.indexOf(result.detail())) : caller;
            result = change(asked, !hint, item);
        }
        return result;
    }

    private static boolean isClear(ChangeResult result) {
        return result.outcome() != ChangeResult.Outcome.NOT_LEADER && result.outcome() != ChangeResult.Outcome.UNKNOWN;
    }

    private static ChangeResult change(StoreCluster.Caller caller, boolean insist, Item item) {
        return caller.call(
                        id -> new StoreMessages.ChangeItems(id, insist, BUDGET_MS, List.of(item)),
                        StoreMessages.ItemsChanged.class)
                .result();
    }

    private List<Item> read(StoreCluster.Caller caller) {
        StoreCluster.Caller asked = caller;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            StoreMessages.ItemsRead read =
                    asked.call(id -> new StoreMessages.ReadItems(id, true, BUDGET_MS), StoreMessages.ItemsRead.class);
            if (read.outcome() == ChangeResult.Outcome.CONFIRMED) {
                return read.items();
            }
            int leader = StoreCluster.HOSTS.indexOf(read.leaderAddress());
            asked = leader < 0 ? caller : cluster.caller(leader);
        }
        throw new AssertionError("no read was confirmed");
    }

    /** Returns the voters that a store knows to be decided. */
    private static VoterSet voters(StoreCluster.Caller caller) throws InterruptedException {
        caller.send(new StoreMessages.WatchVoters());
        return caller.take(StoreMessages.CurrentVoters.class).voters();
    }

    private static void purge(StoreCluster.Caller caller, Purge purge) {
        caller.call(id -> new StoreMessages.WritePurge(id, 1, purge), StoreMessages.PurgePublished.class);
    }

    private static StoreMessages.KeyStatus awaitVote(StoreCluster.Caller caller, String claimId) {
        StoreMessages.KeyStatus status = claim(caller, claimId);
        while (status.availability() != StoreMessages.KeyStatus.Availability.VOTES) {
            status = claim(caller, claimId);
        }
        return status;
    }

    /** Claims the key in each epoch in turn, until the store is in that epoch or all epochs were tried. */
    private static StoreMessages.KeyStatus claim(StoreCluster.Caller caller, String claimId) {
        StoreMessages.KeyStatus status = null;
        for (long epoch = 1; epoch < MAX_EPOCHS; epoch++) {
            long claimed = epoch;
            status = caller.call(
                    id -> new StoreMessages.ClaimKey(id, claimed, "key", claimId), StoreMessages.KeyStatus.class);
            if (status.availability() != StoreMessages.KeyStatus.Availability.OTHER_EPOCH) {
                return status;
            }
        }
        return status;
    }

    private static StoreMessages.WriteResult finish(StoreCluster.Caller caller, String claimId) {
        return caller.call(
                id -> new StoreMessages.FinishKey(id, "key", claimId, ANSWER), StoreMessages.WriteResult.class);
    }
}
