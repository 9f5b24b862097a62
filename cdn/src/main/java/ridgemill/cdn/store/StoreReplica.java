package ridgemill.cdn.store;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.agreement.AcceptorRecord;
import ridgemill.cdn.agreement.AgreementEnvironment;
import ridgemill.cdn.agreement.AgreementMessage;
import ridgemill.cdn.agreement.AgreementNode;
import ridgemill.cdn.agreement.ChangeRules;
import ridgemill.cdn.agreement.NodeSettings;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.keys.KeyLimits;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyReplica;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;

/**
 * What this store holds in memory, and how it gets to the disk and to the subscribers: its part in the agreement on the
 * configuration, and its register of operation keys. On the event loop.
 */
final class StoreReplica implements AgreementEnvironment {

    private static final System.Logger LOG = System.getLogger(StoreReplica.class.getName());
    private static final int MAX_EXPIRED_PER_PASS = 2_000;

    private final Clock clock;
    private final DiskQueue disk;
    private final StorePeers peers;
    private final KeyReplica keys;
    private final UpdatePublisher updates;
    private final String incarnationId;
    private AgreementNode agreement;
    private Voter self;

    StoreReplica(String lifeId, KeyLimits limits, Clock clock, DiskQueue disk, StorePeers peers) {
        this.incarnationId = lifeId;
        this.clock = clock;
        this.disk = disk;
        this.peers = peers;
        this.keys = new KeyReplica(limits);
        this.updates = new UpdatePublisher(lifeId, this::snapshot);
    }

    /** Unix milliseconds. */
    long nowMs() {
        return (long) clock.now();
    }

    /** Milliseconds of a clock that never steps back. */
    double steadyMs() {
        return System.nanoTime() / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** Takes over what the disk held and begins to speak with the other stores. */
    void start(StoredState state, NodeSettings settings, ChangeRules rules) {
        self = settings.self();
        keys.restore(state.records());
        agreement = new AgreementNode(settings, this, rules);
        agreement.start(state.accepted(), steadyMs());
        peers.setOnConnected(address -> agreement.onConnected(address, steadyMs()));
    }

    AgreementNode agreement() {
        return agreement;
    }

    /** This store. */
    Voter self() {
        return self;
    }

    KeyReplica keys() {
        return keys;
    }

    UpdatePublisher updates() {
        return updates;
    }

    /** The epoch in which this store grants keys and takes purges. */
    long epoch() {
        return agreement.voters().epoch();
    }

    @Override
    public void send(String address, AgreementMessage message) {
        peers.linkTo(address).send(new StoreMessages.Agreement(message));
    }

    @Override
    public void persist(AcceptorRecord record, Runnable durable) {
        disk.submit(DiskBatch.ofAccepted(record), written -> {
            if (written) {
                durable.run();
                agreement.onPersisted(steadyMs());
            }
        });
    }

    @Override
    public void onDecided(List<Item> changed, VoterSet voters) {
        LOG.log(
                Level.INFO,
                "event=decided items=" + changed.size() + " epoch=" + voters.epoch() + " voters=" + voters.voters()
                        + " previous=" + voters.previous());
        updates.publishDecided(changed, voters, nowMs());
    }

    @Override
    public double random() {
        return ThreadLocalRandom.current().nextDouble();
    }

    /** Takes over the keys that other voters hold; this store votes on keys once all of them are on disk. */
    void mergeTransferredKeys(List<KeyRecord> pulled, long epoch) {
        List<KeyRecord> joined = keys.merge(pulled);
        disk.submit(DiskBatch.ofRecords(joined), written -> {
            LOG.log(Level.INFO, "event=keys_complete epoch=" + epoch + " keys=" + keys.size() + " durable=" + written);
            if (written) {
                agreement.onKeysComplete(epoch, steadyMs());
            }
        });
    }

    /** Writes all that is in memory to a disk that was begun anew. */
    void writeAll() {
        disk.submit(new DiskBatch(self.diskId(), agreement.record(), keys.all(), List.of()), written -> {});
    }

    /** Writes a key record; null waits for what was written before. */
    void writeRecord(KeyRecord record, Consumer<Boolean> done) {
        disk.submit(record == null ? DiskBatch.NONE : DiskBatch.ofRecord(record), done);
    }

    /** Forgets key records whose time is over. */
    void expireKeys() {
        List<String> expired = keys.expire(nowMs(), MAX_EXPIRED_PER_PASS);
        if (!expired.isEmpty()) {
            disk.submit(DiskBatch.ofRemovedKeys(expired), written -> {});
        }
    }

    private StoreMessages.Snapshot snapshot() {
        return new StoreMessages.Snapshot(
                incarnationId,
                updates.lastNumber(),
                self,
                agreement.decidedVoters(),
                new ArrayList<>(agreement.decidedItems().all()));
    }
}
