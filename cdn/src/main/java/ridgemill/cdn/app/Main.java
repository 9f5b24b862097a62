package ridgemill.cdn.app;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import ridgemill.cdn.metrics.MetricsEndpoint;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.settings.SettingsError;
import ridgemill.cdn.settings.SettingsReader;

/** The command line of the CDN programs. Invalid input causes one line on standard error and exit code 2. */
public final class Main {

    private static final String SETTINGS_VARIABLE = "RIDGEMILL_CONFIG";
    private static final String DEFAULT_SETTINGS = "/etc/ridgemill/local.toml";
    private static final String METRICS = "metrics";
    private static final String METRICS_PREFIX = "--" + METRICS + "=";
    private static final int EXIT_BAD_INPUT = 2;
    private static final String USAGE =
            "ridgemill-cdn [--settings FILE] [--metrics PORT/PATH] proxy|cache|registry|store|check|demo|version";
    private static final String COMMAND_HELP =
            "proxy serves clients; cache reads objects for all proxies; registry takes the calls of instances and operators; store "
                    + "keeps the configuration; check reads the settings and says what is wrong with them.";

    private Main() {}

    /** Runs the command that is given on the command line. */
    public static void main(String[] arguments) throws Exception {
        // The usual command lines of a deployment are handled without the parser, which saves loading its classes at
        // each start.
        if (arguments.length == 1 && !arguments[0].startsWith("-")) {
            run(arguments[0], settingsPath(), Option.none());
            return;
        }
        if (arguments.length == 2 && arguments[0].startsWith(METRICS_PREFIX) && !arguments[1].startsWith("-")) {
            run(arguments[1], settingsPath(), metrics(arguments[0].substring(METRICS_PREFIX.length())));
            return;
        }
        Options options = new Options();
        options.addOption(org.apache.commons.cli.Option.builder()
                .longOpt("settings")
                .hasArg()
                .argName("FILE")
                .desc("the settings file; else the variable " + SETTINGS_VARIABLE + ", else " + DEFAULT_SETTINGS)
                .build());
        options.addOption(org.apache.commons.cli.Option.builder()
                .longOpt(METRICS)
                .hasArg()
                .argName("PORT/PATH")
                .desc("where the process serves its figures, on its machine's address; else it does not")
                .build());
        options.addOption(org.apache.commons.cli.Option.builder("h")
                .longOpt("help")
                .desc("print this text")
                .build());
        CommandLine line = parse(options, arguments);
        if (line.hasOption("help")) {
            new HelpFormatter().printHelp(USAGE, null, options, COMMAND_HELP);
            return;
        }
        if (line.getArgs().length != 1) {
            fail("exactly one command is required: " + USAGE);
        }
        run(
                line.getArgs()[0],
                Path.of(line.getOptionValue("settings", settingsPath().toString())),
                line.hasOption(METRICS) ? metrics(line.getOptionValue(METRICS)) : Option.none());
    }

    private static CommandLine parse(Options options, String[] arguments) {
        try {
            return new DefaultParser().parse(options, arguments);
        } catch (ParseException malformed) {
            fail(malformed.getMessage());
            throw new IllegalStateException(malformed);
        }
    }

    private static Path settingsPath() {
        String configuredPath = System.getenv(SETTINGS_VARIABLE);
        return Path.of(configuredPath == null || configuredPath.isEmpty() ? DEFAULT_SETTINGS : configuredPath);
    }

    private static void run(String command, Path settingsPath, Option<MetricsEndpoint> metrics) throws Exception {
        switch (command) {
            case "proxy" -> new Process(settings(settingsPath), settingsPath, metrics).runProxy();
            case "cache" -> new Process(settings(settingsPath), settingsPath, metrics).runCache();
            case "registry" -> new Process(settings(settingsPath), settingsPath, metrics).runRegistry();
            case "store" -> new Process(settings(settingsPath), settingsPath, metrics).runStore();
            case "check" -> {
                Settings settings = settings(settingsPath);
                System.out.println(settingsPath + ": good; machine " + settings.nodeName());
            }
            case "demo" -> Demonstration.run();
            case "rehearse" -> ClassArchiveTraining.run();
            case "version" -> System.out.println(version());
            default -> fail("unknown command " + command + ": " + USAGE);
        }
    }

    private static Option<MetricsEndpoint> metrics(String text) {
        Option<MetricsEndpoint> endpoint = MetricsEndpoint.parse(text);
        if (endpoint.isEmpty()) {
            fail("--" + METRICS + " takes PORT/PATH, not " + text);
        }
        return endpoint;
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unknown" : version;
    }

    private static Settings settings(Path path) {
        Either<SettingsError, Settings> read = SettingsReader.read(path);
        if (read.isLeft()) {
            fail(read.getLeft().describe());
        }
        return read.get();
    }

    static void fail(String reason) {
        System.err.println("ridgemill-cdn: " + reason);
        System.exit(EXIT_BAD_INPUT);
    }
}
