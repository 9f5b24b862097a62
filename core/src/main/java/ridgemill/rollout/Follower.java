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
 * A member's part in rollouts: reports its state, fetches the texts, and applies them as ordered by the coordinator,
 * which may be this proxy itself. An order is followed only if it answers a recent report of this process and is later
 * than all orders before, by its term and by its sequence within a term. So neither a replayed order is followed nor
 * one that was delayed by a suspended process on either side.
 */
final class Follower {

    /**
     * Maximum age of the report that an order answers, and time after that report by which the order may still be
     * applied.
     */
    private static final double ORDER_TTL_MS = 1500;
    /** Interval of the reports while a rollout is in progress. */
    private static final double REPORT_INTERVAL_MS = 250;
    /** Time after its last message until which reports go to the known coordinator only. */
    private static final double COORDINATOR_TIMEOUT_MS = 2000;
    private static final double FETCH_INTERVAL_MS = 100;
    private static final int MIN_QUERY_INTERVAL_MS = 1000;
    private static final int MAX_QUERY_INTERVAL_MS = 8000;
    /** Result of a validation that has not finished. */
    private static final String VALIDATING = "?";

    private final int incarnation;
    private final EchoTimestamps timestamps;
    private final Rollout.Callbacks callbacks;
    private final TextStore texts;
    /** Result of validating a text; empty if the text is valid. */
    private final Map<FileFingerprint, String> validationResults = new HashMap<>();
    private Progress progress;
    /** The highest term under which a message was received. */
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

    Follower(double now, int incarnation, TextStore texts, Rollout.Callbacks callbacks) {
        this.incarnation = incarnation;
        this.timestamps = new EchoTimestamps(now);
        this.texts = texts;
        this.callbacks = callbacks;
    }

    /** Returns the progress of the last rollout as far as this member knows; null if it knows of none. */
    Progress progress() {
        return progress;
    }

    /** Returns whether a rollout is in progress as far as this member knows. */
    boolean isOpen() {
        return progress != null && !progress.finished();
    }


    /** Returns the number of orders that were not followed, as they were late or stale. */
    long rejectedOrders() {
        return rejectedOrders;
    }

    /** Returns a report of the current state. */
    RolloutMessage.Report report(double now) {
        boolean staged = progress != null && isValidated(progress.plan().target())
                && isValidated(progress.plan().rollback());
        Rollout.Counts counts = callbacks.counts();
        return new RolloutMessage.Report(timestamps.timestamp(now), incarnation, callbacks.versionInEffect(), progress,
                staged, rejection(), callbacks.isOutOfService(), counts.served(), counts.ended());
    }

    private boolean isValidated(FileFingerprint fingerprint) {
        return "".equals(validationResults.get(fingerprint)) && texts.text(fingerprint) != null;
    }


    /** Returns why a text of the rollout is not accepted here; null if there is no objection. */
    private String rejection() {
        if (progress == null) {
            return null;
        }
        for (FileFingerprint fingerprint : List.of(progress.plan().target(), progress.plan().rollback())) {
            String problem = validationResults.getOrDefault(fingerprint, "");
            if (!problem.isEmpty() && !problem.equals(VALIDATING)) {
                return problem;
            }
        }
        return applyFailure;
    }

    /**
     * Returns whether this member takes part in a rollout in progress: its version in effect is one of the plan's, and
     * one of its reports was answered within this time. A member that only receives messages is not known to the
     * coordinator.
     */
    boolean isCoordinated(double now, double withinMs) {
        FileVersion own = callbacks.versionInEffect();
        return isOpen() && now - orderedAt <= withinMs
                && (progress.plan().base().equals(own) || progress.plan().target().matches(own) || progress.plan().rollback().matches(own));
    }

    /** Does everything that is due. */
    void tick(double now, List<Integer> voters, boolean lagging) {
        if (isOpen() && now >= nextReportAt) {
            sendReport(now, voters);
        }
        if (lagging && !isOpen()) {
            queryVersion(now, voters);
        } else if (!lagging) {
            catchUpTarget = null;
            queryIntervalMs = MIN_QUERY_INTERVAL_MS;
        }
        if (now >= nextFetchAt) {
            nextFetchAt = now + FETCH_INTERVAL_MS;
            neededTexts().forEach(fingerprint -> fetch(fingerprint, voters));
        }
        applyIfReady(now);
    }

    /**
     * Returns the texts of the rollout that are needed and not validated yet, and the text that is needed to catch up.
     */
    private List<FileFingerprint> neededTexts() {
        List<FileFingerprint> needed = new ArrayList<>();
        FileFingerprint last = progress == null || !progress.finished() ? null
                : progress.plan().fingerprint(progress.action());
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

    private void sendReport(double now, List<Integer> voters) {
        nextReportAt = now + REPORT_INTERVAL_MS;
        RolloutMessage.Report report = report(now);
        if (now - coordinatorSeenAt <= COORDINATOR_TIMEOUT_MS) {
            callbacks.sendMessage(coordinator, report);
        } else {
            voters.forEach(voter -> callbacks.sendMessage(voter, report));
        }
    }

    /**
     * Requests missing chunks of a text from one possible source, a different one each time; has a complete text
     * validated.
     */
    private void fetch(FileFingerprint fingerprint, List<Integer> voters) {
        String text = texts.text(fingerprint);
        if (text != null) {
            if (!validationResults.containsKey(fingerprint)) {
                validationResults.put(fingerprint, VALIDATING);
                callbacks.validate(fingerprint, text);
            }
            return;
        }
        List<Integer> missing = texts.missingChunks(fingerprint, RolloutWire.MAX_CHUNKS_PER_REQUEST);
        List<Integer> sources = new ArrayList<>(voters);
        if (coordinator >= 0 && !sources.contains(coordinator)) {
            sources.add(coordinator);
        }
        if (!missing.isEmpty() && !sources.isEmpty()) {
            callbacks.sendMessage(sources.get(Math.floorMod(fetchCount++, sources.size())),
                    new RolloutMessage.ChunkRequest(fingerprint.hashHigh(), missing));
        }
    }

    /** A text has been validated; {@code problem} is empty if it may be applied. */
    void validated(double now, FileFingerprint fingerprint, String problem) {
        validationResults.put(fingerprint, problem);
        if (fingerprint.equals(catchUpTarget) && !problem.isEmpty()) {
            catchUpTarget = null;
            callbacks.notifyOperators("the version in effect at other members is rejected here: " + problem);
        }
        nextReportAt = now;
        applyIfReady(now);
    }

    /** Answers a report request of a proxy that holds the lease, unless a higher term was seen. */
    void receiveReportRequest(double now, int from, RolloutMessage.ReportRequest request) {
        if (request.term() >= term) {
            term = request.term();
            setCoordinator(now, from);
            nextReportAt = now + REPORT_INTERVAL_MS;
            callbacks.sendMessage(from, report(now));
        }
    }

    private void setCoordinator(double now, int from) {
        coordinator = from;
        coordinatorSeenAt = now;
    }

    /** Receives an order; counts and ignores it if it is late or stale. */
    void receiveOrder(double now, int from, RolloutMessage.Order order) {
        Progress next = order.progress();
        boolean late = order.incarnation() != incarnation
                || timestamps.ageMs(now, order.echoedTimestamp()) > ORDER_TTL_MS;
        boolean stale = next.term() < term || !next.isLaterThan(progress);
        if (late || stale) {
            rejectedOrders++;
            return;
        }
        term = next.term();
        setCoordinator(now, from);
        orderedAt = now - timestamps.ageMs(now, order.echoedTimestamp());
        boolean newPlan = progress == null || !progress.plan().equals(next.plan());
        if (newPlan) {
            validationResults.keySet()
                    .removeIf(s -> !s.equals(next.plan().target()) && !s.equals(next.plan().rollback()));
            applyFailure = null;
        }
        boolean changed = newPlan || next.step() != progress.step() || next.action() != progress.action()
                || next.finished() != progress.finished();
        progress = next;
        action = order.action();
        applyIfReady(now);
        if (changed) {
            nextReportAt = now + REPORT_INTERVAL_MS;
            callbacks.sendMessage(from, report(now));
        }
    }

    /**
     * Applies the text of the last order, or the text to catch up with the others, if it is valid and the time allows
     * it.
     */
    private void applyIfReady(double now) {
        if (applying != null) {
            return;
        }
        double byMs = orderedAt + ORDER_TTL_MS;
        FileFingerprint text = progress == null || now > byMs ? null : progress.plan().fingerprint(action);
        if (text != null && isValidated(text) && text.number() > callbacks.versionInEffect().number()) {
            startApply(text, byMs, progress.term());
        } else if (text == null && catchUpTarget != null && isValidated(catchUpTarget) && !isOpen()
                && catchUpTarget.number() > callbacks.versionInEffect().number()) {
            startApply(catchUpTarget, now + ORDER_TTL_MS, 0);
        }
    }

    private void startApply(FileFingerprint text, double byMs, long orderTerm) {
        applying = text;
        callbacks.apply(text, texts.text(text), byMs, orderTerm);
    }

    /**
     * Applying a text has ended; {@code problem} is empty if it is in effect, {@code late} is whether it was too late
     * to begin.
     */
    void applied(double now, FileFingerprint fingerprint, String problem, boolean late) {
        applying = null;
        if (!problem.isEmpty() && !late) {
            applyFailure = problem;
        }
        if (fingerprint.equals(catchUpTarget)) {
            catchUpTarget = null;
        }
        nextReportAt = now;
    }

    /** Queries the others' version in effect, at growing intervals. */
    private void queryVersion(double now, List<Integer> voters) {
        if (now >= nextQueryAt && catchUpTarget == null && applying == null) {
            nextQueryAt = now + queryIntervalMs;
            queryIntervalMs = Math.min(MAX_QUERY_INTERVAL_MS, 2 * queryIntervalMs);
            voters.forEach(voter -> callbacks.sendMessage(voter,
                    new RolloutMessage.VersionQuery(callbacks.versionInEffect().number())));
        }
    }

    /**
     * Answers a lagging member with the version in effect here, unless a rollout is in progress that may be rolled
     * back.
     */
    void receiveVersionQuery(int from, RolloutMessage.VersionQuery query, FileFingerprint own) {
        if (!isOpen() && own != null && own.number() > query.number() && texts.text(own) != null) {
            callbacks.sendMessage(from, new RolloutMessage.VersionReply(own));
        }
    }

    /** Receives the version in effect at another member, which this member catches up with if it lags. */
    void receiveVersionReply(RolloutMessage.VersionReply reply, boolean lagging) {
        FileVersion own = callbacks.versionInEffect();
        if (lagging && !isOpen() && catchUpTarget == null && reply.fingerprint().number() > own.number()
                && validationResults.getOrDefault(reply.fingerprint(), "").isEmpty()) {
            catchUpTarget = reply.fingerprint();
        }
    }

    /** Receives a chunk of a needed text. */
    void receiveChunk(RolloutMessage.Chunk chunk) {
        neededTexts().stream().filter(s -> s.hashHigh() == chunk.hashHigh()).findFirst()
                .ifPresent(s -> texts.addChunk(s, chunk));
    }

    /** Describes the progress; operators are shown this text. */
    String explain() {
        return progress == null ? "no roll is known of" : "%s from %s by step %d, term %d%s; %s, %s".formatted(
                progress.plan().target().text(), progress.plan().base().text(), progress.step(), progress.term(),
                progress.finished() ? ", over" : "", progress.action(), 
                rejection() != null ? "refused here: " + rejection()
                : isValidated(progress.plan().target()) ? "staged here" : "not staged here");
    }
}
