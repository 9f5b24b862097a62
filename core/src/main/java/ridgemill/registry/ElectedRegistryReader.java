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
 * One proxy's part in reading a registry for a fleet. The proxy that holds the lease polls at the interval and sends
 * updates to those that listen. They rely on the updates as long as these arrive in time and are confirmed, and poll
 * for themselves otherwise. Times are milliseconds on this proxy's own clock and are passed in.
 *
 * <p>An update is accepted if it has no lower term and is later than the previous one, echoes a timestamp that this
 * proxy has sent recently, and if its changes lead to exactly the digest that it states. The timestamp is the last that
 * the reader had received before it polled the registry, so the update cannot be older than the timestamp, whatever
 * clocks show and however long it was in transit. It is ignored if it may be older than what this proxy has. So a proxy
 * never uses a state that the registry did not have, as far as its reader read it, and never goes back to an earlier
 * one.
 */
public final class ElectedRegistryReader {

    /** In how many updates each change is sent, so that the loss of one or two updates costs no listener a poll. */
    private static final int REPEATED_UPDATES = 3;
    /** An echoed timestamp older than this many poll intervals was in transit for too long, in either direction. */
    private static final double MAX_AGE_INTERVALS = 2.2;
    /** A listener that has not asked for updates for this many poll intervals is sent no more. */
    private static final double LISTENER_TTL_INTERVALS = 10;
    private static final double CHECK_JITTER = 0.25;
    private static final double MS_PER_S = 1000;

    /** The actions of a reader; called from within the calls of {@link ElectedRegistryReader}. */
    public interface Out {

        /** Asks another member for updates. */
        void sendListen(int to, int timestamp);

        /** Sends an update to a member. */
        void sendUpdate(int to, RegistryUpdate update, int echoTimestamp);

        /** Uses these instances from now on. */
        void instancesChanged(String application, List<Instance> instances);

        /** Polls the registry as soon as possible. */
        void pollNow();

        /** Writes a message to the log. */
        void log(String message);
    }

    private static final class Application {
        final String name;
        final int id;
        boolean initialized;
        InstanceSnapshot snapshot = InstanceSnapshot.EMPTY;
        double confirmedAtMs = Double.NEGATIVE_INFINITY;
        double nextCheckMs = Double.NEGATIVE_INFINITY;
        /** Since when the snapshot is known to be incomplete. At first nothing is known. */
        double suspectSinceMs = Double.POSITIVE_INFINITY;
        /** When an update last changed the snapshot. */
        double updateAppliedMs = Double.NEGATIVE_INFINITY;
        /** When the snapshot was received, and under which term; 0 if this proxy has polled it itself. */
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

    /**
     * {@code pollTimestamp} is the timestamp that had been received when the last poll started; null if there was none.
     */
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

    /** {@code applicationNames} are the applications that the registry is polled for. */
    public ElectedRegistryReader(RegistryReadPolicy policy, Collection<String> applicationNames, long seed, double now,
                                 Out out) {
        this.policy = policy;
        this.random = new SplittableRandom(seed);
        this.out = out;
        this.timestamps = new EchoTimestamps(now);
        applicationNames.forEach(name -> {
            Application app = new Application(name);
            if (applications.put(app.id, app) != null) {
                throw new IllegalArgumentException("the application " + name + " has the same id as another one");
            }
        });
    }

    /** Whether this proxy wants the lease; not for a while after it failed to read the registry. */
    public boolean wantsLease(double now) {
        return now >= leaseBackoffUntilMs;
    }

    /**
     * Until when this proxy need not poll, because of the updates received; {@code holdsLease} says whether it polls
     * for all.
     */
    public double pollNotDueUntil(double now, boolean holdsLease) {
        double untilMs = Double.POSITIVE_INFINITY;
        for (Application app : applications.values()) {
            untilMs = Math.min(untilMs, app.suspectSinceMs > Double.NEGATIVE_INFINITY || holdsLease
                    || now < distrustUntilMs ? now
                    : Math.min(app.confirmedAtMs + policy.updateTimeoutMs(), app.nextCheckMs));
        }
        return Math.max(now, untilMs);
    }

    /**
     * This proxy has polled the instances of an application. A poll that started before a newer update was received is
     * older than that update and changes nothing.
     *
     * @param startedMs when the poll started
     * @param term the lease term under which updates may be sent now; 0 if they may not
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
        app.suspectSinceMs = !app.initialized || startedMs >= app.suspectSinceMs ? Double.NEGATIVE_INFINITY
                : app.suspectSinceMs;
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

    private void sendUpdates(double now, double pollDurationMs, Application app, long term) {
        app.sequence = term == app.term ? app.sequence + 1 : 1;
        app.term = term;
        if (app.sentSnapshots.isEmpty()) {
            // A new reader cannot know what others have: those with the same snapshot are told that they have it, the
            // others poll.
            app.sentSnapshots.add(app.snapshot);
        }
        RegistryUpdate update = new RegistryUpdate(app.id, term, app.sequence, app.snapshot.digest(),
                (int) Math.ceil(pollDurationMs),
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

    /** A poll of the registry starts. */
    public void pollStarted() {
        listeners.replaceAll((member, l) -> new Listener(l.timestamp(), l.receivedMs(), l.timestamp()));
    }

    /** A poll has failed. Returns whether this proxy should release the lease under which it polls for all. */
    public boolean pollFailed(double now, boolean holdsLease) {
        failedPolls++;
        if (!holdsLease || failedPolls < RegistryReadPolicy.MAX_FAILED_POLLS) {
            return false;
        }
        leaseBackoffUntilMs = now + policy.leaseBackoffMs();
        out.log("this proxy cannot read the registry and leaves the lease to others for "
                + policy.leaseBackoffMs() / MS_PER_S + " s");
        return true;
    }

    /** A member asks for updates. */
    public void listenReceived(double now, int member, int timestamp) {
        Listener before = listeners.get(member);
        if (before == null || EchoTimestamps.supersedes(timestamp, before.timestamp(), now - before.receivedMs(),
                LISTENER_TTL_INTERVALS * policy.pollIntervalMs())) {
            listeners.put(member, new Listener(timestamp, now, before == null ? null : before.pollTimestamp()));
        }
    }

    /** A member has sent an update. */
    public void updateReceived(double now, int from, RegistryUpdatePart update) {
        Application app = applications.get(update.applicationId());
        if (app == null) {
            return;
        }
        updatesReceived++;
        double age = timestamps.ageMs(now, update.echoTimestamp());
        double sentAtMs = now - age;
        boolean isLater = update.term() > app.term || update.term() == app.term && update.sequence() > app.sequence;
        boolean isSame = update.term() == app.term && update.sequence() == app.sequence
                && update.digest() == app.updateDigest && !app.parts.isEmpty();
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
            // It may have been read before this proxy's snapshot was received. The next update is later.
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
     * The registry was read after this proxy sent the timestamp, and timestamps are a poll interval apart; a poll by
     * this proxy would have taken as long.
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
            out.log("updates received for " + app.name + " do not match the registry; this proxy polls for itself for "
                    + policy.distrustMs() / MS_PER_S + " s");
        }
        out.pollNow();
    }

    /**
     * Does what is due and returns when something will be due next.
     *
     * @param holdsLease whether this proxy polls for all, and needs no updates
     * @param voters the members of which one may be the reader: all of them are asked for updates until it is known
     *     which one is
     */
    public double tick(double now, boolean holdsLease, Collection<Integer> voters) {
        if (now >= nextListenMs && !holdsLease) {
            nextListenMs = now + policy.pollIntervalMs();
            if (now - lastUpdateMs <= policy.updateTimeoutMs()) {
                out.sendListen(readerMember, timestamps.timestamp(now));
            } else {
                voters.forEach(e -> out.sendListen(e, timestamps.timestamp(now)));
            }
        }
        return holdsLease ? now + policy.pollIntervalMs() : nextListenMs;
    }

    /** The state of the reader as text for operators. */
    public List<String> explain(double now, boolean holdsLease) {
        List<String> lines = new ArrayList<>();
        String mode = holdsLease ? "reads for all, told to " + listeners.size()
                : now < distrustUntilMs ? "reads for itself: what it was told did not hold"
                : pollNotDueUntil(now, false) > now ? "goes by what it is told" : "reads for itself";
        lines.add("registry: this proxy " + mode + "; " + pollsAnswered + " polls answered, " + updatesSent
                + " told, " + updatesReceived + " heard: " + updatesConfirmed
                + " borne out, " + updatesRejected + " refused as old, " + updatesMismatched + " not borne out");
        applications.values().forEach(app -> lines.add("registry " + app.name + ": " + app.snapshot.size()
                + " instances, digest "
                + Long.toHexString(app.snapshot.digest())
                + ", borne out " + (app.confirmedAtMs > 0 ? "%.1f s ago".formatted((now - app.confirmedAtMs) / MS_PER_S)
                : "never") + (app.term > 0 ? ", term " + app.term + " telling " + app.sequence : "")));
        return lines;
    }

    /** The snapshot of an application that this proxy uses. */
    public InstanceSnapshot snapshot(String name) {
        return applications.get(LeaseManager.hash(name)).snapshot;
    }
}
