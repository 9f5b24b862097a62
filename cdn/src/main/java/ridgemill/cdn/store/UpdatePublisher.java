package ridgemill.cdn.store;

import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.purge.Purge;
import ridgemill.cdn.purge.PurgeHistory;
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Numbers the decided changes of items and voters and the purges of this incarnation of the store, and sends them to
 * the subscribers. Recent updates are retained, so that a subscriber that reconnects continues without a gap. Undecided
 * changes are never sent.
 */
final class UpdatePublisher {

    private static final System.Logger LOG = System.getLogger(UpdatePublisher.class.getName());
    private static final int MAX_RETAINED_UPDATES = 20_000;
    private static final int MAX_RETAINED_CHARACTERS = 4 << 20;
    private static final int MAX_KNOWN_PURGES = 20_000;
    /** A subscriber with more unsent bytes is disconnected. It reconnects and receives a snapshot. */
    private static final long MAX_PENDING_BYTES = 8L << 20;
    /** How long a subscriber may lag before it is logged, in milliseconds. */
    private static final long LAG_LOG_THRESHOLD_MS = 2_000;

    private final String incarnationId;
    private final Supplier<StoreMessages.Snapshot> snapshot;
    private final ArrayDeque<StoreMessages.Update> retained = new ArrayDeque<>();
    /** The numbers of the updates that published the latest purges, by the identifiers of the purges. */
    private final Map<String, Long> purgeNumbers = new LinkedHashMap<>();

    private final Map<Link, Subscriber> subscribers = new LinkedHashMap<>();
    private final PurgeHistory recentPurges;
    private final Set<Link> voterWatchers = new LinkedHashSet<>();
    /** Links that subscribed before any state was known to be decided. */
    private final Set<Link> waitingForDecision = new LinkedHashSet<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private double votersDecidedMs;
    private long lastNumber;
    private long retainedCharacters;

    private static final class Subscriber {

        private long acknowledged;
        private long behindSinceMs;
        private boolean logged;
    }

    /**
     * Creates a publisher without subscribers.
     *
     * @param incarnationId identifies this incarnation of the store
     * @param snapshot creates a message with all current items, see {@link #lastNumber}
     * @param nowMs the time from which this store publishes purges
     */
    UpdatePublisher(String incarnationId, Supplier<StoreMessages.Snapshot> snapshot, long nowMs) {
        this.incarnationId = incarnationId;
        this.snapshot = snapshot;
        this.recentPurges = new PurgeHistory(nowMs);
    }

    /** Returns the number of the last update. */
    long lastNumber() {
        return lastNumber;
    }

    /** Returns the recently published purges. */
    PurgeHistory recentPurges() {
        return recentPurges;
    }

    /** Returns how long the voters have been known to be decided, in milliseconds. */
    long votersAgeMs(long nowMs) {
        return (long) (nowMs - votersDecidedMs);
    }

    /** Confirms the last update to a subscriber. Other links get no reply: they have not been sent the purges. */
    void confirmPurges(Link link, StoreMessages.ConfirmPurges request, long epoch) {
        if (subscribers.containsKey(link)) {
            link.send(new StoreMessages.PurgesConfirmed(request.sentAtMs(), lastNumber, epoch));
        }
    }

    /** Returns the identifier of this incarnation. */
    String incarnationId() {
        return incarnationId;
    }

    /**
     * Sends the updates that the link has missed, or a snapshot if they are no longer retained, and each later update.
     */
    void subscribe(Link link, String seenIncarnationId, long seenNumber, long nowMs) {
        if (!voters.isKnown()) {
            waitingForDecision.add(link);
            return;
        }
        Subscriber subscriber = new Subscriber();
        subscriber.behindSinceMs = nowMs;
        subscribers.put(link, subscriber);
        long firstRetained = lastNumber - retained.size() + 1;
        if (incarnationId.equals(seenIncarnationId) && seenNumber <= lastNumber && seenNumber >= firstRetained - 1) {
            subscriber.acknowledged = seenNumber;
            for (StoreMessages.Update update : retained) {
                if (update.number() > seenNumber) {
                    link.send(update);
                }
            }
        } else {
            link.send(snapshot.get());
        }
    }

    /** Sends the voters to a link: immediately if they are known, and again with each change. */
    void watchVoters(Link link) {
        voterWatchers.add(link);
        if (voters.isKnown()) {
            link.send(new StoreMessages.CurrentVoters(voters));
        }
    }

    /** Records the last update that a subscriber has applied. */
    void acknowledged(Link link, long number, long nowMs) {
        Subscriber subscriber = subscribers.get(link);
        if (subscriber != null && number > subscriber.acknowledged) {
            subscriber.acknowledged = number;
            subscriber.behindSinceMs = nowMs;
            subscriber.logged = false;
        }
    }

    /** Removes a closed link. */
    void closed(Link link) {
        subscribers.remove(link);
        voterWatchers.remove(link);
        waitingForDecision.remove(link);
    }

    /** Publishes decided changes of items and voters. */
    void publishDecided(List<Item> changed, VoterSet newest, long nowMs) {
        boolean votersChanged = newest.isNewerThan(voters);
        voters = votersChanged ? newest : voters;
        votersDecidedMs = votersChanged ? nowMs : votersDecidedMs;
        if (votersChanged || !changed.isEmpty()) {
            publish(new StoreMessages.Update(lastNumber + 1, voters, List.copyOf(changed), List.of()), nowMs);
        }
        if (votersChanged) {
            voterWatchers.forEach(link -> link.send(new StoreMessages.CurrentVoters(voters)));
        }
        List<Link> links = List.copyOf(waitingForDecision);
        waitingForDecision.clear();
        links.forEach(link -> subscribe(link, "", 0, nowMs));
    }

    /** Publishes a purge, unless it was published before. Returns the number of the update that published it. */
    long publishPurge(Purge purge, long nowMs) {
        Long publishedBefore = purgeNumbers.get(purge.id());
        if (publishedBefore != null) {
            return publishedBefore;
        }
        recentPurges.add(purge, nowMs);
        publish(new StoreMessages.Update(lastNumber + 1, voters, List.of(), List.of(purge)), nowMs);
        purgeNumbers.put(purge.id(), lastNumber);
        trimPurges();
        return lastNumber;
    }

    /** Logs subscribers that have not acknowledged updates for too long. */
    void logLaggards(long nowMs) {
        subscribers.forEach((link, subscriber) -> {
            if (subscriber.acknowledged < lastNumber
                    && !subscriber.logged
                    && nowMs - subscriber.behindSinceMs > LAG_LOG_THRESHOLD_MS) {
                subscriber.logged = true;
                LOG.log(
                        Level.INFO,
                        "event=subscriber_lags node=" + link.peer().nodeName() + " acknowledged="
                                + subscriber.acknowledged + " number=" + lastNumber);
            }
        });
    }

    private void publish(StoreMessages.Update update, long nowMs) {
        retain(update);
        for (Map.Entry<Link, Subscriber> entry : new ArrayList<>(subscribers.entrySet())) {
            Subscriber subscriber = entry.getValue();
            if (subscriber.acknowledged >= lastNumber) {
                subscriber.behindSinceMs = nowMs;
            }
            send(entry.getKey(), update);
        }
        lastNumber = update.number();
    }

    private void send(Link link, StoreMessages.Update update) {
        if (link.pendingBytes() > MAX_PENDING_BYTES) {
            LOG.log(
                    Level.WARNING,
                    "event=subscriber_dropped node=" + link.peer().nodeName() + " pending_bytes="
                            + link.pendingBytes());
            subscribers.remove(link);
            link.close();
        } else {
            link.send(update);
        }
    }

    private void retain(StoreMessages.Update update) {
        retained.add(update);
        retainedCharacters += charactersOf(update);
        while (retained.size() > MAX_RETAINED_UPDATES || retainedCharacters > MAX_RETAINED_CHARACTERS) {
            retainedCharacters -= charactersOf(retained.poll());
        }
    }

    private static long charactersOf(StoreMessages.Update update) {
        long characters = 0;
        for (Item item : update.items()) {
            characters += item.name().name().length()
                    + (item.isTombstone() ? 0 : item.content().length());
        }
        return characters;
    }

    private void trimPurges() {
        if (purgeNumbers.size() > MAX_KNOWN_PURGES) {
            Iterator<String> oldest = purgeNumbers.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
