package ridgemill.cdn.proxy;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import ridgemill.cdn.edge.Invariant;

/** Checks what must hold at any time: breaks are counted and logged; the program goes on. */
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
     * Counts a break unless the invariant holds.
     *
     * @param where the service or object that it concerns
     */
    void check(boolean holds, Invariant invariant, String where) {
        if (!holds) {
            violations.get(invariant).increment();
            log.info("event=invariant_broken invariant=" + invariant.label() + " where=" + where);
        }
    }

    /** All breaks since the start. */
    long violationCount() {
        return (long) violations.values().stream().mapToDouble(Counter::count).sum();
    }
}
