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

    private static final double CALL_MS = 250;
    /** Who has reported within so long need not be called. */
    private static final double HEARD_MS = 400;
    private static final double COLLECT_MS = 1500;
    /** Who has not reported for so long is away. */
    private static final double SILENT_MS = 3000;
    /** For so long a roll's end is told to those that have not said that they know. */
    private static final double END_MS = 10_000;

    /** What was heard of a member last, and how its counts were when the step was whole. */
    private static final class Seen {
        Report report;
        double at;
        Report whole;
    }

    /** A roll that operators want. */
    record Wish(FileFingerprint target, FileFingerprint back) { }

    private final int self;
    private final int members;
    private final RolloutPolicy policy;
    private final Rollout.Callbacks out;
    private final Map<Integer, Seen> seen = new TreeMap<>();
    /** Who was told to act on the target. */
    private final Set<Integer> told = new HashSet<>();
    private Wish wish;
    private boolean wantsBack;
    private boolean holds;
    private long term;
    private int number;
    private boolean collecting;
    /** Somebody takes a roll for open while none is conducted here. */
    private boolean openElsewhere;
    private double since;
    private double callAt;
    private Plan plan;
    private Action way;
    private int step;
    private boolean over;
    private double wholeAt = Double.NaN;
    private double baselineShare = Double.NaN;
    private String words = "nothing";

    RolloutCoordinator(int self, int members, RolloutPolicy policy, Rollout.Callbacks out) {
        this.self = self;
        this.members = members;
        this.policy = policy;
        this.out = out;
    }

    /** Operators want a roll. */
    void wish(Wish next) {
        wish = next;
        words = "waits for the lease";
    }

    /** It will not be begun; says why. */
    void drop(String why) {
        words = "not begun: " + why;
        out.notifyOperators("the roll of " + wish.target().text() + " is " + words);
        wish = null;
    }

    /** Whether a roll is wanted that is not begun yet. */
    boolean isWished() {
        return wish != null;
    }

    /** Whether a roll is conducted here now. */
    boolean isOpen() {
        return plan != null || collecting;
    }

    /** What is conducted; null for nothing. */
    Plan plan() {
        return plan;
    }

    /** Operators want the roll that is under way to go back. */
    boolean goBack() {
        if (plan == null || over || way != Action.FORWARD) {
            return false;
        }
        wantsBack = true;
        return true;
    }

    /** This proxy holds the lease, under this term. */
    void tick(double now, long under, Report own) {
        if (under != term || !holds) {
            begin(now, under);
        }
        reported(now, self, own);
        if (now >= callAt && isOpen()) {
            callAt = now + CALL_MS;
            for (int m = 0; m < members; m++) {
                if (m != self && (!seen.containsKey(m) || now - seen.get(m).at > HEARD_MS)) {
                    out.sendMessage(m, new RolloutMessage.ReportRequest(term));
                }
            }
        }
        if (collecting) {
            collect(now);
        } else if (plan == null && (wish != null || openElsewhere)) {
            begin(now, under);
        }
        if (plan != null) {
            advance(now);
        }
    }

    private void begin(double now, long under) {
        number = under == term ? number : 0;
        term = under;
        holds = true;
        collecting = true;
        openElsewhere = false;
        since = now;
        callAt = now;
        plan = null;
        over = false;
        seen.clear();
        told.clear();
        baselineShare = Double.NaN;
        wantsBack = false;
    }

    /** It does not hold the lease any more; somebody else goes on. */
    void lost() {
        if (isOpen()) {
            words = "another goes on with it";
        }
        collecting = false;
        plan = null;
        holds = false;
    }

    /** Whether it was told that it holds the lease, under this term. */
    boolean isUnder(long under) {
        return holds && under == term;
    }

    /** A member has said how it is; returns what it is told, or null where there is nothing to be told yet. */
    RolloutMessage.Order reported(double now, int from, Report report) {
        Seen s = seen.computeIfAbsent(from, m -> new Seen());
        boolean again = s.report != null && s.report.incarnation() == report.incarnation();
        if (again && report.timestamp() - s.report.timestamp() < 0) {
            return null;
        }
        if (!again) {
            s.whole = null;
        }
        s.report = report;
        s.at = now;
        if (plan == null) {
            openElsewhere |= !collecting && report.progress() != null && !report.progress().finished();
            return null;
        }
        Action what = whatFor(now, from);
        if (what == Action.FORWARD) {
            told.add(from);
        }
        number++;
        return new RolloutMessage.Order(report.timestamp(), report.incarnation(), new Progress(plan, term, number, way, step, over), what);
    }

    private boolean isAlive(double now, int member) {
        Seen s = seen.get(member);
        return s != null && now - s.at <= SILENT_MS;
    }

    private List<Integer> alive(double now) {
        return seen.keySet().stream().filter(m -> isAlive(now, m)).toList();
    }

    /** How many members have said something of themselves that is so; no matter when. */
    private long count(Predicate<Report> of) {
        return seen.values().stream().filter(s -> of.test(s.report)).count();
    }

    private boolean actsOn(int member, FileFingerprint stamp) {
        return stamp.matches(seen.get(member).report.version());
    }

    private boolean anyActsOn(double now, FileFingerprint stamp) {
        return alive(now).stream().anyMatch(m -> actsOn(m, stamp));
    }

    /** Whether those of which nothing is heard have had the time to step aside, since all others were where they are to be. */
    private boolean restIsOut(double now) {
        for (int m = 0; m < members; m++) {
            Seen s = seen.get(m);
            if (!isAlive(now, m) && now - Math.max(wholeAt, s == null ? since : s.at) <= policy.outOfServiceMs()) {
                return false;
            }
        }
        return true;
    }

    private void collect(double now) {
        boolean enough = seen.size() == members || now - since >= COLLECT_MS && 2 * seen.size() > members;
        if (!enough) {
            words = "hears from " + seen.size() + " of " + members;
            return;
        }
        collecting = false;
        Progress latest = null;
        for (Seen s : seen.values()) {
            if (s.report.progress() != null && s.report.progress().isLaterThan(latest)) {
                latest = s.report.progress();
            }
        }
        if (latest != null && (!latest.finished() || anyReportsOpenRollout())) {
            plan = latest.plan();
            over = latest.finished();
            way = over ? latest.action() : turned(latest.action());
            step = way == Action.FORWARD || over ? latest.step() : 1;
            stepped(now, "goes on with " + plan.target().text() + " at step " + step);
            if (wish != null) {
                drop("that of " + plan.target().text() + " is under way");
            }
        } else if (wish != null) {
            beginWished(now);
        }
    }

    /** Once anybody knows that a roll goes no further it does not, whoever conducts. */
    private Action turned(Action best) {
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
    private void beginWished(double now) {
        Set<FileVersion> bases = seen.values().stream().map(s -> s.report).filter(r -> !r.outOfService()).map(Report::version).collect(Collectors.toSet());
        // Numbers of rolls that were given up stay used: somebody of whom nothing is heard may have acted on them.
        int highest = seen.values().stream().map(s -> s.report).mapToInt(r -> Math.max(r.version().number(), r.progress() == null ? 0
                : r.progress().plan().rollback().number())).max().orElse(0);
        if (bases.size() != 1 || highest >= wish.target().number()) {
            drop(bases.size() != 1 ? "the fleet acts under " + bases.stream().map(FileVersion::text).sorted().collect(Collectors.joining(" and "))
                    : "number " + highest + " is known already");
            return;
        }
        plan = new Plan(bases.iterator().next(), wish.target(), wish.back());
        wish = null;
        way = Action.FORWARD;
        over = false;
        step = 0;
        stepped(now, "begins with " + plan.target().text());
    }

    private void stepped(double now, String what) {
        since = now;
        wholeAt = Double.NaN;
        seen.values().forEach(s -> s.whole = null);
        words = what;
        out.notifyOperators(what);
    }

    private void turn(double now, Action next, String why) {
        way = next;
        step = 1;
        stepped(now, (next == Action.BACK ? "goes back from " : "gives up ") + plan.target().text() + ": " + why);
    }

    private void end(double now, String what) {
        over = true;
        stepped(now, what);
    }

    private void advance(double now) {
        if (over) {
            List<Integer> alive = alive(now);
            boolean allKnow = alive.stream().map(m -> seen.get(m).report).allMatch(r -> r.knows(plan) && r.progress().finished());
            if (allKnow || now - since > END_MS) {
                plan = null;
            }
            return;
        }
        switch (way) {
            case FORWARD -> forward(now);
            case BACK -> back(now);
            default -> {
                // Most have to know before it is said: whoever goes on with it hears of that from one of them.
                if (anyActsOn(now, plan.target()) || anyActsOn(now, plan.rollback())) {
                    turn(now, Action.BACK, "one acts on it already");
                } else if (2 * count(r -> r.knows(plan) && r.progress().action() == Action.CANCEL) > members) {
                    end(now, "given up, nobody acted on " + plan.target().text());
                }
            }
        }
    }

    private void forward(double now) {
        List<Integer> alive = alive(now);
        boolean few = alive.size() < members - policy.away(members);
        boolean begun = step > 0 || anyActsOn(now, plan.target());
        Action stop = begun ? Action.BACK : Action.CANCEL;
        for (int m : alive) {
            Report r = seen.get(m).report;
            if (r.knows(plan) && r.rejection() != null) {
                turn(now, stop, "member " + m + ": " + r.rejection());
                return;
            }
        }
        if (wantsBack) {
            wantsBack = false;
            turn(now, stop, "operators said so");
        } else if (anyActsOn(now, plan.rollback())) {
            turn(now, Action.BACK, "another took it back");
        } else if (now - since > policy.stepTimeoutMs()) {
            turn(now, stop, few ? "only " + alive.size() + " of " + members + " are heard of" : words);
        } else if (few) {
            words = "step " + step + " waits: " + alive.size() + " of " + members + " are heard of";
        } else if (step == 0) {
            long staged = alive.stream().map(m -> seen.get(m).report).filter(r -> r.knows(plan) && r.staged()).count();
            words = "staged at " + staged + " of " + alive.size();
            if (staged == alive.size()) {
                step = 1;
                stepped(now, "staged at " + staged + ", step 1 of " + policy.steps().size());
            }
        } else {
            moved(now, alive);
        }
    }

    private void moved(double now, List<Integer> alive) {
        List<Integer> chosen = chosen(now);
        boolean last = step == policy.steps().size();
        long moved = chosen.stream().filter(m -> actsOn(m, plan.target())).count();
        words = "step " + step + ": " + moved + " of " + chosen.size() + " act on it";
        if (moved < chosen.size()) {
            wholeAt = Double.NaN;
            return;
        }
        if (Double.isNaN(wholeAt)) {
            wholeAt = now;
            alive.forEach(m -> seen.get(m).whole = seen.get(m).report);
        }
        if (now - wholeAt < policy.observationMs() || last && !restIsOut(now)) {
            return;
        }
        Verdict verdict = judge(alive);
        if (verdict == Verdict.TOO_FEW) {
            words = "step " + step + ": too few requests to judge by";
        } else if (verdict == Verdict.WORSE) {
            turn(now, Action.BACK, "fewer are served by those that act on it");
        } else if (last) {
            end(now, "complete: all act on " + plan.target().text() + awayWords(now));
        } else {
            step++;
            stepped(now, "step " + step + " of " + policy.steps().size());
        }
    }

    private String awayWords(double now) {
        List<Integer> away = IntStream.range(0, members).filter(m -> !isAlive(now, m)).boxed().toList();
        return away.isEmpty() ? "" : ", but for members " + away + ", of which nothing is heard";
    }

    private enum Verdict { GOOD, WORSE, TOO_FEW }

    /** Holds what those that moved served since the step was whole against what the others did, or did last. */
    private Verdict judge(List<Integer> alive) {
        if (policy.minSamples() == 0) {
            return Verdict.GOOD;
        }
        long[] moved = new long[2];
        long[] others = new long[2];
        for (int m : alive) {
            Seen s = seen.get(m);
            if (s.whole != null) {
                long[] to = actsOn(m, plan.target()) ? moved : others;
                to[0] += s.report.served() - s.whole.served();
                to[1] += s.report.ended() - s.whole.ended();
            }
        }
        if (others[1] >= policy.minSamples()) {
            baselineShare = (double) others[0] / others[1];
        }
        boolean alone = alive.stream().allMatch(m -> actsOn(m, plan.target()));
        if (moved[1] < policy.minSamples() || Double.isNaN(baselineShare) && !alone) {
            return Verdict.TOO_FEW;
        }
        double servedShare = (double) moved[0] / moved[1];
        return servedShare < baselineShare - policy.maxDegradation() ? Verdict.WORSE : Verdict.GOOD;
    }

    private void back(double now) {
        List<Integer> alive = alive(now);
        if (step == 1) {
            boolean gone = alive.stream().noneMatch(m -> actsOn(m, plan.target()) || told.contains(m) && !actsOn(m, plan.rollback()));
            if (gone) {
                step = 2;
                stepped(now, "nobody acts on " + plan.target().text() + " any more, all go to " + plan.rollback().text());
            }
        } else if (2 * alive.size() <= members || !alive.stream().allMatch(m -> actsOn(m, plan.rollback()))) {
            wholeAt = Double.NaN;
        } else {
            wholeAt = Double.isNaN(wholeAt) ? now : wholeAt;
            if (restIsOut(now)) {
                end(now, "back: all act on " + plan.rollback().text() + awayWords(now));
            }
        }
    }

    /** Who is to act on the target at this step: who does, and others in an order that follows from the text. */
    private List<Integer> chosen(double now) {
        return alive(now).stream().sorted(Comparator.comparing((Integer m) -> !(actsOn(m, plan.target()) || told.contains(m))).thenComparing(this::rank))
                .limit(policy.upTo(step, members)).toList();
    }

    private long rank(int member) {
        long x = (plan.target().hashHigh() ^ member * 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        return x ^ x >>> 29;
    }

    private Action whatFor(double now, int member) {
        return switch (way) {
            case FORWARD -> over || step > 0 && chosen(now).contains(member) ? Action.FORWARD : Action.HOLD;
            case BACK -> over || step > 1 || told.contains(member) || actsOn(member, plan.target()) ? Action.BACK : Action.HOLD;
            default -> way;
        };
    }

    /** In words. */
    String explain() {
        return words;
    }
}
