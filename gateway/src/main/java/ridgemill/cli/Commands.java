package ridgemill.cli;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine;
import ridgemill.Main;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.gateway.Config;
import ridgemill.gateway.ConfigException;
import ridgemill.gateway.Service;
import ridgemill.gateway.control.ControlClient;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Targets;
import ridgemill.gateway.operator.Explanation;
import ridgemill.gateway.operator.Operated;
import ridgemill.gateway.operator.OperatorConfig;
import ridgemill.gateway.operator.OperatorFile;
import ridgemill.gateway.operator.OperatorFileException;
import ridgemill.policy.BalancingRouter;
import ridgemill.route.RouteQuery;

/**
 * The command line beyond the bare starts that a deployment makes. Those never come here: on part of a core, loading
 * the parser alone would delay them.
 */
public final class Commands {

    /** No proxy answered at the control socket. */
    private static final int EXIT_UNANSWERED = 3;
    private static final Pattern TIME = Pattern.compile("([0-9]{1,6})([a-z]+)");
    private static final Map<String, Long> UNITS_MS = Map.of("ms", 1L, "s", 1000L, "min", 60_000L, "h", 3_600_000L);

    private Commands() { }

    /** Runs a command line and returns the exit code: 0, or 2 with one line on standard error that says what is wrong. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Root());
        line.setParameterExceptionHandler(Commands::misused);
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            String.valueOf(e.getMessage()).lines().forEach(Main::printError);
            return Main.EXIT_CONFIG;
        });
        return line.execute(args);
    }

    /**
     * A time on the command line, in milliseconds.
     *
     * @param examples such as "30s or 5min", for whoever gave something else
     * @param units that it may be given in
     */
    static long timeMs(String text, String examples, List<String> units) {
        Matcher m = TIME.matcher(text);
        if (!m.matches() || !units.contains(m.group(2))) {
            throw new IllegalArgumentException("not a time such as " + examples + ": " + text);
        }
        return Long.parseLong(m.group(1)) * UNITS_MS.get(m.group(2));
    }

    private static int misused(ParameterException e, String[] args) {
        String command = e.getCommandLine().getCommandSpec().qualifiedName(" ");
        Main.printError(String.valueOf(e.getMessage()).lines().findFirst().orElse("bad command line") + " (see '" + command
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
            subcommands = {Serve.class, Check.class, Explain.class, Reload.class, Status.class, Nodes.class, Halls.class, Deadlines.class, LeaseCommands.Shown.class,
                LeaseCommands.Lease.class, LeaseCommands.Fleet.class,
                VersionCommand.class, Bench.class})
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
        "SIGTERM drains and ends it, SIGHUP reads its files again."})
    static final class Serve implements Callable<Integer> {
        @Option(names = "--operator-file", paramLabel = "FILE",
                description = "Routes, classes and limits of this installation, in TOML; see check and explain.")
        private String operatorFile;

        @Override
        public Integer call() throws InterruptedException {
            if (operatorFile == null) {
                Main.serve();
            } else {
                Main.serve(this::operated);
            }
            return 0;
        }

        private Main.StartedProxy operated(Config config) throws ConfigException, IOException, InterruptedException {
            try {
                Service.warmUp(config);
                Operated operated = Operated.start(config, operatorFile, settings -> new BalancingRouter(settings, config.seed() + settings.proxyIndex()));
                Runtime.getRuntime().addShutdownHook(new Thread(operated::closeControl, "control"));
                return new Main.StartedProxy(operated::awaitEnd, () -> {
                    operated.reloadConfiguration(System.getenv());
                    operated.reload();
                }, operated::drain);
            } catch (OperatorFileException e) {
                e.problems().forEach(p -> System.err.println(p));
                throw new ConfigException(operatorFile + ": " + e.problems().size() + " problems");
            }
        }
    }

    /** What the platform says, from the configuration that was named; what the program can do, if none was. */
    private static PlatformConstraints platform(String config) throws ConfigException {
        return config == null ? PlatformConstraints.UNKNOWN : PlatformConstraints.of(Config.read(config, Map.of()).settings());
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = {
        "Reads a file and tells what is wrong with it, and starts nothing.",
        "A file whose name ends in .toml is an operator file; any other is a platform's configuration."})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "The file.")
        private String file;
        @Option(names = "--json", description = "Print one JSON object instead of lines.")
        private boolean json;
        @Option(names = "--platform", paramLabel = "CONFIG",
                description = "A platform's configuration that an operator file must not contradict.")
        private String platform;

        @Override
        public Integer call() throws ConfigException {
            if (file.endsWith(".toml")) {
                return operatorFile();
            }
            Config config = Config.read(file, Map.of());
            String summary = config.settings().classes().size() + " classes, "
                    + (config.knownHosts() == null ? 0 : config.knownHosts().hosts().size()) + " known hosts, listens on "
                    + Addresses.text(config.listen());
            good(summary);
            return 0;
        }

        private int operatorFile() throws ConfigException {
            try {
                OperatorConfig config = OperatorFile.read(file, Commands.platform(platform));
                good(config.classes().size() + " classes, " + config.routes().routes().size() + " routes");
                return 0;
            } catch (OperatorFileException e) {
                if (json) {
                    JsonObject report = new JsonObject();
                    report.addProperty("good", false);
                    report.add("problems", new Gson().toJsonTree(e.problems()));
                    System.out.println(report);
                } else {
                    e.problems().forEach(p -> System.err.println(p));
                    Main.printError(file + ": " + e.problems().size() + " problems, nothing of it takes effect");
                }
                return Main.EXIT_CONFIG;
            }
        }

        private void good(String summary) {
            if (json) {
                JsonObject report = new JsonObject();
                report.addProperty("good", true);
                report.addProperty("summary", summary);
                System.out.println(report);
            } else {
                System.out.println(file + ": good: " + summary);
            }
        }
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
            description = "Says which route, class and limits a request gets under an operator file, and why.")
    static final class Explain implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "FILE", description = "The operator file.")
        private String file;
        @Parameters(index = "1", paramLabel = "REQUEST", description = "Such as 'GET /api/m100001'.")
        private String request;
        @Option(names = "--tenant", paramLabel = "NAME", description = "The tenant that asks.")
        private String tenant;
        @Option(names = "--class", paramLabel = "NAME", description = "The class that the request names itself.")
        private String service;
        @Option(names = "--header", paramLabel = "NAME=VALUE", description = "A header of the request.")
        private Map<String, String> headers = new HashMap<>();

        @Override
        public Integer call() throws OperatorFileException {
            String[] words = request.trim().split("\\s+");
            if (words.length != 2 || !words[1].startsWith("/")) {
                throw new IllegalArgumentException("not a request such as 'GET /api/m100001': " + request);
            }
            Map<String, String> lower = new HashMap<>();
            headers.forEach((n, v) -> lower.put(n.toLowerCase(Locale.ROOT), v));
            OperatorConfig config = OperatorFile.read(file, PlatformConstraints.UNKNOWN);
            Explanation.of(config, new RouteQuery(words[0], Targets.path(words[1]), tenant, lower::get), service).forEach(System.out::println);
            return 0;
        }
    }

    /** A command that asks a running proxy at its control socket. */
    abstract static class Asking implements Callable<Integer> {
        @Option(names = "--socket", paramLabel = "PATH", required = true,
                description = "The socket that the proxy's operator file names under [control].")
        private Path socket;
        @Option(names = "--json", description = "Print the answer as it came.")
        private boolean json;

        abstract String command();

        /** Says in words what came. */
        abstract void tell(JsonObject answer);

        /** The exit code that the answer means. */
        int code(JsonObject answer) {
            return 0;
        }

        /** Whether to ask again after a second, and so on. */
        boolean again() {
            return false;
        }

        @Override
        public final Integer call() throws InterruptedException {
            int code = ask();
            while (again() && code == 0) {
                TimeUnit.SECONDS.sleep(1);
                code = ask();
            }
            return code;
        }

        private int ask() {
            JsonObject answer;
            try {
                String text = ControlClient.send(socket, command());
                if (json) {
                    System.out.print(text);
                }
                answer = JsonParser.parseString(text).getAsJsonObject();
            } catch (IOException | JsonParseException | IllegalStateException e) {
                Main.printError(String.valueOf(e.getMessage()));
                return EXIT_UNANSWERED;
            }
            if (!json) {
                tell(answer);
            }
            return code(answer);
        }
    }

    @Command(name = "reload", mixinStandardHelpOptions = true, description = {
        "Makes a running proxy read its operator file again, and tells whether it took effect.",
        "Exit code 0: taken. 2: the file has problems and changes nothing. 3: no proxy answered."})
    static final class Reload extends Asking {
        @Override
        String command() {
            return "reload";
        }

        @Override
        void tell(JsonObject answer) {
            if (!answer.has("taken")) {
                return;
            }
            Operated.Reload reload = new Gson().fromJson(answer, Operated.Reload.class);
            reload.problems().forEach(p -> System.err.println(p));
            reload.notes().forEach(n -> System.out.println("note: " + n));
            if (reload.taken()) {
                System.out.println("taken: " + reload.summary());
            } else {
                Main.printError(reload.problems().size() + " problems; " + reload.summary());
            }
        }

        @Override
        int code(JsonObject answer) {
            if (!answer.has("taken")) {
                Main.printError(answer.toString());
                return EXIT_UNANSWERED;
            }
            return answer.get("taken").getAsBoolean() ? 0 : Main.EXIT_CONFIG;
        }
    }

    @Command(name = "status", mixinStandardHelpOptions = true,
            description = "Tells what a running proxy counts and which operator file holds.")
    static final class Status extends Asking {
        @Override
        String command() {
            return "status";
        }

        @Override
        void tell(JsonObject answer) {
            answer.entrySet().forEach(e -> System.out.println(e.getKey() + " " + e.getValue().getAsString()));
        }
    }

    /** A command that is answered with lines, under its own name. */
    abstract static class Lines extends Asking {
        @Override
        void tell(JsonObject answer) {
            answer.getAsJsonArray(command()).forEach(l -> System.out.println(l.getAsString()));
        }
    }

    @Command(name = "nodes", mixinStandardHelpOptions = true,
            description = "Tells which nodes of the operator file's groups are in, why, since when and told by whom.")
    static final class Nodes extends Lines {
        @Override
        String command() {
            return "nodes";
        }
    }

    @Command(name = "halls", mixinStandardHelpOptions = true, description = {
        "Tells how a running proxy's links to other halls are, and what crosses."})
    static final class Halls extends Lines {
        @Override
        String command() {
            return "halls";
        }
    }

    @Command(name = "deadlines", mixinStandardHelpOptions = true, description = {
        "Tells what a running proxy dropped where for want of time, what it keeps for each hop, and how its record of outcomes is."})
    static final class Deadlines extends Lines {
        @Override
        String command() {
            return "deadlines";
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
