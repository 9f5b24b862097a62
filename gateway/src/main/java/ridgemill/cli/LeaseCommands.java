package ridgemill.cli;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import ridgemill.Main;
import ridgemill.gateway.net.Addresses;

/** The commands about leases and the tasks that are done under them. */
final class LeaseCommands {

    private LeaseCommands() { }

    @Command(name = "leases", mixinStandardHelpOptions = true, description = {
        "Tells who holds each lease as a running proxy knows, under which term and for how long, or why nobody does."})
    static final class Shown extends Commands.Lines {
        @Option(names = "--watch", description = "Tell again every second until Ctrl-C.")
        private boolean watch;

        @Override
        String command() {
            return "leases";
        }

        @Override
        boolean again() {
            return watch;
        }
    }

    @Command(name = "lease", mixinStandardHelpOptions = true, description = "Does something about one lease.",
            subcommands = {Release.class, Forbid.class})
    static final class Lease extends Parent { }

    @Command(name = "fleet", mixinStandardHelpOptions = true, description = "Does something for the whole fleet.",
            subcommands = {Run.class, AuditCommands.Audit.class, AuditCommands.Versions.class, AuditCommands.Diff.class, AuditCommands.KeptFiles.class, RollCommands.Roll.class})
    static final class Fleet extends Parent { }

    /** A command that is nothing without one of its own. */
    abstract static class Parent implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().usage(System.err);
            return Main.EXIT_CONFIG;
        }
    }

    /** One that is told in a few words what came of it. */
    abstract static class Said extends Commands.Asking {
        @Parameters(index = "0", paramLabel = "NAME", description = "The task, as [leases.calls.NAME] names it.")
        private String name;

        String name() {
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                throw new IllegalArgumentException("not the name of a task: " + name);
            }
            return name;
        }

        @Override
        void tell(JsonObject answer) {
            System.out.println(answer.has("said") ? answer.get("said").getAsString() : answer);
        }
    }

    @Command(name = "release", mixinStandardHelpOptions = true,
            description = "Makes the proxy give a lease back, if it holds it; another, or it again, may have it next.")
    static final class Release extends Said {
        @Option(names = "--to", paramLabel = "ADDRESS", description = "Leave it to this proxy, by its peers' address, if it votes on the task.")
        private String to;

        @Override
        String command() {
            return "lease release " + name() + (to == null ? "" : " " + Addresses.text(Addresses.parse(to)));
        }
    }

    @Command(name = "forbid", mixinStandardHelpOptions = true, description = "Nobody is to hold a lease for a time: the proxy tells all its "
            + "voters. One that is cut off meanwhile may still hold it until its term is over.")
    static final class Forbid extends Said {
        @Option(names = "--for", paramLabel = "TIME", required = true, description = "Such as 30s or 5min.")
        private String time;

        @Override
        String command() {
            long ms = Commands.timeMs(time, "30s or 5min", List.of("ms", "s", "min"));
            return "lease forbid " + name() + " " + Math.min(Integer.MAX_VALUE, ms);
        }
    }

    @Command(name = "run", mixinStandardHelpOptions = true, description = {"Starts a task of [leases.calls] once, at the proxy that is asked.",
        "It asks for the task's lease and calls each target in turn while it holds it; see leases for how it goes."})
    static final class Run extends Said {
        @Override
        String command() {
            return "lease run " + name();
        }
    }
}
