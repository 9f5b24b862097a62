package ridgemill.cdn.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs the whole system on loopback addresses, for trying it out by hand: three core machines, an edge proxy, a shared
 * cache and two instances.
 */
final class Demonstration {

    private static final List<String> HOSTS = List.of("127.0.0.1", "127.0.0.2", "127.0.0.3");
    private static final long HEARTBEAT_MS = 500;
    private static final int OK = 200;

    private final LoopbackSystem system;
    private final AtomicLong sequence = new AtomicLong();

    private Demonstration(LoopbackSystem system) {
        this.system = system;
    }

    /** Runs until standard input ends or the process is stopped. */
    static void run() throws Exception {
        Path folder = Files.createTempDirectory("ridgemill-demonstration");
        LoopbackSystem system = new LoopbackSystem(folder, HOSTS);
        Demonstration demonstration = new Demonstration(system);
        system.start();
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (LoopbackInstance one = new LoopbackInstance(HOSTS.get(0));
                LoopbackInstance two = new LoopbackInstance(HOSTS.get(0))) {
            timer.scheduleAtFixedRate(
                    () -> demonstration.sendHeartbeats(one, two), 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
            demonstration.configure();
            demonstration.printUsage();
            demonstration.readCommands();
        } finally {
            timer.shutdownNow();
        }
    }

    private void sendHeartbeats(LoopbackInstance one, LoopbackInstance two) {
        long number = sequence.incrementAndGet();
        callAnyCore("PUT", "/ridgemill/instances/i-1", LoopbackSystem.heartbeat(one.address(), number));
        callAnyCore("PUT", "/ridgemill/instances/i-2", LoopbackSystem.heartbeat(two.address(), number));
    }

    private int callAnyCore(String method, String path, String body) {
        int status = 0;
        for (int machine = 0; machine < HOSTS.size() && status != OK; machine++) {
            status = system.call(machine, system.controlPort(), method, path, "", body);
        }
        return status;
    }

    private void configure() throws InterruptedException {
        while (callAnyCore("PATCH", "/ridgemill/configuration", LoopbackSystem.configuration()) != OK) {
            TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MS);
        }
    }

    private void printUsage() {
        String front = HOSTS.get(0) + ':' + system.frontPort();
        String request = " -H 'Host: a.example' -H 'X-Attempt-Id: 1' -H 'X-Deadline-Remaining: 2000' ";
        System.out.println("Serving at " + front + "; calls at port " + system.controlPort() + " of "
                + String.join(", ", HOSTS) + ". Try:");
        System.out.println("  curl -i" + request + "http://" + front + "/read/1");
        System.out.println("  curl -i" + request + "-H 'X-Operation-Key: k1' -d pay http://" + front + "/write/1");
        System.out.println("  curl http://" + HOSTS.get(1) + ':' + system.controlPort() + "/ridgemill/configuration");
        System.out.println("  curl -d '{\"tag\":\"t1\"}' http://" + HOSTS.get(2) + ':' + system.controlPort()
                + "/ridgemill/purges");
        System.out.println("Type 'stop N' or 'start N' for core machine N of 1 to 3; Ctrl-D ends it.");
    }

    private void readCommands() throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.trim().split(" ");
            if (words.length == 2 && words[1].matches("[1-3]")) {
                command(words[0], Integer.parseInt(words[1]) - 1);
            } else if (!line.isBlank()) {
                System.out.println("'stop N' or 'start N', N from 1 to 3");
            }
        }
    }

    private void command(String verb, int machine) {
        switch (verb) {
            case "stop" -> system.stopCore(machine);
            case "start" -> system.startCore(machine, false);
            default -> {
                System.out.println("unknown command " + verb);
                return;
            }
        }
        System.out.println("core machine " + (machine + 1) + ": " + verb + " done");
    }
}
