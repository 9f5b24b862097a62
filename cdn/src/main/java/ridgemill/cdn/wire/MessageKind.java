package ridgemill.cdn.wire;

import java.io.IOException;

/** The kinds of messages. The number of a kind never changes, and numbers of removed kinds are never reused. */
public enum MessageKind {
    HELLO(1, LinkMessages.Hello::read),
    PING(2, LinkMessages.Ping::read),
    PONG(3, LinkMessages.Pong::read),
    STORE_SUBSCRIBE(10, StoreMessages.Subscribe::read),
    STORE_SNAPSHOT(11, StoreMessages.Snapshot::read),
    STORE_NEWS(12, StoreMessages.Update::read),
    STORE_NEWS_ACKNOWLEDGED(13, StoreMessages.UpdateAcknowledged::read),
    WRITTEN(21, StoreMessages.WriteResult::read),
    FOLLOW_VOTERS(14, StoreMessages.WatchVoters::read),
    VOTERS_NOW(15, StoreMessages.CurrentVoters::read),
    WRITE_PURGE(25, StoreMessages.WritePurge::read),
    CHANGE_ITEMS(26, StoreMessages.ChangeItems::read),
    ITEMS_CHANGED(27, StoreMessages.ItemsChanged::read),
    READ_ITEMS(28, StoreMessages.ReadItems::read),
    ITEMS_READ(29, StoreMessages.ItemsRead::read),
    CLAIM_KEY(34, StoreMessages.ClaimKey::read),
    KEY_STATUS(35, StoreMessages.KeyStatus::read),
    FINISH_KEY(32, StoreMessages.FinishKey::read),
    RELEASE_KEY(33, StoreMessages.ReleaseKey::read),
    PULL_KEYS(42, StoreMessages.PullKeys::read),
    KEYS_PAGE(43, StoreMessages.KeysPage::read),
    AGREEMENT(44, StoreMessages.Agreement::read),
    REGISTRY_SUBSCRIBE(50, RegistryMessages.Subscribe::read),
    REGISTRY_SNAPSHOT(51, RegistryMessages.Snapshot::read),
    REGISTRY_NEWS(52, RegistryMessages.Update::read),
    REGISTRY_NEWS_ACKNOWLEDGED(53, RegistryMessages.UpdateAcknowledged::read),
    REGISTRY_OFFER_CACHE(54, RegistryMessages.AnnounceCache::read),
    PEER_UPDATE(60, RegistryMessages.PeerUpdate::read),
    PEER_UPDATE_TAKEN(61, RegistryMessages.PeerUpdateMerged::read),
    PEER_BEATS(62, RegistryMessages.PeerHeartbeats::read),
    PURGE_PUBLISHED(70, StoreMessages.PurgePublished::read),
    CONFIRM_PURGES(71, StoreMessages.ConfirmPurges::read),
    PURGES_CONFIRMED(72, StoreMessages.PurgesConfirmed::read);

    private static final MessageKind[] BY_NUMBER = new MessageKind[128];

    static {
        for (MessageKind kind : values()) {
            BY_NUMBER[kind.number] = kind;
        }
    }

    private final int number;
    private final FieldReader.ElementReader<? extends Message> reader;

    MessageKind(int number, FieldReader.ElementReader<? extends Message> reader) {
        this.number = number;
        this.reader = reader;
    }

    /** Returns the number of this kind on the wire. */
    public int number() {
        return number;
    }

    /** Reads the fields of a message of this kind. */
    Message read(FieldReader in) throws IOException {
        return reader.read(in);
    }

    /** Returns the kind with this number, or throws an IOException if there is none. */
    static MessageKind ofNumber(int number) throws IOException {
        MessageKind kind = number < 0 || number >= BY_NUMBER.length ? null : BY_NUMBER[number];
        if (kind == null) {
            throw new IOException("unknown message kind " + number);
        }
        return kind;
    }
}
