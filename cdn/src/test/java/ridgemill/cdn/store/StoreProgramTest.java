package ridgemill.cdn.store;

import static org.assertj.core.api.Assertions.assertThat;

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
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.keys.KeyState;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.wire.StoreMessages;

/** Three stores over their sockets. */
@Timeout(60)
final class StoreProgramTest {

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
    void itemsOutliveARestart() {
        Item item = item("r1", 3);
        assertThat(write(cluster.caller(0), item).durable()).isTrue();
        cluster.stop(0);
        cluster.start(0, false);
        StoreMessages.ItemsRead read =
                cluster.caller(0).call(StoreMessages.ReadItems::new, StoreMessages.ItemsRead.class);
        assertThat(read.complete()).isTrue();
        assertThat(read.items()).containsExactly(item);
    }

    @Test
    void itemsReachTheOtherStoresAndTheirSubscribers() throws Exception {
        StoreCluster.Caller subscriber = cluster.caller(1);
        subscriber.send(new StoreMessages.Subscribe("", 0));
        StoreMessages.Snapshot snapshot = subscriber.take(StoreMessages.Snapshot.class);
        assertThat(snapshot.voters()).isEqualTo(StoreCluster.HOSTS);
        Item item = item("r1", 1);
        write(cluster.caller(0), item);
        StoreMessages.News news = subscriber.take(StoreMessages.News.class);
        assertThat(news.number()).isEqualTo(snapshot.number() + 1);
        assertThat(news.items()).containsExactly(item);
    }

    @Test
    void aSubscriberThatComesBackMissesNoPurgeAndSeesNoneTwice() throws Exception {
        StoreCluster.Caller first = cluster.caller(0);
        first.send(new StoreMessages.Subscribe("", 0));
        String life = first.take(StoreMessages.Snapshot.class).lifeId();
        Purge purge = Purge.ofTag("p1", "tag");
        purge(first, purge);
        purge(first, purge);
        purge(first, Purge.ofTag("p2", "tag"));
        assertThat(first.take(StoreMessages.News.class).purges()).containsExactly(purge);
        assertThat(first.take(StoreMessages.News.class).number()).isEqualTo(2);
        StoreCluster.Caller again = cluster.caller(0);
        again.send(new StoreMessages.Subscribe(life, 1));
        assertThat(again.take(StoreMessages.News.class).purges()).containsExactly(Purge.ofTag("p2", "tag"));
        StoreCluster.Caller otherLife = cluster.caller(0);
        otherLife.send(new StoreMessages.Subscribe("other", 1));
        assertThat(otherLife.take(StoreMessages.Snapshot.class).number()).isEqualTo(2);
    }

    @Test
    void aKeyIsHeldThenFinishedAndStaysSoAfterARestart() {
        StoreCluster.Caller caller = cluster.caller(0);
        assertThat(claim(caller, "c1").claimId()).isEqualTo("c1");
        assertThat(claim(caller, "c2").claimId()).isEqualTo("c1");
        cluster.stop(0);
        cluster.start(0, false);
        StoreCluster.Caller after = cluster.caller(0);
        assertThat(claim(after, "c2").claimId()).isEqualTo("c1");
        assertThat(finish(after, "c1").durable()).isTrue();
        StoreMessages.KeyStatus status = claim(after, "c2");
        assertThat(status.state()).isEqualTo(KeyState.FINISHED);
        assertThat(status.answer()).isEqualTo(ANSWER);
    }

    @Test
    void aWipedVoterRecoversBeforeItVotes() throws Exception {
        Item item = item("r1", 1);
        for (int i = 0; i < 2; i++) {
            write(cluster.caller(i), item);
        }
        claim(cluster.caller(0), "c1");
        finish(cluster.caller(1), "c1");
        cluster.stop(0);
        cluster.stop(2);
        cluster.wipe(0);
        cluster.start(0, false);
        StoreCluster.Caller wiped = cluster.caller(0);
        assertThat(claim(wiped, "c2").available()).isFalse();
        assertThat(write(wiped, item).durable()).isFalse();
        assertThat(wiped.call(StoreMessages.ReadItems::new, StoreMessages.ItemsRead.class)
                        .complete())
                .isFalse();
        cluster.start(2, false);
        StoreMessages.KeyStatus status = claim(wiped, "c2");
        while (!status.available()) {
            status = claim(wiped, "c2");
        }
        assertThat(status.state()).isEqualTo(KeyState.FINISHED);
        StoreMessages.ItemsRead read = wiped.call(StoreMessages.ReadItems::new, StoreMessages.ItemsRead.class);
        assertThat(read.complete()).isTrue();
        assertThat(read.items()).containsExactly(item);
        assertThat(write(wiped, item).durable()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"true,false", "false,true"})
    void aDiskThatRefusesIsSaidSoAndIsUsedAgainLater(boolean writes, boolean syncs) {
        TroubledDisk trouble = new TroubledDisk();
        restartOn(trouble);
        StoreCluster.Caller caller = cluster.caller(0);
        Item item = item("r1", 1);
        assertThat(claim(caller, "c1").available()).isTrue();
        trouble.refuse(writes, syncs);
        assertThat(write(caller, item).durable()).isFalse();
        assertThat(finish(caller, "c1").durable()).isFalse();
        assertThat(claim(caller, "c2").state()).isEqualTo(KeyState.FINISHED);
        trouble.refuse(false, false);
        while (!write(caller, item).durable()) {
            continue;
        }
        cluster.stop(0);
        cluster.start(0, false);
        StoreCluster.Caller after = cluster.caller(0);
        assertThat(claim(after, "c2").state()).isEqualTo(KeyState.FINISHED);
        assertThat(after.call(StoreMessages.ReadItems::new, StoreMessages.ItemsRead.class)
                        .items())
                .containsExactly(item);
    }

    @Test
    void aDiskThatHangsHoldsUpWritesOnly() throws Exception {
        TroubledDisk trouble = new TroubledDisk();
        restartOn(trouble);
        StoreCluster.Caller caller = cluster.caller(0);
        caller.send(new StoreMessages.Subscribe("", 0));
        caller.take(StoreMessages.Snapshot.class);
        trouble.hang();
        var granted = caller.begin(id -> new StoreMessages.ClaimKey(id, "key", "c1"), StoreMessages.KeyStatus.class);
        var stored = caller.begin(
                id -> new StoreMessages.WriteItems(id, List.of(item("r1", 1))), StoreMessages.Written.class);
        assertThat(claim(caller, "c2").claimId()).isEqualTo("c1");
        assertThat(caller.take(StoreMessages.News.class).items()).containsExactly(item("r1", 1));
        assertThat(granted).isNotDone();
        assertThat(stored).isNotDone();
        trouble.goOn();
        assertThat(granted.join().claimId()).isEqualTo("c1");
        assertThat(stored.join().durable()).isTrue();
    }

    private void restartOn(TroubledDisk trouble) {
        cluster.stop(0);
        cluster.start(0, false, new JournalDisk(cluster.folderOf(0).resolve("store"), trouble));
    }

    private static Item item(String name, long version) {
        return new Item(new ItemName(ItemKind.ROUTE, name), version, "{\"version\":" + version + "}");
    }

    private static StoreMessages.Written write(StoreCluster.Caller caller, Item item) {
        return caller.call(id -> new StoreMessages.WriteItems(id, List.of(item)), StoreMessages.Written.class);
    }

    private static void purge(StoreCluster.Caller caller, Purge purge) {
        caller.call(id -> new StoreMessages.WritePurge(id, purge), StoreMessages.Written.class);
    }

    private static StoreMessages.KeyStatus claim(StoreCluster.Caller caller, String claimId) {
        return caller.call(id -> new StoreMessages.ClaimKey(id, "key", claimId), StoreMessages.KeyStatus.class);
    }

    private static StoreMessages.Written finish(StoreCluster.Caller caller, String claimId) {
        return caller.call(id -> new StoreMessages.FinishKey(id, "key", claimId, ANSWER), StoreMessages.Written.class);
    }
}
