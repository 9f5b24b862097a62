package ridgemill.cdn.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests three core machines, an edge proxy and an instance over sockets: acknowledged data must survive while one core
 * machine is down.
 */
class WholeSystemTest {

    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    @TempDir
    Path folder;

    private final AtomicInteger attempts = new AtomicInteger();
    private LoopbackSystem system;
    private LoopbackInstance instance;

    @BeforeEach
    void start() throws IOException {
        instance = new LoopbackInstance(HOSTS.get(0));
        system = new LoopbackSystem(folder, HOSTS);
        system.start();
        until(() -> control(0, "PATCH", "/ridgemill/configuration", LoopbackSystem.configuration())
                        .status()
                == OK);
        until(() -> heartbeat("i-1", instance, 1).status() == OK);
        until(() -> system.exchange(0, system.readyPort(), "GET", "/ridgemill/readiness", "", "")
                        .status()
                == OK);
    }

    @AfterEach
    void stop() throws IOException {
        for (int machine = 0; machine < HOSTS.size(); machine++) {
            system.stopCore(machine);
        }
        instance.close();
    }

    @Test
    void aKeyedOperationRunsOnceWithAnyCoreMachineDown() {
        LoopbackSystem.HttpResult first = writeUntilAvailable("k1");
        assertThat(first.status()).isEqualTo(OK);
        for (int machine = 0; machine < HOSTS.size(); machine++) {
            int gone = machine;
            system.stopCore(gone);
            assertThat(writeUntilAvailable("k1").body())
                    .as("machine %d gone", gone + 1)
                    .isEqualTo(first.body());
            assertThat(writeUntilAvailable("new-" + gone).status())
                    .as("machine %d gone", gone + 1)
                    .isEqualTo(OK);
            system.startCore(gone, false);
            until(() -> control(gone, "GET", "/ridgemill/configuration", "").status() == OK);
        }
        assertThat(writeUntilAvailable("k1").body()).isEqualTo(first.body());
    }

    @Test
    void theConfigurationIsReadableWithACoreMachineDown() {
        String change = """
                {"upsert":{"routeTable":{"r-3":{"hostname":"a.example","pathPrefix":"/more/","routeKind":"idempotent",
                "timeout":"3s","targetLatency":"250ms","priorityLevel":2,"service":"s","maxAttempts":2,"version":5}}},
                "remove":{"routeTable":[{"name":"r-1","version":5}]}}
                """;
        callUntilOk(() -> control(1, "PATCH", "/ridgemill/configuration", change));
        system.stopCore(1);
        assertThat(readConfiguration(0).body()).contains("/more/").doesNotContain("/read/");
        assertThat(readConfiguration(2).body()).contains("/more/").doesNotContain("/read/");
        until(() -> get("/more/1").status() == OK && get("/read/1").status() == 404);
        system.startCore(1, false);
        until(() -> control(1, "GET", "/ridgemill/configuration", "").body().contains("/more/"));
    }

    @Test
    void anAcknowledgedPurgeEndsTheUseOfCachedResponses() {
        String before = cachedCopy();
        callUntilOk(() -> control(2, "POST", "/ridgemill/purges", "{\"hostname\":\"a.example\",\"path\":\"/read/1\"}"));
        until(() -> !get("/read/1").body().equals(before));
        String fresh = cachedCopy();
        system.stopCore(2);
        callUntilOk(() -> control(0, "POST", "/ridgemill/purges", "{\"tag\":\"t2\"}"));
        until(() -> !get("/read/1").body().equals(fresh));
    }

    @Test
    void anAcknowledgedDrainReachesTheProxyFromAnyRegistry() throws IOException {
        try (LoopbackInstance second = new LoopbackInstance(HOSTS.get(0))) {
            until(() -> heartbeat("i-2", second, 1).status() == OK);
            callUntilOk(() -> drain(1, "i-1", instance, 2));
            until(() -> writeUntilAvailable("known-" + attempts.get()).body().contains(second.address()));
            for (int i = 0; i < 20; i++) {
                assertThat(writeUntilAvailable("after-" + i).body()).contains(second.address());
            }
            callUntilOk(() -> heartbeat("i-1", instance, 1));
            assertThat(writeUntilAvailable("late").body())
                    .as("after a late heartbeat")
                    .contains(second.address());
        }
    }

    @Test
    void acknowledgedDataSurvivesAStopOfAllCoreMachines() {
        LoopbackSystem.HttpResult first = writeUntilAvailable("k1");
        for (int machine = 0; machine < HOSTS.size(); machine++) {
            system.stopCore(machine);
        }
        assertThat(get("/read/7").status()).as("reads go on").isEqualTo(OK);
        for (int machine = 0; machine < HOSTS.size(); machine++) {
            system.startCore(machine, false);
        }
        until(() -> control(2, "GET", "/ridgemill/configuration", "").body().contains("/write/"));
        assertThat(writeUntilAvailable("k1").body()).isEqualTo(first.body());
    }

    /**
     * Repeats a request until it is acknowledged, like operators and instances, because links open one after another.
     */
    private static void callUntilOk(Supplier<LoopbackSystem.HttpResult> call) {
        until(() -> call.get().status() == OK);
    }

    /** Returns the response for an object once it is cached, which requires links to two stores. */
    private String cachedCopy() {
        String[] copy = new String[1];
        until(() -> {
            copy[0] = get("/read/1").body();
            return !copy[0].isEmpty() && get("/read/1").body().equals(copy[0]);
        });
        return copy[0];
    }

    private LoopbackSystem.HttpResult write(String key) {
        return system.exchange(
                0, system.frontPort(), "POST", "/write/1", request() + "X-Operation-Key: " + key + "\r\n", "pay");
    }

    /** Repeats an operation while it is refused, like a client, because a restarted voter is not connected at once. */
    private LoopbackSystem.HttpResult writeUntilAvailable(String key) {
        LoopbackSystem.HttpResult[] last = new LoopbackSystem.HttpResult[1];
        until(() -> {
            last[0] = write(key);
            return last[0].status() != UNAVAILABLE;
        });
        return last[0];
    }

    /**
     * Reads the configuration, like operators: repeatedly while no majority is reachable, because links open one after
     * another.
     */
    private LoopbackSystem.HttpResult readConfiguration(int machine) {
        LoopbackSystem.HttpResult[] last = new LoopbackSystem.HttpResult[1];
        until(() -> {
            last[0] = control(machine, "GET", "/ridgemill/configuration", "");
            return last[0].status() != UNAVAILABLE;
        });
        assertThat(last[0].status()).isEqualTo(OK);
        return last[0];
    }

    private LoopbackSystem.HttpResult get(String path) {
        return system.exchange(0, system.frontPort(), "GET", path, request(), "");
    }

    private String request() {
        return "X-Attempt-Id: a" + attempts.incrementAndGet() + "\r\nX-Deadline-Remaining: 2500\r\n";
    }

    private LoopbackSystem.HttpResult control(int machine, String method, String path, String body) {
        return system.exchange(machine, system.controlPort(), method, path, "", body);
    }

    private LoopbackSystem.HttpResult heartbeat(String id, LoopbackInstance from, long sequence) {
        return control(0, "PUT", "/ridgemill/instances/" + id, LoopbackSystem.heartbeat(from.address(), sequence));
    }

    private LoopbackSystem.HttpResult drain(int machine, String id, LoopbackInstance from, long sequence) {
        String heartbeat = LoopbackSystem.heartbeat(from.address(), sequence).replace("\"ready\"", "\"draining\"");
        return control(machine, "PUT", "/ridgemill/instances/" + id, heartbeat);
    }

    /** Evaluates a condition until it holds. Each evaluation waits for a response over a socket. */
    private static void until(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("time to wait").isLessThan(end);
            Thread.onSpinWait();
        }
    }
}
