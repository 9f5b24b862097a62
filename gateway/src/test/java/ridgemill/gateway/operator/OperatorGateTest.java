package ridgemill.gateway.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.core.AdmissionController.AdmissionRequest;
import ridgemill.core.AdmissionController.Decision;
import ridgemill.core.AdmissionController.Admitted;
import ridgemill.core.AdmissionController.InvalidReason;
import ridgemill.core.AdmissionController.Rejected;
import ridgemill.core.AdmissionController.Invalid;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.WeightMode;
import ridgemill.route.RouteQuery;

/** What a request gets under a file: its class, its time, its size, its limits; and all of it from one file. */
class OperatorGateTest {

    private static final double NOW = 5000;
    private static final Settings SETTINGS = new Settings(0, 1, "a", 1,
            List.of(new ServiceClass("read", 500, 0, 1500, 1, 0.25, Effect.SAFE, DeduplicationScope.ALL, 0, false),
                    new ServiceClass("pay", 500, 0, 1500, 1, 0.25, Effect.KEYED, DeduplicationScope.ALL, 6000, false)), List.of(), 1,
            false, new PlatformLimits(4, true, true, false, true, 1000, false, 100), new PlatformRules(0, 1, 0, 1, 1000, 0, 0), false,
            WeightMode.NONE, null);
    private static final String FILE = """
            [classes.read]
            effect = "safe"
            total = "800ms"
            wanted = "400ms"
            attempts = 2
            attempt-timeout = "200ms"
            largest-body = "1KiB"
            [classes.night]
            effect = "safe"
            [[route]]
            name = "night"
            path = "/api/night/**"
            class = "night"
            [[route]]
            name = "rest"
            path = "/api/**"
            [limits.class.read]
            rate = "1/s"
            burst = 2
            in-flight = 2
            """;

    private static OperatorConfig config(String text) throws OperatorFileException {
        return OperatorFile.parse("f.toml", text, PlatformConstraints.of(SETTINGS));
    }

    private static AdmissionRequest arrival(String path, String named, long bytes, double budget) {
        return new AdmissionRequest("id", new RouteQuery("GET", path, "t"), named, false, bytes, budget);
    }

    private static Admitted go(Decision entry) {
        return assertInstanceOf(Admitted.class, entry);
    }

    /** Nothing of a limit's fill is taken by what is turned away for that. */
    @Test
    void whileTheProxyHasSteppedAsideAllAreTurnedAway() throws Exception {
        OperatorGate gate = new OperatorGate(SETTINGS, config(FILE), NOW);
        boolean[] aside = {true};
        gate.aside(() -> aside[0]);
        for (int i = 0; i < 5; i++) {
            assertEquals("shut-out", assertInstanceOf(Rejected.class, gate.admit(NOW, arrival("/api/m1", "read", 0, 1000))).limit());
        }
        aside[0] = false;
        assertEquals("read", go(gate.admit(NOW, arrival("/api/m1", "read", 0, 1000))).serviceClass().name());
    }

    @Test
    void theRouteNamesTheClassOrElseTheRequest() throws Exception {
        OperatorGate gate = new OperatorGate(SETTINGS, config(FILE), NOW);
        assertEquals("night", go(gate.admit(NOW, arrival("/api/night/m1", "read", 0, 1000))).serviceClass().name());
        Admitted read = go(gate.admit(NOW, arrival("/api/m1", "read", 0, 1000)));
        assertEquals("read", read.serviceClass().name());
        assertEquals(800, read.budgetMs(), "no more than the class's total");
        assertEquals(300, go(gate.admit(NOW, arrival("/api/m1", "read", 0, 300))).budgetMs());
        assertEquals(2, read.serviceClass().retry().maxAttempts());
        assertEquals(200, read.serviceClass().retry().attemptTimeoutMs());
        assertEquals(400, read.serviceClass().targetLatencyMs());
        assertEquals("pay", go(gate.admit(NOW, arrival("/api/m1", "pay", 0, 1000))).serviceClass().name(),
                "a class of the platform's that the file does not name holds as it is");
    }

    @Test
    void whatNobodyCouldServeIsUnfit() throws Exception {
        OperatorGate gate = new OperatorGate(SETTINGS, config(FILE), NOW);
        assertEquals(new Invalid(InvalidReason.UNKNOWN_CLASS), gate.admit(NOW, arrival("/api/m1", "nope", 0, 1000)));
        assertEquals(new Invalid(InvalidReason.UNKNOWN_CLASS), gate.admit(NOW, arrival("/api/m1", null, 0, 1000)));
        assertEquals(new Invalid(InvalidReason.TOO_LARGE), gate.admit(NOW, arrival("/api/m1", "read", 1025, 1000)));
        go(gate.admit(NOW, arrival("/api/m1", "read", 1024, 1000)));
    }

    @Test
    void aLimitRefusesWithItsTimeAndAnEndMakesRoom() throws Exception {
        OperatorGate gate = new OperatorGate(SETTINGS, config(FILE), NOW);
        go(gate.admit(NOW, arrival("/api/m1", "read", 0, 1000)));
        go(gate.admit(NOW, arrival("/api/m1", "read", 0, 1000)));
        assertEquals("CLASS_IN_FLIGHT", assertInstanceOf(Rejected.class, gate.admit(NOW, arrival("/api/m1", "read", 0, 1000)))
                .limit());
        gate.requestEnded(NOW, "read");
        Rejected rate = assertInstanceOf(Rejected.class, gate.admit(NOW, arrival("/api/m1", "read", 0, 1000)));
        assertEquals("CLASS_RATE", rate.limit());
        assertEquals(1000, rate.retryAfterMs(), 1e-6);
        go(gate.admit(NOW + 1000, arrival("/api/m1", "read", 0, 1000)));
    }

    @Test
    void eachRequestIsHeldToOneFileAlone() throws Exception {
        OperatorConfig a = config("""
                [classes.a]
                effect = "safe"
                total = "100ms"
                largest-body = "10B"
                [[route]]
                name = "all"
                path = "/api/**"
                class = "a"
                """);
        OperatorConfig b = config("""
                [classes.b]
                effect = "unsafe"
                total = "200ms"
                largest-body = "20B"
                [[route]]
                name = "all"
                path = "/api/**"
                class = "b"
                """);
        OperatorGate gate = new OperatorGate(SETTINGS, a, NOW);
        Map<String, Double> totals = Map.of("a", 100.0, "b", 200.0);
        for (int i = 0; i < 100; i++) {
            gate.changeTo(i % 2 == 0 ? b : a, NOW + i);
            Admitted go = go(gate.admit(NOW + i, arrival("/api/m1", "read", 10, 1000)));
            assertEquals(i % 2 == 0 ? "b" : "a", go.serviceClass().name());
            assertEquals(totals.get(go.serviceClass().name()), go.budgetMs());
            assertEquals(go.serviceClass().name().equals("a") ? Effect.SAFE : Effect.UNSAFE, go.serviceClass().effect());
            assertTrue(gate.classes().contains(go.serviceClass()), "the decisions have the very class");
        }
    }
}
