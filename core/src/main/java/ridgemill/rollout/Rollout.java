package ridgemill.rollout;

import java.util.ArrayList;
import java.util.List;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.RolloutCoordinator.Wish;

/**
 * One proxy's part in taking versions through the fleet: it follows whoever holds the lease, and conducts while it does so itself.
 * Members are numbered from 0, the same at all proxies. Used by one thread.
 */
public final class Rollout {

    /** When to look again while something is under way, and while nothing is. */
    private static final double BUSY_MS = 50;
    private static final double IDLE_MS = 250;
    private static final double OPEN_MS = 3000;

    /** Where words go and what is done; called from within the calls of {@link Rollout}. */
    public interface Callbacks {

        /** The term under which this proxy may conduct at this moment; 0 where it may not. */
        long term();

        /** Tells a member something. */
        void sendMessage(int to, RolloutMessage word);

        /** Has a text looked at, at once or later; {@link Rollout#validated} is owed for it. */
        void validate(FileFingerprint stamp, String text);

        /** Has this proxy act under a text, which is not to begin after {@code byMs}; {@link Rollout#applied} is owed for it. */
        void apply(FileFingerprint stamp, String text, double byMs, long term);

        /** Something that operators want to know has happened. */
        void notifyOperators(String words);

        /** What this proxy acts under now. */
        FileVersion versionInEffect();

        /** Whether it has stepped aside. */
        boolean isOutOfService();

        /** What it has served since its start. */
        Counts counts();
    }

    /**
     * What a proxy has served since its start.
     *
     * @param served requests
     * @param ended requests, served or not, but for those whose client left
     */
    public record Counts(int served, int ended) { }

    private final int self;
    private final Callbacks out;
    private final Shelf shelf = new Shelf();
    private final Follower follower;
    private final RolloutCoordinator conductor;
    private FileFingerprint own;
    private double openAt = Double.NEGATIVE_INFINITY;

    /**
     * @param self this proxy's number
     * @param members how many there are
     * @param incarnation of this process
     */
    public Rollout(int self, int members, int incarnation, double now, RolloutPolicy policy, Callbacks out) {
        this.self = self;
        this.out = out;
        this.follower = new Follower(now, incarnation, shelf, out);
        this.conductor = new RolloutCoordinator(self, members, policy, out);
    }

    /** This proxy acts under a text from now on; others may have it from here. */
    public void setInEffect(FileFingerprint stamp, String text) {
        own = stamp;
        shelf.put(stamp, text);
        shelf.hold(stamp);
    }

    /** The text that this proxy acts under. */
    public String textInEffect() {
        return shelf.text(own);
    }

    /**
     * Operators want the fleet to act under a text, whose number is to be above all that are known.
     *
     * @param target has been checked here
     * @param back what this proxy acts under, with a number above the target's; has been checked here
     * @return whether it is begun, as soon as this proxy holds the lease; or why not
     */
    public String begin(FileFingerprint target, String targetText, FileFingerprint back, String backText) {
        if (conductor.isWished() || conductor.isOpen() || follower.isOpen()) {
            return "no: a roll is under way: " + follower.explain();
        }
        if (out.isOutOfService()) {
            return "no: this proxy has stepped aside; ask another";
        }
        if (target.number() <= out.versionInEffect().number() || back.number() <= target.number()) {
            return "no: number " + out.versionInEffect().number() + " is acted under already";
        }
        shelf.put(target, targetText);
        shelf.put(back, backText);
        conductor.wish(new Wish(target, back));
        return "begun: as soon as this proxy holds the lease";
    }

    /** Operators want the roll that is conducted here to go back. */
    public String rollBack() {
        return conductor.goBack() ? "it goes back" : "no roll that goes forward is conducted here";
    }

    /** Whether this proxy wants to conduct: something is to be begun, or to be brought to its end. */
    public boolean wantsLease(double now) {
        return conductor.isWished() || conductor.isOpen() || follower.isOpen() || now - openAt < OPEN_MS;
    }

    /** Whether this proxy has its place in a roll that is under way, and was told so within so long. */
    public boolean isCoordinated(double now, double withinMs) {
        return follower.isLed(now, withinMs);
    }

    /**
     * Does what is due; returns when something will be.
     *
     * @param electors who may conduct, but for this proxy
     * @param lags whether others act under a later version and no roll brings it here
     */
    public double tick(double now, boolean holds, List<Integer> electors, boolean lags) {
        long term = holds ? out.term() : 0;
        if (conductor.isWished() && out.isOutOfService()) {
            conductor.drop("this proxy has stepped aside");
        } else if (conductor.isWished() && follower.isOpen()) {
            conductor.drop("that of " + follower.stage().plan().target().text() + " is under way");
        }
        if (term > 0) {
            RolloutMessage.Report own = follower.report(now);
            conductor.tick(now, term, own);
            RolloutMessage.Order order = conductor.reported(now, self, own);
            if (order != null) {
                follower.ordered(now, self, order);
            }
        } else if (!holds) {
            conductor.lost();
        }
        follower.tick(now, electors, lags);
        return now + (wantsLease(now) || lags ? BUSY_MS : IDLE_MS);
    }

    /** A member says something. */
    public void receive(double now, int from, RolloutMessage word, boolean lags) {
        if (word instanceof RolloutMessage.ReportRequest call) {
            follower.called(now, from, call);
        } else if (word instanceof RolloutMessage.Order order) {
            follower.ordered(now, from, order);
        } else if (word instanceof RolloutMessage.Report report) {
            reported(now, from, report);
        } else if (word instanceof RolloutMessage.ChunkRequest want) {
            shelf.pieces(want).forEach(p -> out.sendMessage(from, p));
        } else if (word instanceof RolloutMessage.Chunk piece) {
            follower.took(piece);
        } else if (word instanceof RolloutMessage.VersionQuery seek) {
            follower.sought(from, seek, own);
        } else if (word instanceof RolloutMessage.VersionReply settled) {
            follower.settled(settled, lags);
        }
    }

    private void reported(double now, int from, RolloutMessage.Report report) {
        if (report.progress() != null && !report.progress().finished()) {
            openAt = now;
        }
        long term = out.term();
        if (term > 0 && conductor.isUnder(term)) {
            RolloutMessage.Order order = conductor.reported(now, from, report);
            if (order != null) {
                out.sendMessage(from, order);
            }
        }
    }

    /** A text has been looked at; {@code problem} is empty where it may be acted on. */
    public void validated(double now, FileFingerprint stamp, String problem) {
        follower.checked(now, stamp, problem);
    }

    /**
     * What was to be acted on is, or is not.
     *
     * @param problem empty where this proxy acts under it now
     * @param late whether it was not begun as its time was over
     */
    public void applied(double now, FileFingerprint stamp, String problem, boolean late) {
        follower.acted(now, stamp, problem, late);
        if (problem.isEmpty()) {
            own = stamp;
            shelf.hold(stamp);
        }
    }

    /** What is conducted here now; null for nothing. */
    public Plan coordinatedPlan() {
        return conductor.plan();
    }

    /** Whether a roll is under way as far as this proxy knows. */
    public boolean isInProgress() {
        return follower.isOpen() || conductor.plan() != null;
    }

    /** How it goes, in words. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        lines.add(follower.explain());
        if (conductor.isOpen() || conductor.isWished()) {
            lines.add("conducted here: " + conductor.explain());
        } else if (!conductor.explain().equals("nothing")) {
            lines.add("conducted here last: " + conductor.explain());
        }
        if (follower.refusedOrders() > 0) {
            lines.add(follower.refusedOrders() + " orders refused as old");
        }
        return lines;
    }
}
