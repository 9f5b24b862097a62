package ridgemill.cdn.purge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Simulates stores that publish purges, registries that acknowledge them and caches that follow the stores, on
 * simulated time: with lost and late messages, links that are cut or reset, stores that restart or lose their disks,
 * caches that pause or restart, and changes of the voters. It checks each cache's claims against the purges that were
 * acknowledged.
 */
final class PurgePropagationSimulation {

    private static final double STEP_MS = 20;
    private static final double MAX_UNCONFIRMED_MS = 2_000;
    private static final double CONFIRMATION_INTERVAL_MS = 500;
    private static final int VOTERS = 3;
    private static final int STORES = 5;
    private static final int CACHES = 3;

    /** A purge and what has become of it. */
    private static final class Sent {

        private final Purge purge;
        private final double sentMs;
        private final VoterSet voters;
        private final Set<Voter> votes = new HashSet<>();
        private double acknowledgedMs = Double.POSITIVE_INFINITY;

        private Sent(Purge purge, double sentMs, VoterSet voters) {
            this.purge = purge;
            this.sentMs = sentMs;
            this.voters = voters;
        }
    }

    private record Snapshot(
            long incarnation,
            int number,
            Voter store,
            VoterSet voters,
            double votersAgeMs,
            long completeForMs,
            List<RecentPurge> purges) {}

    private record Update(int number, VoterSet voters, Purge purge) {}

    private record Confirmation(double sentAtMs, int number, long epoch) {}

    private record Timed(double atMs, Runnable action) {}

    private final class Store {

        private final String address;
        private Voter voter;
        private boolean up = true;
        private long incarnation;
        private VoterSet accepted;
        private VoterSet decided;
        private double decidedMs;
        private PurgeHistory history;
        private List<Update> updates;
        private Set<Link> subscribers;

        private Store(String address, VoterSet accepted) {
            this.address = address;
            this.accepted = accepted;
            this.voter = new Voter(address, "0");
            begin();
        }

        private void begin() {
            incarnation = ++incarnations;
            decided = VoterSet.UNKNOWN;
            history = new PurgeHistory(nowMs);
            updates = new ArrayList<>();
            subscribers = new HashSet<>();
        }

        private void learn(VoterSet newest) {
            if (newest.isNewerThan(decided)) {
                decided = newest;
                decidedMs = nowMs;
                accepted = newest.isNewerThan(accepted) ? newest : accepted;
                publish(null);
            }
        }

        private void publish(Purge purge) {
            Update update = new Update(updates.size() + 1, decided, purge);
            updates.add(update);
            subscribers.forEach(link -> link.send(() -> link.received(update)));
        }

        private void write(Sent sent) {
            if (history.add(sent.purge, nowMs)) {
                publish(sent.purge);
            }
            boolean counts = accepted.contains(voter) && accepted.epoch() == sent.voters.epoch();
            Voter self = voter;
            later(randomDelayMs(), () -> vote(sent, self, counts));
        }

        private void subscribe(Link link, long seenIncarnation, int seenNumber) {
            if (!decided.isKnown()) {
                return;
            }
            subscribers.add(link);
            if (seenIncarnation == incarnation && seenNumber <= updates.size() && random.nextInt(4) > 0) {
                updates.subList(seenNumber, updates.size()).forEach(update -> link.send(() -> link.received(update)));
                return;
            }
            Snapshot snapshot = new Snapshot(
                    incarnation,
                    updates.size(),
                    voter,
                    decided,
                    nowMs - decidedMs,
                    history.completeForMs(nowMs),
                    history.recent(nowMs));
            link.send(() -> link.received(snapshot));
        }

        private void confirm(Link link, double sentAtMs) {
            if (subscribers.contains(link)) {
                long epoch = accepted.epoch() == decided.epoch() ? decided.epoch() : 0;
                Confirmation confirmation = new Confirmation(sentAtMs, updates.size(), epoch);
                link.send(() -> link.received(confirmation));
            }
        }
    }

    /** A connection of a cache to a store. Messages arrive in order; none arrives while the link is cut. */
    private final class Link {

        private final Feed feed;
        private final Store store;
        private final long incarnation;
        private final Deque<Timed> toStore = new ArrayDeque<>();
        private final Deque<Timed> toCache = new ArrayDeque<>();
        private double cutUntilMs;
        private boolean open = true;

        private Link(Feed feed) {
            this.feed = feed;
            this.store = feed.store;
            this.incarnation = store.incarnation;
        }

        private void send(Runnable message) {
            toCache.add(new Timed(nowMs + 1 + random.nextInt(60), message));
        }

        private void ask(Runnable message) {
            toStore.add(new Timed(nowMs + 1 + random.nextInt(60), message));
        }

        private void step() {
            if (store.incarnation != incarnation || !store.up && random.nextInt(10) == 0) {
                open = false;
            }
            if (nowMs < cutUntilMs) {
                return;
            }
            while (store.up && open && !toStore.isEmpty() && toStore.peek().atMs() <= nowMs) {
                toStore.poll().action().run();
            }
            while (open
                    && feed.cache.runs()
                    && !toCache.isEmpty()
                    && toCache.peek().atMs() <= nowMs) {
                toCache.poll().action().run();
            }
        }

        private void received(Snapshot snapshot) {
            feed.incarnation = snapshot.incarnation();
            feed.number = snapshot.number();
            feed.voter = snapshot.store();
            feed.cache.learn(snapshot.voters(), nowMs - snapshot.votersAgeMs());
            snapshot.purges().forEach(recent -> feed.cache.apply(recent.purge()));
            feed.cache.coverage.streamStarted(feed.voter, nowMs - snapshot.completeForMs());
            feed.requestConfirmation();
        }

        private void received(Update update) {
            if (update.number() != feed.number + 1) {
                return;
            }
            feed.number = update.number();
            feed.cache.learn(update.voters(), nowMs);
            if (update.purge() == null) {
                feed.requestConfirmation();
            } else {
                feed.cache.apply(update.purge());
            }
        }

        private void received(Confirmation confirmation) {
            if (confirmation.number() == feed.number) {
                feed.cache.coverage.confirmed(feed.voter, confirmation.sentAtMs(), confirmation.epoch());
            }
        }
    }

    private final class Feed {

        private final Cache cache;
        private final Store store;
        private long incarnation;
        private int number;
        private Voter voter;
        private Link link;

        private Feed(Cache cache, Store store) {
            this.cache = cache;
            this.store = store;
        }

        private void step() {
            if (link != null && !link.open) {
                link = null;
            }
            if (link == null && store.up && cache.runs() && random.nextInt(2) == 0) {
                link = new Link(this);
                Link opened = link;
                long seenIncarnation = incarnation;
                int seenNumber = number;
                link.ask(() -> store.subscribe(opened, seenIncarnation, seenNumber));
            }
            if (link != null) {
                link.step();
            }
        }

        private void requestConfirmation() {
            if (link != null && voter != null) {
                Link asked = link;
                double sentAtMs = nowMs;
                link.ask(() -> store.confirm(asked, sentAtMs));
            }
        }
    }

    private final class Cache {

        private final Map<Store, Feed> feeds = new HashMap<>();
        private PurgeCoverage coverage;
        private Map<String, Double> applied;
        private VoterSet voters;
        private double pausedUntilMs;
        private double askedMs;

        private Cache() {
            begin();
        }

        private void begin() {
            coverage = new PurgeCoverage(MAX_UNCONFIRMED_MS);
            applied = new HashMap<>();
            voters = VoterSet.UNKNOWN;
            feeds.clear();
            stores.forEach(store -> feeds.put(store, new Feed(this, store)));
        }

        private boolean runs() {
            return nowMs >= pausedUntilMs;
        }

        private void learn(VoterSet newest, double decidedMs) {
            coverage.setVoters(newest, decidedMs);
            if (!newest.isNewerThan(voters)) {
                return;
            }
            voters = newest;
            for (Store store : stores) {
                Feed feed = feeds.get(store);
                if (feed != null && !voters.addresses().contains(store.address)) {
                    feeds.remove(store);
                    coverage.streamEnded(feed.voter);
                } else if (feed == null && voters.addresses().contains(store.address)) {
                    feeds.put(store, new Feed(this, store));
                }
            }
        }

        private void apply(Purge purge) {
            applied.putIfAbsent(purge.id(), nowMs);
        }

        private void step() {
            List.copyOf(feeds.values()).forEach(Feed::step);
            if (runs() && nowMs - askedMs >= CONFIRMATION_INTERVAL_MS) {
                askedMs = nowMs;
                feeds.values().forEach(Feed::requestConfirmation);
            }
        }
    }

    private final Random random;
    private final boolean changesVoters;
    /** How many steps it takes on average until a store learns of a decision. */
    private final int stepsToLearn;

    private final List<Store> stores = new ArrayList<>();
    private final List<Cache> caches = new ArrayList<>();
    private final List<Sent> purges = new ArrayList<>();
    private final List<Timed> timers = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private VoterSet newestDecided;
    private VoterSet proposed;
    private double proposalDueMs;
    private double nowMs;
    private long incarnations;
    private int sentPurges;
    private int claims;

    PurgePropagationSimulation(long seed, boolean changesVoters) {
        this.random = new Random(seed);
        this.changesVoters = changesVoters;
        this.stepsToLearn = 5 + random.nextInt(200);
        List<Voter> founders = new ArrayList<>();
        for (int i = 0; i < VOTERS; i++) {
            founders.add(new Voter("store-" + i, "0"));
        }
        newestDecided = new VoterSet(1, founders, List.of());
        for (int i = 0; i < STORES; i++) {
            Store store = new Store("store-" + i, newestDecided);
            stores.add(store);
            store.learn(newestDecided);
        }
        for (int i = 0; i < CACHES; i++) {
            caches.add(new Cache());
        }
    }

    /** Runs for a time and returns the purges that a cache claimed to know and did not. */
    List<String> run(double durationMs) {
        while (nowMs < durationMs && violations.isEmpty()) {
            nowMs += STEP_MS;
            runTimers();
            disturb();
            changeVoters();
            if (random.nextInt(4) == 0) {
                sendPurge();
            }
            caches.forEach(Cache::step);
            check();
        }
        return violations;
    }

    /** How often a cache claimed to know an acknowledged purge. */
    int claims() {
        return claims;
    }

    private void later(double delayMs, Runnable action) {
        timers.add(new Timed(nowMs + delayMs, action));
    }

    private void runTimers() {
        List<Timed> due = timers.stream().filter(timer -> timer.atMs() <= nowMs).toList();
        timers.removeAll(due);
        due.forEach(timer -> timer.action().run());
    }

    private double randomDelayMs() {
        return random.nextInt(2) == 0 ? random.nextInt(1_000) : random.nextInt(60);
    }

    private <T> T any(List<T> all) {
        return all.get(random.nextInt(all.size()));
    }

    private void rarely(int oneIn, Runnable action) {
        if (random.nextInt(oneIn) == 0) {
            action.run();
        }
    }

    private void disturb() {
        rarely(50, () -> restart(any(stores), false));
        rarely(1_500, () -> restart(any(stores), true));
        rarely(40, () -> anyLink(link -> link.cutUntilMs = nowMs + random.nextInt(4_000)));
        rarely(60, () -> anyLink(link -> link.open = false));
        rarely(150, () -> any(caches).pausedUntilMs = nowMs + random.nextInt(5_000));
        rarely(200, () -> any(caches).begin());
        rarely(200, () -> {
            // All links of one cache are cut.
            double untilMs = nowMs + random.nextInt(6_000);
            any(caches).feeds.values().stream()
                    .filter(feed -> feed.link != null)
                    .forEach(feed -> feed.link.cutUntilMs = untilMs);
        });
    }

    private void anyLink(Consumer<Link> action) {
        List<Feed> feeds = List.copyOf(any(caches).feeds.values());
        Link link = feeds.isEmpty() ? null : any(feeds).link;
        if (link != null) {
            action.accept(link);
        }
    }

    private void restart(Store store, boolean wiped) {
        if (!store.up) {
            return;
        }
        store.up = false;
        int downMs = random.nextBoolean() ? 40 + random.nextInt(150) : 100 + random.nextInt(2_500);
        later(downMs, () -> {
            store.up = true;
            if (wiped) {
                store.voter = new Voter(store.address, Long.toString(incarnations));
                store.accepted = VoterSet.UNKNOWN;
            }
            store.begin();
        });
    }

    /** Takes one step of a change of the voters: an acceptance, the decision, or a store that learns of it. */
    private void changeVoters() {
        for (Store store : stores) {
            if (store.up && random.nextInt(stepsToLearn) == 0) {
                store.learn(newestDecided);
            }
        }
        if (proposed == null && changesVoters && nowMs > proposalDueMs) {
            proposed = newestDecided.isJoint() ? newestDecided.completed() : newestDecided.changedTo(randomVoters());
        }
        if (proposed == null) {
            return;
        }
        VoterSet change = proposed;
        Store accepting = any(stores);
        boolean knowsState = accepting.accepted.epoch() >= change.epoch() - 1;
        if (accepting.up && knowsState && change.contains(accepting.voter)) {
            accepting.accepted = change;
        }
        if (change.hasQuorum(voter -> stores.stream()
                .anyMatch(store -> store.voter.equals(voter) && store.accepted.epoch() >= change.epoch()))) {
            newestDecided = change;
            proposed = null;
            proposalDueMs = nowMs + 300 + random.nextInt(3_000);
        }
    }

    private List<Voter> randomVoters() {
        List<Store> candidates = new ArrayList<>(stores);
        java.util.Collections.shuffle(candidates, random);
        return candidates.subList(0, VOTERS).stream().map(store -> store.voter).toList();
    }

    /** A registry sends a purge to the voters that a store, perhaps one that lags, reports as decided. */
    private void sendPurge() {
        VoterSet known = any(stores).decided;
        if (!known.isKnown()) {
            return;
        }
        Sent sent = new Sent(Purge.ofTag("p" + ++sentPurges, "t"), nowMs, known);
        purges.add(sent);
        for (Store store : stores) {
            if (known.contains(store.voter) && random.nextInt(6) > 0) {
                later(randomDelayMs(), () -> {
                    if (store.up) {
                        store.write(sent);
                    }
                });
            }
        }
    }

    private void vote(Sent sent, Voter voter, boolean counts) {
        if (counts) {
            sent.votes.add(voter);
        }
        boolean inTime = nowMs <= sent.sentMs + Purge.ACKNOWLEDGEMENT_TIMEOUT_MS;
        if (inTime && sent.voters.hasQuorum(sent.votes::contains)) {
            sent.acknowledgedMs = Math.min(sent.acknowledgedMs, nowMs);
        }
    }

    private void check() {
        for (Cache cache : caches) {
            double untilMs = cache.coverage.confirmedUntilMs();
            for (Sent sent : purges) {
                if (sent.acknowledgedMs <= untilMs && cache.coverage.covers(sent.sentMs - 1, untilMs)) {
                    claims++;
                    if (!cache.applied.containsKey(sent.purge.id())) {
                        violations.add("at " + nowMs + " " + sent.purge.id() + " sent " + sent.sentMs + " acknowledged "
                                + sent.acknowledgedMs + " epoch " + sent.voters.epoch() + " missed by cache "
                                + caches.indexOf(cache) + " until " + untilMs + ": "
                                + cache.coverage.describe(nowMs, voter -> true));
                    }
                }
            }
        }
        checkCopyFromOtherCache(any(caches), any(caches));
        purges.removeIf(sent -> nowMs - sent.sentMs > 30_000);
    }

    /** A cache takes a copy of another one, fetched some time ago, and keeps it by its own coverage. */
    private void checkCopyFromOtherCache(Cache shared, Cache edge) {
        double fetchedMs = nowMs - random.nextInt(12_000);
        if (!shared.runs() || !shared.coverage.covers(fetchedMs, nowMs)) {
            return;
        }
        double sinceMs = Math.max(fetchedMs, shared.coverage.confirmedUntilMs() - Purge.ACKNOWLEDGEMENT_TIMEOUT_MS);
        double untilMs = edge.coverage.confirmedUntilMs();
        if (!edge.coverage.covers(sinceMs, untilMs)) {
            return;
        }
        for (Sent sent : purges) {
            boolean replacedBy = sent.sentMs > fetchedMs && sent.acknowledgedMs <= untilMs;
            if (replacedBy
                    && !shared.applied.containsKey(sent.purge.id())
                    && !edge.applied.containsKey(sent.purge.id())) {
                violations.add("at " + nowMs + " a copy of " + fetchedMs + " was kept although " + sent.purge.id()
                        + " sent " + sent.sentMs + " was acknowledged at " + sent.acknowledgedMs);
            }
        }
    }
}
