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
 * Starts the program. The bare commands that a deployment runs are told apart here: {@code serve} is one real proxy,
 * {@code benchlink} the same decisions on the simulator's wire, {@code rehearse} a start that ends at once, which the
 * build archives. All else goes to the command line's own classes.
 */
public final class Main {

    /** What the operator gave cannot be used: a configuration, an address, a command line. */
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

    /** Says in one line on standard error what is wrong. */
    public static void printError(String what) {
        System.err.println("ridgemill: " + what);
    }

    /** A proxy that runs, what SIGHUP does to it, and what SIGTERM does, which returns when nothing is owed. */
    public record StartedProxy(Running running, Runnable reload, Runnable drain) { }

    /** What a process waits for. */
    public interface Running {

        /** Returns when the proxy has ended. */
        void awaitEnd() throws InterruptedException;
    }

    /** Starts a proxy. */
    public interface Starter {

        /** Starts one; what it throws ends the process. */
        StartedProxy start(Config config) throws ConfigException, IOException, InterruptedException;
    }

    /** Runs a proxy until it has drained; ends the process with {@link #EXIT_CONFIG} where it can't start. */
    public static void serve() throws InterruptedException {
        Map<String, String> environment = System.getenv();
        serve(config -> {
            Service service = Service.start(config);
            return new StartedProxy(service::awaitEnd, () -> service.reload(environment), service::drain);
        });
    }

    /** The same for a proxy that is started in another way. */
    public static void serve(Starter starter) throws InterruptedException {
        // Before the first client can be told that the proxy is ready: without a handler SIGHUP ends the process.
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
        // SIGTERM runs this hook; the process ends when the hook does, so it waits until nothing is owed.
        Runtime.getRuntime().addShutdownHook(new Thread(running.drain(), "drain"));
        running.running().awaitEnd();
    }
}
