package ridgemill.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine;
import ridgemill.lab.fleet.LeasePlay.Times;
import ridgemill.lab.fleet.LeasesMeasured;
import ridgemill.lab.fleet.ProbingMeasured;
import ridgemill.lab.fleet.ReadingMeasured;
import ridgemill.lab.fleet.RollPlay;
import ridgemill.lab.fleet.StragglerPlay;
import ridgemill.lab.fleet.Timeline;

/** The lab's command line: the demonstration, and scenarios by name or file. */
public final class Main {

    private static final int EXIT_MISUSED = 2;

    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String... args) {
        CommandLine line = new CommandLine(new Root());
        line.setParameterExceptionHandler((e, given) -> {
            System.err.println("ridgemill-lab: " + String.valueOf(e.getMessage()).lines().findFirst().orElse("")
                    + " (see '" + e.getCommandLine().getCommandSpec().qualifiedName(" ") + " --help')");
            return EXIT_MISUSED;
        });
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            System.err.println("ridgemill-lab: " + (e.getMessage() == null ? e : e.getMessage()));
            return EXIT_MISUSED;
        });
        return line.execute(args);
    }

    @Command(name = "ridgemill-lab", mixinStandardHelpOptions = true, subcommands = {DemoCommand.class, Run.class,
        ListAll.class, SiteCommand.class, HallsCommand.class, DeadlinesCommand.class,
        LeasesCommand.class, OneReaderCommand.class, OneProberCommand.class,
        RollsCommand.class}, description = "Plays faults on whole fleets of stand-ins, on this machine's loopback alone.")
    static final class Root implements Callable<Integer> {
        @Override
        public Integer call() {
            CommandLine.usage(this, System.err);
            return EXIT_MISUSED;
        }
    }

    @Command(name = "demo", mixinStandardHelpOptions = true,
            description = "Runs nodes, a store, discovery, a proxy and some load, and shows them until Ctrl-C.")
    static final class DemoCommand implements Callable<Integer> {
        @Option(names = "--seconds", paramLabel = "N", description = "End after so long; 0, the default, is never.")
        private int seconds;
        @Option(names = "--rate", paramLabel = "N", defaultValue = "100",
                description = "Requests a second (default: ${DEFAULT-VALUE}).")
        private double rate;
        @Option(names = "--nodes", paramLabel = "N", defaultValue = "6",
                description = "Cache nodes (default: ${DEFAULT-VALUE}).")
        private int nodes;
        @Option(names = "--plain", description = "Print a line a second and leave the screen as it is.")
        private boolean plain;

        @Override
        public Integer call() throws Exception {
            if (seconds < 0 || !(rate > 0) || nodes < 1) {
                throw new IllegalArgumentException("demo: seconds may not be negative, rate and nodes must be positive");
            }
            new Demo(nodes, rate, plain).run(seconds);
            return 0;
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true,
            description = "Plays scenarios and reports; the exit code is 1 if one fails.")
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "NAME", arity = "0..*",
                description = "Names or files of scenarios; all that come with the program if none is given.")
        private List<String> names = new ArrayList<>();
        @Option(names = "--times", paramLabel = "N", defaultValue = "1", description = "How often each is played.")
        private int times;

        @Override
        public Integer call() throws Exception {
            boolean good = true;
            for (String name : names.isEmpty() ? Scenarios.NAMES : names) {
                Scenario scenario = Scenarios.named(name);
                for (int i = 0; i < times; i++) {
                    ScenarioReport report = ScenarioRun.play(scenario);
                    System.out.println(report);
                    good &= report.passed();
                }
            }
            return good ? 0 : 1;
        }
    }

    @Command(name = "site", mixinStandardHelpOptions = true, description = {"Runs nodes, a store and discovery without a "
        + "proxy, until Ctrl-C, and writes a configuration for each proxy that one may start beside them.",
        "Start one with: BALANCER_CONFIG=DIR/p0.json java -jar gateway/target/ridgemill.jar serve"})
    static final class SiteCommand implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "Where the configurations are written; it must be there.")
        private Path directory;
        @Option(names = "--proxies", paramLabel = "N", defaultValue = "1",
                description = "How many (default: ${DEFAULT-VALUE}).")
        private int proxies;
        @Option(names = "--nodes", paramLabel = "N", defaultValue = "6",
                description = "Cache nodes (default: ${DEFAULT-VALUE}).")
        private int nodes;

        @Override
        public Integer call() throws Exception {
            if (!Files.isDirectory(directory) || proxies < 1 || nodes < 1) {
                throw new IllegalArgumentException("site: DIR must be a directory, proxies and nodes positive");
            }
            try (Site site = Site.start(nodes, proxies, directory)) {
                site.files().forEach(f -> System.out.println("wrote " + f));
                System.out.println("running; Ctrl-C ends it");
                new CountDownLatch(1).await();
            }
            return 0;
        }
    }

    @Command(name = "deadlines", mixinStandardHelpOptions = true, description = "Measures what a store works on for clients that have "
            + "left, with and without what is made of deadlines.")
    static final class DeadlinesCommand implements Callable<Integer> {
        @Option(names = "--seed", paramLabel = "N", defaultValue = "7", description = "Of all chance (default: ${DEFAULT-VALUE}).")
        private long seed;
        @Option(names = "--seconds", paramLabel = "N", defaultValue = "8",
                description = "Length of each play (default: ${DEFAULT-VALUE}).")
        private double seconds;
        @Option(names = "--rounds", paramLabel = "N", defaultValue = "0",
                description = "Compare the ways at one load alone, so often in turn; 0, the default, plays all once.")
        private int rounds;
        @Option(names = "--load", paramLabel = "N", defaultValue = "2.5",
                description = "With --rounds, how many times what the store can do (default: ${DEFAULT-VALUE}).")
        private double load;

        @Override
        public Integer call() throws Exception {
            DeadlinesMeasured measured = new DeadlinesMeasured(seed, seconds, Files.createTempDirectory("deadlines"));
            if (rounds > 0) {
                measured.compare(load, rounds);
            } else {
                measured.run();
            }
            return 0;
        }
    }

    @Command(name = "halls", mixinStandardHelpOptions = true, description = "Plays faults on two halls with and without gateways "
        + "between them, and measures what a crossing costs; some four minutes.")
    static final class HallsCommand implements Callable<Integer> {
        @Option(names = "--seed", paramLabel = "N", defaultValue = "7",
                description = "Decides arrivals, keys and losses (default: ${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws Exception {
            new HallsMeasured(seed, Files.createTempDirectory("halls")).run();
            return 0;
        }
    }

    /** What all plays of fleets of processes take. */
    static final class FleetOptions {
        private static final int LEAST = 2;
        private static final int MOST = 15;

        @Option(names = "--seed", paramLabel = "N", description = "Of the first (default: ${DEFAULT-VALUE}).")
        private long seed = 1;
        @Option(names = "--proxies", paramLabel = "N", description = "2 to 15 (default: ${DEFAULT-VALUE}).")
        private int proxies;

        FleetOptions(int proxies) {
            this.proxies = proxies;
        }

        void check(String command, boolean others, String words) {
            if (proxies < LEAST || proxies > MOST || !others) {
                throw new IllegalArgumentException(command + ": " + LEAST + " to " + MOST + " proxies, " + words);
            }
        }
    }

    @Command(name = "leases", mixinStandardHelpOptions = true, description = {"Plays seeded timelines of faults on processes that do one "
        + "task under a lease, and measures how long each kind of fault leaves nobody.", "The exit code is 1 if two acted at once, or nobody again."})
    static final class LeasesCommand implements Callable<Integer> {
        @Option(names = "--timelines", paramLabel = "N", defaultValue = "1000", description = "How many (default: ${DEFAULT-VALUE}).")
        private int timelines;
        @Mixin
        private FleetOptions fleet = new FleetOptions(3);
        @Option(names = "--takeovers", paramLabel = "N", defaultValue = "0", description = "Measure so many faults of each kind instead.")
        private int takeovers;
        @Option(names = "--cost", description = "Measure what one lease costs while nothing happens instead.")
        private boolean cost;
        @Option(names = "--model", description = "Measure fleets of up to 100 proxies in passed-in time instead.")
        private boolean model;
        @Option(names = "--file", paramLabel = "FILE", description = "Play this timeline instead.")
        private Path file;
        @Option(names = "--shrink", description = "Shorten the timeline of --seed, which fails.")
        private boolean shrink;

        @Override
        public Integer call() throws Exception {
            fleet.check("leases", timelines > 0, "1 or more timelines");
            if (model) {
                LeasesMeasured.model(fleet.seed);
                return 0;
            }
            Times times = Times.QUICK;
            LeasesMeasured measured = new LeasesMeasured(times, fleet.proxies);
            if (file != null) {
                return measured.one(file) ? 0 : 1;
            }
            if (shrink) {
                System.out.print(measured.shrunk(Timeline.ofSeed(fleet.seed, fleet.proxies, times.lengthMs(), 3 * times.lengthMs(), times.drift())));
                return 0;
            }
            if (cost) {
                measured.cost(fleet.seed);
                return 0;
            }
            if (takeovers > 0) {
                measured.takeovers(fleet.seed, takeovers);
                return 0;
            }
            return measured.timelines(fleet.seed, timelines) ? 0 : 1;
        }
    }

    @Command(name = "one-reader", mixinStandardHelpOptions = true,
            description = "Plays faults on processes of which one reads a registry for all, and judges what each goes by.")
    static final class OneReaderCommand implements Callable<Integer> {
        @Option(names = "--plays", paramLabel = "N", defaultValue = "20", description = "How many (default: ${DEFAULT-VALUE}).")
        private int plays;
        @Mixin
        private FleetOptions fleet = new FleetOptions(4);
        @Option(names = "--cost", description = "Measure what is spared and how soon a change is known instead.")
        private boolean cost;

        @Override
        public Integer call() throws Exception {
            fleet.check("one-reader", plays > 0, "1 or more plays");
            if (cost) {
                ReadingMeasured.cost(fleet.proxies, fleet.seed);
                return 0;
            }
            return ReadingMeasured.plays(fleet.proxies, fleet.seed, plays) ? 0 : 1;
        }
    }

    @Command(name = "one-prober", mixinStandardHelpOptions = true,
            description = "Measures how soon a node that is back gets requests, with one proxy that asks for all and without.")
    static final class OneProberCommand implements Callable<Integer> {
        @Option(names = "--outages", paramLabel = "N", defaultValue = "8", description = "How many (default: ${DEFAULT-VALUE}).")
        private int outages;
        @Option(names = "--ms", paramLabel = "N", defaultValue = "6000", description = "How long each is (default: ${DEFAULT-VALUE}).")
        private double ms;
        @Mixin
        private FleetOptions fleet = new FleetOptions(3);

        @Override
        public Integer call() throws Exception {
            fleet.check("one-prober", outages > 0 && ms > 0, "1 or more outages of some time");
            ProbingMeasured.print(fleet.proxies, fleet.seed, outages, ms);
            return 0;
        }
    }

    @Command(name = "rolls", mixinStandardHelpOptions = true, description = {"Takes versions through fleets of processes under load, each beside "
        + "one fault in turn, and judges what nodes and clients saw.", "The exit code is 1 if anything was wrong."})
    static final class RollsCommand implements Callable<Integer> {
        @Option(names = "--rolls", paramLabel = "N", defaultValue = "500", description = "How many (default: ${DEFAULT-VALUE}).")
        private int rolls;
        @Option(names = "--each", paramLabel = "N", defaultValue = "6", description = "How many on one fleet (default: ${DEFAULT-VALUE}).")
        private int each;
        @Option(names = "--faults", paramLabel = "NAME", split = ",", description = "Only these, in turn (default: all): ${COMPLETION-CANDIDATES}.")
        private List<RollPlay.Fault> faults = List.of(RollPlay.Fault.values());
        @Option(names = "--stragglers", paramLabel = "N", description = "Has one proxy lag in each of five ways so often instead, and says how long what takes.")
        private int stragglers;
        @Mixin
        private FleetOptions fleet = new FleetOptions(3);

        @Override
        public Integer call() throws Exception {
            fleet.check("rolls", rolls > 0 && each > 0, "1 or more rolls");
            if (stragglers > 0) {
                return StragglerPlay.plays(fleet.proxies, fleet.seed, stragglers) ? 0 : 1;
            }
            return RollPlay.plays(fleet.proxies, fleet.seed, rolls, each, faults) ? 0 : 1;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true, description = "Names the scenarios that come with the program.")
    static final class ListAll implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            for (String name : Scenarios.NAMES) {
                System.out.printf("%-22s %s%n", name, Scenarios.named(name).title());
            }
            return 0;
        }
    }
}
