package ridgemill.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.lease.EchoTimestamps;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;
import ridgemill.rollout.RolloutMessage.Progress;

/**
 * What a proxy does of rolls that others conduct, or itself: says how it is, has the texts sent, acts where it is told. An order is
 * obeyed where it answers a mark that this very process sent a moment ago, and is later than all that were: by its term, and by its
 * number under one term. So neither a replayed one nor one that was held up by a pause, on either side, is.
 */
final class Follower {

    /** An order that answers an older mark comes too late, and what it tells is not begun later than so long after its mark. */
    private static final double ORDER_MS = 1500;
    /** From one report to the next while a roll is open. */
    private static final double EVERY_MS = 250;
    private static final double TELLER_MS = 2000;
    private static final double FETCH_MS = 100;
    private static final int SEEK_MS = 1000;
    private static final int MOST_SEEK_MS = 8000;
    /** Stands for what came of checking while that goes on. */
    private static final String LOOKS = "?";

    private final int incarnation;
    private final EchoTimestamps marks;
    private final Rollout.Callbacks out;
    private final Shelf shelf;
    /** What came of checking a text, by its stamp: no words where it is good. */
    private final Map<FileFingerprint, String> checked = new HashMap<>();
    private Progress progress;
    /** The latest term that anybody spoke under. */
    private long term;
    private Action what = Action.HOLD;
    private int teller = -1;
    private double coordinatorSeenAt = Double.NEGATIVE_INFINITY;
    private double orderedAt = Double.NEGATIVE_INFINITY;
    private double reportAt;
    private double fetchAt;
    private int asked;
    private FileFingerprint acting;
    private String failed;
    private FileFingerprint sought;
    private double seekAt;
    private double seekMs = SEEK_MS;
    private long refusedOrders;

    Follower(double now, int incarnation, Shelf shelf, Rollout.Callbacks out) {
        this.incarnation = incarnation;
        this.marks = new EchoTimestamps(now);
        this.shelf = shelf;
        this.out = out;
    }

    /** How far it knows the last roll to be; null where it knows of none. */
    Progress stage() {
        return progress;
    }

    /** Whether a roll is under way, as far as it knows. */
    boolean isOpen() {
        return progress != null && !progress.finished();
    }

    long refusedOrders() {
        return refusedOrders;
    }

    /** How it is now. */
    RolloutMessage.Report report(double now) {
        boolean staged = progress != null && isGood(progress.plan().target()) && isGood(progress.plan().rollback());
        Rollout.Counts counts = out.counts();
        return new RolloutMessage.Report(marks.timestamp(now), incarnation, out.versionInEffect(), progress, staged, refusal(), out.isOutOfService(), counts.served(), counts.ended());
    }

    private boolean isGood(FileFingerprint stamp) {
        return "".equals(checked.get(stamp)) && shelf.text(stamp) != null;
    }

    private String refusal() {
        if (progress == null) {
            return null;
        }
        for (FileFingerprint s : List.of(progress.plan().target(), progress.plan().rollback())) {
            String problem = checked.getOrDefault(s, "");
            if (!problem.isEmpty() && !problem.equals(LOOKS)) {
                return problem;
            }
        }
        return failed;
    }

    /**
     * Whether it has its place in a roll that is under way: it acts under what that comes from or goes to, and what it said of itself was
     * answered within so long. Who only hears is not known to whoever conducts.
     */
    boolean isLed(double now, double withinMs) {
        FileVersion own = out.versionInEffect();
        return isOpen() && now - orderedAt <= withinMs && (progress.plan().base().equals(own) || progress.plan().target().matches(own) || progress.plan().rollback().matches(own));
    }

    /** Does what is due. */
    void tick(double now, List<Integer> electors, boolean lags) {
        if (isOpen() && now >= reportAt) {
            reportNow(now, electors);
        }
        if (lags && !isOpen()) {
            seek(now, electors);
        } else if (!lags) {
            sought = null;
            seekMs = SEEK_MS;
        }
        if (now >= fetchAt) {
            fetchAt = now + FETCH_MS;
            needed().forEach(s -> fetch(s, electors));
        }
        obey(now);
    }

    /** Texts of a roll that it is to have and has not looked at yet, and one that it found others to act under. */
    private List<FileFingerprint> needed() {
        List<FileFingerprint> needed = new ArrayList<>();
        FileFingerprint last = progress == null || !progress.finished() ? null : progress.plan().fingerprint(progress.action());
        if (isOpen() || last != null && out.versionInEffect().number() < last.number()) {
            needed.add(progress.plan().target());
            needed.add(progress.plan().rollback());
            needed.removeIf(checked::containsKey);
        }
        if (sought != null) {
            needed.add(sought);
        }
        return needed;
    }

    private void reportNow(double now, List<Integer> electors) {
        reportAt = now + EVERY_MS;
        RolloutMessage.Report report = report(now);
        if (now - coordinatorSeenAt <= TELLER_MS) {
            out.sendMessage(teller, report);
        } else {
            electors.forEach(e -> out.sendMessage(e, report));
        }
    }

    /** Has missing pieces sent by one of those that may have them, another each time; looks at a text that is whole. */
    private void fetch(FileFingerprint stamp, List<Integer> electors) {
        String text = shelf.text(stamp);
        if (text != null) {
            if (!checked.containsKey(stamp)) {
                checked.put(stamp, LOOKS);
                out.validate(stamp, text);
            }
            return;
        }
        List<Integer> missing = shelf.missing(stamp, RolloutWire.MAX_CHUNKS_PER_REQUEST);
        List<Integer> from = new ArrayList<>(electors);
        if (teller >= 0 && !from.contains(teller)) {
            from.add(teller);
        }
        if (!missing.isEmpty() && !from.isEmpty()) {
            out.sendMessage(from.get(Math.floorMod(asked++, from.size())), new RolloutMessage.ChunkRequest(stamp.hashHigh(), missing));
        }
    }

    /** A text has been looked at; {@code problem} is empty where it may be acted on. */
    void checked(double now, FileFingerprint stamp, String problem) {
        checked.put(stamp, problem);
        if (stamp.equals(sought) && !problem.isEmpty()) {
            sought = null;
            out.notifyOperators("what others act under is not taken here: " + problem);
        }
        reportAt = now;
        obey(now);
    }

    /** Somebody who holds the lease, or did, wants to hear. */
    void called(double now, int from, RolloutMessage.ReportRequest call) {
        if (call.term() >= term) {
            term = call.term();
            heard(now, from);
            reportAt = now + EVERY_MS;
            out.sendMessage(from, report(now));
        }
    }

    private void heard(double now, int from) {
        teller = from;
        coordinatorSeenAt = now;
    }

    /** An order came. */
    void ordered(double now, int from, RolloutMessage.Order order) {
        Progress next = order.progress();
        boolean late = order.incarnation() != incarnation || marks.ageMs(now, order.echoedTimestamp()) > ORDER_MS;
        boolean old = next.term() < term || !next.isLaterThan(progress);
        if (late || old) {
            refusedOrders++;
            return;
        }
        term = next.term();
        heard(now, from);
        orderedAt = now - marks.ageMs(now, order.echoedTimestamp());
        boolean other = progress == null || !progress.plan().equals(next.plan());
        if (other) {
            checked.keySet().removeIf(s -> !s.equals(next.plan().target()) && !s.equals(next.plan().rollback()));
            failed = null;
        }
        boolean news = other || next.step() != progress.step() || next.action() != progress.action() || next.finished() != progress.finished();
        progress = next;
        what = order.action();
        obey(now);
        if (news) {
            reportAt = now + EVERY_MS;
            out.sendMessage(from, report(now));
        }
    }

    /** Begins what it was told to do last, or what it found that others act under, as soon as it can and while it still may. */
    private void obey(double now) {
        if (acting != null) {
            return;
        }
        double byMs = orderedAt + ORDER_MS;
        FileFingerprint to = progress == null || now > byMs ? null : progress.plan().fingerprint(what);
        if (to != null && isGood(to) && to.number() > out.versionInEffect().number()) {
            begin(to, byMs, progress.term());
        } else if (to == null && sought != null && isGood(sought) && !isOpen() && sought.number() > out.versionInEffect().number()) {
            begin(sought, now + ORDER_MS, 0);
        }
    }

    private void begin(FileFingerprint to, double byMs, long under) {
        acting = to;
        out.apply(to, shelf.text(to), byMs, under);
    }

    /** What was begun has ended; {@code problem} is empty where this proxy acts under it now. It may have come too late. */
    void acted(double now, FileFingerprint stamp, String problem, boolean late) {
        acting = null;
        if (!problem.isEmpty() && !late) {
            failed = problem;
        }
        if (stamp.equals(sought)) {
            sought = null;
        }
        reportAt = now;
    }

    /** Asks whoever may know what the others act under, ever less often. */
    private void seek(double now, List<Integer> electors) {
        if (now >= seekAt && sought == null && acting == null) {
            seekAt = now + seekMs;
            seekMs = Math.min(MOST_SEEK_MS, 2 * seekMs);
            electors.forEach(e -> out.sendMessage(e, new RolloutMessage.VersionQuery(out.versionInEffect().number())));
        }
    }

    /** Somebody lags and asks: it is told what this proxy acts under, where that is no roll's that may still go back. */
    void sought(int from, RolloutMessage.VersionQuery seek, FileFingerprint own) {
        if (!isOpen() && own != null && own.number() > seek.number() && shelf.text(own) != null) {
            out.sendMessage(from, new RolloutMessage.VersionReply(own));
        }
    }

    /** Somebody says what it acts under. */
    void settled(RolloutMessage.VersionReply told, boolean lags) {
        FileVersion own = out.versionInEffect();
        if (lags && !isOpen() && sought == null && told.fingerprint().number() > own.number() && checked.getOrDefault(told.fingerprint(), "").isEmpty()) {
            sought = told.fingerprint();
        }
    }

    /** A piece came. */
    void took(RolloutMessage.Chunk piece) {
        needed().stream().filter(s -> s.hashHigh() == piece.hashHigh()).findFirst().ifPresent(s -> shelf.take(s, piece));
    }

    /** In words. */
    String explain() {
        return progress == null ? "no roll is known of" : "%s from %s by step %d, term %d%s; %s, %s".formatted(progress.plan().target().text(),
                progress.plan().base().text(), progress.step(), progress.term(), progress.finished() ? ", over" : "", progress.action(),
                refusal() != null ? "refused here: " + refusal() : isGood(progress.plan().target()) ? "staged here" : "not staged here");
    }
}
