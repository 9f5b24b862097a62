package ridgemill.lab;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import ridgemill.lab.Scenario.Step;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.link.Link;
import ridgemill.testbed.link.Link.Conditions;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.Summary;
import ridgemill.testbed.node.CacheNode;
import ridgemill.testbed.node.StandIn;
import ridgemill.testbed.peers.PeerNet;

/** Plays one scenario from start to end, on loopback, and reports what came of it. */
public final class ScenarioRun {

    private static final double REPEAT_WINDOW_MS = 6000;
    private static final long PATIENCE_S = 120;
    /** New connections still come to a proxy for so long after it was told to end, as a front takes time to see it. */
    private static final double NOTICED_MS = 300;

    private static boolean rehearsed;

    private final Scenario scenario;
    private final Map<String, ProxyUnderTest> proxies = new LinkedHashMap<>();
    private final List<CompletableFuture<Void>> pending = new ArrayList<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private Testbed bed;
    private Load load;
    private PeerNet peers;

    private ScenarioRun(Scenario scenario) {
        this.scenario = scenario;
    }

    /** Plays it; throws only where it can't be played at all. */
    public static ScenarioReport play(Scenario scenario) throws Exception {
        rehearse();
        return new ScenarioRun(scenario).play();
    }

    /**
     * Once for this process: a proxy warms up before it serves, but one that runs in here does so on code that the
     * clients and the stand-ins need too. On a busy core their first second went into loading and compiling it, and was
     * counted against the proxy.
     */
    private static synchronized void rehearse() throws Exception {
        if (!rehearsed) {
            rehearsed = true;
            new ScenarioRun(ScenarioParser.parse("rehearsal", "nodes 3\nload 300/s for 3s keys 100\n")).play();
        }
    }

    private ScenarioReport play() throws Exception {
        Path directory = Files.createTempDirectory("ridgemill-scenario");
        double lateness;
        try (Testbed testbed = new Testbed(scenario.nodes(), scenario.cache(), scenario.store(), scenario.linked(),
                REPEAT_WINDOW_MS, scenario.seed())) {
            bed = testbed;
            fill();
            SplittableRandom seeds = new SplittableRandom(scenario.seed() + 1);
            List<InetSocketAddress> peerSockets = new ArrayList<>();
            for (int i = 0; i < scenario.proxies(); i++) {
                peerSockets.add(Reservation.datagramAddress());
            }
            try (PeerNet net = new PeerNet(bed.linkLoop(), peerSockets, seeds.nextLong())) {
                peers = net;
                startProxies(directory, peerSockets, seeds);
                Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
                proxies.values().forEach(p -> addresses.put(p.name(), p.address()));
                load = bed.load(scenario.load(), addresses);
                bed.forgetLateness();
                long began = System.nanoTime();
                CompletableFuture<Void> played = load.start();
                steps(began);
                played.get(PATIENCE_S, TimeUnit.SECONDS);
                CompletableFuture.allOf(pending.toArray(CompletableFuture[]::new)).get(PATIENCE_S, TimeUnit.SECONDS);
            } finally {
                for (ProxyUnderTest proxy : proxies.values()) {
                    proxy.kill();
                }
                reservations.forEach(Reservation::close);
            }
            lateness = bed.latenessMs();
        } finally {
            try (Stream<Path> left = Files.walk(directory)) {
                for (Path path : left.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        return new ScenarioReport(scenario, new Summary(bed.ledger()),
                new Auditor(bed.ledger(), Auditor.Limits.STRICT.withSlack(scenario.slackMs() + lateness)).audit(), lateness);
    }

    private void fill() {
        if (scenario.prefilled()) {
            var keys = IntStream.range(0, scenario.load().keys()).mapToObj(Load::key).collect(Collectors.toSet());
            bed.fleet().caches().forEach(n -> n.warm(keys));
        }
    }

    private void startProxies(Path directory, List<InetSocketAddress> listen, SplittableRandom seeds) throws Exception {
        for (int i = 0; i < scenario.proxies(); i++) {
            String name = "p" + i;
            boolean alone = scenario.proxies() == 1;
            InetSocketAddress address = scenario.processes() ? reserve() : new InetSocketAddress("127.0.0.1", 0);
            var config = ProxyConfig.of(name, i, scenario.proxies(), address, bed.place(name), scenario.load(),
                    scenario.cache(), alone ? null : listen.get(i), peers.addresses(), seeds.nextLong());
            proxies.put(name, scenario.processes() ? new ProcessProxy(name, address, config, directory)
                    : new InProcessProxy(name, config));
        }
        List<CompletableFuture<Void>> starting = new ArrayList<>();
        proxies.values().forEach(p -> starting.add(aside(p::start)));
        CompletableFuture.allOf(starting.toArray(CompletableFuture[]::new)).get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private InetSocketAddress reserve() {
        Reservation held = new Reservation();
        reservations.add(held);
        return held.address();
    }

    private interface Task {
        void run() throws Exception;
    }

    /** What takes its time must not hold up the timeline. */
    private static CompletableFuture<Void> aside(Task task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        Thread thread = new Thread(() -> {
            try {
                task.run();
                done.complete(null);
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        }, "scenario-task");
        thread.setDaemon(true);
        thread.start();
        return done;
    }

    private void steps(long began) throws Exception {
        List<Step> inOrder = scenario.steps().stream().sorted(Comparator.comparingDouble(Step::atMs)).toList();
        for (Step step : inOrder) {
            long wait = began + (long) (step.atMs() * 1e6) - System.nanoTime();
            if (wait > 0) {
                // The timeline is the scenario's own clock: this waits for its next entry and for nothing else.
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            try {
                act(step.words());
            } catch (IllegalArgumentException e) {
                throw new ScenarioException(scenario.name(), step.line(), e.getMessage());
            }
        }
    }

    private void act(List<String> words) throws Exception {
        String first = words.size() > 1 ? words.get(1) : "";
        switch (words.get(0)) {
            case "kill" -> node(first).kill();
            case "start" -> {
                node(first).start();
                bed.say(first, "up");
            }
            case "drain" -> {
                node(first).drain();
                bed.say(first, "draining");
            }
            case "undrain" -> {
                node(first).undrain();
                bed.say(first, "up");
            }
            case "join" -> {
                bed.joinCold(first);
            }
            case "remove" -> bed.say(first, "removed");
            case "up" -> bed.say(first, "up");
            case "fault" -> node(first).faults().share(ScenarioParser.faultOf(words.get(2)),
                    Double.parseDouble(words.get(3)));
            case "slow" -> node(first).faults().slower(Double.parseDouble(words.get(2)));
            case "pace" -> node(first).faults().pace(Integer.parseInt(words.get(2)), Integer.parseInt(words.get(2)));
            case "heal" -> node(first).faults().clear();
            case "flush" -> ((CacheNode) node(first)).flush();
            case "link" -> link(first, words.subList(2, words.size()));
            case "discovery" -> discovery(words.subList(1, words.size()));
            case "proxy" -> proxy(first, words.get(2));
            case "peers" -> peers.set(Double.parseDouble(first), ScenarioParser.timeOf(words.get(2)));
            case "half-open" -> load.halfOpen((int) Double.parseDouble(first));
            default -> throw new IllegalArgumentException("unknown action: " + words.get(0));
        }
    }

    private StandIn node(String name) {
        return bed.fleet().node(name);
    }

    private void link(String to, List<String> how) {
        List<Link> links = bed.places().values().stream().flatMap(p -> p.links().entrySet().stream())
                .filter(e -> to.equals("all") || e.getKey().equals(to)).map(Map.Entry::getValue).toList();
        if (links.isEmpty()) {
            throw new IllegalArgumentException("no link to " + to);
        }
        Conditions there = Conditions.CLEAR;
        Conditions back = Conditions.CLEAR;
        for (int i = 0; i < how.size(); i++) {
            String word = how.get(i);
            switch (word) {
                case "clear" -> { }
                case "reset" -> {
                    links.forEach(Link::reset);
                    return;
                }
                case "stall" -> {
                    double ms = ScenarioParser.timeOf(how.get(++i));
                    links.forEach(l -> l.stall(ms));
                    return;
                }
                case "cut" -> {
                    there = there.cut(true);
                    back = back.cut(true);
                }
                case "cut-back" -> back = back.cut(true);
                case "loss" -> {
                    double share = Double.parseDouble(how.get(++i));
                    there = there.loss(share);
                    back = back.loss(share);
                }
                case "delay" -> {
                    double ms = ScenarioParser.timeOf(how.get(++i));
                    there = there.delay(ms);
                    back = back.delay(ms);
                }
                case "bandwidth" -> {
                    int perS = Integer.parseInt(how.get(++i));
                    there = there.bandwidth(perS);
                    back = back.bandwidth(perS);
                }
                default -> throw new IllegalArgumentException("unknown condition of a link: " + word);
            }
        }
        for (Link link : links) {
            link.set(there, back);
        }
    }

    private void discovery(List<String> how) {
        bed.places().values().forEach(p -> {
            switch (how.get(0)) {
                case "late" -> p.discovery().late(ScenarioParser.timeOf(how.get(1)));
                case "silent" -> p.discovery().silent(true);
                case "stale" -> p.discovery().stale(true);
                case "nonsense" -> p.discovery().nonsense("{\"seq\":\"many\",\"hosts\":[{}]}");
                case "broken" -> p.discovery().breakWatches();
                case "well" -> {
                    p.discovery().late(0);
                    p.discovery().silent(false);
                    p.discovery().stale(false);
                }
                default -> throw new IllegalArgumentException("unknown state of discovery: " + how.get(0));
            }
        });
    }

    private void proxy(String what, String name) throws Exception {
        ProxyUnderTest proxy = proxies.get(name);
        if (proxy == null) {
            throw new IllegalArgumentException("no such proxy: " + name);
        }
        switch (what) {
            case "term" -> {
                load.withdraw(name, NOTICED_MS);
                pending.add(aside(proxy::terminate));
            }
            case "kill" -> {
                bed.ledger().killed(name);
                proxy.kill();
            }
            case "start" -> pending.add(aside(() -> {
                proxy.start();
                load.restore(name);
            }));
            case "hangup" -> proxy.hangup();
            default -> throw new IllegalArgumentException("unknown: proxy " + what);
        }
    }
}
