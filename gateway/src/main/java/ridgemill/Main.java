package ridgemill;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import ridgemill.gateway.Config;
import ridgemill.gateway.ConfigException;
import ridgemill.gateway.Hangup;
import ridgemill.gateway.Service;

/** Starts the program: {@code serve} is one real proxy, {@code benchlink} the same decisions on the bench's wire,
 * {@code rehearse} a start that ends at once. */
public final class Main {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_CONFIG = 2;
    private static final int EXIT_USAGE = 64;

    private Main() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "rehearse" -> Service.rehearse();
            case "benchlink" -> ridgemill.benchlink.Main.main(args);
            default -> {
                System.err.println("usage: java -jar ridgemill.jar serve|benchlink|rehearse");
                System.exit(EXIT_USAGE);
            }
        }
    }

    private static void serve() throws InterruptedException {
        // Before the first client can be told that the proxy is ready: without a handler SIGHUP ends the process.
        CompletableFuture<Service> started = new CompletableFuture<>();
        Map<String, String> environment = System.getenv();
        Hangup.handle(() -> started.thenAccept(s -> s.reload(environment)));
        Service service = null;
        try {
            service = Service.start(Config.fromEnvironment(environment));
        } catch (ConfigException e) {
            System.err.println("ridgemill: configuration: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (IOException e) {
            System.err.println("ridgemill: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
        // SIGTERM runs this hook; the process ends when the hook does, so it waits until nothing is owed.
        Service running = service;
        started.complete(running);
        Runtime.getRuntime().addShutdownHook(new Thread(running::drain, "drain"));
        running.awaitEnd();
    }
}
