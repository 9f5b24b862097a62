package ridgemill.cdn.proxy.control;

import io.vavr.control.Either;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.wire.CallFailure;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.ReconnectingLink;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Follows the numbered updates of one configuration store. After a reconnection it continues without a gap if the
 * store still has the missing updates.
 */
final class StoreFeed implements LinkListener {

    /** Receives the updates of a store. */
    interface Receiver {

        /** The store sent all its items and its recent purges: its first ones, or there may be a gap before them. */
        void snapshotReceived(StoreFeed feed, StoreMessages.Snapshot snapshot);

        /** The store sent changes. */
        void updateReceived(StoreFeed feed, StoreMessages.Update update);

        /** All purges that the store had published when it was asked have been received. */
        void purgesConfirmed(StoreFeed feed, StoreMessages.PurgesConfirmed confirmation);
    }

    private final Receiver receiver;
    private final DoubleSupplier clock;
    private ReconnectingLink link;
    private String incarnationId = "";
    private long lastNumber;
    private Voter store;
    /** The link over which the updates are received. */
    private Link streamLink;

    private long votersEpoch;

    /**
     * Creates a feed that is not connected.
     *
     * @param clock the current time, in milliseconds
     */
    StoreFeed(Receiver receiver, DoubleSupplier clock) {
        this.receiver = receiver;
        this.clock = clock;
    }

    void start(ReconnectingLink newLink) {
        link = newLink;
        newLink.start();
    }

    /** Whether the store is connected and responding. */
    boolean isLive() {
        return link.isLive();
    }

    void close() {
        link.close();
    }

    /**
     * The store that sent all its items during the lifetime of this process and of the store's disk; null if none has.
     */
    Voter store() {
        return store;
    }

    /** The store, its incarnation and the number of the last update received from it, for logs. */
    String position() {
        return store + "@" + incarnationId + '#' + lastNumber;
    }

    void call(
            LongFunction<? extends Message.Call> message,
            long timeoutMs,
            Consumer<Either<CallFailure, Message.Reply>> callback) {
        link.call(message, timeoutMs, callback);
    }

    @Override
    public void opened(Link opened) {
        streamLink = opened;
        opened.send(new StoreMessages.Subscribe(incarnationId, lastNumber));
    }

    @Override
    public void received(Link from, Message message) {
        if (message instanceof StoreMessages.Snapshot snapshot) {
            incarnationId = snapshot.incarnationId();
            lastNumber = snapshot.number();
            store = snapshot.store();
            receiver.snapshotReceived(this, snapshot);
            from.send(new StoreMessages.UpdateAcknowledged(lastNumber));
            votersEpoch = snapshot.voters().epoch();
            requestConfirmation();
        } else if (message instanceof StoreMessages.PurgesConfirmed confirmation) {
            if (from == streamLink && confirmation.number() == lastNumber) {
                receiver.purgesConfirmed(this, confirmation);
            }
        } else if (message instanceof StoreMessages.Update update) {
            applyUpdate(from, update);
        }
    }

    private void applyUpdate(Link from, StoreMessages.Update update) {
        if (update.number() <= lastNumber) {
            return;
        }
        if (update.number() != lastNumber + 1) {
            // A gap would hide purges: subscribing again returns the missing updates or a snapshot.
            from.send(new StoreMessages.Subscribe(incarnationId, lastNumber));
            return;
        }
        lastNumber = update.number();
        receiver.updateReceived(this, update);
        from.send(new StoreMessages.UpdateAcknowledged(lastNumber));
        if (update.voters().epoch() != votersEpoch) {
            votersEpoch = update.voters().epoch();
            requestConfirmation();
        }
    }

    /** Asks the store to confirm the purges received so far. */
    void requestConfirmation() {
        if (store != null) {
            link.send(new StoreMessages.ConfirmPurges(clock.getAsDouble()));
        }
    }

    @Override
    public void closed(Link ended) {}
}
