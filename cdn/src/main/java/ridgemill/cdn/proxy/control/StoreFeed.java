package ridgemill.cdn.proxy.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.StoreMessages;

/** Follows the numbered news of one configuration store, without a gap where the store can continue. */
final class StoreFeed implements LinkListener {

    /** Told what a store says. */
    interface Receiver {

        /** The store told all its items; purges before this moment are not told any more. */
        void snapshotReceived(StoreFeed feed, VoterSet voters, List<Item> items);

        /** The store told of changes. */
        void updateReceived(VoterSet voters, List<Item> items, List<Purge> purges);
    }

    private final Receiver receiver;
    private ReconnectingLink link;
    private String incarnationId = "";
    private long lastNumber;
    private Voter store;

    StoreFeed(Receiver receiver) {
        this.receiver = receiver;
    }

    void start(ReconnectingLink held) {
        link = held;
        held.start();
    }

    /** Whether the store can be heard now. */
    boolean isLive() {
        return link.isLive();
    }

    void close() {
        link.close();
    }

    /** The store that has told all its items, in this life of the proxy and of the store's disk; null if none has. */
    Voter store() {
        return store;
    }

    void call(
            LongFunction<? extends Message.Call> message,
            long timeoutMs,
            Consumer<Either<CallFailure, Message.Reply>> callback) {
        link.call(message, timeoutMs, callback);
    }

    @Override
    public void opened(Link opened) {
        opened.send(new StoreMessages.Subscribe(incarnationId, lastNumber));
    }

    @Override
    public void received(Link from, Message message) {
        if (message instanceof StoreMessages.Snapshot snapshot) {
            incarnationId = snapshot.incarnationId();
            lastNumber = snapshot.number();
            store = snapshot.store();
            receiver.snapshotReceived(this, snapshot.voters(), snapshot.items());
            from.send(new StoreMessages.UpdateAcknowledged(lastNumber));
        } else if (message instanceof StoreMessages.Update news) {
            applyUpdate(from, news);
        }
    }

    private void applyUpdate(Link from, StoreMessages.Update news) {
        if (news.number() <= lastNumber) {
            return;
        }
        if (news.number() != lastNumber + 1) {
            // A gap would hide purges: asking anew brings what is missing, or a snapshot.
            from.send(new StoreMessages.Subscribe(incarnationId, lastNumber));
            return;
        }
        lastNumber = news.number();
        receiver.updateReceived(news.voters(), news.items(), news.purges());
        from.send(new StoreMessages.UpdateAcknowledged(lastNumber));
    }

    @Override
    public void closed(Link ended) {}
}
