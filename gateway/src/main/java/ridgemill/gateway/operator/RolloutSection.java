package ridgemill.gateway.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ridgemill.gateway.rollout.RolloutSettings;
import ridgemill.rollout.Quarantine.CutOffAction;
import ridgemill.rollout.Quarantine.Limits;
import ridgemill.rollout.RolloutPolicy;
import ridgemill.version.FleetView;

/** {@code [rollout]}: how a version goes through the fleet, and when a proxy steps aside. */
final class RolloutSection {

    private static final Pattern SHARE = Pattern.compile("([0-9]{1,3})%");
    private static final double PERCENT = 100;
    private static final int MOST_SAMPLES = 1_000_000;
    private static final double MOST_OUT = 0.49;
    /** For gossip, looks and clocks that differ. */
    private static final double SLACK_MS = 4000;

    private RolloutSection() { }

    static RolloutSettings read(Section root) {
        return root.table("rollout").map(RolloutSection::settings).orElse(null);
    }

    private static RolloutSettings settings(Section s) {
        RolloutPolicy usual = RolloutPolicy.DEFAULT;
        Limits bounds = Limits.DEFAULT;
        double behind = s.duration("behind").orElse(bounds.maxLagMs());
        double cutOffAfter = s.duration("cut-off-after").orElse(bounds.cutOffAfterMs());
        double mostOut = s.number("most-out", 0, MOST_OUT).orElse(bounds.maxOutShare());
        CutOffAction cutOff = s.word("cut-off", List.of("serve", "step-aside")).map(w -> w.equals("serve") ? CutOffAction.SERVE : CutOffAction.STEP_ASIDE).orElse(bounds.cutOffAction());
        Limits said = new Limits(behind, cutOffAfter, cutOff, mostOut, s.duration("stay").orElse(bounds.probationMs()));
        double out = Math.max(behind, FleetView.SILENT_MS + cutOffAfter) + SLACK_MS;
        double judge = s.duration("judge").orElse(usual.observationMs());
        double patience = s.duration("patience").orElse(Math.max(usual.stepTimeoutMs(), 2 * (judge + out)));
        RolloutPolicy policy = usual;
        try {
            policy = new RolloutPolicy(s.has("steps") ? shares(s) : usual.steps(), judge, s.count("samples", 0, MOST_SAMPLES).orElse(usual.minSamples()),
                    s.number("worse", 0, 1).orElse(usual.maxDegradation()), mostOut, out, patience);
        } catch (IllegalArgumentException e) {
            s.problem(s.has("steps") ? "steps" : null, "bad-roll", e.getMessage(), "write steps = [\"0%\", \"10%\", \"50%\", \"100%\"] and a patience over "
                    + "judge and " + (long) out + " ms, by which who is cut off has stepped aside");
        }
        s.done();
        return new RolloutSettings(policy, said);
    }

    private static List<Double> shares(Section s) {
        List<Double> shares = new ArrayList<>();
        for (String text : s.texts("steps")) {
            Matcher m = SHARE.matcher(text);
            if (!m.matches()) {
                throw new IllegalArgumentException("\"" + text + "\" is no share");
            }
            shares.add(Integer.parseInt(m.group(1)) / PERCENT);
        }
        return shares;
    }
}
