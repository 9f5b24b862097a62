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
 * The in-memory state of this store: its participant in the agreement on the configuration and its operation keys.
 * Passes changes to the disk and to the subscribers. Runs on the event loop.
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
    private DiskIdentity identity;

    StoreReplica(String incarnationId, KeyLimits limits, Clock clock, DiskQueue disk, StorePeers peers) {
        this.incarnationId = incarnationId;
        this.clock = clock;
        this.disk = disk;
        this.peers = peers;
        this.keys = new KeyReplica(limits);
        this.updates = new UpdatePublisher(incarnationId, this::snapshot, nowMs());
    }

    /** Returns the current time in Unix milliseconds. */
    long nowMs() {
        return (long) clock.now();
    }

    /** Returns the time of a monotonic clock in milliseconds. */
    double monotonicMs() {
        return System.nanoTime() / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    /** Restores the state that was read from the disk and starts to communicate with the other stores. */
    void start(StoredState state, NodeSettings settings, ChangeRules rules) {
        self = settings.self();
        identity = new DiskIdentity(self.diskId(), settings.founders());
        keys.restore(state.records());
        agreement = new AgreementNode(settings, this, rules);
        agreement.start(state.accepted(), monotonicMs());
        peers.setOnConnected(address -> agreement.onConnected(address, monotonicMs()));
    }

    AgreementNode agreement() {
        return agreement;
    }

    /** Returns the identity of this store as a voter. */
    Voter self() {
        return self;
    }

    KeyReplica keys() {
        return keys;
    }

    UpdatePublisher updates() {
        return updates;
    }

    /** Returns the epoch in which this store grants keys and accepts purges. */
    long epoch() {
        return agreement.voters().epoch();
    }

    /** Returns that epoch; 0 while it is not known to be decided, since it may still be replaced by another one. */
    long decidedEpoch() {
        return agreement.decidedVoters().epoch() == epoch() ? epoch() : 0;
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
                agreement.onPersisted(monotonicMs());
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

    /** Merges keys fetched from other voters. This store votes on keys once all of them are on disk. */
    void mergeTransferredKeys(List<KeyRecord> transferred, long epoch) {
        List<KeyRecord> merged = keys.merge(transferred);
        disk.submit(DiskBatch.ofRecords(merged), written -> {
            LOG.log(Level.INFO, "event=keys_complete epoch=" + epoch + " keys=" + keys.size() + " durable=" + written);
            if (written) {
                agreement.onKeysComplete(epoch, monotonicMs());
            }
        });
    }

    /** Writes the complete in-memory state to a disk that was reset. */
    void writeAll() {
        disk.submit(new DiskBatch(identity, agreement.record(), keys.all(), List.of()), written -> {});
    }

    /** Writes a key record. With null, only waits until all earlier writes are done. */
    void writeRecord(KeyRecord record, Consumer<Boolean> done) {
        disk.submit(record == null ? DiskBatch.NONE : DiskBatch.ofRecord(record), done);
    }

    /** Removes expired key records. */
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
                updates.votersAgeMs(nowMs()),
                new ArrayList<>(agreement.decidedItems().all()),
                updates.recentPurges().completeForMs(nowMs()),
                updates.recentPurges().recent(nowMs()));
    }
}
