package ridgemill.cli;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import ridgemill.Main;
import ridgemill.gateway.Config;
import ridgemill.gateway.ConfigException;

/**
 * The command line beyond the bare starts that a deployment makes. Those never come here: on part of a core, loading
 * the parser alone would delay them.
 */
public final class Commands {

    private Commands() { }

    /** Runs a command line and returns the exit code: 0, or 2 with one line on standard error that says what is wrong. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Root());
        line.setParameterExceptionHandler(Commands::misused);
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            Main.complain(String.valueOf(e.getMessage()));
            return Main.EXIT_CONFIG;
        });
        return line.execute(args);
    }

    private static int misused(ParameterException e, String[] args) {
        String command = e.getCommandLine().getCommandSpec().qualifiedName(" ");
        Main.complain(String.valueOf(e.getMessage()).lines().findFirst().orElse("bad command line") + " (see '" + command
                + " --help')");
        return Main.EXIT_CONFIG;
    }

    /** The version that the jar was built as. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"ridgemill " + (version == null ? "of unknown version" : version) + " on Java "
                    + System.getProperty("java.version")};
        }
    }

    @Command(name = "ridgemill", mixinStandardHelpOptions = true, versionProvider = Version.class,
            description = "A caching proxy for fleets of cache nodes, and a gateway between sites.",
            subcommands = {Serve.class, Check.class, VersionCommand.class, Bench.class})
    static final class Root implements Callable<Integer> {
        @Override
        public Integer call() {
            CommandLine.usage(this, System.err);
            return Main.EXIT_CONFIG;
        }
    }

    @Command(name = "serve", mixinStandardHelpOptions = true, description = {"Runs one proxy in the foreground.",
        "Its configuration is the JSON file that the environment variable BALANCER_CONFIG names; BALANCER_NAME, "
            + "BALANCER_LISTEN and BALANCER_DISCOVERY override what it says.",
        "SIGTERM drains and ends it, SIGHUP reads the file again."})
    static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() throws InterruptedException {
            Main.serve();
            return 0;
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Reads a configuration file and tells what is wrong with it, and starts nothing.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The configuration, as BALANCER_CONFIG would name it.")
        private String file;

        @Override
        public Integer call() throws ConfigException {
            Config config = Config.read(file, Map.of());
            System.out.println(file + ": good: " + config.settings().classes().size() + " classes, "
                    + (config.known() == null ? 0 : config.known().hosts().size()) + " known hosts, listens on "
                    + config.listen().getAddress().getHostAddress() + ":" + config.listen().getPort());
            return 0;
        }
    }

    @Command(name = "version", mixinStandardHelpOptions = true, description = "Prints the version.")
    static final class VersionCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            System.out.println(new Version().getVersion()[0]);
            return 0;
        }
    }

    @Command(name = "benchlink", mixinStandardHelpOptions = true,
            description = "Runs the decisions on the simulator's wire, on standard input and output.")
    static final class Bench implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            ridgemill.benchlink.Main.main(new String[] {"benchlink"});
            return 0;
        }
    }
}
