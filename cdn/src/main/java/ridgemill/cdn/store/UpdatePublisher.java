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
import ridgemill.cdn.quorum.VoterSet;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.StoreMessages;

/**
 * Numbers the decided changes of items and voters and the purges of this life and passes them to the subscribers. Changes
 * of late are kept, so that a subscriber that comes back goes on without a gap. Nothing is told before it is decided.
 */
final class UpdatePublisher {

    private static final System.Logger LOG = System.getLogger(UpdatePublisher.class.getName());
    private static final int MAX_RETAINED_UPDATES = 20_000;
    private static final int MAX_RETAINED_CHARACTERS = 4 << 20;
    private static final int MAX_KNOWN_PURGES = 20_000;
    /** A subscriber that lets more bytes wait is dropped; it comes back for a snapshot. */
    private static final long MAX_PENDING_BYTES = 8L << 20;
    /** How long a subscriber may take before it is logged. */
    private static final long LAG_LOG_THRESHOLD_MS = 2_000;

    private final String incarnationId;
    private final Supplier<StoreMessages.Snapshot> snapshot;
    private final ArrayDeque<StoreMessages.Update> retained = new ArrayDeque<>();
    private final Set<String> purgeIds = new LinkedHashSet<>();
    private final Map<Link, Subscriber> subscribers = new LinkedHashMap<>();
    private final Set<Link> voterWatchers = new LinkedHashSet<>();
    /** Those who asked before anything was known to be decided. */
    private final Set<Link> waitingForDecision = new LinkedHashSet<>();

    private VoterSet voters = VoterSet.UNKNOWN;
    private long lastNumber;
    private long retainedCharacters;

    private static final class Subscriber {

        private long acknowledged;
        private long behindSinceMs;
        private boolean logged;
    }

    /**
     * A hub without subscribers.
     *
     * @param lifeId names this life of the store
     * @param snapshot makes a message with all items as they are now, see {@link #lastNumber}
     */
    UpdatePublisher(String lifeId, Supplier<StoreMessages.Snapshot> snapshot) {
        this.incarnationId = lifeId;
        this.snapshot = snapshot;
    }

    /** The number of the last change. */
    long lastNumber() {
        return lastNumber;
    }

    /** The name of this life. */
    String incarnationId() {
        return incarnationId;
    }

    /** Sends what the link has missed, or everything, and each change from now on. */
    void subscribe(Link link, String heardLife, long heardNumber, long nowMs) {
        if (!voters.isKnown()) {
            waitingForDecision.add(link);
            return;
        }
        Subscriber subscriber = new Subscriber();
        subscriber.behindSinceMs = nowMs;
        subscribers.put(link, subscriber);
        long firstKept = lastNumber - retained.size() + 1;
        if (incarnationId.equals(heardLife) && heardNumber <= lastNumber && heardNumber >= firstKept - 1) {
            subscriber.acknowledged = heardNumber;
            for (StoreMessages.Update news : retained) {
                if (news.number() > heardNumber) {
                    link.send(news);
                }
            }
        } else {
            link.send(snapshot.get());
        }
    }

    /** Tells a link who votes, now if that is known and with each change. */
    void watchVoters(Link link) {
        voterWatchers.add(link);
        if (voters.isKnown()) {
            link.send(new StoreMessages.CurrentVoters(voters));
        }
    }

    /** Takes note of how far a subscriber is. */
    void acknowledged(Link link, long upTo, long nowMs) {
        Subscriber subscriber = subscribers.get(link);
        if (subscriber != null && upTo > subscriber.acknowledged) {
            subscriber.acknowledged = upTo;
            subscriber.behindSinceMs = nowMs;
            subscriber.logged = false;
        }
    }

    /** Forgets a link that has ended. */
    void closed(Link link) {
        subscribers.remove(link);
        voterWatchers.remove(link);
        waitingForDecision.remove(link);
    }

    /** Passes on what was decided: items that changed, and who votes. */
    void publishDecided(List<Item> changed, VoterSet newest, long nowMs) {
        boolean moved = newest.isNewerThan(voters);
        voters = moved ? newest : voters;
        if (moved || !changed.isEmpty()) {
            publish(new StoreMessages.Update(lastNumber + 1, voters, List.copyOf(changed), List.of()), nowMs);
        }
        if (moved) {
            voterWatchers.forEach(link -> link.send(new StoreMessages.CurrentVoters(voters)));
        }
        List<Link> waiting = List.copyOf(waitingForDecision);
        waitingForDecision.clear();
        waiting.forEach(link -> subscribe(link, "", 0, nowMs));
    }

    /** Passes a purge on, unless it was before. */
    void publishPurge(Purge purge, long nowMs) {
        if (purgeIds.add(purge.id())) {
            trimPurges();
            publish(new StoreMessages.Update(lastNumber + 1, voters, List.of(), List.of(purge)), nowMs);
        }
    }

    /** Logs subscribers that have not carried out changes for long. */
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

    private void publish(StoreMessages.Update news, long nowMs) {
        retain(news);
        for (Map.Entry<Link, Subscriber> entry : new ArrayList<>(subscribers.entrySet())) {
            Subscriber subscriber = entry.getValue();
            if (subscriber.acknowledged >= lastNumber) {
                subscriber.behindSinceMs = nowMs;
            }
            send(entry.getKey(), news);
        }
        lastNumber = news.number();
    }

    private void send(Link link, StoreMessages.Update news) {
        if (link.pendingBytes() > MAX_PENDING_BYTES) {
            LOG.log(
                    Level.WARNING,
                    "event=subscriber_dropped node=" + link.peer().nodeName() + " pending_bytes="
                            + link.pendingBytes());
            subscribers.remove(link);
            link.close();
        } else {
            link.send(news);
        }
    }

    private void retain(StoreMessages.Update news) {
        retained.add(news);
        retainedCharacters += charactersOf(news);
        while (retained.size() > MAX_RETAINED_UPDATES || retainedCharacters > MAX_RETAINED_CHARACTERS) {
            retainedCharacters -= charactersOf(retained.poll());
        }
    }

    private static long charactersOf(StoreMessages.Update news) {
        long characters = 0;
        for (Item item : news.items()) {
            characters += item.name().name().length()
                    + (item.isTombstone() ? 0 : item.content().length());
        }
        return characters;
    }

    private void trimPurges() {
        if (purgeIds.size() > MAX_KNOWN_PURGES) {
            Iterator<String> oldest = purgeIds.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
