package ridgemill.cdn.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.keys.KeyLimits;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyReplica;
import ridgemill.cdn.quorum.Quorum;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;

/** What this store holds in memory, and how it gets to the disk and to the subscribers. On the event loop. */
final class StoreReplica {

    private static final System.Logger LOG = System.getLogger(StoreReplica.class.getName());
    private static final int EXPIRED_AT_ONCE = 2_000;

    private final String ownAddress;
    private final Clock clock;
    private final DiskQueue disk;
    private final ItemSet items = new ItemSet();
    private final KeyReplica keys;
    private final NewsHub news;
    private Quorum quorum = Quorum.UNKNOWN;
    private boolean complete;

    StoreReplica(String ownAddress, String lifeId, KeyLimits limits, Clock clock, DiskQueue disk) {
        this.ownAddress = ownAddress;
        this.clock = clock;
        this.disk = disk;
        this.keys = new KeyReplica(limits);
        this.news = new NewsHub(lifeId, this::snapshot);
    }

    /** Unix milliseconds. */
    long nowMs() {
        return (long) clock.now();
    }

    /** The voters as far as they are known. */
    Quorum quorum() {
        return quorum;
    }

    /** Whether this store is a voter that holds all that it ever acknowledged. */
    boolean isVoting() {
        return complete && quorum.isVoter(ownAddress);
    }

    ItemSet items() {
        return items;
    }

    KeyReplica keys() {
        return keys;
    }

    NewsHub news() {
        return news;
    }

    /** Takes over what the disk held. A disk that names the voters is complete. */
    void restore(StoredState state) {
        items.mergeAll(state.items());
        keys.restore(state.records());
        if (!state.voters().isEmpty()) {
            quorum = new Quorum(state.voters());
            complete = true;
        }
    }

    /** The very first start: there is nothing that this store could have forgotten. */
    void form(List<String> voters) {
        quorum = new Quorum(voters);
        complete = true;
        LOG.log(Level.INFO, "event=formed voters=" + quorum.voters());
        disk.submit(DiskBatch.ofVoters(quorum.voters()), written -> {});
    }

    /** The voters were learned from another store. One that is no voter needs no recovery. */
    void learn(Quorum learned) {
        quorum = learned;
        LOG.log(Level.INFO, "event=voters_learned voters=" + learned.voters());
        if (!learned.isVoter(ownAddress)) {
            complete = true;
            disk.submit(DiskBatch.ofVoters(learned.voters()), written -> {});
        }
    }

    /** Takes over what the other voters hold; this store votes once all of it is on disk. */
    void recovered(List<KeyRecord> merged, Consumer<Boolean> done) {
        keys.restore(merged);
        disk.submit(everything(), written -> {
            complete |= written;
            LOG.log(Level.INFO, "event=recovered durable=" + written + " keys=" + keys.size());
            done.accept(written);
        });
    }

    /** Writes all that is in memory to a disk that was begun anew. */
    void writeAll() {
        disk.submit(everything(), written -> {});
    }

    /** All that is in memory, as a batch. */
    private DiskBatch everything() {
        List<String> voters = quorum.isKnown() ? quorum.voters() : null;
        return new DiskBatch(new ArrayList<>(items.all()), keys.all(), List.of(), voters);
    }

    /** Merges item versions, passes on what was new, and tells whether all of them are on disk. */
    void mergeItems(Collection<Item> versions, Consumer<Boolean> done) {
        List<Item> changed = items.mergeAll(versions);
        news.publishItems(changed, nowMs());
        disk.submit(DiskBatch.ofItems(changed), done);
    }

    /** Writes a key record; null waits for what was written before. */
    void store(KeyRecord record, Consumer<Boolean> done) {
        disk.submit(record == null ? DiskBatch.NONE : DiskBatch.ofRecord(record), done);
    }

    /** Forgets key records whose time is over. */
    void expireKeys() {
        List<String> expired = keys.expire(nowMs(), EXPIRED_AT_ONCE);
        if (!expired.isEmpty()) {
            disk.submit(DiskBatch.ofRemovedKeys(expired), written -> {});
        }
    }

    private StoreMessages.Snapshot snapshot() {
        return new StoreMessages.Snapshot(news.lifeId(), news.number(), quorum.voters(), new ArrayList<>(items.all()));
    }
}
