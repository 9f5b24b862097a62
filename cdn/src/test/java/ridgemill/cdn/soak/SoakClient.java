package ridgemill.cdn.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that uses one connection until it fails and then connects to a random proxy. It reads objects, sends
 * idempotent requests and sends keyed operations. A request that was not served is repeated, with the same key if it
 * has one.
 */
final class SoakClient implements Runnable {

    private static final int DEADLINE_MS = 3_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final int OBJECTS = 60;
    private static final AtomicLong IDS = new AtomicLong();

    private final SoakFleet fleet;
    private final List<SoakFleet.Machine> proxies;
    private final SoakAudit audit;
    private final Random random;
    private final double pauseMs;
    private volatile boolean ended;
    private SoakFleet.Machine proxy;
    private SoakHttp connection;

    SoakClient(SoakFleet fleet, SoakAudit audit, long seed, double pauseMs) {
        this.fleet = fleet;
        this.proxies = fleet.machines(SoakFleet.Role.PROXY);
        this.audit = audit;
        this.random = new Random(seed);
        this.pauseMs = pauseMs;
    }

    void end() {
        ended = true;
    }

    @Override
    public void run() {
        while (!ended) {
            double draw = random.nextDouble();
            if (draw < 0.7) {
                read();
            } else if (draw < 0.85) {
                request("GET", "/safe/" + random.nextInt(9), "", null);
            } else {
                write();
            }
            java.util.concurrent.locks.LockSupport.parkNanos((long) (2e6 * random.nextDouble() * pauseMs));
        }
        closeConnection();
    }

    private void read() {
        // A few objects receive most of the reads.
        int object = (int) (OBJECTS * Math.pow(random.nextDouble(), 2));
        request("GET", "/read/" + object, "", null);
    }

    private void write() {
        String key = "k" + IDS.incrementAndGet();
        boolean served = request("POST", "/write/" + random.nextInt(9), "X-Operation-Key: " + key + "\r\n", key);
        if (served && random.nextInt(10) == 0) {
            request("POST", "/write/0", "X-Operation-Key: " + key + "\r\n", key);
        }
    }

    private boolean request(String method, String path, String headers, String key) {
        double startMs = audit.now();
        boolean served = false;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && !served && audit.now() - startMs < DEADLINE_MS; attempt++) {
            served = tryOnce(method, path, headers, key);
        }
        audit.requestFinished(startMs, served);
        return served;
    }

    private boolean tryOnce(String method, String path, String headers, String key) {
        String attemptId = "a" + IDS.incrementAndGet();
        double sentMs = audit.now();
        boolean reused = connection != null && connection.isReusable();
        boolean sent = false;
        try {
            if (!reused) {
                connect();
            }
            connection.send(
                    method,
                    path,
                    headers + "X-Attempt-Id: " + attemptId + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n",
                    "");
            sent = true;
            SoakHttp.Message response = connection.read();
            check(response, attemptId, path, key, sentMs);
            if (response.status() != 200) {
                pause(response);
                closeConnection();
            }
            return response.status() == 200;
        } catch (IOException failed) {
            boolean timedOut = failed instanceof java.net.SocketTimeoutException;
            if (sent && reused && !timedOut && proxy.processes().get(0).isAlive()) {
                audit.recordLost(attemptId, proxy.name(), sentMs);
            }
            closeConnection();
            return false;
        }
    }

    private void pause(SoakHttp.Message response) {
        String wait = response.header("Retry-After");
        double seconds = wait == null ? 0.05 : Math.min(0.5, Double.parseDouble(wait));
        java.util.concurrent.locks.LockSupport.parkNanos((long) (seconds * 1e9));
    }

    private void check(SoakHttp.Message response, String attemptId, String path, String key, double sentMs) {
        audit.recordStatus(attemptId, response.status());
        if (response.status() == 404 && audit.isInContact(proxy.name(), sentMs, audit.now())) {
            audit.recordViolation("DENIED", path + " at " + proxy.name());
        }
        if (response.status() != 200) {
            return;
        }
        String body = response.text();
        boolean sealed = Integer.toString(body.hashCode()).equals(response.header("X-Response-Seal"));
        boolean own = attemptId.equals(response.header("X-Attempt-Id")) && body.startsWith(path.substring(0, 6));
        boolean ofKey = key == null || body.split(" ")[1].equals(key);
        if (!sealed || !own || !ofKey) {
            audit.recordViolation(
                    "MIXED", attemptId + " " + path + " got " + response.head().replace("\r\n", " | "));
        }
        if (path.startsWith("/read/")) {
            audit.recordRead(path, Integer.parseInt(body.split(" ")[1]), proxy.name(), sentMs);
        }
    }

    private void connect() throws IOException {
        closeConnection();
        proxy = proxies.get(random.nextInt(proxies.size()));
        connection = new SoakHttp(proxy.host(), fleet.frontPort(), DEADLINE_MS + 1_000);
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
