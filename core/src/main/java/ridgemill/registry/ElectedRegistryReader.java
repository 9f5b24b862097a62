package ridgemill.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ridgemill.lease.EchoTimestamps;
import ridgemill.lease.LeaseManager;
import ridgemill.membership.Instance;

/**
 * One proxy's part in reading a registry for a fleet. Whoever holds the lease reads at the interval and tells those that listen;
 * they go by what they are told as long as it comes, in time and borne out, and read for themselves otherwise. Times are
 * milliseconds on this proxy's own clock and are passed in.
 *
 * <p>What is told is believed where it comes under no lower term and later than what was told before, answers a mark that this
 * proxy has sent lately, and leads by its changes to just the digest that it names. The mark is one that the reader had when it asked the
 * registry: so what is told can't be older than the mark, whatever clocks say and however long it was on its way, and it is left
 * alone where it may be older than what this proxy knows. So a proxy goes by nothing that the registry did not have, as far as its
 * reader read it, and does not go back.
 */
public final class ElectedRegistryReader {

    /** How many tellings' changes are told again, so that one or two that are lost cost nobody a poll. */
    private static final int REPEATED_UPDATES = 3;
    /** A mark that is so many intervals old was on its way too long, there or back. */
    private static final double MAX_AGE_INTERVALS = 2.2;
    /** Who has not said for so many intervals that it listens is told no more. */
    private static final double LISTENER_TTL_INTERVALS = 10;
    private static final double CHECK_JITTER = 0.25;
    private static final double MS_PER_S = 1000;

    /** Where words go; called from within the calls of {@link ElectedRegistryReader}. */
    public interface Out {

        /** Says to another member that this proxy wants to be told. */
        void sendListen(int to, int mark);

        /** Tells a member. */
        void sendUpdate(int to, RegistryUpdate telling, int mark);

        /** Goes by these instances from now on. */
        void instancesChanged(String stream, List<Instance> instances);

        /** Reads for itself as soon as it can. */
        void pollNow();

        /** For the log. */
        void log(String words);
    }

    private static final class Application {
        final String name;
        final int id;
        boolean initialized;
        InstanceSnapshot snapshot = InstanceSnapshot.EMPTY;
        double confirmedAtMs = Double.NEGATIVE_INFINITY;
        double nextCheckMs = Double.NEGATIVE_INFINITY;
        /** Since when what this proxy knows is known not to be all: nothing is known at first. */
        double suspectSinceMs = Double.POSITIVE_INFINITY;
        /** When what it was told last made a difference. */
        double updateAppliedMs = Double.NEGATIVE_INFINITY;
        /** When what it goes by came, and under which term; 0 where it has read it for itself. */
        double snapshotAtMs = Double.NEGATIVE_INFINITY;
        long snapshotTerm;
        long term;
        int sequence;
        long updateDigest;
        final Map<Integer, List<InstanceChange>> parts = new TreeMap<>();
        final Deque<InstanceSnapshot> sentSnapshots = new ArrayDeque<>();

        Application(String name) {
            this.name = name;
            this.id = LeaseManager.hash(name);
        }
    }

    /** {@code asked} is the mark that was there when the registry was asked last; null where there was none. */
    private record Listener(int timestamp, double receivedMs, Integer pollTimestamp) { }

    private final RegistryReadPolicy policy;
    private final SplittableRandom random;
    private final Out out;
    private final Map<Integer, Application> applications = new LinkedHashMap<>();
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    private final EchoTimestamps timestamps;
    private int readerMember = -1;
    private double lastUpdateMs = Double.NEGATIVE_INFINITY;
    private double nextListenMs;
    private double distrustUntilMs = Double.NEGATIVE_INFINITY;
    private int mismatches;
    private double leaseBackoffUntilMs = Double.NEGATIVE_INFINITY;
    private int failedPolls;
    private int updatesSent;
    private long pollsAnswered;
    private long updatesReceived;
    private long updatesConfirmed;
    private long updatesRejected;
    private long updatesMismatched;

    /** {@code names} are the applications that the registry is asked for. */
    public ElectedRegistryReader(RegistryReadPolicy policy, Collection<String> names, long seed, double now, Out out) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        this.out = out;
        this.timestamps = new EchoTimestamps(now);
        names.forEach(n -> {
            Application app = new Application(n);
            if (applications.put(app.id, app) != null) {
                throw new IllegalArgumentException("the applications " + n + " and another can't be told apart");
            }
        });
    }

    /** Whether this proxy wants to be the one that reads: not while it could not lately. */
    public boolean wantsLease(double now) {
        return now >= leaseBackoffUntilMs;
    }

    /** Until when this proxy need not read for itself, by what it was told; {@code holds} says whether it reads for all. */
    public double pollNotDueUntil(double now, boolean holds) {
        double until = Double.POSITIVE_INFINITY;
        for (Application app : applications.values()) {
            until = Math.min(until, app.suspectSinceMs > Double.NEGATIVE_INFINITY || holds || now < distrustUntilMs ? now : Math.min(app.confirmedAtMs + policy.updateTimeoutMs(), app.nextCheckMs));
        }
        return Math.max(now, until);
    }

    /**
     * This proxy has read for itself what the registry has in an application. What was asked for before this proxy was told of
     * something newer is older than that, and changes nothing.
     *
     * @param startedMs when it was asked for
     * @param term under which all others may be told now; 0 where they may not
     */
    public void pollSucceeded(double now, double startedMs, String name, Collection<Instance> instances, long term) {
        Application app = applications.get(LeaseManager.hash(name));
        pollsAnswered++;
        failedPolls = 0;
        if (startedMs < app.updateAppliedMs) {
            return;
        }
        app.snapshotAtMs = now;
        app.snapshotTerm = 0;
        app.snapshot = InstanceSnapshot.of(instances, app.snapshot);
        app.suspectSinceMs = !app.initialized || startedMs >= app.suspectSinceMs ? Double.NEGATIVE_INFINITY : app.suspectSinceMs;
        app.initialized = true;
        app.nextCheckMs = now + policy.checkIntervalMs() * (1 - CHECK_JITTER * random.nextDouble());
        if (app.snapshot.digest() == app.updateDigest) {
            mismatches = 0;
        }
        out.instancesChanged(app.name, app.snapshot.instances());
        if (term > 0 && term >= app.term) {
            sendUpdates(now, now - startedMs, app, term);
        } else {
            app.sentSnapshots.clear();
        }
    }

    private void sendUpdates(double now, double tookMs, Application app, long term) {
        app.sequence = term == app.term ? app.sequence + 1 : 1;
        app.term = term;
        if (app.sentSnapshots.isEmpty()) {
            // A new reader can't know what others have: those that have the same are told so, and the others read.
            app.sentSnapshots.add(app.snapshot);
        }
        RegistryUpdate update = new RegistryUpdate(app.id, term, app.sequence, app.snapshot.digest(), (int) Math.ceil(tookMs),
                app.snapshot.changesSince(app.sentSnapshots.peekFirst()));
        app.sentSnapshots.add(app.snapshot);
        while (app.sentSnapshots.size() > REPEATED_UPDATES) {
            app.sentSnapshots.removeFirst();
        }
        listeners.values().removeIf(l -> now - l.receivedMs() > LISTENER_TTL_INTERVALS * policy.pollIntervalMs());
        listeners.forEach((member, l) -> {
            if (l.pollTimestamp() != null) {
                updatesSent++;
                out.sendUpdate(member, update, l.pollTimestamp());
            }
        });
    }

    /** This proxy asks the registry now. */
    public void pollStarted() {
        listeners.replaceAll((member, l) -> new Listener(l.timestamp(), l.receivedMs(), l.timestamp()));
    }

    /** This proxy could not read; returns whether it should leave the lease to others, as it read for all. */
    public boolean pollFailed(double now, boolean holds) {
        failedPolls++;
        if (!holds || failedPolls < RegistryReadPolicy.MAX_FAILED_POLLS) {
            return false;
        }
        leaseBackoffUntilMs = now + policy.leaseBackoffMs();
        out.log("this proxy cannot read the registry and leaves the lease to others for " + policy.leaseBackoffMs() / MS_PER_S + " s");
        return true;
    }

    /** A member says that it listens. */
    public void listenReceived(double now, int member, int mark) {
        Listener before = listeners.get(member);
        if (before == null || EchoTimestamps.supersedes(mark, before.timestamp(), now - before.receivedMs(), LISTENER_TTL_INTERVALS * policy.pollIntervalMs())) {
            listeners.put(member, new Listener(mark, now, before == null ? null : before.pollTimestamp()));
        }
    }

    /** A member tells what it has read. */
    public void updateReceived(double now, int from, RegistryUpdatePart update) {
        Application app = applications.get(update.applicationId());
        if (app == null) {
            return;
        }
        updatesReceived++;
        double age = timestamps.ageMs(now, update.echoTimestamp());
        double sentAtMs = now - age;
        boolean isLater = update.term() > app.term || update.term() == app.term && update.sequence() > app.sequence;
        boolean isSame = update.term() == app.term && update.sequence() == app.sequence && update.digest() == app.updateDigest && !app.parts.isEmpty();
        if (!isLater && !isSame || age - update.pollDurationMs() > MAX_AGE_INTERVALS * policy.pollIntervalMs()) {
            updatesRejected++;
            return;
        }
        if (isLater) {
            app.term = update.term();
            app.sequence = update.sequence();
            app.updateDigest = update.digest();
            app.parts.clear();
            app.sentSnapshots.clear();
        }
        readerMember = from;
        lastUpdateMs = now;
        if (now < distrustUntilMs || !app.initialized) {
            return;
        }
        if (update.digest() == app.snapshot.digest()) {
            updateConfirmed(sentAtMs + update.pollDurationMs(), app);
            return;
        }
        if (sentAtMs < app.snapshotAtMs && app.snapshotTerm != update.term()) {
            // Read before what this proxy goes by came, as far as it can know. What is told next is later.
            updatesRejected++;
            return;
        }
        app.parts.put(update.partIndex(), update.changes());
        if (update.partCount() > 0 && app.parts.size() < update.partCount()) {
            return;
        }
        List<InstanceChange> changes = new ArrayList<>();
        app.parts.values().forEach(changes::addAll);
        InstanceSnapshot next = app.snapshot.withChanges(changes);
        if (update.partCount() > 0 && next.digest() == update.digest() && !next.hasOlderRecordThan(app.snapshot, changes)) {
            app.snapshot = next;
            app.updateAppliedMs = now;
            app.snapshotAtMs = now;
            app.snapshotTerm = update.term();
            updateConfirmed(sentAtMs + update.pollDurationMs(), app);
            out.instancesChanged(app.name, next.instances());
        } else {
            updateMismatched(now, app);
        }
    }

    /**
     * What was told was read after this proxy had sent the mark, and marks are an interval apart; one's own poll would have taken
     * as long.
     */
    private void updateConfirmed(double sentAtMs, Application app) {
        updatesConfirmed++;
        mismatches = 0;
        app.parts.clear();
        app.confirmedAtMs = Math.max(app.confirmedAtMs, sentAtMs + policy.pollIntervalMs());
    }

    private void updateMismatched(double now, Application app) {
        updatesMismatched++;
        app.parts.clear();
        app.suspectSinceMs = now;
        mismatches++;
        if (mismatches >= RegistryReadPolicy.MAX_MISMATCHES) {
            mismatches = 0;
            distrustUntilMs = now + policy.distrustMs();
            out.log("updates received for " + app.name + " do not match the registry; this proxy polls for itself for " + policy.distrustMs() / MS_PER_S + " s");
        }
        out.pollNow();
    }

    /**
     * Does what is due; returns when something will be.
     *
     * @param holds whether this proxy reads for all, and listens to nobody
     * @param electors who may be reading: all of them are told that this proxy listens as long as it does not know which
     */
    public double tick(double now, boolean holds, Collection<Integer> electors) {
        if (now >= nextListenMs && !holds) {
            nextListenMs = now + policy.pollIntervalMs();
            if (now - lastUpdateMs <= policy.updateTimeoutMs()) {
                out.sendListen(readerMember, timestamps.timestamp(now));
            } else {
                electors.forEach(e -> out.sendListen(e, timestamps.timestamp(now)));
            }
        }
        return holds ? now + policy.pollIntervalMs() : nextListenMs;
    }

    /** How it goes, in words. */
    public List<String> explain(double now, boolean holds) {
        List<String> lines = new ArrayList<>();
        String how = holds ? "reads for all, told to " + listeners.size()
                : now < distrustUntilMs ? "reads for itself: what it was told did not hold"
                : pollNotDueUntil(now, false) > now ? "goes by what it is told" : "reads for itself";
        lines.add("registry: this proxy " + how + "; " + pollsAnswered + " polls answered, " + updatesSent + " told, " + updatesReceived + " heard: " + updatesConfirmed
                + " borne out, " + updatesRejected + " refused as old, " + updatesMismatched + " not borne out");
        applications.values().forEach(app -> lines.add("registry " + app.name + ": " + app.snapshot.size() + " instances, digest "
                + Long.toHexString(app.snapshot.digest()) + ", borne out " + (app.confirmedAtMs > 0 ? "%.1f s ago".formatted((now - app.confirmedAtMs) / MS_PER_S)
                : "never") + (app.term > 0 ? ", term " + app.term + " telling " + app.sequence : "")));
        return lines;
    }

    /** What this proxy goes by in an application. */
    public InstanceSnapshot snapshot(String name) {
        return applications.get(LeaseManager.hash(name)).snapshot;
    }
}
