package review5;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import rig2.Case;
import rig2.Deployment;
import rig2.Http;
import rig2.Record;

/**
 * A keyed request is sent to a server that begins to work on it while it still reads the body. The server is killed
 * before it has read the whole body. The edge proxy must not let a second server run the request, nor answer that it
 * has not run.
 */
public final class InterruptedUpload implements Case.Script {

    private static final String SERVICE = "recharge-desk";
    private static final int SERVERS = 8;
    private static final int BODY_BYTES = 64_000;
    private static final int DEADLINE_MS = 4_000;
    /** How long the server has worked on the request when it is killed; it reads the body for over a second. */
    private static final long KILL_AFTER_MS = 300;

    /** Long enough for the proxy to close the connection of the first request, so that the next one opens its own. */
    private static final long IDLE_MS = 3_000;

    private static final long READY_TIMEOUT_MS = 40_000;

    private static final String CONFIGURATION = "{\"upsert\":{\"routeTable\":{\"topup\":{\"hostname\":\"" + Deployment.HOST
            + "\",\"pathPrefix\":\"/topup/\",\"routeKind\":\"keyed_idempotent\",\"timeout\":\"4s\","
            + "\"targetLatency\":\"600ms\",\"priorityLevel\":1,\"service\":\"" + SERVICE
            + "\",\"maxAttempts\":2,\"version\":1}},\"serviceTable\":{\"" + SERVICE
            + "\":{\"healthPath\":\"/health\",\"connectionCap\":110,\"protocol\":\"h1\",\"tls\":false,"
            + "\"deduplicates\":false,\"version\":1}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\",\"version\":1}},\"remove\":{\"routeTable\":[]}}";

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
                servers.add(startServer(deployment, "server-" + i, ledger));
            }
            deployment.awaitReady(edge, READY_TIMEOUT_MS);
            Thread.sleep(6_000);
            warmUp(edge, record);
            Thread.sleep(IDLE_MS);
            return play(edge, record, trouble, ledger, servers);
        } finally {
            servers.forEach(Process::destroyForcibly);
        }
    }

    private static void warmUp(Deployment.Machine edge, Record record) {
        Http.Response response = Http.exchange(edge.front(), request("warm-up"), DEADLINE_MS);
        record.add("warm-up answered: %s", response == null ? "nothing" : response.status());
    }

    private static boolean play(
            Deployment.Machine edge, Record record, boolean trouble, Path ledger, List<Process> servers) throws Exception {
        Set<String> broken = new TreeSet<>();
        String id = "topup-1";
        record.add("sent %s with a body of %d bytes", id, BODY_BYTES);
        CompletableFuture<Http.Response> answer =
                CompletableFuture.supplyAsync(() -> Http.exchange(edge.front(), request(id), DEADLINE_MS + 1_000));
        String begun = awaitBegun(ledger, id);
        record.add("ledger: %s", begun);
        Thread.sleep(KILL_AFTER_MS);
        if (trouble) {
            int number = Integer.parseInt(begun.substring(begun.lastIndexOf('-') + 1));
            servers.get(number - 1).destroyForcibly().waitFor();
            record.add("killed server-%d, which had begun to work on %s", number, id);
        }
        Http.Response response = answer.get(20, TimeUnit.SECONDS);
        record.add("answered %s: %s", id, response == null ? "nothing" : response.status() + " " + response.text());
        Thread.sleep(1_500);
        List<String> runs = runs(ledger, id);
        runs.forEach(run -> record.add("ledger: %s", run));
        if (runs.size() > 1) {
            broken.add("TWICE: " + id + " ran " + runs.size() + " times");
        }
        if (response != null && List.of(408, 421, 429, 503).contains(response.status()) && !runs.isEmpty()) {
            broken.add("REFUSED: " + id + " was answered with " + response.status() + " though it had run");
        }
        if (!trouble && (response == null || response.status() != 200)) {
            throw new IllegalStateException("not answered without a disruption");
        }
        broken.forEach(text -> record.add("%s", text));
        return broken.isEmpty();
    }

    private static byte[] request(String id) {
        return Http.request(
                "POST",
                "/topup/1",
                "X-Attempt-Id: " + id + "\r\nX-Operation-Key: key-" + id + "\r\nX-Deadline-Remaining: " + DEADLINE_MS + "\r\n",
                new byte[BODY_BYTES]);
    }

    private static List<String> runs(Path ledger, String id) throws Exception {
        List<String> runs = new ArrayList<>();
        if (Files.exists(ledger)) {
            for (String line : Files.readAllLines(ledger)) {
                if (line.startsWith("begun " + id + " ")) {
                    runs.add(line);
                }
            }
        }
        return runs;
    }

    private static String awaitBegun(Path ledger, String id) throws Exception {
        for (int i = 0; i < 400; i++) {
            List<String> runs = runs(ledger, id);
            if (!runs.isEmpty()) {
                return runs.get(0);
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException(id + " reached no server");
    }

    private static Process startServer(Deployment deployment, String id, Path ledger) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx48m",
                "-Djava.library.path=target/native",
                "-cp",
                System.getProperty("java.class.path"),
                "rig2.UploadServer",
                id,
                SERVICE,
                deployment.nextAddress() + ":0",
                "ktm-hall",
                ledger.toString()));
        for (Deployment.Machine machine : deployment.coreMachines()) {
            command.add(machine.address() + ":" + machine.control().getPort());
        }
        return deployment.startStandIn(id, command);
    }
}
