package review7;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import rig2.Case;
import rig2.Deployment;
import rig2.Http;
import rig2.ObjectServer;
import rig2.Record;

/**
 * An edge proxy gets SIGTERM. Until the platform has noticed that it is not ready, clients open new connections to it;
 * each connection rests for a while before its client sends the first request. A request that the proxy has read and
 * passed on must be answered.
 */
public final class RestedConnections implements Case.Script {

    private static final int SERVERS = 4;
    private static final int WORK_MS = 1_000;
    private static final int DEADLINE_MS = 4_000;
    private static final int CLIENTS = 14;
    private static final long READY_TIMEOUT_MS = 40_000;
    private static final long GRACE_PERIOD_MS = 6_000;
    /** The connections are opened within this time from the SIGTERM. */
    private static final long FIRST_OPENED_MS = 500;
    private static final long LAST_OPENED_MS = 2_000;
    /** The first requests are sent within this time from the SIGTERM. */
    private static final long FIRST_SENT_MS = 2_300;
    private static final long LAST_SENT_MS = 5_200;
    /** A request that was sent later than this after the SIGTERM is excused by no work of its server. */
    private static final long EXCUSED_MS = 3_000;

    private static final String CONFIGURATION = "{\"upsert\":{\"routeTable\":{\"topup\":{\"hostname\":\"" + Deployment.HOST
            + "\",\"pathPrefix\":\"/topup/\",\"routeKind\":\"keyed_idempotent\",\"timeout\":\"4s\","
            + "\"targetLatency\":\"600ms\",\"priorityLevel\":1,\"service\":\"recharge-desk\",\"maxAttempts\":2,\"version\":1}},"
            + "\"serviceTable\":{\"recharge-desk\":{\"healthPath\":\"/health\",\"connectionCap\":110,\"protocol\":\"h1\","
            + "\"tls\":false,\"deduplicates\":false,\"version\":1}},\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\",\"version\":1}},"
            + "\"remove\":{\"routeTable\":[]}}";

    /** How a request ended. */
    private record Outcome(String id, long sentMs, long endedMs, String answer) {}

    @Override
    public boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        deployment.addMachines("shield", 3);
        Deployment.Machine edge = deployment.addMachines("edge", 1).get(0);
        deployment.startAll();
        Http.Response taken = deployment.order("PATCH", "/ridgemill/configuration", CONFIGURATION, READY_TIMEOUT_MS);
        if (taken == null || taken.status() != 200) {
            throw new IllegalStateException("the configuration was not taken");
        }
        Path ledger = deployment.folder().resolve("runs.txt");
        List<Process> servers = new ArrayList<>();
        try {
            for (int i = 1; i <= SERVERS; i++) {
                servers.add(ObjectServer.start(
                        deployment, "desk-" + i, "recharge-desk", "ktm-hall", ledger, WORK_MS, 1_500));
            }
            deployment.awaitReady(edge, READY_TIMEOUT_MS);
            Thread.sleep(6_000);
            return play(edge, record, trouble, ledger);
        } finally {
            servers.forEach(Process::destroyForcibly);
        }
    }

    private static boolean play(Deployment.Machine edge, Record record, boolean trouble, Path ledger) throws Exception {
        if (trouble) {
            edge.signal("proxy", "TERM");
            record.add("SIGTERM of %s; times below are from here", edge.name());
        }
        long startNanos = System.nanoTime();
        ExecutorService clients = Executors.newCachedThreadPool();
        List<Future<Outcome>> outcomes = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            long opened = FIRST_OPENED_MS + i * (LAST_OPENED_MS - FIRST_OPENED_MS) / (CLIENTS - 1);
            long sent = FIRST_SENT_MS + i * (LAST_SENT_MS - FIRST_SENT_MS) / (CLIENTS - 1);
            String id = "topup-" + (i + 1);
            outcomes.add(clients.submit(() -> request(edge, id, startNanos, opened, sent)));
        }
        boolean held = true;
        for (Future<Outcome> future : outcomes) {
            Outcome outcome = future.get(30, TimeUnit.SECONDS);
            boolean passedOn = Files.exists(ledger) && Files.readString(ledger).contains("begun " + outcome.id + " ");
            record.add(
                    "%s sent at %d ms, %s, ended at %d ms: %s",
                    outcome.id, outcome.sentMs, passedOn ? "passed on to a server" : "not passed on", outcome.endedMs, outcome.answer);
            boolean deadlineReached = outcome.endedMs - outcome.sentMs >= DEADLINE_MS - 100;
            boolean excused = outcome.sentMs <= EXCUSED_MS || deadlineReached || outcome.endedMs > GRACE_PERIOD_MS + 1_000;
            if (passedOn && outcome.answer.startsWith("no complete answer") && !excused) {
                held = false;
                record.add("LOST: %s was passed on, and its connection ended without a complete answer", outcome.id);
            }
            if (!trouble && !outcome.answer.startsWith("200")) {
                throw new IllegalStateException("not answered without a disruption: " + outcome);
            }
        }
        clients.shutdown();
        return held;
    }

    private static long now(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private static void sleepUntil(long startNanos, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - now(startNanos)));
    }

    private static Outcome request(Deployment.Machine edge, String id, long startNanos, long openedMs, long sendMs)
            throws Exception {
        sleepUntil(startNanos, openedMs);
        long sentMs = -1;
        try (Socket socket = new Socket()) {
            socket.connect(edge.front(), 1_000);
            socket.setSoTimeout(DEADLINE_MS + 500);
            sleepUntil(startNanos, sendMs);
            sentMs = now(startNanos);
            socket.getOutputStream().write(Http.request(
                    "POST",
                    "/topup/1",
                    "X-Attempt-Id: " + id + "\r\nX-Operation-Key: key-" + id + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n",
                    new byte[4_000]));
            String answer = read(socket.getInputStream());
            return new Outcome(id, sentMs, now(startNanos), answer);
        } catch (IOException ended) {
            return new Outcome(id, sentMs, now(startNanos), "no complete answer (" + ended.getMessage() + ")");
        }
    }

    private static String read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[8_192];
        while (true) {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            if (end >= 0 && text.length() - end - 4 >= length(text.substring(0, end))) {
                return text.substring(9, 12);
            }
            int count = in.read(buffer);
            if (count < 0) {
                return "no complete answer (end of the connection)";
            }
            bytes.write(buffer, 0, count);
        }
    }

    private static int length(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return 0;
    }
}
