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
 * Takes a version through the fleet while this proxy holds the lease. It first hears from most members how far a roll is that
 * another began, and goes on with that one; what it decides is told in answers to their reports, to each what it is to do.
 *
 * <p>At most two texts act at once: nobody is told to act on the target before all that are heard of, and enough of all, have
 * checked both texts; on the way back those that act on the target go first, to the base's text under a new number.
 */
final class RolloutCoordinator {

    private static final double REPORT_REQUEST_INTERVAL_MS = 250;
    /** Who has reported within so long need not be called. */
    private static final double RECENT_REPORT_MS = 400;
    private static final double COLLECT_TIMEOUT_MS = 1500;
    /** Who has not reported for so long is away. */
    private static final double MEMBER_TIMEOUT_MS = 3000;
    /** For so long a roll's end is told to those that have not said that they know. */
    private static final double FINISH_ANNOUNCE_MS = 10_000;

    /** What was heard of a member last, and how its counts were when the step was whole. */
    private static final class MemberState {
        Report report;
        double reportedAt;
        Report stepBaseline;
    }

    /** A roll that operators want. */
    record Request(FileFingerprint target, FileFingerprint rollback) { }

    private final int self;
    private final int members;
    private final RolloutPolicy policy;
    private final Rollout.Callbacks callbacks;
    private final Map<Integer, MemberState> memberStates = new TreeMap<>();
    /** Who was told to act on the target. */
    private final Set<Integer> toldForward = new HashSet<>();
    private Request request;
    private boolean rollbackRequested;
    private boolean holdsLease;
    private long term;
    private int sequence;
    private boolean collecting;
    /** Somebody takes a roll for open while none is conducted here. */
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

    RolloutCoordinator(int self, int members, RolloutPolicy policy, Rollout.Callbacks out) {
        this.self = self;
        this.members = members;
        this.policy = policy;
        this.callbacks = out;
    }

    /** Operators want a roll. */
    void requestRollout(Request next) {
        request = next;
        statusText = "waits for the lease";
    }

    /** It will not be begun; says why. */
    void dropRequest(String why) {
        statusText = "not begun: " + why;
        callbacks.notifyOperators("the roll of " + request.target().text() + " is " + statusText);
        request = null;
    }

    /** Whether a roll is wanted that is not begun yet. */
    boolean hasRequest() {
        return request != null;
    }

    /** Whether a roll is conducted here now. */
    boolean isActive() {
        return plan != null || collecting;
    }

    /** What is conducted; null for nothing. */
    Plan plan() {
        return plan;
    }

    /** Operators want the roll that is under way to go back. */
    boolean requestRollback() {
        if (plan == null || finished || action != Action.FORWARD) {
            return false;
        }
        rollbackRequested = true;
        return true;
    }

    /** This proxy holds the lease, under this term. */
    void tick(double now, long under, Report own) {
        if (under != term || !holdsLease) {
            takeOver(now, under);
        }
        receiveReport(now, self, own);
        if (now >= nextReportRequestAt && isActive()) {
            nextReportRequestAt = now + REPORT_REQUEST_INTERVAL_MS;
            for (int m = 0; m < members; m++) {
                if (m != self && (!memberStates.containsKey(m) || now - memberStates.get(m).reportedAt > RECENT_REPORT_MS)) {
                    callbacks.sendMessage(m, new RolloutMessage.ReportRequest(term));
                }
            }
        }
        if (collecting) {
            collectReports(now);
        } else if (plan == null && (request != null || openRolloutReported)) {
            takeOver(now, under);
        }
        if (plan != null) {
            advance(now);
        }
    }

    private void takeOver(double now, long under) {
        sequence = under == term ? sequence : 0;
        term = under;
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

    /** It does not hold the lease any more; somebody else goes on. */
    void leaseLost() {
        if (isActive()) {
            statusText = "another goes on with it";
        }
        collecting = false;
        plan = null;
        holdsLease = false;
    }

    /** Whether it was told that it holds the lease, under this term. */
    boolean holdsTerm(long under) {
        return holdsLease && under == term;
    }

    /** A member has said how it is; returns what it is told, or null where there is nothing to be told yet. */
    RolloutMessage.Order receiveReport(double now, int from, Report report) {
        MemberState s = memberStates.computeIfAbsent(from, m -> new MemberState());
        boolean again = s.report != null && s.report.incarnation() == report.incarnation();
        if (again && report.timestamp() - s.report.timestamp() < 0) {
            return null;
        }
        if (!again) {
            s.stepBaseline = null;
        }
        s.report = report;
        s.reportedAt = now;
        if (plan == null) {
            openRolloutReported |= !collecting && report.progress() != null && !report.progress().finished();
            return null;
        }
        Action what = actionFor(now, from);
        if (what == Action.FORWARD) {
            toldForward.add(from);
        }
        sequence++;
        return new RolloutMessage.Order(report.timestamp(), report.incarnation(), new Progress(plan, term, sequence, action, step, finished), what);
    }

    private boolean isAlive(double now, int member) {
        MemberState s = memberStates.get(member);
        return s != null && now - s.reportedAt <= MEMBER_TIMEOUT_MS;
    }

    private List<Integer> aliveMembers(double now) {
        return memberStates.keySet().stream().filter(m -> isAlive(now, m)).toList();
    }

    /** How many members have said something of themselves that is so; no matter when. */
    private long count(Predicate<Report> of) {
        return memberStates.values().stream().filter(s -> of.test(s.report)).count();
    }

    private boolean hasInEffect(int member, FileFingerprint stamp) {
        return stamp.matches(memberStates.get(member).report.version());
    }

    private boolean anyHasInEffect(double now, FileFingerprint stamp) {
        return aliveMembers(now).stream().anyMatch(m -> hasInEffect(m, stamp));
    }

    /** Whether those of which nothing is heard have had the time to step aside, since all others were where they are to be. */
    private boolean silentMembersOutOfService(double now) {
        for (int m = 0; m < members; m++) {
            MemberState s = memberStates.get(m);
            if (!isAlive(now, m) && now - Math.max(stepCompleteAt, s == null ? stepSince : s.reportedAt) <= policy.outOfServiceMs()) {
                return false;
            }
        }
        return true;
    }

    private void collectReports(double now) {
        boolean enough = memberStates.size() == members || now - stepSince >= COLLECT_TIMEOUT_MS && 2 * memberStates.size() > members;
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

    /** Once anybody knows that a roll goes no further it does not, whoever conducts. */
    private Action stoppedActionOr(Action best) {
        for (Action turned : List.of(Action.BACK, Action.CANCEL)) {
            if (count(r -> r.knows(plan) && r.progress().action() == turned) > 0) {
                return turned;
            }
        }
        return best;
    }

    /** Whether somebody takes a roll for open, where the latest is over: it has to hear of that one. */
    private boolean anyReportsOpenRollout() {
        return count(r -> r.progress() != null && !r.progress().finished()) > 0;
    }

    /** Begins the roll that operators want, where all that are not out act under one version. */
    private void startRequested(double now) {
        Set<FileVersion> bases = memberStates.values().stream().map(s -> s.report).filter(r -> !r.outOfService()).map(Report::version).collect(Collectors.toSet());
        // Numbers of rolls that were given up stay used: somebody of whom nothing is heard may have acted on them.
        int highest = memberStates.values().stream().map(s -> s.report).mapToInt(r -> Math.max(r.version().number(), r.progress() == null ? 0
                : r.progress().plan().rollback().number())).max().orElse(0);
        if (bases.size() != 1 || highest >= request.target().number()) {
            dropRequest(bases.size() != 1 ? "the fleet acts under " + bases.stream().map(FileVersion::text).sorted().collect(Collectors.joining(" and "))
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

    private void enterStep(double now, String what) {
        stepSince = now;
        stepCompleteAt = Double.NaN;
        memberStates.values().forEach(s -> s.stepBaseline = null);
        statusText = what;
        callbacks.notifyOperators(what);
    }

    private void changeAction(double now, Action next, String why) {
        action = next;
        step = 1;
        enterStep(now, (next == Action.BACK ? "goes back from " : "gives up ") + plan.target().text() + ": " + why);
    }

    private void finish(double now, String what) {
        finished = true;
        enterStep(now, what);
    }

    private void advance(double now) {
        if (finished) {
            List<Integer> alive = aliveMembers(now);
            boolean allKnow = alive.stream().map(m -> memberStates.get(m).report).allMatch(r -> r.knows(plan) && r.progress().finished());
            if (allKnow || now - stepSince > FINISH_ANNOUNCE_MS) {
                plan = null;
            }
            return;
        }
        switch (action) {
            case FORWARD -> advanceForward(now);
            case BACK -> advanceRollback(now);
            default -> {
                // Most have to know before it is said: whoever goes on with it hears of that from one of them.
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
            long staged = alive.stream().map(m -> memberStates.get(m).report).filter(r -> r.knows(plan) && r.staged()).count();
            statusText = "staged at " + staged + " of " + alive.size();
            if (staged == alive.size()) {
                step = 1;
                enterStep(now, "staged at " + staged + ", step 1 of " + policy.steps().size());
            }
        } else {
            evaluateStep(now, alive);
        }
    }

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

    /** Holds what those that moved served since the step was whole against what the others did, or did last. */
    private Verdict compareServedShares(List<Integer> alive) {
        if (policy.minSamples() == 0) {
            return Verdict.GOOD;
        }
        long[] moved = new long[2];
        long[] others = new long[2];
        for (int m : alive) {
            MemberState s = memberStates.get(m);
            if (s.stepBaseline != null) {
                long[] to = hasInEffect(m, plan.target()) ? moved : others;
                to[0] += s.report.served() - s.stepBaseline.served();
                to[1] += s.report.ended() - s.stepBaseline.ended();
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
            boolean gone = alive.stream().noneMatch(m -> hasInEffect(m, plan.target()) || toldForward.contains(m) && !hasInEffect(m, plan.rollback()));
            if (gone) {
                step = 2;
                enterStep(now, "nobody acts on " + plan.target().text() + " any more, all go to " + plan.rollback().text());
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

    /** Who is to act on the target at this step: who does, and others in an order that follows from the text. */
    private List<Integer> selectedMembers(double now) {
        return aliveMembers(now).stream().sorted(Comparator.comparing((Integer m) -> !(hasInEffect(m, plan.target()) || toldForward.contains(m))).thenComparing(this::rank))
                .limit(policy.targetCount(step, members)).toList();
    }

    private long rank(int member) {
        long x = (plan.target().hashHigh() ^ member * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        return x ^ x >>> 29;
    }

    private Action actionFor(double now, int member) {
        return switch (action) {
            case FORWARD -> finished || step > 0 && selectedMembers(now).contains(member) ? Action.FORWARD : Action.HOLD;
            case BACK -> finished || step > 1 || toldForward.contains(member) || hasInEffect(member, plan.target()) ? Action.BACK : Action.HOLD;
            default -> action;
        };
    }

    /** In words. */
    String explain() {
        return statusText;
    }
}
