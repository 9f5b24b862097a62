package ridgemill.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import ridgemill.gateway.operator.OperatorFile;
import ridgemill.version.AuditLineFormat;

/** The commands about which version acted when. */
final class AuditCommands {

    private static final double MS_PER_S = 1000;

    private AuditCommands() { }

    @Command(name = "diff", mixinStandardHelpOptions = true, description = {"Tells what two operator files say otherwise, a line for each key: "
        + "- what only the first says, + what only the second does.", "Order and remarks count for nothing. Exit code 0: they say the same. 1: they do not."})
    static final class Diff implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "A")
        private Path first;
        @Parameters(index = "1", paramLabel = "B")
        private Path second;

        @Override
        public Integer call() throws IOException {
            List<String> lines = OperatorFile.differences(first, second);
            lines.forEach(System.out::println);
            return lines.isEmpty() ? 0 : 1;
        }
    }

    @Command(name = "audit", mixinStandardHelpOptions = true, description = {
        "Tells what a running proxy acted under since its start: each version with its requests by class and outcome,",
        "each change with its cause, and whether the record is whole."})
    static final class Audit extends Commands.Asking {
        @Option(names = "--version", paramLabel = "N", description = "Only of this version of the operator file.")
        private Long version;
        @Option(names = "--since", paramLabel = "TIME", description = "Only what went on or happened within this time, such as 30s, 5min or 2h.")
        private String since;
        @Option(names = "--request", paramLabel = "ID", description = "Of one request that this process took lately, by its id: what it was decided "
            + "under, where it was sent, how it ended and why.")
        private String request;
        private double from = Double.NEGATIVE_INFINITY;

        @Override
        String command() {
            if (request != null) {
                return "audit " + request;
            }
            if (since != null) {
                from = System.currentTimeMillis() - Commands.timeMs(since, "30s, 5min or 2h", List.of("s", "min", "h"));
            }
            return "audit";
        }

        private static void tellRequest(JsonObject r) {
            System.out.printf("%s: %s under %s, list %d%s%n", r.get("id").getAsString(), r.get("class").getAsString(), r.get("under").getAsString(),
                    r.get("list").getAsLong(), r.get("group").getAsString().isEmpty() ? "" : " of " + r.get("group").getAsString());
            for (JsonElement e : r.getAsJsonArray("attempts")) {
                JsonObject sent = e.getAsJsonObject();
                System.out.printf("  after %.1f ms to %s: %s%n", sent.get("after_ms").getAsDouble(), sent.get("node").getAsString(),
                        sent.has("outcome") ? "%s after %.1f ms".formatted(sent.get("outcome").getAsString(), sent.get("took_ms").getAsDouble())
                        : "out still");
            }
            System.out.println(r.has("end") ? "  %s after %.1f ms%s".formatted(r.get("end").getAsString(), r.get("took_ms").getAsDouble(),
                    r.get("why").getAsString().equals("unsaid") ? "" : ": " + r.get("why").getAsString()) : "  open still");
        }

        @Override
        int code(JsonObject answer) {
            return request != null && !answer.has("under") ? 1 : 0;
        }

        @Override
        void tell(JsonObject answer) {
            if (request != null && answer.has("under")) {
                tellRequest(answer);
                return;
            }
            if (!answer.has("eras")) {
                System.out.println(answer.get("reason").getAsString());
                return;
            }
            System.out.println(answer.get("acts_under").getAsString() + (answer.has("refused") ? "; refused " + answer.get("refused").getAsString() : ""));
            for (JsonElement e : answer.getAsJsonArray("eras")) {
                JsonObject era = e.getAsJsonObject();
                boolean isOver = era.get("from_ms").getAsDouble() + MS_PER_S * era.get("for_s").getAsDouble() < from;
                if (isOver || version != null && !era.get("version").getAsString().startsWith(version + ".")) {
                    continue;
                }
                System.out.printf("%s for %.1f s by %s: %d requests, %d open, %d attempts; build %s, platform %s%n", era.get("version").getAsString(),
                        era.get("for_s").getAsDouble(), era.get("cause").getAsString(), era.get("begun").getAsLong(), era.get("open").getAsLong(),
                        era.get("attempts").getAsLong(), era.get("build").getAsString(), era.get("platform").getAsString());
                for (Map.Entry<String, JsonElement> c : era.getAsJsonObject("classes").entrySet()) {
                    System.out.println("  " + c.getKey() + " " + c.getValue());
                }
            }
            if (version == null) {
                // An entry's second word is when it was, in milliseconds.
                answer.getAsJsonArray("entries").asList().stream().map(JsonElement::getAsString)
                        .filter(e -> Double.parseDouble(e.split(" ")[1]) >= from).forEach(System.out::println);
            }
            System.out.println(answer.has("flaw") ? "THE RECORD IS NOT WHOLE: " + answer.get("flaw").getAsString()
                    : "the record is whole");
        }
    }

    @Command(name = "kept", mixinStandardHelpOptions = true, description = {
        "Tells what the files of a directory that [audit] keep-in names hold: each process with its versions, their counts, its changes,",
        "and the holes of its record. No process is asked. Exit code 0: no holes. 1: there are some."})
    static final class KeptFiles implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", arity = "1..*", description = "Oldest first, such as acts-p0.log.1 acts-p0.log.")
        private List<Path> files;

        @Override
        public Integer call() throws IOException {
            List<String> lines = new ArrayList<>();
            for (Path file : files) {
                // A torn line may hold anything.
                lines.addAll(List.of(Files.readString(file, StandardCharsets.ISO_8859_1).split("\n")));
            }
            boolean whole = true;
            for (AuditLineFormat.ProcessRecord t : AuditLineFormat.read(lines)) {
                System.out.printf("%s#%s: %d entries%s%n", t.proxy(), Integer.toHexString(t.incarnation()), t.entries().size(),
                        t.gaps().isEmpty() ? ", whole" : "; HOLES: " + String.join(", ", t.gaps()));
                t.counts().values().forEach(c -> System.out.printf("  %s until %s: %d requests, %d attempts, %d served, %d refused, %d failed, %d gone%n",
                        c.version(), Instant.ofEpochMilli((long) c.atMs()), c.begun(), c.attempts(), c.served(), c.refused(), c.failed(), c.gone()));
                t.entries().forEach(e -> System.out.printf("  %s %s%n", Instant.ofEpochMilli((long) e.atMs()), e.description()));
                whole &= t.gaps().isEmpty();
            }
            return whole ? 0 : 1;
        }
    }

    @Command(name = "versions", mixinStandardHelpOptions = true, description = {
        "Tells how each proxy of the fleet is as the one that is asked knows: what it acts under, since when, who lags and why."})
    static final class Versions extends Commands.Lines {
        @Override
        String command() {
            return "versions";
        }
    }
}
