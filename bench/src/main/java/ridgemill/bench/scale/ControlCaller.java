package ridgemill.bench.scale;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;

/** Calls the registries as operators and instances do, each in turn. */
final class ControlCaller implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Deployment deployment;
    private final ExecutorService threads = Executors.newFixedThreadPool(2, task -> {
        Thread thread = new Thread(task, "calls");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(threads)
            .build();
    private final AtomicLong turn = new AtomicLong();

    ControlCaller(Deployment deployment) {
        this.deployment = deployment;
    }

    /** The status of a call to one of the registries; 0 if there was no answer. */
    CompletableFuture<Integer> call(String method, String path, String body) {
        int seed = (int) (turn.getAndIncrement() % Deployment.SEEDS.size());
        return callAt(deployment.controlAddress(Deployment.SEEDS.get(seed)), method, path, body);
    }

    /** The status of a call at an address. */
    CompletableFuture<Integer> callAt(String address, String method, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .thenApply(HttpResponse::statusCode)
                .exceptionally(failed -> 0);
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
