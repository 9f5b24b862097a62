package review6;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rig2.Case;
import rig2.Deployment;
import rig2.Http;
import rig2.ObjectServer;
import rig2.Record;

/**
 * A server sends DELETE, which is acknowledged, and serves on for some seconds. At that moment all core processes and one
 * of two edge proxies are killed and started again. Then a heartbeat of the server arrives that it had sent before the
 * DELETE. No machine in touch may send a request to the server later than {@code drainDeadline} after the acknowledgement.
 */
public final class ForgottenDeparture implements Case.Script {

    private static final int WORK_MS = 20;
    private static final int SLOTS = 32;
    private static final int SERVER_PORT = 8_080;
    private static final int DEADLINE_MS = 3_000;
    private static final int REQUESTS_PER_SECOND = 20;
    private static final long READY_TIMEOUT_MS = 40_000;
    private static final long DRAIN_DEADLINE_MS = 2_500;
    private static final long CONTACT_MS = 4_000;
    /** The processes are killed this long after the acknowledgement and are down for {@link #DOWN_MS}. */
    private static final long KILL_AFTER_MS = 300;

    private static final long DOWN_MS = 900;
    /** The late heartbeat arrives this long after the acknowledgement. */
    private static final long LATE_HEARTBEAT_MS = 3_000;

    private static final long OBSERVED_MS = 10_000;

    private static final String CONFIGURATION = "{\"upsert\":{\"routeTable\":{\"balance\":{\"hostname\":\"" + Deployment.HOST
            + "\",\"pathPrefix\":\"/balance/\",\"routeKind\":\"idempotent\",\"timeout\":\"3s\","
            + "\"targetLatency\":\"500ms\",\"priorityLevel\":1,\"service\":\"recharge-desk\",\"maxAttempts\":2,\"version\":1}},"
            + "\"serviceTable\":{\"recharge-desk\":{\"healthPath\":\"/health\",\"connectionCap\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"deduplicates\":false,\"version\":1}},\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\",\"version\":1}},"
            + "\"remove\":{\"routeTable\":[]}}";

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private final ExecutorService clients = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private Deployment deployment;
    private Record record;
    private String leavingAddress;
    private int sequence;

    @Override
    public boolean play(Deployment newDeployment, Record newRecord, boolean trouble) throws Exception {
        deployment = newDeployment;
        record = newRecord;
        List<Deployment.Machine> core = deployment.addMachines("shield", 3);
        List<Deployment.Machine> edges = deployment.addMachines("edge", 2);
        deployment.startAll();
        Http.Response taken = deployment.order("PATCH", "/ridgemill/configuration", CONFIGURATION, READY_TIMEOUT_MS);
        if (taken == null || taken.status() != 200) {
            throw new IllegalStateException("the configuration was not taken");
        }
        Path ledger = deployment.folder().resolve("runs.txt");
        leavingAddress = deployment.nextAddress() + ":" + SERVER_PORT;
        List<Process> servers = new ArrayList<>();
        try {
            servers.add(ObjectServer.start(deployment, "staying", "recharge-desk", "ktm-hall", ledger, WORK_MS, 400));
            servers.add(ObjectServer.start(
                    deployment, "leaving", "recharge-desk", leavingAddress, "ktm-hall", ledger, WORK_MS, 400, List.of()));
            for (Deployment.Machine edge : edges) {
                deployment.awaitReady(edge, READY_TIMEOUT_MS);
            }
            return play(core, edges, ledger, trouble);
        } finally {
            servers.forEach(Process::destroyForcibly);
        }
    }

    private boolean play(
            List<Deployment.Machine> core, List<Deployment.Machine> edges, Path ledger, boolean trouble) throws Exception {
        Deployment.Machine killed = edges.get(1);
        for (int beat = 0; beat < 3; beat++) {
            heartbeat(core.get(beat % core.size()), ++sequence);
            traffic(killed, 1_500);
        }
        // This heartbeat is on its way when the server sends DELETE; it arrives late.
        int lateSequence = ++sequence;
        long acknowledgedNanos = depart(core.get(0));
        traffic(killed, KILL_AFTER_MS);
        long startedNanos = acknowledgedNanos;
        if (trouble) {
            for (Deployment.Machine machine : core) {
                machine.process("registry").destroyForcibly();
                machine.process("store").destroyForcibly();
            }
            killed.process("proxy").destroyForcibly();
            for (Deployment.Machine machine : core) {
                machine.kill("registry");
                machine.kill("store");
            }
            killed.kill("proxy");
            record.add("killed: all core processes and %s", killed.name());
            Thread.sleep(DOWN_MS);
            for (Deployment.Machine machine : core) {
                machine.start("store");
                machine.start("registry");
            }
            killed.start("proxy");
            startedNanos = System.nanoTime();
            record.add("started again, %d ms after the acknowledgement", since(acknowledgedNanos));
        }
        traffic(killed, LATE_HEARTBEAT_MS - since(acknowledgedNanos));
        heartbeat(core.get(1), lateSequence);
        traffic(killed, OBSERVED_MS - since(acknowledgedNanos));
        Thread.sleep(500);
        long inTouchMs = trouble ? TimeUnit.NANOSECONDS.toMillis(startedNanos - acknowledgedNanos) + CONTACT_MS : 0;
        return judge(ledger, Math.max(DRAIN_DEADLINE_MS, inTouchMs));
    }

    /** Counts the requests that the leaving server received and that were sent later than the given time. */
    private boolean judge(Path ledger, long fromMs) throws Exception {
        int late = 0;
        int all = 0;
        for (String line : Files.readAllLines(ledger)) {
            if (!line.endsWith("at leaving")) {
                continue;
            }
            all++;
            int number = Integer.parseInt(line.split(" ")[1].substring("request-".length()));
            Long sentMs = sentMsByNumber.get(number);
            if (sentMs != null && sentMs > fromMs) {
                late++;
                if (late <= 5) {
                    record.add("the leaving server received request-%d, sent %d ms after its acknowledgement", number, sentMs);
                }
            }
        }
        record.add("%d requests sent, %d answered with 200; the leaving server received %d", requests.get(), answered.get(), all);
        if (late > 0) {
            record.add("DRAIN: it received %d requests that were sent by a machine in touch later than %d ms", late, fromMs);
        }
        return late == 0;
    }

    private final java.util.Map<Integer, Long> sentMsByNumber = new java.util.concurrent.ConcurrentHashMap<>();
    private long departedNanos;

    private static long since(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private void heartbeat(Deployment.Machine machine, int number) {
        String body = String.format(
                Locale.ROOT,
                "{\"address\":\"%s\",\"information\":{\"service\":\"recharge-desk\",\"version\":\"v1\",\"zone\":\"ktm-hall\","
                        + "\"slotCount\":%d},\"status\":{\"state\":\"ready\",\"sequence\":%d,\"coldRemaining\":\"0ms\"}}",
                leavingAddress, SLOTS, number);
        Http.Response answer = call(machine, "PUT", body.getBytes(StandardCharsets.UTF_8));
        record.add("heartbeat %d of the leaving server at %s: %s", number, machine.name(), answer == null ? "nothing" : answer.status());
    }

    private long depart(Deployment.Machine machine) {
        Http.Response answer = call(machine, "DELETE", null);
        if (answer == null || answer.status() != 200) {
            throw new IllegalStateException("the departure was not acknowledged");
        }
        departedNanos = System.nanoTime();
        record.add("DELETE of the leaving server at %s: %d; it serves on", machine.name(), answer.status());
        return departedNanos;
    }

    private static Http.Response call(Deployment.Machine machine, String method, byte[] body) {
        return Http.exchange(
                machine.control(),
                Http.request(method, "/ridgemill/instances/leaving", "Content-Type: application/json\r\n", body),
                1_000);
    }

    /** Sends requests to an edge proxy at a steady rate. */
    private void traffic(Deployment.Machine edge, long durationMs) throws InterruptedException {
        long start = System.nanoTime();
        for (int i = 0; since(start) < durationMs; i++) {
            int number = requests.incrementAndGet();
            if (departedNanos != 0) {
                sentMsByNumber.put(number, since(departedNanos));
            }
            String headers = "X-Attempt-Id: request-" + number + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n";
            clients.execute(() -> {
                Http.Response answer =
                        Http.exchange(edge.front(), Http.request("GET", "/balance/" + number, headers, null), DEADLINE_MS);
                if (answer != null && answer.status() == 200) {
                    answered.incrementAndGet();
                }
            });
            Thread.sleep(1_000 / REQUESTS_PER_SECOND);
        }
    }
}
