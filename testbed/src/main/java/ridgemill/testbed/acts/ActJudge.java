package ridgemill.testbed.acts;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Says from what a receiver saw, and from what was done to the fleet, whether two ever acted at once. It knows nothing of how
 * the fleet agrees on who may act.
 *
 * <ul>
 * <li>A term is of one holder, and of one task's holders none acts under a term lower than its own before.
 * <li>Acts of two holders that took effect do not overlap, and come in the order of their terms.
 * <li>An act that the receiver had to refuse for its term was sent by one that should have known better, unless its process
 * had just gone on after a stop, or its clock had stood still: what it checked had passed when it sent.
 * </ul>
 */
public final class ActJudge {

    /** What is wrong, with the acts that show it. */
    public record Fault(String rule, String what) {
        @Override
        public String toString() {
            return rule + ": " + what;
        }
    }

    /**
     * What was found.
     *
     * @param acts that were received
     * @param holders different ones that acted, each start of a process one of its own
     * @param refused acts that were refused by their term and whose sender had been stopped, or slept
     * @param faults empty if no two acted at once
     */
    public record Verdict(int acts, int holders, int refused, List<Fault> faults) {}

    /** What a process that goes on needs at most to see that time has passed: it may be in the middle of a write. */
    private final double graceMs;

    private final double sleptMs;

    /** {@code sleptMs} is for how long at most one may act on what a clock that stood still has told it. */
    public ActJudge(double graceMs, double sleptMs) {
        this.graceMs = graceMs;
        this.sleptMs = sleptMs;
    }

    /** Judges all acts on a history. */
    public Verdict judge(List<Act> acts, History history) {
        List<Fault> faults = new ArrayList<>();
        int refused = 0;
        for (List<Act> of :
                acts.stream().collect(Collectors.groupingBy(Act::task)).values()) {
            terms(of, faults);
            effects(of, faults);
            for (Act act : of) {
                if (act.accepted()) {
                    continue;
                }
                if (excused(act, history)) {
                    refused++;
                } else {
                    faults.add(new Fault("acted-late", act + " after another had acted under a higher term"));
                }
            }
        }
        return new Verdict(
                acts.size(), (int) acts.stream().map(Act::holder).distinct().count(), refused, faults);
    }

    private boolean excused(Act act, History history) {
        String process = act.holder().contains("#")
                ? act.holder().substring(0, act.holder().indexOf('#'))
                : act.holder();
        return history.met(process, History.What.WENT_ON, act.firstAt() - graceMs, act.lastAt())
                || history.met(process, History.What.CLOCK_STEP, act.firstAt() - sleptMs, act.lastAt());
    }

    private static void terms(List<Act> acts, List<Fault> faults) {
        Map<Long, String> holders = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Act act : inOrder(acts)) {
            String before = holders.putIfAbsent(act.term(), act.holder());
            if (before != null && !before.equals(act.holder())) {
                faults.add(new Fault("term-repeats", act + ", a term of " + before));
            }
            Long own = highest.get(act.holder());
            if (own != null && act.term() < own) {
                faults.add(new Fault("term-falls", act + " after its own " + own));
            }
            highest.merge(act.holder(), act.term(), Math::max);
        }
    }

    private static void effects(List<Act> acts, List<Fault> faults) {
        List<Act> took = inOrder(acts).stream().filter(Act::accepted).toList();
        for (int i = 1; i < took.size(); i++) {
            Act before = took.get(i - 1);
            Act act = took.get(i);
            if (act.term() < before.term()) {
                faults.add(new Fault("term-falls", act + " after " + before));
            }
            if (!act.holder().equals(before.holder()) && act.firstAt() < before.lastAt()) {
                faults.add(new Fault("overlap", before + " and " + act));
            }
        }
    }

    private static List<Act> inOrder(List<Act> acts) {
        return acts.stream().sorted(Comparator.comparingDouble(Act::firstAt)).toList();
    }
}
