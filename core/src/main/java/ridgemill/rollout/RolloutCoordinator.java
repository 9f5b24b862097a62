package ridgemill.rollout;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.Plan.Action;
import ridgemill.rollout.RolloutMessage.Progress;
import ridgemill.rollout.RolloutMessage.Report;

/**
 * Coordinates a rollout while this proxy holds the lease. The coordinator first collects reports from most members to
 * find a rollout that a previous coordinator began, and continues that one. It answers each member's report with an
 * order.
 *
 * <p>At most two texts are in effect at once. No member is ordered to put the target into effect before all members
 * that are heard of, and enough of the whole fleet, have validated both texts. In a rollback the members with the
 * target in effect go first, to the base's contents under a new number.
 */
final class RolloutCoordinator {

    private static final double REPORT_REQUEST_INTERVAL_MS = 250;
    /** A member that has reported within this time is not sent a report request. */
    private static final double RECENT_REPORT_MS = 400;
    /** Time after which the reports of a majority are enough to take over. */
    private static final double COLLECT_TIMEOUT_MS = 1500;
    /** A member that has not reported for this long counts as absent. */
    private static final double MEMBER_TIMEOUT_MS = 3000;
    /** How long the end of a rollout is announced to members that have not confirmed it. */
    private static final double FINISH_ANNOUNCE_MS = 10_000;

    /** A member's last report, and its report at the time when the step was complete. */
    private static final class MemberState {
        Report report;
        double reportedAt;
        Report stepBaseline;
    }

    /** A rollout that operators have requested. */
    record Request(FileFingerprint target, FileFingerprint rollback) { }

    private final int self;
    private final int members;
    private final RolloutPolicy policy;
    private final Rollout.Callbacks callbacks;
    private final Map<Integer, MemberState> memberStates = new TreeMap<>();
    /** Members that were ordered to put the target into effect. */
    private final Set<Integer> toldForward = new HashSet<>();
    private Request request;
    private boolean rollbackRequested;
    private boolean holdsLease;
    private long term;
    private int sequence;
    private boolean collecting;
    /** Whether a member reported an unfinished rollout while none is coordinated here. */
    private boolean openRolloutReported;
    private double stepSince;
    private double nextReportRequestAt;
    private Plan plan;
    private Action action;
    private int step;
    private boolean finished;
    private double stepCompleteAt = Double.NaN;
    private double baselineShare = Double.NaN;
    private String statusText = "nothing";

    RolloutCoordinator(int self, int members, RolloutPolicy policy, Rollout.Callbacks callbacks) {
        this.self = self;
        this.members = members;
        this.policy = policy;
        this.callbacks = callbacks;
    }

    /** Requests a rollout, which starts once this proxy holds the lease. */
    void requestRollout(Request next) {
        request = next;
        statusText = "waits for the lease";
    }

    /** Drops the request and reports the reason to the operators. */
    void dropRequest(String reason) {
        statusText = "not begun: " + reason;
        callbacks.notifyOperators("the roll of " + request.target().text() + " is " + statusText);
        request = null;
    }

    /** Returns whether a requested rollout has not started yet. */
    boolean hasRequest() {
        return request != null;
    }

    /** Returns whether this proxy coordinates a rollout now, or collects reports to do so. */
    boolean isActive() {
        return plan != null || collecting;
    }

    /** Returns the plan that is coordinated here; null if there is none. */
    Plan plan() {
        return plan;
    }

    /** Requests a rollback of the current rollout; returns false if no rollout goes forward here. */
    boolean requestRollback() {
        if (plan == null || finished || action != Action.FORWARD) {
            return false;
        }
        rollbackRequested = true;
        return true;
    }

    /** Does everything that is due while this proxy holds the lease, under this term. */
    void tick(double now, long heldTerm, Report own) {
        if (heldTerm != term || !holdsLease) {
            takeOver(now, heldTerm);
        }
        receiveReport(now, self, own);
        if (now >= nextReportRequestAt && isActive()) {
            nextReportRequestAt = now + REPORT_REQUEST_INTERVAL_MS;
            for (int m = 0; m < members; m++) {
                if (m != self && (!memberStates.containsKey(m)
                        || now - memberStates.get(m).reportedAt > RECENT_REPORT_MS)) {
                    callbacks.sendMessage(m, new RolloutMessage.ReportRequest(term));
                }
            }
        }
        if (collecting) {
            collectReports(now);
        } else if (plan == null && (request != null || openRolloutReported)) {
            takeOver(now, heldTerm);
        }
        if (plan != null) {
            advance(now);
        }
    }


    /** Starts to collect reports, as after acquiring the lease. */
    private void takeOver(double now, long heldTerm) {
        sequence = heldTerm == term ? sequence : 0;
        term = heldTerm;
        holdsLease = true;
        collecting = true;
        openRolloutReported = false;
        stepSince = now;
        nextReportRequestAt = now;
        plan = null;
        finished = false;
        memberStates.clear();
        toldForward.clear();
        baselineShare = Double.NaN;
        rollbackRequested = false;
    }

    /** This proxy does not hold the lease any more; the next holder continues the rollout. */
    void leaseLost() {
        if (isActive()) {
            statusText = "another goes on with it";
        }
        collecting = false;
        plan = null;
        holdsLease = false;
    }

    /** Returns whether this coordinator was told that this proxy holds the lease under this term. */
    boolean holdsTerm(long heldTerm) {
        return holdsLease && heldTerm == term;
    }

    /** Receives a member's report; returns the order that answers it, or null if there is none yet. */
    RolloutMessage.Order receiveReport(double now, int from, Report report) {
        MemberState state = memberStates.computeIfAbsent(from, m -> new MemberState());
        boolean sameProcess = state.report != null && state.report.incarnation() == report.incarnation();
        if (sameProcess && report.timestamp() - state.report.timestamp() < 0) {
            return null;
        }
        if (!sameProcess) {
            state.stepBaseline = null;
        }
        state.report = report;
        state.reportedAt = now;
        if (plan == null) {
            openRolloutReported |= !collecting && report.progress() != null && !report.progress().finished();
            return null;
        }
        Action ordered = actionFor(now, from);
        if (ordered == Action.FORWARD) {
            toldForward.add(from);
        }
        sequence++;
        return new RolloutMessage.Order(report.timestamp(), report.incarnation(),
                new Progress(plan, term, sequence, action, step, finished), ordered);
    }

    private boolean isAlive(double now, int member) {
        MemberState s = memberStates.get(member);
        return s != null && now - s.reportedAt <= MEMBER_TIMEOUT_MS;
    }

    private List<Integer> aliveMembers(double now) {
        return memberStates.keySet().stream().filter(m -> isAlive(now, m)).toList();
    }

    /** Counts the members whose last report satisfies the condition, however old that report is. */
    private long count(Predicate<Report> condition) {
        return memberStates.values().stream().filter(s -> condition.test(s.report)).count();
    }

    private boolean hasInEffect(int member, FileFingerprint fingerprint) {
        return fingerprint.matches(memberStates.get(member).report.version());
    }

    private boolean anyHasInEffect(double now, FileFingerprint fingerprint) {
        return aliveMembers(now).stream().anyMatch(m -> hasInEffect(m, fingerprint));
    }

    /**
     * Returns whether members that are not heard of have had the time to go out of service since the step was complete.
     */
    private boolean silentMembersOutOfService(double now) {
        for (int m = 0; m < members; m++) {
            MemberState state = memberStates.get(m);
            if (!isAlive(now, m) && now - Math.max(stepCompleteAt, state == null ? stepSince : state.reportedAt)
                    <= policy.outOfServiceMs()) {
                return false;
            }
        }
        return true;
    }

    private void collectReports(double now) {
        boolean enough = memberStates.size() == members || now - stepSince >= COLLECT_TIMEOUT_MS
                && 2 * memberStates.size() > members;
        if (!enough) {
            statusText = "hears from " + memberStates.size() + " of " + members;
            return;
        }
        collecting = false;
        Progress latest = null;
        for (MemberState s : memberStates.values()) {
            if (s.report.progress() != null && s.report.progress().isLaterThan(latest)) {
                latest = s.report.progress();
            }
        }
        if (latest != null && (!latest.finished() || anyReportsOpenRollout())) {
            plan = latest.plan();
            finished = latest.finished();
            action = finished ? latest.action() : stoppedActionOr(latest.action());
            step = action == Action.FORWARD || finished ? latest.step() : 1;
            enterStep(now, "goes on with " + plan.target().text() + " at step " + step);
            if (request != null) {
                dropRequest("that of " + plan.target().text() + " is under way");
            }
        } else if (request != null) {
            startRequested(now);
        }
    }

    /**
     * Returns the action to continue with. Once any member knows that the rollout was stopped, no later coordinator
     * resumes it.
     */
    private Action stoppedActionOr(Action latest) {
        for (Action stopped : List.of(Action.BACK, Action.CANCEL)) {
            if (count(r -> r.knows(plan) && r.progress().action() == stopped) > 0) {
                return stopped;
            }
        }
        return latest;
    }

    /**
     * Returns whether a member reports an unfinished rollout. If the latest one is finished, such a member has to be
     * told of it.
     */
    private boolean anyReportsOpenRollout() {
        return count(r -> r.progress() != null && !r.progress().finished()) > 0;
    }

    /** Starts the requested rollout if all members in service have the same version in effect. */
    private void startRequested(double now) {
        Set<FileVersion> bases = memberStates.values().stream().map(s -> s.report).filter(r -> !r.outOfService())
                .map(Report::version).collect(Collectors.toSet());
        // Numbers of cancelled rollouts are not reused: a member that is not heard of may have put them into effect.
        int highest = memberStates.values().stream().map(s -> s.report)
                .mapToInt(r -> Math.max(r.version().number(),
                        r.progress() == null ? 0 : r.progress().plan().rollback().number()))
                .max().orElse(0);
        if (bases.size() != 1 || highest >= request.target().number()) {
            dropRequest(bases.size() != 1
                    ? "the fleet acts under "
                    + bases.stream().map(FileVersion::text).sorted().collect(Collectors.joining(" and "))
                    : "number " + highest + " is known already");
            return;
        }
        plan = new Plan(bases.iterator().next(), request.target(), request.rollback());
        request = null;
        action = Action.FORWARD;
        finished = false;
        step = 0;
        enterStep(now, "begins with " + plan.target().text());
    }


    /** Begins a step of the rollout and reports it to the operators. */
    private void enterStep(double now, String what) {
        stepSince = now;
        stepCompleteAt = Double.NaN;
        memberStates.values().forEach(s -> s.stepBaseline = null);
        statusText = what;
        callbacks.notifyOperators(what);
    }

    private void changeAction(double now, Action next, String reason) {
        action = next;
        step = 1;
        enterStep(now, (next == Action.BACK ? "goes back from " : "gives up ") + plan.target().text() + ": " + reason);
    }

    private void finish(double now, String what) {
        finished = true;
        enterStep(now, what);
    }

    private void advance(double now) {
        if (finished) {
            List<Integer> alive = aliveMembers(now);
            boolean allKnow = alive.stream().map(m -> memberStates.get(m).report)
                    .allMatch(r -> r.knows(plan) && r.progress().finished());
            if (allKnow || now - stepSince > FINISH_ANNOUNCE_MS) {
                plan = null;
            }
            return;
        }
        switch (action) {
            case FORWARD -> advanceForward(now);
            case BACK -> advanceRollback(now);
            default -> {
                // The end is announced once a majority knows of it, so that any later coordinator learns of it from one
                // of them.
                if (anyHasInEffect(now, plan.target()) || anyHasInEffect(now, plan.rollback())) {
                    changeAction(now, Action.BACK, "one acts on it already");
                } else if (2 * count(r -> r.knows(plan) && r.progress().action() == Action.CANCEL) > members) {
                    finish(now, "given up, nobody acted on " + plan.target().text());
                }
            }
        }
    }

    private void advanceForward(double now) {
        List<Integer> alive = aliveMembers(now);
        boolean few = alive.size() < members - policy.maxAbsent(members);
        boolean begun = step > 0 || anyHasInEffect(now, plan.target());
        Action stop = begun ? Action.BACK : Action.CANCEL;
        for (int m : alive) {
            Report r = memberStates.get(m).report;
            if (r.knows(plan) && r.rejection() != null) {
                changeAction(now, stop, "member " + m + ": " + r.rejection());
                return;
            }
        }
        if (rollbackRequested) {
            rollbackRequested = false;
            changeAction(now, stop, "operators said so");
        } else if (anyHasInEffect(now, plan.rollback())) {
            changeAction(now, Action.BACK, "another took it back");
        } else if (now - stepSince > policy.stepTimeoutMs()) {
            changeAction(now, stop, few ? "only " + alive.size() + " of " + members + " are heard of" : statusText);
        } else if (few) {
            statusText = "step " + step + " waits: " + alive.size() + " of " + members + " are heard of";
        } else if (step == 0) {
            long staged = alive.stream().map(m -> memberStates.get(m).report).filter(r -> r.knows(plan) && r.staged())
                    .count();
            statusText = "staged at " + staged + " of " + alive.size();
            if (staged == alive.size()) {
                step = 1;
                enterStep(now, "staged at " + staged + ", step 1 of " + policy.steps().size());
            }
        } else {
            evaluateStep(now, alive);
        }
    }


    /** Ends the step once the selected members have the target in effect and were observed for long enough. */
    private void evaluateStep(double now, List<Integer> alive) {
        List<Integer> chosen = selectedMembers(now);
        boolean last = step == policy.steps().size();
        long moved = chosen.stream().filter(m -> hasInEffect(m, plan.target())).count();
        statusText = "step " + step + ": " + moved + " of " + chosen.size() + " act on it";
        if (moved < chosen.size()) {
            stepCompleteAt = Double.NaN;
            return;
        }
        if (Double.isNaN(stepCompleteAt)) {
            stepCompleteAt = now;
            alive.forEach(m -> memberStates.get(m).stepBaseline = memberStates.get(m).report);
        }
        if (now - stepCompleteAt < policy.observationMs() || last && !silentMembersOutOfService(now)) {
            return;
        }
        Verdict verdict = compareServedShares(alive);
        if (verdict == Verdict.TOO_FEW) {
            statusText = "step " + step + ": too few requests to judge by";
        } else if (verdict == Verdict.WORSE) {
            changeAction(now, Action.BACK, "fewer are served by those that act on it");
        } else if (last) {
            finish(now, "complete: all act on " + plan.target().text() + describeAbsent(now));
        } else {
            step++;
            enterStep(now, "step " + step + " of " + policy.steps().size());
        }
    }

    private String describeAbsent(double now) {
        List<Integer> away = IntStream.range(0, members).filter(m -> !isAlive(now, m)).boxed().toList();
        return away.isEmpty() ? "" : ", but for members " + away + ", of which nothing is heard";
    }

    private enum Verdict { GOOD, WORSE, TOO_FEW }

    /**
     * Compares the share of requests served since the step was complete: by members with the target in effect against
     * the share of the others, or the others' last known share.
     */
    private Verdict compareServedShares(List<Integer> alive) {
        if (policy.minSamples() == 0) {
            return Verdict.GOOD;
        }
        long[] moved = new long[2];
        long[] others = new long[2];
        for (int m : alive) {
            MemberState state = memberStates.get(m);
            if (state.stepBaseline != null) {
                long[] to = hasInEffect(m, plan.target()) ? moved : others;
                to[0] += state.report.served() - state.stepBaseline.served();
                to[1] += state.report.ended() - state.stepBaseline.ended();
            }
        }
        if (others[1] >= policy.minSamples()) {
            baselineShare = (double) others[0] / others[1];
        }
        boolean alone = alive.stream().allMatch(m -> hasInEffect(m, plan.target()));
        if (moved[1] < policy.minSamples() || Double.isNaN(baselineShare) && !alone) {
            return Verdict.TOO_FEW;
        }
        double servedShare = (double) moved[0] / moved[1];
        return servedShare < baselineShare - policy.maxDegradation() ? Verdict.WORSE : Verdict.GOOD;
    }

    private void advanceRollback(double now) {
        List<Integer> alive = aliveMembers(now);
        if (step == 1) {
            boolean gone = alive.stream().noneMatch(m -> hasInEffect(m, plan.target())
                    || toldForward.contains(m) && !hasInEffect(m, plan.rollback()));
            if (gone) {
                step = 2;
                enterStep(now, "nobody acts on " + plan.target().text() + " any more, all go to "
                        + plan.rollback().text());
            }
        } else if (2 * alive.size() <= members || !alive.stream().allMatch(m -> hasInEffect(m, plan.rollback()))) {
            stepCompleteAt = Double.NaN;
        } else {
            stepCompleteAt = Double.isNaN(stepCompleteAt) ? now : stepCompleteAt;
            if (silentMembersOutOfService(now)) {
                finish(now, "back: all act on " + plan.rollback().text() + describeAbsent(now));
            }
        }
    }

    /**
     * Returns the members that are to have the target in effect at this step: first those that have it or were ordered
     * to, then others in an order that is derived from the text.
     */
    private List<Integer> selectedMembers(double now) {
        return aliveMembers(now).stream().sorted(Comparator
                .comparing((Integer m) -> !(hasInEffect(m, plan.target()) || toldForward.contains(m)))
                .thenComparing(this::rank)).limit(policy.targetCount(step, members)).toList();
    }

    private long rank(int member) {
        long x = (plan.target().hashHigh() ^ member * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        return x ^ x >>> 29;
    }

    private Action actionFor(double now, int member) {
        return switch (action) {
            case FORWARD -> finished || step > 0 && selectedMembers(now).contains(member) ? Action.FORWARD
                    : Action.HOLD;
            case BACK -> finished || step > 1 || toldForward.contains(member) || hasInEffect(member, plan.target())
                    ? Action.BACK : Action.HOLD;
            default -> action;
        };
    }

    /** Describes the progress; operators are shown this text. */
    String explain() {
        return statusText;
    }
}
