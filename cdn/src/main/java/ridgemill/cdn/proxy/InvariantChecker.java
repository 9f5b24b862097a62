package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import ridgemill.cdn.edge.Invariant;

/** Checks invariants at run time: violations are counted and logged, and the program continues. */
final class InvariantChecker {

    private final Map<Invariant, Counter> violations = new EnumMap<>(Invariant.class);
    private final EventLog log;

    InvariantChecker(MeterRegistry registry, EventLog log) {
        this.log = log;
        for (Invariant invariant : Invariant.values()) {
            violations.put(
                    invariant, registry.counter("ridgemill.invariant.violations", "invariant", invariant.label()));
        }
    }

    /**
     * Records a violation if the invariant does not hold.
     *
     * @param holds whether the invariant holds
     * @param where the service, address or object concerned
     */
    void check(boolean holds, Invariant invariant, String where) {
        if (!holds) {
            violations.get(invariant).increment();
            log.info("event=invariant_broken invariant=" + invariant.label() + " where=" + where);
        }
    }

    /** The number of violations since the start. */
    long violationCount() {
        return (long) violations.values().stream().mapToDouble(Counter::count).sum();
    }
}
