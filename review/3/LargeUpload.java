import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send one request after the other on kept connections through three edge proxies: status checks and
 * claims with operation keys. One more client sends requests whose body is a little shorter than {@code maxBodyBytes},
 * and tries each again at other proxies as the users' page says. Counted are requests that were passed on and whose
 * kept connection closed without an answer, and processes that ended by themselves.
 */
final class LargeUpload extends Case {

    private static final String HOST = "ficu95.example";
    private static final int PROXIES = 3;
    /** {@code maxBodyBytes} of the configuration is 67,108,864. */
    private static final int LARGE_BYTES = 60 * 1024 * 1024;
    private static final int USUAL_BYTES = 300;
    private static final int ANSWER_BYTES = 1_500;
    private static final int WORK_MS = 110;
    private static final int CLIENTS_PER_PROXY = 6;
    private static final int PAUSE_MS = 60;
    private static final int CLAIM_DEADLINE_MS = 4_000;
    private static final int UPLOADS = 4;
    private static final int TRIES = 2;
    private static final long FIRST_UPLOAD_MS = 6_000;
    private static final long BETWEEN_UPLOADS_MS = 8_000;
    /** LOST: a machine closes a connection so more than three times. */
    private static final int ALLOWED_CUTS = 3;
    /** Fault: processes end by themselves three times in the day, on two machines at least. */
    private static final int FAULT_ENDS = 3;
    private static final int FAULT_MACHINES = 2;
    private static final long REPEAT_MS = 1_500;

    /** A request of a usual client that ended without an answer. */
    private record Cut(int proxy, String attemptId, String operationKey, boolean keptConnection) {}

    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final Queue<Cut> cuts = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;

    public static void main(String[] arguments) {
        new LargeUpload().run(arguments);
    }

    @Override
    int coreMachines() {
        return 3;
    }

    @Override
    int edgeMachines() {
        return PROXIES;
    }

    @Override
    boolean isGrownSite() {
        return false;
    }

    @Override
    boolean play(Deployment deployment) throws Exception {
        deployment.restartEndedProcesses();
        String service = "\"service\":\"refund\",\"maxAttempts\":2,\"version\":7";
        String routes = route("r-claim", HOST, "/pule252/", "keyed_idempotent", CLAIM_DEADLINE_MS, 300, service) + ","
                + route("r-status", HOST, "/puxa403/", "idempotent", CLAIM_DEADLINE_MS, 300, service);
        require(deployment.order("PATCH", "/ridgemill/configuration", configuration(routes, "refund", ""), 20).status()
                        == 200,
                "the first configuration was not acknowledged");
        try (Server server = new Server(
                deployment, "i-refund-1", "refund", deployment.server(0), WORK_MS, true,
                (request, self) -> new byte[ANSWER_BYTES])) {
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                require(deployment.awaitReady(proxy, 20), "an edge proxy did not become ready");
            }
            deployment.endFirstStart();
            for (int client = 0; client < PROXIES * CLIENTS_PER_PROXY; client++) {
                int proxy = client % PROXIES;
                boolean claims = client % 2 == 0;
                Server.daemon(() -> work(deployment, proxy, claims));
            }
            Thread.sleep(FIRST_UPLOAD_MS);
            require(answered.get() > 100 && cuts.isEmpty(), "the usual requests were not answered beforehand");
            for (int upload = 0; upload < UPLOADS; upload++) {
                upload(deployment, upload);
                Thread.sleep(BETWEEN_UPLOADS_MS);
            }
            stopped = true;
            Thread.sleep(REPEAT_MS);
            return judge(deployment, server);
        }
    }

    /** A client that sends one request after the other to one proxy, on a kept connection. */
    private void work(Deployment deployment, int proxy, boolean claims) {
        Http.Connection connection = null;
        boolean used = false;
        while (!stopped) {
            int id = number.incrementAndGet();
            String attemptId = "a-" + id;
            String key = claims ? "k-" + id : null;
            boolean sent = false;
            try {
                if (connection == null || !connection.reusable) {
                    used = false;
                    connection = new Http.Connection(deployment.edge(proxy), deployment.frontPort(), 8_000);
                }
                send(connection, attemptId, key);
                sent = true;
                Http.Result result = connection.receive();
                answered.incrementAndGet();
                record.line("answer " + result.status() + " to " + attemptId + (key == null ? "" : " key " + key)
                        + " at proxy " + proxy);
                used = true;
                Server.sleep(ThreadLocalRandom.current().nextInt(2 * PAUSE_MS));
            } catch (IOException failed) {
                if (sent) {
                    cuts.add(new Cut(proxy, attemptId, key, used));
                    record.line("no answer to " + attemptId + (key == null ? "" : " key " + key) + " at proxy " + proxy
                            + (used ? " on a kept connection: " : " on a new connection: ") + failed.getMessage());
                }
                if (connection != null) {
                    connection.close();
                }
                connection = null;
                Server.sleep(300);
            }
        }
    }

    private static void send(Http.Connection connection, String attemptId, String key) throws IOException {
        String headers = "X-Attempt-Id: " + attemptId + "\r\nX-Deadline-Remaining: " + CLAIM_DEADLINE_MS + "\r\n";
        if (key == null) {
            connection.send("GET", "/puxa403/" + attemptId, HOST, headers, new byte[0]);
        } else {
            connection.send(
                    "POST", "/pule252/" + key, HOST, headers + "X-Operation-Key: " + key + "\r\n", new byte[USUAL_BYTES]);
        }
    }

    /** One operation with a large body, tried again with the same key on a new connection at another proxy. */
    private void upload(Deployment deployment, int upload) {
        byte[] body = new byte[trouble ? LARGE_BYTES : USUAL_BYTES];
        String key = "k-upload-" + upload;
        for (int attempt = 0; attempt < TRIES; attempt++) {
            int proxy = attempt % FAULT_MACHINES;
            String outcome;
            boolean success = false;
            try (Http.Connection connection =
                    new Http.Connection(deployment.edge(proxy), deployment.frontPort(), CLAIM_DEADLINE_MS)) {
                connection.send("POST", "/pule252/" + key, HOST,
                        "X-Attempt-Id: u-" + upload + "-" + attempt + "\r\nX-Operation-Key: " + key
                                + "\r\nX-Deadline-Remaining: " + CLAIM_DEADLINE_MS + "\r\n",
                        body);
                int status = connection.receive().status();
                outcome = Integer.toString(status);
                success = status == 200;
            } catch (IOException failed) {
                outcome = failed.getMessage();
            }
            record.line("upload of " + body.length + " bytes, key " + key + ", proxy " + proxy + ": " + outcome);
            if (success) {
                return;
            }
            Server.sleep(200);
        }
    }

    private boolean judge(Deployment deployment, Server server) {
        List<String> arrived = new ArrayList<>();
        server.runs.forEach(run -> arrived.add(run.attemptId()));
        int worst = 0;
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            int at = proxy;
            int passedOn = (int) cuts.stream()
                    .filter(cut -> cut.proxy() == at && cut.keptConnection() && arrived.contains(cut.attemptId()))
                    .count();
            worst = Math.max(worst, passedOn);
            record.line("proxy " + proxy + ": " + passedOn
                    + " requests of kept connections ran at the server and were closed without an answer");
        }
        for (Server.Run run : server.runs) {
            record.line(String.format("%s ran %s at %.3f: %s, body of %d bytes",
                    server.id, run.attemptId(), run.atSeconds(), run.line(), run.bodyBytes()));
        }
        int machines = 0;
        for (Deployment.Program program : deployment.programs) {
            record.line(program + " ended by itself " + program.ownEnds + " times");
            machines += program.ownEnds >= FAULT_ENDS ? 1 : 0;
        }
        record.line("machines whose processes ended by themselves " + FAULT_ENDS + " times: " + machines);
        repeatCutClaims(deployment, arrived);
        record.line("LOST broken: " + (worst > ALLOWED_CUTS) + "; Fault: " + (machines >= FAULT_MACHINES));
        return worst > ALLOWED_CUTS;
    }

    /** For the record only: what a client gets that sends its claim again, which has run and got no answer. */
    private void repeatCutClaims(Deployment deployment, List<String> arrived) {
        cuts.stream()
                .filter(cut -> cut.operationKey() != null && arrived.contains(cut.attemptId()))
                .sorted(Comparator.comparing(Cut::attemptId))
                .limit(8)
                .forEach(cut -> {
                    String outcome;
                    try (Http.Connection connection =
                            new Http.Connection(deployment.edge(2), deployment.frontPort(), CLAIM_DEADLINE_MS)) {
                        send(connection, "again-" + cut.attemptId(), cut.operationKey());
                        outcome = Integer.toString(connection.receive().status());
                    } catch (IOException failed) {
                        outcome = failed.getMessage();
                    }
                    record.line("the same claim again, key " + cut.operationKey() + ", which has run: " + outcome);
                });
    }
}
