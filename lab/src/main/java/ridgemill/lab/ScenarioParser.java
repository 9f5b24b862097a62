package ridgemill.lab;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ridgemill.lab.Scenario.Expectation;
import ridgemill.lab.Scenario.Step;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.Fault;
import ridgemill.testbed.node.NodeProfile;

/**
 * Reads scenarios. One statement a line; what follows a {@code #} is a remark. Times are {@code 250ms} or {@code 2s}.
 *
 * <pre>
 * title TEXT
 * seed N
 * proxies N [processes]
 * nodes N [read T] [write T] [queue N] [connections N] [idle T] [cores N] [cold T] [filled]
 * store [read T] [write T] [queue N] [cores N]
 * links                                   a link between each proxy and each node
 * load N/s for T [keys N] [skew X] [pipeline N] [leave X] [retries N]
 * slack T
 * at T ACTION
 * expect served|refused|failed|late|unanswered CLASS|all &gt;=|&lt;= SHARE
 *
 * ACTION: kill NODE | start NODE | drain NODE | undrain NODE | join NODE | remove NODE | up NODE
 *       | fault NODE FAULT SHARE | slow NODE TIMES | pace NODE BYTES_PER_S | heal NODE | flush NODE
 *       | link NODE|all [loss X] [delay T] [bandwidth N] [cut|cut-back] | link NODE|all clear|reset|stall T
 *       | discovery late T|silent|stale|nonsense|broken|well
 *       | proxy term|kill|start|hangup NAME
 *       | peers LOSS_SHARE DELAY
 *       | half-open N
 * </pre>
 *
 * <p>NODE is c0, c1, ... or db. {@code kill} and {@code start} are not told by discovery; {@code drain}, {@code join},
 * {@code remove} and {@code up} are.
 */
public final class ScenarioParser {

    private static final Map<String, Integer> ACTIONS = Map.ofEntries(Map.entry("kill", 1), Map.entry("start", 1),
            Map.entry("drain", 1), Map.entry("undrain", 1), Map.entry("join", 1), Map.entry("remove", 1),
            Map.entry("up", 1), Map.entry("fault", 3), Map.entry("slow", 2), Map.entry("pace", 2), Map.entry("heal", 1),
            Map.entry("flush", 1), Map.entry("link", -2), Map.entry("discovery", -1), Map.entry("proxy", 2),
            Map.entry("peers", 2), Map.entry("half-open", 1));
    private static final Set<String> MEASURES = Set.of("served", "refused", "failed", "late", "unanswered");

    private final String name;
    private final Map<String, Integer> seen = new HashMap<>();
    private final List<Step> steps = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();
    private String title = "";
    private long seed = 1;
    private int proxies = 1;
    private boolean processes;
    private int nodes = 4;
    private NodeProfile cache = NodeProfile.CACHE;
    private NodeProfile store = NodeProfile.STORE;
    private boolean linked;
    private boolean prefilled;
    private LoadProfile load = LoadProfile.USUAL;
    private double slackMs = 250;
    private int line;

    private ScenarioParser(String name) {
        this.name = name;
    }

    /** Reads a scenario; throws {@link ScenarioException} with the name and the line where it makes no sense. */
    public static Scenario parse(String name, String text) {
        ScenarioParser parser = new ScenarioParser(name);
        text.lines().forEach(parser::line);
        return new Scenario(name, parser.title, parser.seed, parser.proxies, parser.processes, parser.nodes,
                parser.cache, parser.store, parser.linked, parser.prefilled, parser.load, parser.slackMs, parser.steps,
                parser.expectations);
    }

    private void line(String text) {
        line++;
        int remark = text.indexOf('#');
        String bare = (remark < 0 ? text : text.substring(0, remark)).trim();
        if (bare.isEmpty()) {
            return;
        }
        List<String> words = Arrays.asList(bare.split("\\s+"));
        List<String> rest = words.subList(1, words.size());
        String word = words.get(0);
        if (!word.equals("at") && !word.equals("expect") && seen.putIfAbsent(word, line) != null) {
            throw wrong(word + " stands on line " + seen.get(word) + " already");
        }
        switch (word) {
            case "title" -> title = String.join(" ", rest);
            case "seed" -> seed = (long) number(only(rest));
            case "proxies" -> proxies(rest);
            case "nodes" -> nodes(rest);
            case "store" -> store = profile(store, rest.iterator());
            case "links" -> linked = rest.isEmpty() || fail("links takes no more words");
            case "load" -> load(rest);
            case "slack" -> slackMs = time(only(rest));
            case "at" -> step(rest);
            case "expect" -> expect(rest);
            default -> throw wrong("unknown statement: " + word);
        }
    }

    private ScenarioException wrong(String what) {
        return new ScenarioException(name, line, what);
    }

    private boolean fail(String what) {
        throw wrong(what);
    }

    private String only(List<String> rest) {
        return rest.size() == 1 ? rest.get(0) : String.valueOf(fail("one value is wanted here"));
    }

    private String next(Iterator<String> words, String after) {
        return words.hasNext() ? words.next() : String.valueOf(fail(after + " needs a value"));
    }

    private double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw wrong("not a number: " + text);
        }
    }

    private double time(String text) {
        if (text.endsWith("ms")) {
            return number(text.substring(0, text.length() - 2));
        }
        return text.endsWith("s") ? 1000 * number(text.substring(0, text.length() - 1))
                : Double.parseDouble(String.valueOf(fail("not a time, such as 250ms or 2s: " + text)));
    }

    private void proxies(List<String> rest) {
        proxies = (int) number(rest.isEmpty() ? "" : rest.get(0));
        processes = rest.size() == 2 && rest.get(1).equals("processes");
        if (rest.size() > 1 && !processes || proxies < 1) {
            throw wrong("proxies takes a number and maybe the word processes");
        }
    }

    private void nodes(List<String> rest) {
        nodes = (int) number(rest.isEmpty() ? "" : rest.get(0));
        List<String> more = new ArrayList<>(rest.subList(1, rest.size()));
        prefilled = more.remove("filled");
        cache = profile(cache, more.iterator());
    }

    private NodeProfile profile(NodeProfile p, Iterator<String> words) {
        NodeProfile got = p;
        while (words.hasNext()) {
            String word = words.next();
            String value = next(words, word);
            got = switch (word) {
                case "read" -> got.working(time(value), got.writeMs());
                case "write" -> got.working(got.readMs(), time(value));
                case "queue" -> got.holding((int) number(value), got.connections(), got.idleCloseMs());
                case "connections" -> got.holding(got.queue(), (int) number(value), got.idleCloseMs());
                case "idle" -> got.holding(got.queue(), got.connections(), time(value));
                case "cores" -> got.cores((int) number(value));
                case "cold" -> got.cold(time(value));
                default -> throw wrong("unknown: " + word);
            };
        }
        return got;
    }

    private void load(List<String> rest) {
        if (rest.size() < 3 || !rest.get(0).endsWith("/s") || !rest.get(1).equals("for")) {
            throw wrong("load reads as: load 100/s for 5s ...");
        }
        String rate = rest.get(0);
        load = load.rate(number(rate.substring(0, rate.length() - 2)), time(rest.get(2)) / 1000);
        Iterator<String> words = rest.subList(3, rest.size()).iterator();
        while (words.hasNext()) {
            String word = words.next();
            double value = number(next(words, word));
            load = switch (word) {
                case "keys" -> load.keys((int) value, load.skew());
                case "skew" -> load.keys(load.keys(), value);
                case "pipeline" -> load.pipelined((int) value);
                case "leave" -> load.leaving(value);
                case "retries" -> load.retrying((int) value, load.retryWaitMs());
                default -> throw wrong("unknown: " + word);
            };
        }
    }

    private void step(List<String> rest) {
        if (rest.size() < 2) {
            throw wrong("at reads as: at 2s kill c1");
        }
        double at = time(rest.get(0));
        List<String> words = List.copyOf(rest.subList(1, rest.size()));
        Integer values = ACTIONS.get(words.get(0));
        int given = words.size() - 1;
        if (values == null) {
            throw wrong("unknown action: " + words.get(0));
        }
        if (values >= 0 ? given != values : given < -values) {
            throw wrong(words.get(0) + " takes " + Math.abs(values) + " values" + (values < 0 ? " or more" : ""));
        }
        switch (words.get(0)) {
            case "fault" -> {
                fault(words.get(2));
                number(words.get(3));
            }
            case "slow", "pace" -> number(words.get(2));
            case "half-open" -> number(words.get(1));
            case "peers" -> {
                number(words.get(1));
                time(words.get(2));
            }
            case "link" -> {
                if (!linked) {
                    throw wrong("there are no links; say so with a line: links");
                }
            }
            default -> { }
        }
        steps.add(new Step(at, words, line));
    }

    private void fault(String word) {
        try {
            faultOf(word);
        } catch (IllegalArgumentException e) {
            throw wrong("unknown fault: " + word);
        }
    }

    /** The fault that a word such as {@code half-answer} names. */
    static Fault faultOf(String word) {
        return Fault.valueOf(word.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
    }

    /** The milliseconds that a time such as {@code 2s} means; it has been checked when the scenario was read. */
    static double timeOf(String word) {
        return new ScenarioParser("time").time(word);
    }

    private void expect(List<String> rest) {
        if (rest.size() != 4 || !MEASURES.contains(rest.get(0)) || !rest.get(2).equals(">=") && !rest.get(2).equals("<=")) {
            throw wrong("expect reads as: expect served all >= 0.95");
        }
        boolean known = rest.get(1).equals("all") || load.classes().stream().anyMatch(c -> c.name().equals(rest.get(1)));
        if (!known) {
            throw wrong("no such class: " + rest.get(1));
        }
        expectations.add(new Expectation(rest.get(0), rest.get(1), rest.get(2).equals(">="), number(rest.get(3)), line));
    }
}
