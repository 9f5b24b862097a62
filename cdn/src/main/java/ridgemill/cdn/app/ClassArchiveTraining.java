package ridgemill.cdn.app;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Starts all programs in one process on loopback, serves some requests with them and ends. The build runs it (command
 * {@code rehearse}) to create the class archive. Each start has to load and verify classes that are missing in the
 * archive from the jar.
 */
final class ClassArchiveTraining {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int REQUESTS = 60;
    private static final int ATTEMPTS = 400;
    private static final long PAUSE_MS = 25;
    private static final int OK = 200;

    private final LoopbackSystem system;

    private ClassArchiveTraining(LoopbackSystem system) {
        this.system = system;
    }

    /** Runs the training. The process ends afterwards. */
    static void run() throws Exception {
        Path folder = Files.createTempDirectory("ridgemill-rehearsal");
        try (LoopbackInstance instance = new LoopbackInstance(LOOPBACK)) {
            new ClassArchiveTraining(new LoopbackSystem(folder, List.of(LOOPBACK))).exercise(instance.address());
        } finally {
            delete(folder);
        }
    }

    private void exercise(String instanceAddress) throws IOException, InterruptedException {
        Signals.onHangup(() -> {});
        system.start();
        String heartbeat = LoopbackSystem.heartbeat(instanceAddress, 1);
        untilOk(() -> control("PATCH", "/ridgemill/configuration", LoopbackSystem.configuration()));
        untilOk(() -> control("PUT", "/ridgemill/instances/i-1", heartbeat));
        untilOk(() -> system.call(0, system.readyPort(), "GET", "/ridgemill/readiness", "", ""));
        for (int i = 0; i < REQUESTS; i++) {
            system.call(0, system.frontPort(), "GET", "/read/" + i % 3, request(i), "");
            system.call(
                    0, system.frontPort(), "POST", "/write/" + i, request(i) + "X-Operation-Key: k" + i + "\r\n", "b");
        }
        control("POST", "/ridgemill/purges", "{\"tag\":\"t1\"}");
        control("POST", "/ridgemill/purges", "{\"hostname\":\"a.example\",\"path\":\"/read/1\"}");
        control("GET", "/ridgemill/configuration", "");
        control("PATCH", "/ridgemill/configuration", "{");
        control("DELETE", "/ridgemill/instances/i-1", "");
        system.metricsText();
        system.stopCore(0);
    }

    private int control(String method, String path, String body) {
        return system.call(0, system.controlPort(), method, path, "", body);
    }

    private static String request(int number) {
        return "X-Attempt-Id: a" + number + "\r\nX-Deadline-Remaining: 2000\r\n";
    }

    private interface Call {

        int status();
    }

    private static void untilOk(Call call) throws IOException, InterruptedException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            if (call.status() == OK) {
                return;
            }
            Thread.sleep(PAUSE_MS);
        }
        throw new IOException("a request of the training run never got status " + OK);
    }

    private static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        } catch (IOException undeletable) {
            throw new UncheckedIOException(undeletable);
        }
    }
}
