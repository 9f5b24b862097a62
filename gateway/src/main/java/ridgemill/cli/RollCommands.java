package ridgemill.cli;

import com.google.gson.JsonObject;
import java.nio.file.Path;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ridgemill.Main;

/** The command that takes an operator file through the fleet. */
final class RollCommands {

    private RollCommands() { }

    /** One of the three. */
    static final class What {
        @Parameters(index = "0", paramLabel = "FILE", description = "The file that all are to act under, with a number above all that are known; "
                + "its [control] and [eureka.register] are each proxy's own, and stay. It is read by the proxy, on its machine.")
        private Path file;
        @Option(names = "--status", description = "Tell how the roll goes that is under way, or how the last went.")
        private boolean status;
        @Option(names = "--back", description = "Have the roll go back that the proxy conducts.")
        private boolean back;
    }

    @Command(name = "roll", mixinStandardHelpOptions = true, description = {
        "Takes an operator file through the fleet: staged and checked at all, then acted on by one, a tenth, half and all;",
        "back by a new number where those that moved serve fewer. The proxy that is asked conducts it as soon as it holds the lease.",
        "Exit code 0: begun, or told. 2: no. 3: no proxy answered."})
    static final class Roll extends Commands.Asking {
        @ArgGroup(multiplicity = "1")
        private What what;

        @Override
        String command() {
            return what.status ? "rolls" : what.back ? "roll-back" : "roll " + what.file.toAbsolutePath();
        }

        @Override
        void tell(JsonObject answer) {
            if (answer.has("rolls")) {
                answer.getAsJsonArray("rolls").forEach(line -> System.out.println(line.getAsString()));
            } else {
                System.out.println(answer.has("said") ? answer.get("said").getAsString() : answer);
            }
        }

        @Override
        int code(JsonObject answer) {
            return answer.has("said") && answer.get("said").getAsString().startsWith("no") ? Main.EXIT_CONFIG : 0;
        }
    }
}
