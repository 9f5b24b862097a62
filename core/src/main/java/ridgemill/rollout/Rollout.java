package ridgemill.rollout;

import java.util.ArrayList;
import java.util.List;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.RolloutCoordinator.Request;

/**
 * One proxy's part in rollouts of operator files over the fleet. The proxy follows the coordinator, which holds the
 * lease, and is the coordinator while it holds the lease itself. Members are numbered from 0, the same at all proxies.
 * Used by one thread.
 */
public final class Rollout {

    /** Interval of {@link #tick} while a rollout is in progress, and otherwise. */
    private static final double BUSY_TICK_MS = 50;
    private static final double IDLE_TICK_MS = 250;
    /** How long a member's report of an unfinished rollout makes this proxy want the lease. */
    private static final double OPEN_REPORT_MS = 3000;

    /** Sends messages and acts on this proxy; called during calls of {@link Rollout}. */
    public interface Callbacks {

        /** Returns the term under which this proxy may coordinate at this moment; 0 if it may not. */
        long term();

        /** Sends a message to a member. */
        void sendMessage(int to, RolloutMessage message);

        /** Validates a text, at once or later; {@link Rollout#validated} must be called with the result. */
        void validate(FileFingerprint fingerprint, String text);

        /**
         * Puts a text into effect on this proxy; {@link Rollout#applied} must be called with the result.
         *
         * @param byMs latest time at which this may begin
         * @param term term of the order; 0 if the proxy catches up with the others
         */
        void apply(FileFingerprint fingerprint, String text, double byMs, long term);

        /** Reports an event to the operators. */
        void notifyOperators(String event);

        /** Returns the version in effect on this proxy. */
        FileVersion versionInEffect();

        /** Returns whether this proxy is out of service. */
        boolean isOutOfService();

        /** Returns the numbers of requests since the start of this proxy. */
        Counts counts();
    }

    /**
     * Numbers of requests since the start of a proxy.
     *
     * @param served requests that were served
     * @param ended requests that have ended, served or not, except those whose client disconnected
     */
    public record Counts(int served, int ended) { }

    private final int self;
    private final Callbacks callbacks;
    private final TextStore texts = new TextStore();
    private final Follower follower;
    private final RolloutCoordinator coordinator;
    private FileFingerprint inEffect;
    private double openReportedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a proxy's part in rollouts.
     *
     * @param self this proxy's member number
     * @param members number of members
     * @param incarnation number of this process
     */
    public Rollout(int self, int members, int incarnation, double now, RolloutPolicy policy, Callbacks callbacks) {
        this.self = self;
        this.callbacks = callbacks;
        this.follower = new Follower(now, incarnation, texts, callbacks);
        this.coordinator = new RolloutCoordinator(self, members, policy, callbacks);
    }

    /** A text is in effect on this proxy from now on, and may be fetched from it. */
    public void setInEffect(FileFingerprint fingerprint, String text) {
        inEffect = fingerprint;
        texts.put(fingerprint, text);
        texts.pin(fingerprint);
    }

    /** Returns the text in effect on this proxy. */
    public String textInEffect() {
        return texts.text(inEffect);
    }

    /**
     * Begins a rollout at the operators' request, once this proxy holds the lease.
     *
     * @param target text with a number above all known ones; has been validated here
     * @param rollback contents of the version in effect, with a number above the target's; has been validated here
     * @return the result or the reason of a refusal, as operators are shown it
     */
    public String begin(FileFingerprint target, String targetText, FileFingerprint rollback, String rollbackText) {
        if (coordinator.hasRequest() || coordinator.isActive() || follower.isOpen()) {
            return "no: a roll is under way: " + follower.explain();
        }
        if (callbacks.isOutOfService()) {
            return "no: this proxy has stepped aside; ask another";
        }
        if (target.number() <= callbacks.versionInEffect().number() || rollback.number() <= target.number()) {
            return "no: number " + callbacks.versionInEffect().number() + " is acted under already";
        }
        texts.put(target, targetText);
        texts.put(rollback, rollbackText);
        coordinator.requestRollout(new Request(target, rollback));
        return "begun: as soon as this proxy holds the lease";
    }

    /** Rolls the rollout back that is coordinated here; returns the result as operators are shown it. */
    public String rollBack() {
        return coordinator.requestRollback() ? "it goes back" : "no roll that goes forward is conducted here";
    }

    /** Returns whether this proxy wants to coordinate: a rollout is to begin or to be brought to its end. */
    public boolean wantsLease(double now) {
        return coordinator.hasRequest() || coordinator.isActive() || follower.isOpen()
                || now - openReportedAt < OPEN_REPORT_MS;
    }

    /** Returns whether this proxy takes part in a rollout in progress and was told so within this time. */
    public boolean isCoordinated(double now, double withinMs) {
        return follower.isCoordinated(now, withinMs);
    }

    /**
     * Does everything that is due; returns the time of the next call.
     *
     * @param holds whether this proxy holds the lease
     * @param voters the other proxies that may hold it
     * @param lagging whether this proxy's version is below the fleet's and no rollout raises it
     */
    public double tick(double now, boolean holds, List<Integer> voters, boolean lagging) {
        long term = holds ? callbacks.term() : 0;
        if (coordinator.hasRequest() && callbacks.isOutOfService()) {
            coordinator.dropRequest("this proxy has stepped aside");
        } else if (coordinator.hasRequest() && follower.isOpen()) {
            coordinator.dropRequest("that of " + follower.progress().plan().target().text() + " is under way");
        }
        if (term > 0) {
            RolloutMessage.Report own = follower.report(now);
            coordinator.tick(now, term, own);
            RolloutMessage.Order order = coordinator.receiveReport(now, self, own);
            if (order != null) {
                follower.receiveOrder(now, self, order);
            }
        } else if (!holds) {
            coordinator.leaseLost();
        }
        follower.tick(now, voters, lagging);
        return now + (wantsLease(now) || lagging ? BUSY_TICK_MS : IDLE_TICK_MS);
    }

    /** Receives a member's message. */
    public void receive(double now, int from, RolloutMessage message, boolean lagging) {
        if (message instanceof RolloutMessage.ReportRequest request) {
            follower.receiveReportRequest(now, from, request);
        } else if (message instanceof RolloutMessage.Order order) {
            follower.receiveOrder(now, from, order);
        } else if (message instanceof RolloutMessage.Report report) {
            receiveReport(now, from, report);
        } else if (message instanceof RolloutMessage.ChunkRequest request) {
            texts.chunks(request).forEach(p -> callbacks.sendMessage(from, p));
        } else if (message instanceof RolloutMessage.Chunk chunk) {
            follower.receiveChunk(chunk);
        } else if (message instanceof RolloutMessage.VersionQuery query) {
            follower.receiveVersionQuery(from, query, inEffect);
        } else if (message instanceof RolloutMessage.VersionReply reply) {
            follower.receiveVersionReply(reply, lagging);
        }
    }

    private void receiveReport(double now, int from, RolloutMessage.Report report) {
        if (report.progress() != null && !report.progress().finished()) {
            openReportedAt = now;
        }
        long term = callbacks.term();
        if (term > 0 && coordinator.holdsTerm(term)) {
            RolloutMessage.Order order = coordinator.receiveReport(now, from, report);
            if (order != null) {
                callbacks.sendMessage(from, order);
            }
        }
    }

    /** A text has been validated; {@code problem} is empty if it may be applied. */
    public void validated(double now, FileFingerprint fingerprint, String problem) {
        follower.validated(now, fingerprint, problem);
    }

    /**
     * Applying a text has ended.
     *
     * @param problem why the text is not in effect; empty if it is
     * @param late whether it did not begin because it was too late
     */
    public void applied(double now, FileFingerprint fingerprint, String problem, boolean late) {
        follower.applied(now, fingerprint, problem, late);
        if (problem.isEmpty()) {
            inEffect = fingerprint;
            texts.pin(fingerprint);
        }
    }

    /** Returns the plan that is coordinated here; null if there is none. */
    public Plan coordinatedPlan() {
        return coordinator.plan();
    }

    /** Returns whether a rollout is in progress as far as this proxy knows. */
    public boolean isInProgress() {
        return follower.isOpen() || coordinator.plan() != null;
    }

    /** Describes the progress; operators are shown these lines. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        lines.add(follower.explain());
        if (coordinator.isActive() || coordinator.hasRequest()) {
            lines.add("conducted here: " + coordinator.explain());
        } else if (!coordinator.explain().equals("nothing")) {
            lines.add("conducted here last: " + coordinator.explain());
        }
        if (follower.rejectedOrders() > 0) {
            lines.add(follower.rejectedOrders() + " orders refused as old");
        }
        return lines;
    }
}
