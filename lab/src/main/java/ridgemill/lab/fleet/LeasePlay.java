package ridgemill.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import ridgemill.lab.fleet.Timeline.Step;
import ridgemill.testbed.acts.Act;
import ridgemill.testbed.acts.ActJudge;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.acts.History;

/**
 * Plays timelines on a fleet whose one task calls a receiver again and again under its lease, and judges what the receiver saw. A
 * play leaves the fleet whole again, so that the next one may follow.
 */
public final class LeasePlay {

    /** A process that has just gone on may be in the middle of a write. */
    private static final double GRACE_MS = 200;
    private static final int LOOK_MS = 20;
    private static final long PATIENCE_S = 90;

    /**
     * The times of a fleet's leases, in milliseconds.
     *
     * @param marginMs what a holder may be held up; more than a busy machine holds up any process
     * @param actMs how long one act may take; so often, too, one is begun
     */
    public record Times(double lengthMs, double drift, double marginMs, double answerMs, double actMs) {

        /** Quick ones, for a machine that has little else to do. */
        public static final Times QUICK = new Times(1000, 0.05, 200, 40, 100);
        /** Ones that bear a busy machine. */
        public static final Times PATIENT = new Times(2000, 0.05, 600, 60, 200);

        /** Ones under which little is between a holder's time and its voters': for mutants, on a machine that has nothing else to do. */
        public static final Times TIGHT = new Times(2500, 0.05, 80, 40, 100);

        /** How long until somebody holds, once all faults are over: a vote, a start's quiet and its hearing, some clashes. */
        double healedMs() {
            return 4 * lengthMs + 40 * answerMs;
        }

        /** The section of an operator file that says so; more of it may follow. */
        String section() {
            return """
                    [leases]
                    length = "%.0fms"
                    drift = %s
                    margin = "%.0fms"
                    answer = "%.0fms"
                    """.formatted(lengthMs, drift, marginMs, answerMs);
        }

        /** The operator file of each proxy. */
        public String operatorFile() {
            return """
                    [control]
                    socket = "{dir}/{name}.sock"
                    """ + section() + """
                    [leases.calls.sweep]
                    to = ["{acts}"]
                    path = "/sweep"
                    every = "40ms"
                    within = "%.0fms"
                    """.formatted(actMs);
        }
    }

    /**
     * What came of one play.
     *
     * @param verdict on the acts that came meanwhile
     * @param heldShare the part of the time in which somebody acted
     * @param healedMs from when all faults were over to the next act; negative if none came in time
     * @param latenessMs how late the rig itself ran at worst: past the margin, nothing is proved either way
     * @param stolenMs how much of a processor the machine's host took at worst: past the margin, a holder was held up for longer than is claimed
     */
    public record Result(ActJudge.Verdict verdict, double heldShare, double healedMs, double latenessMs, double stolenMs) {

        /** Whether the claim stood: nobody acted beside another, and somebody did again. */
        public boolean passed() {
            return verdict.faults().isEmpty() && healedMs >= 0;
        }
    }

    private final FleetRig rig;
    private final Times times;
    private int lastStruck;
    private final List<CompletableFuture<Void>> starting = new ArrayList<>();
    private final Map<Integer, CompletableFuture<Void>> turns = new HashMap<>();

    public LeasePlay(FleetRig rig, Times times) {
        this.rig = rig;
        this.times = times;
    }

    /** Waits until somebody acts; false if nobody does in the time that a fleet without faults needs. */
    public boolean awaitAct() throws InterruptedException {
        return nextAct(rig.bed().ledger().now(), times.healedMs()) >= 0;
    }

    /** How long after a time the next act took effect; negative if none did within so long. */
    private double nextAct(double from, double withinMs) throws InterruptedException {
        while (rig.bed().ledger().now() < from + withinMs) {
            for (Act act : rig.acts().acts()) {
                if (act.accepted() && act.firstAt() >= from) {
                    return act.firstAt() - from;
                }
            }
            // Nothing tells of an act but the receiver's own list.
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return -1;
    }

    /** Plays one timeline, heals all, and judges. */
    public Result play(Timeline timeline) throws Exception {
        rig.bed().forgetLateness();
        double from = rig.bed().ledger().now();
        for (Step step : timeline.steps()) {
            // The timeline is the play's own clock: this waits for its next entry and for nothing else.
            TimeUnit.MICROSECONDS.sleep((long) Math.max(0, 1e3 * (from + step.atMs() - rig.bed().ledger().now())));
            act(step);
        }
        heal();
        double healed = rig.bed().ledger().now();
        double after = nextAct(healed, times.healedMs());
        List<Act> acts = rig.acts().acts().stream().filter(a -> a.firstAt() >= from).toList();
        ActJudge.Verdict verdict = new ActJudge(GRACE_MS, 2 * times.lengthMs()).judge(acts, rig.history());
        return new Result(verdict, heldShare(acts, from, healed), after, rig.bed().ownLatenessMs(), rig.bed().stolenMs());
    }

    private void act(Step step) throws Exception {
        int who = step.who().isEmpty() ? 0 : struck(step.who().get(0), step.action());
        switch (step.action()) {
            case STOP -> rig.stop(who);
            case CONTINUE -> rig.goOn(who);
            case SLEEP -> rig.goOn(who, Double.MAX_VALUE);
            case KILL -> rig.kill(who);
            case START -> start(who);
            case TERM -> aside(who, () -> rig.terminate(who));
            case CLOCK -> rig.clockRate(who, step.numbers().get(0));
            case CUT -> rig.net().change(who, struck(step.who().get(1), step.action()), w -> w.cut(true));
            case ISOLATE -> {
                rig.history().note(FleetRig.name(who), What.NETWORK, "isolated");
                rig.net().split(List.of(who));
            }
            case NETWORK -> rig.net().change(w -> w.loss(step.numbers().get(0)).delay(0, step.numbers().get(1)).doubled(step.numbers().get(2)));
            case NOISE -> rig.net().change(w -> w.replayed(step.numbers().get(0)).flipped(step.numbers().get(1)));
            case CLEAR -> rig.net().change(w -> w.cut(false));
        }
    }

    /** Whom a step names: where that is the holder, it is looked up when it strikes, and kept until it is healed. */
    private int struck(int who, Timeline.Action action) {
        if (who == Timeline.HOLDER && action != Timeline.Action.CONTINUE && action != Timeline.Action.SLEEP && action != Timeline.Action.START) {
            List<Act> acts = rig.acts().acts();
            String holder = acts.isEmpty() ? "p0#" : acts.get(acts.size() - 1).holder();
            lastStruck = Integer.parseInt(holder.substring(1, holder.indexOf('#')));
        }
        return who >= 0 ? who : (lastStruck + Timeline.HOLDER - who) % rig.size();
    }

    private interface Task {
        void run() throws Exception;
    }

    private void start(int who) {
        aside(who, () -> rig.start(who));
    }

    /** Starts and planned ends take seconds, and the timeline goes on meanwhile; those of one proxy take turns. */
    private void aside(int who, Task task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        CompletableFuture<Void> last = turns.put(who, done);
        CompletableFuture<Void> before = last == null ? CompletableFuture.completedFuture(null) : last;
        starting.add(done);
        Thread thread = new Thread(() -> {
            try {
                before.handle((v, e) -> v).join();
                task.run();
                done.complete(null);
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        }, "rig-task");
        thread.setDaemon(true);
        thread.start();
    }

    private void heal() throws Exception {
        rig.net().set(0, 0);
        for (int i = 0; i < rig.size(); i++) {
            rig.goOn(i);
        }
        for (CompletableFuture<Void> s : List.copyOf(starting)) {
            s.get(PATIENCE_S, TimeUnit.SECONDS);
        }
        starting.clear();
        for (int i = 0; i < rig.size(); i++) {
            start(i);
        }
        for (CompletableFuture<Void> s : List.copyOf(starting)) {
            s.get(PATIENCE_S, TimeUnit.SECONDS);
        }
        starting.clear();
        for (int i = 0; i < rig.size(); i++) {
            rig.clockRate(i, 1);
        }
    }

    /** The part of the time after which an act follows within three times as long as acts are apart. */
    private double heldShare(List<Act> acts, double from, double to) {
        double most = 3 * 40 + times.actMs();
        double held = 0;
        double last = Double.NEGATIVE_INFINITY;
        for (Act act : acts.stream().filter(Act::accepted).sorted(Comparator.comparingDouble(Act::firstAt)).toList()) {
            if (act.firstAt() > to) {
                break;
            }
            held += act.firstAt() - last <= most ? act.firstAt() - Math.max(from, last) : 0;
            last = act.firstAt();
        }
        return Math.min(1, held / (to - from));
    }

    /**
     * How long it took from a fault at the holder to the next holder's first act, by what befell it.
     *
     * @param history of a fleet
     * @param acts that its receiver saw
     */
    public static Map<String, List<Double>> takeovers(History history, List<Act> acts) {
        Map<String, List<Double>> by = new TreeMap<>();
        List<Act> took = acts.stream().filter(Act::accepted).sorted(Comparator.comparingDouble(Act::firstAt)).toList();
        for (History.Event e : history.events()) {
            if (e.what() != What.STOPPED && e.what() != What.KILLED && e.what() != What.TERMINATED && e.what() != What.NETWORK) {
                continue;
            }
            Act last = null;
            for (Act act : took) {
                if (act.firstAt() <= e.at()) {
                    last = act;
                    continue;
                }
                boolean held = last != null && last.holder().startsWith(e.who() + "#") && e.at() - last.firstAt() < 400;
                if (held && !act.holder().equals(last.holder())) {
                    by.computeIfAbsent(e.what() == What.NETWORK ? "ISOLATED" : e.what().name(), k -> new ArrayList<>()).add(act.firstAt() - e.at());
                }
                if (!held || !act.holder().equals(last.holder())) {
                    break;
                }
            }
        }
        return by;
    }
}
