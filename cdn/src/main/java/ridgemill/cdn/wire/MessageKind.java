package ridgemill.cdn.wire;

import java.io.IOException;

/** The kinds of messages. A kind keeps its number for ever; numbers of kinds that are gone are not used again. */
public enum MessageKind {
    HELLO(1, LinkMessages.Hello::read),
    PING(2, LinkMessages.Ping::read),
    PONG(3, LinkMessages.Pong::read),
    STORE_SUBSCRIBE(10, StoreMessages.Subscribe::read),
    STORE_SNAPSHOT(11, StoreMessages.Snapshot::read),
    STORE_NEWS(12, StoreMessages.News::read),
    STORE_NEWS_ACKNOWLEDGED(13, StoreMessages.NewsAcknowledged::read),
    WRITE_ITEMS(20, StoreMessages.WriteItems::read),
    WRITTEN(21, StoreMessages.Written::read),
    READ_ITEMS(22, StoreMessages.ReadItems::read),
    ITEMS_READ(23, StoreMessages.ItemsRead::read),
    WRITE_PURGE(24, StoreMessages.WritePurge::read),
    CLAIM_KEY(30, StoreMessages.ClaimKey::read),
    KEY_STATUS(31, StoreMessages.KeyStatus::read),
    FINISH_KEY(32, StoreMessages.FinishKey::read),
    RELEASE_KEY(33, StoreMessages.ReleaseKey::read),
    PULL_STATE(40, StoreMessages.PullState::read),
    STATE_PAGE(41, StoreMessages.StatePage::read),
    REGISTRY_SUBSCRIBE(50, RegistryMessages.Subscribe::read),
    REGISTRY_SNAPSHOT(51, RegistryMessages.Snapshot::read),
    REGISTRY_NEWS(52, RegistryMessages.News::read),
    REGISTRY_NEWS_ACKNOWLEDGED(53, RegistryMessages.NewsAcknowledged::read),
    PEER_UPDATE(60, RegistryMessages.PeerUpdate::read),
    PEER_UPDATE_TAKEN(61, RegistryMessages.PeerUpdateTaken::read),
    PEER_BEATS(62, RegistryMessages.PeerBeats::read);

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

    /** The number that stands for this kind on the wire. */
    public int number() {
        return number;
    }

    /** Reads the fields of a message of this kind. */
    Message read(FieldReader in) throws IOException {
        return reader.read(in);
    }

    /** The kind with this number. Fails if there is none. */
    static MessageKind ofNumber(int number) throws IOException {
        MessageKind kind = number < 0 || number >= BY_NUMBER.length ? null : BY_NUMBER[number];
        if (kind == null) {
            throw new IOException("no message has the kind " + number);
        }
        return kind;
    }
}
