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
    private static final double ORDER_TTL_MS = 1500;
    /** From one report to the next while a roll is open. */
    private static final double REPORT_INTERVAL_MS = 250;
    private static final double COORDINATOR_TIMEOUT_MS = 2000;
    private static final double FETCH_INTERVAL_MS = 100;
    private static final int MIN_QUERY_INTERVAL_MS = 1000;
    private static final int MAX_QUERY_INTERVAL_MS = 8000;
    /** Stands for what came of checking while that goes on. */
    private static final String VALIDATING = "?";

    private final int incarnation;
    private final EchoTimestamps timestamps;
    private final Rollout.Callbacks callbacks;
    private final TextStore texts;
    /** What came of checking a text, by its stamp: no words where it is good. */
    private final Map<FileFingerprint, String> validationResults = new HashMap<>();
    private Progress progress;
    /** The latest term that anybody spoke under. */
    private long term;
    private Action action = Action.HOLD;
    private int coordinator = -1;
    private double coordinatorSeenAt = Double.NEGATIVE_INFINITY;
    private double orderedAt = Double.NEGATIVE_INFINITY;
    private double nextReportAt;
    private double nextFetchAt;
    private int fetchCount;
    private FileFingerprint applying;
    private String applyFailure;
    private FileFingerprint catchUpTarget;
    private double nextQueryAt;
    private double queryIntervalMs = MIN_QUERY_INTERVAL_MS;
    private long rejectedOrders;

    Follower(double now, int incarnation, TextStore shelf, Rollout.Callbacks out) {
        this.incarnation = incarnation;
        this.timestamps = new EchoTimestamps(now);
        this.texts = shelf;
        this.callbacks = out;
    }

    /** How far it knows the last roll to be; null where it knows of none. */
    Progress progress() {
        return progress;
    }

    /** Whether a roll is under way, as far as it knows. */
    boolean isOpen() {
        return progress != null && !progress.finished();
    }

    long rejectedOrders() {
        return rejectedOrders;
    }

    /** How it is now. */
    RolloutMessage.Report report(double now) {
        boolean staged = progress != null && isValidated(progress.plan().target()) && isValidated(progress.plan().rollback());
        Rollout.Counts counts = callbacks.counts();
        return new RolloutMessage.Report(timestamps.timestamp(now), incarnation, callbacks.versionInEffect(), progress, staged, rejection(), callbacks.isOutOfService(), counts.served(), counts.ended());
    }

    private boolean isValidated(FileFingerprint stamp) {
        return "".equals(validationResults.get(stamp)) && texts.text(stamp) != null;
    }

    private String rejection() {
        if (progress == null) {
            return null;
        }
        for (FileFingerprint s : List.of(progress.plan().target(), progress.plan().rollback())) {
            String problem = validationResults.getOrDefault(s, "");
            if (!problem.isEmpty() && !problem.equals(VALIDATING)) {
                return problem;
            }
        }
        return applyFailure;
    }

    /**
     * Whether it has its place in a roll that is under way: it acts under what that comes from or goes to, and what it said of itself was
     * answered within so long. Who only hears is not known to whoever conducts.
     */
    boolean isCoordinated(double now, double withinMs) {
        FileVersion own = callbacks.versionInEffect();
        return isOpen() && now - orderedAt <= withinMs && (progress.plan().base().equals(own) || progress.plan().target().matches(own) || progress.plan().rollback().matches(own));
    }

    /** Does what is due. */
    void tick(double now, List<Integer> electors, boolean lags) {
        if (isOpen() && now >= nextReportAt) {
            sendReport(now, electors);
        }
        if (lags && !isOpen()) {
            queryVersion(now, electors);
        } else if (!lags) {
            catchUpTarget = null;
            queryIntervalMs = MIN_QUERY_INTERVAL_MS;
        }
        if (now >= nextFetchAt) {
            nextFetchAt = now + FETCH_INTERVAL_MS;
            neededTexts().forEach(s -> fetch(s, electors));
        }
        applyIfReady(now);
    }

    /** Texts of a roll that it is to have and has not looked at yet, and one that it found others to act under. */
    private List<FileFingerprint> neededTexts() {
        List<FileFingerprint> needed = new ArrayList<>();
        FileFingerprint last = progress == null || !progress.finished() ? null : progress.plan().fingerprint(progress.action());
        if (isOpen() || last != null && callbacks.versionInEffect().number() < last.number()) {
            needed.add(progress.plan().target());
            needed.add(progress.plan().rollback());
            needed.removeIf(validationResults::containsKey);
        }
        if (catchUpTarget != null) {
            needed.add(catchUpTarget);
        }
        return needed;
    }

    private void sendReport(double now, List<Integer> electors) {
        nextReportAt = now + REPORT_INTERVAL_MS;
        RolloutMessage.Report report = report(now);
        if (now - coordinatorSeenAt <= COORDINATOR_TIMEOUT_MS) {
            callbacks.sendMessage(coordinator, report);
        } else {
            electors.forEach(e -> callbacks.sendMessage(e, report));
        }
    }

    /** Has missing pieces sent by one of those that may have them, another each time; looks at a text that is whole. */
    private void fetch(FileFingerprint stamp, List<Integer> electors) {
        String text = texts.text(stamp);
        if (text != null) {
            if (!validationResults.containsKey(stamp)) {
                validationResults.put(stamp, VALIDATING);
                callbacks.validate(stamp, text);
            }
            return;
        }
        List<Integer> missing = texts.missingChunks(stamp, RolloutWire.MAX_CHUNKS_PER_REQUEST);
        List<Integer> from = new ArrayList<>(electors);
        if (coordinator >= 0 && !from.contains(coordinator)) {
            from.add(coordinator);
        }
        if (!missing.isEmpty() && !from.isEmpty()) {
            callbacks.sendMessage(from.get(Math.floorMod(fetchCount++, from.size())), new RolloutMessage.ChunkRequest(stamp.hashHigh(), missing));
        }
    }

    /** A text has been looked at; {@code problem} is empty where it may be acted on. */
    void validated(double now, FileFingerprint stamp, String problem) {
        validationResults.put(stamp, problem);
        if (stamp.equals(catchUpTarget) && !problem.isEmpty()) {
            catchUpTarget = null;
            callbacks.notifyOperators("what others act under is not taken here: " + problem);
        }
        nextReportAt = now;
        applyIfReady(now);
    }

    /** Somebody who holds the lease, or did, wants to hear. */
    void receiveReportRequest(double now, int from, RolloutMessage.ReportRequest call) {
        if (call.term() >= term) {
            term = call.term();
            setCoordinator(now, from);
            nextReportAt = now + REPORT_INTERVAL_MS;
            callbacks.sendMessage(from, report(now));
        }
    }

    private void setCoordinator(double now, int from) {
        coordinator = from;
        coordinatorSeenAt = now;
    }

    /** An order came. */
    void receiveOrder(double now, int from, RolloutMessage.Order order) {
        Progress next = order.progress();
        boolean late = order.incarnation() != incarnation || timestamps.ageMs(now, order.echoedTimestamp()) > ORDER_TTL_MS;
        boolean old = next.term() < term || !next.isLaterThan(progress);
        if (late || old) {
            rejectedOrders++;
            return;
        }
        term = next.term();
        setCoordinator(now, from);
        orderedAt = now - timestamps.ageMs(now, order.echoedTimestamp());
        boolean other = progress == null || !progress.plan().equals(next.plan());
        if (other) {
            validationResults.keySet().removeIf(s -> !s.equals(next.plan().target()) && !s.equals(next.plan().rollback()));
            applyFailure = null;
        }
        boolean news = other || next.step() != progress.step() || next.action() != progress.action() || next.finished() != progress.finished();
        progress = next;
        action = order.action();
        applyIfReady(now);
        if (news) {
            nextReportAt = now + REPORT_INTERVAL_MS;
            callbacks.sendMessage(from, report(now));
        }
    }

    /** Begins what it was told to do last, or what it found that others act under, as soon as it can and while it still may. */
    private void applyIfReady(double now) {
        if (applying != null) {
            return;
        }
        double byMs = orderedAt + ORDER_TTL_MS;
        FileFingerprint to = progress == null || now > byMs ? null : progress.plan().fingerprint(action);
        if (to != null && isValidated(to) && to.number() > callbacks.versionInEffect().number()) {
            startApply(to, byMs, progress.term());
        } else if (to == null && catchUpTarget != null && isValidated(catchUpTarget) && !isOpen() && catchUpTarget.number() > callbacks.versionInEffect().number()) {
            startApply(catchUpTarget, now + ORDER_TTL_MS, 0);
        }
    }

    private void startApply(FileFingerprint to, double byMs, long under) {
        applying = to;
        callbacks.apply(to, texts.text(to), byMs, under);
    }

    /** What was begun has ended; {@code problem} is empty where this proxy acts under it now. It may have come too late. */
    void applied(double now, FileFingerprint stamp, String problem, boolean late) {
        applying = null;
        if (!problem.isEmpty() && !late) {
            applyFailure = problem;
        }
        if (stamp.equals(catchUpTarget)) {
            catchUpTarget = null;
        }
        nextReportAt = now;
    }

    /** Asks whoever may know what the others act under, ever less often. */
    private void queryVersion(double now, List<Integer> electors) {
        if (now >= nextQueryAt && catchUpTarget == null && applying == null) {
            nextQueryAt = now + queryIntervalMs;
            queryIntervalMs = Math.min(MAX_QUERY_INTERVAL_MS, 2 * queryIntervalMs);
            electors.forEach(e -> callbacks.sendMessage(e, new RolloutMessage.VersionQuery(callbacks.versionInEffect().number())));
        }
    }

    /** Somebody lags and asks: it is told what this proxy acts under, where that is no roll's that may still go back. */
    void receiveVersionQuery(int from, RolloutMessage.VersionQuery seek, FileFingerprint own) {
        if (!isOpen() && own != null && own.number() > seek.number() && texts.text(own) != null) {
            callbacks.sendMessage(from, new RolloutMessage.VersionReply(own));
        }
    }

    /** Somebody says what it acts under. */
    void receiveVersionReply(RolloutMessage.VersionReply told, boolean lags) {
        FileVersion own = callbacks.versionInEffect();
        if (lags && !isOpen() && catchUpTarget == null && told.fingerprint().number() > own.number() && validationResults.getOrDefault(told.fingerprint(), "").isEmpty()) {
            catchUpTarget = told.fingerprint();
        }
    }

    /** A piece came. */
    void receiveChunk(RolloutMessage.Chunk piece) {
        neededTexts().stream().filter(s -> s.hashHigh() == piece.hashHigh()).findFirst().ifPresent(s -> texts.addChunk(s, piece));
    }

    /** In words. */
    String explain() {
        return progress == null ? "no roll is known of" : "%s from %s by step %d, term %d%s; %s, %s".formatted(progress.plan().target().text(),
                progress.plan().base().text(), progress.step(), progress.term(), progress.finished() ? ", over" : "", progress.action(),
                rejection() != null ? "refused here: " + rejection() : isValidated(progress.plan().target()) ? "staged here" : "not staged here");
    }
}
