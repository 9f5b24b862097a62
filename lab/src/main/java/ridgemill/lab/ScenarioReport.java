package ridgemill.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import ridgemill.lab.Scenario.Expectation;
import ridgemill.testbed.ledger.Violation;
import ridgemill.testbed.load.Summary;

/** What came of a scenario: what clients got, which rules were broken and by which request, which hopes were not met. */
public final class ScenarioReport {

    private static final int SHOWN = 20;

    private final Scenario scenario;
    private final Summary summary;
    private final List<Violation> violations;
    private final double latenessMs;
    private final List<String> disappointments = new ArrayList<>();

    ScenarioReport(Scenario scenario, Summary summary, List<Violation> violations, double latenessMs) {
        this.scenario = scenario;
        this.summary = summary;
        this.violations = violations;
        this.latenessMs = latenessMs;
        scenario.expectations().forEach(this::compare);
    }

    private void compare(Expectation e) {
        Summary.Row row = summary.rows().get(e.service());
        if (row == null) {
            disappointments.add("line " + e.line() + ": nobody asked for " + e.service());
            return;
        }
        double stayed = Math.max(1, row.asked() - row.leaving());
        double share = switch (e.measure()) {
            case "served" -> (row.inTime() + row.late()) / stayed;
            case "refused" -> row.refused() / stayed;
            case "failed" -> row.failed() / stayed;
            case "late" -> row.late() / stayed;
            default -> row.unanswered() / stayed;
        };
        if (e.atLeast() ? share < e.bound() : share > e.bound()) {
            disappointments.add(String.format(Locale.ROOT, "line %d: %s of %s is %.4f and not %s %s", e.line(),
                    e.measure(), e.service(), share, e.atLeast() ? ">=" : "<=", e.bound()));
        }
    }

    /** Whether every rule was kept and every expectation met. */
    public boolean passed() {
        return violations.isEmpty() && disappointments.isEmpty();
    }

    /** Rules that were broken. */
    public List<Violation> violations() {
        return violations;
    }

    /** Expectations that were not met, each in a line. */
    public List<String> disappointments() {
        return List.copyOf(disappointments);
    }

    public Summary summary() {
        return summary;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(scenario.name()).append(": ").append(scenario.title()).append(" (seed ")
                .append(scenario.seed()).append(")\n").append(summary);
        violations.stream().limit(SHOWN).forEach(v -> text.append("RULE BROKEN  ").append(v).append('\n'));
        if (violations.size() > SHOWN) {
            text.append("... and ").append(violations.size() - SHOWN).append(" more\n");
        }
        disappointments.forEach(d -> text.append("NOT MET  ").append(d).append('\n'));
        return text.append(passed() ? "passed" : "FAILED").append(String.format(Locale.ROOT,
                ": %d rules broken, %d expectations not met; the testbed ran %.0f ms late at worst%n", violations.size(),
                disappointments.size(), latenessMs)).toString();
    }
}
