package ridgemill;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import ridgemill.cli.Commands;
import ridgemill.gateway.Config;
import ridgemill.gateway.ConfigException;
import ridgemill.gateway.SighupHandler;
import ridgemill.gateway.Service;

/**
 * Entry point of the program. Commands without arguments are dispatched here: {@code serve} runs one proxy,
 * {@code benchlink} runs the routing policy behind the simulator's wire protocol, and {@code rehearse} runs a short
 * start whose classes the build archives. {@link Commands} handles all other command lines.
 */
public final class Main {

    /** Exit code for an unusable configuration, address or command line. */
    public static final int EXIT_CONFIG = 2;

    private Main() { }

    public static void main(String[] args) throws ConfigException, IOException, InterruptedException {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "rehearse" -> Service.runClassArchiveTraining();
            case "benchlink" -> ridgemill.benchlink.Main.main(args);
            default -> System.exit(Commands.run(args));
        }
    }

    /** Prints a one-line error message to standard error. */
    public static void printError(String what) {
        System.err.println("ridgemill: " + what);
    }

    /**
     * A running proxy and its signal actions.
     *
     * @param reload runs for SIGHUP
     * @param drain runs for SIGTERM; returns when no request is pending
     */
    public record StartedProxy(Running running, Runnable reload, Runnable drain) { }

    /** Waits for the end of a proxy. */
    public interface Running {

        /** Returns when the proxy has ended. */
        void awaitEnd() throws InterruptedException;
    }

    /** Starts a proxy. */
    public interface Starter {

        /** Starts a proxy. An exception ends the process. */
        StartedProxy start(Config config) throws ConfigException, IOException, InterruptedException;
    }

    /** Runs a proxy until it has drained. Ends the process with {@link #EXIT_CONFIG} if the proxy cannot start. */
    public static void serve() throws InterruptedException {
        Map<String, String> environment = System.getenv();
        serve(config -> {
            Service service = Service.start(config);
            return new StartedProxy(service::awaitEnd, () -> service.reload(environment), service::drain);
        });
    }

    /** Runs a proxy that is started by {@code starter} until it has drained. */
    public static void serve(Starter starter) throws InterruptedException {
        // Registered before any client can see the proxy as ready: without a handler SIGHUP ends the process.
        CompletableFuture<StartedProxy> started = new CompletableFuture<>();
        SighupHandler.register(() -> started.thenAccept(s -> s.reload().run()));
        StartedProxy running = null;
        try {
            running = starter.start(Config.fromEnvironment(System.getenv()));
        } catch (ConfigException e) {
            printError("configuration: " + e.getMessage());
            System.exit(EXIT_CONFIG);
        } catch (IOException e) {
            printError(e.getMessage());
            System.exit(EXIT_CONFIG);
        }
        started.complete(running);
        // SIGTERM runs this hook, and the process ends when the hook returns, so it waits until no request is pending.
        Runtime.getRuntime().addShutdownHook(new Thread(running.drain(), "drain"));
        running.running().awaitEnd();
    }
}
