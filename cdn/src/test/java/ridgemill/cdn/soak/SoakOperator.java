package ridgemill.cdn.soak;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends the configuration, changes, purges and heartbeats to random core machines. Changes and purges are repeated
 * until they are acknowledged.
 */
final class SoakOperator {

    private static final long RETRY_DELAY_MS = 150;
    private static final int MAX_ATTEMPTS = 60;

    private final SoakFleet fleet;
    private final SoakAudit audit;
    private final Map<String, AtomicInteger> versions;
    private final ScheduledExecutorService timer;
    private final Random random;
    private final AtomicLong nextVersion = new AtomicLong(10);
    private final Map<String, Long> acknowledged = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();

    SoakOperator(
            SoakFleet fleet,
            SoakAudit audit,
            Map<String, AtomicInteger> versions,
            long seed,
            ScheduledExecutorService timer) {
        this.fleet = fleet;
        this.audit = audit;
        this.versions = versions;
        this.timer = timer;
        this.random = new Random(seed);
    }

    private int call(String method, String path, String body) {
        List<SoakFleet.Machine> core = fleet.machines(SoakFleet.Role.CORE);
        return fleet.call(core.get(random.nextInt(core.size())), fleet.controlPort(), method, path, body);
    }

    /**
     * Repeats a request until it is acknowledged, then runs the task. The refusal of a valid request is a violation.
     */
    private void callUntilAcknowledged(String method, String path, String body, Runnable acknowledgedTask, int tries) {
        timer.execute(() -> {
            int status = call(method, path, body);
            if (status == 200) {
                acknowledgedTask.run();
            } else if (status >= 400 && status < 500 && status != 408 && status != 429) {
                audit.recordViolation("CONFIG", "a proper order was refused with " + status + ": " + body);
            } else if (tries < MAX_ATTEMPTS) {
                timer.schedule(
                        () -> callUntilAcknowledged(method, path, body, acknowledgedTask, tries + 1),
                        RETRY_DELAY_MS,
                        TimeUnit.MILLISECONDS);
            }
        });
    }

    private static String route(String name, String prefix, String kind, String service, long timeoutMs, long version) {
        return "\"%s\":{\"hostname\":\"h.example\",\"pathPrefix\":\"%s\",\"routeKind\":\"%s\",\"timeout\":\"%dms\","
                        .formatted(name, prefix, kind, timeoutMs)
                + "\"targetLatency\":\"300ms\",\"priorityLevel\":1,\"service\":\"%s\",\"maxAttempts\":2,"
                        .formatted(service)
                + (kind.equals("cacheable") ? "\"cacheTtl\":\"4s\"," : "")
                + "\"version\":" + version + "}";
    }

    /** Sends the initial configuration. */
    void configure(double originRate, int connectionCap, Runnable done) {
        String service =
                "\"%s\":{\"healthPath\":\"/health\",\"connectionCap\":%d,\"deduplicates\":false,%s\"version\":1}";
        String body = "{\"upsert\":{\"routeTable\":{"
                + route("read", "/read/", "cacheable", "objects", 3_000, 1) + ','
                + route("write", "/write/", "keyed_idempotent", "orders", 3_000, 1) + ','
                + route("safe", "/safe/", "idempotent", "orders", 3_000, 1)
                + "},\"serviceTable\":{"
                + service.formatted("objects", connectionCap, "\"ratePerS\":" + originRate + ",") + ','
                + service.formatted("orders", 400, "")
                + "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                + "\"idleTimeout\":\"15000ms\",\"version\":1}},\"remove\":{\"routeTable\":[]}}";
        callUntilAcknowledged("PATCH", "/ridgemill/configuration", body, done, 0);
    }

    /** Changes a route: one without traffic, or the timeout of the read route. */
    void change(boolean timeout) {
        long version = nextVersion.incrementAndGet();
        String name = timeout ? "read" : "idle";
        String route = timeout
                ? route(name, "/read/", "cacheable", "objects", 2_500 + version, version)
                : route(name, "/idle/", "idempotent", "orders", 3_000, version);
        String body = "{\"upsert\":{\"routeTable\":{" + route + "}},\"remove\":{\"routeTable\":[]}}";
        callUntilAcknowledged(
                "PATCH", "/ridgemill/configuration", body, () -> acknowledged.merge(name, version, Math::max), 0);
    }

    /** Publishes the next version of an object and purges the previous one. */
    void purge(int object) {
        String path = "/read/" + object;
        AtomicInteger version = versions.computeIfAbsent(path, p -> new AtomicInteger(1));
        int replaced = version.getAndIncrement();
        audit.replaced(path, replaced);
        String body = "{\"hostname\":\"h.example\",\"path\":\"" + path + "\"}";
        callUntilAcknowledged("POST", "/ridgemill/purges", body, () -> audit.purgeAcknowledged(path, replaced), 0);
    }

    /** Sends a heartbeat of an instance. */
    boolean heartbeat(SoakInstance instance, String service) {
        String body = instance.heartbeat(service, sequence.incrementAndGet());
        return call("PUT", "/ridgemill/instances/" + instance.id(), body) == 200;
    }

    /**
     * Reads the configuration and checks that it contains all acknowledged changes. Returns whether there was a
     * response.
     */
    boolean readBack() {
        List<SoakFleet.Machine> core = fleet.machines(SoakFleet.Role.CORE);
        String items =
                fleet.fetch(core.get(random.nextInt(core.size())), fleet.controlPort(), "/ridgemill/configuration");
        if (items.isEmpty()) {
            return false;
        }
        acknowledged.forEach((name, version) -> {
            java.util.regex.Matcher held = java.util.regex.Pattern.compile(
                            "\"" + name + "\":\\{[^}]*\"version\":(\\d+)")
                    .matcher(items);
            if (!held.find() || Long.parseLong(held.group(1)) < version) {
                audit.recordViolation("CONFIG", name + " was acknowledged with version " + version + ": " + items);
            }
        });
        return true;
    }
}
