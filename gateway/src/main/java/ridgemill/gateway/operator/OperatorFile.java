package ridgemill.gateway.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import ridgemill.gateway.datacenter.DatacenterSettings;
import ridgemill.gateway.lease.LeaseSettings;
import ridgemill.gateway.membership.eureka.EurekaSettings;
import ridgemill.gateway.operator.OperatorConfig.Listener;
import ridgemill.gateway.operator.OperatorConfig.Target;
import ridgemill.gateway.rollout.RolloutSettings;
import ridgemill.limit.Limits;
import ridgemill.route.RouteTable;
import ridgemill.serviceclass.PlatformConstraints;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.version.AuditEntry;
import ridgemill.version.EffectiveVersion;

/**
 * Reads an operator file, in TOML 1.0, and checks all of it. Each section is read by a class of its own; a section that
 * is added later adds its name here and its class beside the others.
 */
public final class OperatorFile {

    private OperatorFile() { }

    /** Reads a file; throws with every problem that it has. */
    public static OperatorConfig read(String file, PlatformConstraints platform) throws OperatorFileException {
        try {
            return parse(file, Files.readString(Path.of(file)), platform);
        } catch (IOException | InvalidPathException e) {
            throw new OperatorFileException(List.of(new Problem(file, 0, 0, "unreadable", "cannot be read",
                    "name a file that is there")));
        }
    }

    /** Reads a file's text; throws with every problem that it has. */
    public static OperatorConfig parse(String file, String text, PlatformConstraints platform) throws OperatorFileException {
        TomlParseResult parsed = Toml.parse(text);
        List<Problem> problems = new ArrayList<>();
        parsed.errors().forEach(e -> problems.add(new Problem(file, e.position().line(), e.position().column(), "syntax",
                firstLine(e.getMessage()), "see toml.io for how it is written")));
        if (!problems.isEmpty()) {
            throw new OperatorFileException(problems);
        }
        OperatorConfig config = sections(new Section(file, "", parsed, 1, 1, problems), platform, digest(parsed));
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column));
            throw new OperatorFileException(problems);
        }
        return config;
    }

    /** Of what a file says, but for what is each proxy's own: two proxies with the same act the same, whatever remarks there are. */
    private static String digest(TomlParseResult parsed) {
        StringBuilder text = new StringBuilder();
        said(parsed).forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
        return AuditEntry.hash(text.toString());
    }

    private static SortedMap<String, String> said(TomlParseResult parsed) {
        SortedMap<String, String> said = new TreeMap<>();
        parsed.dottedKeySet().stream().filter(k -> EffectiveVersion.LOCAL_SECTIONS.stream().noneMatch(s -> k.startsWith(s + "."))).forEach(k -> {
            Object value = parsed.get(k);
            said.put(k, String.valueOf(value instanceof TomlArray a ? a.toJson() : value).strip());
        });
        return said;
    }

    /**
     * What two files say otherwise, but for what is each proxy's own: {@code - key = value} of the first, {@code + key = value} of the second.
     *
     * @throws IOException where one can't be read, or is no TOML
     */
    public static List<String> differences(Path first, Path second) throws IOException {
        SortedMap<String, String> before = said(toml(first));
        SortedMap<String, String> after = said(toml(second));
        List<String> lines = new ArrayList<>();
        Set<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            if (!Objects.equals(before.get(key), after.get(key))) {
                if (before.containsKey(key)) {
                    lines.add("- " + key + " = " + before.get(key));
                }
                if (after.containsKey(key)) {
                    lines.add("+ " + key + " = " + after.get(key));
                }
            }
        }
        return lines;
    }

    private static TomlParseResult toml(Path file) throws IOException {
        TomlParseResult parsed;
        try {
            parsed = Toml.parse(Files.readString(file));
        } catch (IOException e) {
            throw new IOException(file + ": cannot be read; name a file that is there", e);
        }
        if (parsed.hasErrors()) {
            throw new IOException(file + ":" + parsed.errors().get(0).position().line() + ": " + firstLine(parsed.errors().get(0).getMessage())
                    + "; see toml.io for how it is written");
        }
        return parsed;
    }

    /** The number that a file gives itself, whatever else is wrong with it; 0 where that can't be read. */
    static long versionOf(String file) {
        try {
            Object version = Toml.parse(Files.readString(Path.of(file))).get("version");
            return version instanceof Long number && number > 0 ? number : 0;
        } catch (IOException | IllegalArgumentException e) {
            return 0;
        }
    }

    private static String firstLine(String message) {
        return String.valueOf(message).lines().findFirst().orElse("can't be read").replaceAll(" \\(line \\d+, column \\d+\\)", "");
    }

    private static OperatorConfig sections(Section root, PlatformConstraints platform, String digest) {
        Map<String, ServiceClassPolicy> classes = ClassesSection.read(root, platform);
        EurekaSettings eureka = EurekaSection.read(root);
        Map<String, NodeGroup> groups = GroupsSection.read(root, eureka);
        RouteTable<Target> routes = RoutesSection.read(root, classes, groups);
        Limits limits = LimitsSection.read(root, classes);
        List<Listener> listeners = ListenersSection.read(root);
        Map<String, String> passwords = RespSection.read(root);
        Path control = ControlSection.read(root);
        DatacenterSettings halls = HallsSection.read(root, classes, platform);
        ProcessSettings process = ProcessSection.read(root, halls != null);
        DeadlineSettings deadlines = DeadlinesSection.read(root);
        OutcomeSettings outcomes = OutcomesSection.read(root, classes, process.loops());
        LeaseSettings leases = LeasesSection.read(root, process.loops());
        AuditSettings audit = AuditSection.read(root, process.loops());
        long version = AuditSection.version(root);
        RolloutSettings rollout = RolloutSection.read(root);
        if (rollout != null && (leases == null || audit == null || version == 0)) {
            root.problem("rollout", "rollout-alone", "versions go through the fleet under a lease, by their numbers and by what proxies tell of themselves",
                    "add [leases], [audit] and version = N");
        }
        if (eureka != null && eureka.oneReader() != null && leases == null) {
            root.problem("eureka", "one-reader-without-leases", "eureka.one-reader is on, and no lease says who reads", "add [leases]");
        }
        root.done();
        return new OperatorConfig(classes, routes, limits, groups, listeners, passwords, eureka,
                EurekaSection.register(root), control, halls, deadlines, outcomes, leases, rollout, version, digest, audit, process);
    }
}
