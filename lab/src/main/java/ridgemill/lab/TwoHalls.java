package ridgemill.lab;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import ridgemill.gateway.Config;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.operator.Operated;
import ridgemill.policy.BalancingRouter;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.link.Link;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/**
 * Several halls on one machine, each with a fleet, a store and gateways of its own, and a link between every two gateways
 * of different halls that may be made to fail. Ledgers of all halls run on one clock, so that one auditor can read them.
 */
final class TwoHalls implements AutoCloseable {

    /** The classes of the meter fleet as an operator file has them; the repeat window in milliseconds. */
    private static final String CLASSES = """
            [defaults]
            total = "1500ms"
            [classes.latest-reading]
            effect = "safe"
            wanted = "600ms"
            [classes.prepaid-balance]
            effect = "safe"
            wanted = "500ms"
            [classes.supply-status]
            effect = "safe"
            total = "1200ms"
            wanted = "300ms"
            [classes.recharge-credit]
            effect = "keyed"
            wanted = "750ms"
            attempts = 2
            attempt-timeout = "350ms"
            repeat-window = "%sms"
            """;
    /** Who says so has the link proven by a key; tests of proofs have their own. */
    static final String KEY = "security = \"key\"\nkey = \"0123456789abcdef0123456789abcdef\"\n";

    /**
     * What is played.
     *
     * @param names of the halls
     * @param gateways of each
     * @param nodes of each
     * @param crossing whether gateways know other halls at all
     * @param settings further lines of the section halls
     * @param processes whether each gateway is a process of its own
     * @param security lines of that section that say how gateways know each other, where %s is the hall's name
     */
    record Plan(List<String> names, int gateways, int nodes, boolean crossing, boolean processes, double repeatWindowMs, String settings,
                String security, long seed) {

        static final Plan USUAL = new Plan(List.of("teku-hall", "baneshwor-hall"), 2, 4, true, false, 6000, "", KEY, 7);

        Plan without() {
            return new Plan(names, gateways, nodes, false, processes, repeatWindowMs, settings, security, seed);
        }

        Plan gateways(int each) {
            return new Plan(names, each, nodes, crossing, processes, repeatWindowMs, settings, security, seed);
        }

        Plan halls(String... all) {
            return new Plan(List.of(all), gateways, nodes, crossing, processes, repeatWindowMs, settings, security, seed);
        }

        Plan settings(String lines) {
            return new Plan(names, gateways, nodes, crossing, processes, repeatWindowMs, lines, security, seed);
        }

        Plan security(String lines) {
            return new Plan(names, gateways, nodes, crossing, processes, repeatWindowMs, settings, lines, seed);
        }

        Plan remembering(double ms) {
            return new Plan(names, gateways, nodes, crossing, processes, ms, settings, security, seed);
        }

        Plan inProcesses() {
            return new Plan(names, gateways, nodes, crossing, true, repeatWindowMs, settings, security, seed);
        }

        Plan seed(long other) {
            return new Plan(names, gateways, nodes, crossing, processes, repeatWindowMs, settings, security, other);
        }
    }

    /** A gateway that runs. */
    interface Gateway {

        /** Where clients connect. */
        InetSocketAddress address();

        /** What it says of halls, a line each. */
        List<String> halls();

        /** Requests that it owes an answer. */
        int owed();

        /** CPU that it has used, in milliseconds; not a number for one inside this process. */
        default double cpuMs() {
            return Double.NaN;
        }

        /** Memory that it holds, in MB; not a number for one inside this process. */
        default double memoryMb() {
            return Double.NaN;
        }

        /** Ends it at once, whatever it holds. */
        void kill();

        /** Ends it as a planned restart does. */
        void terminate();
    }

    /** One inside this process. */
    private record Inside(Operated operated) implements Gateway {
        @Override
        public InetSocketAddress address() {
            return operated.service().listenAddress();
        }

        @Override
        public List<String> halls() {
            return operated.halls();
        }

        @Override
        public int owed() {
            return operated.service().status().owed();
        }

        @Override
        public void kill() {
            operated.service().kill();
        }

        @Override
        public void terminate() {
            operated.drain();
        }
    }

    /** One that is a process of its own, asked at its control socket. */
    private record Outside(ProcessProxy process, Path control) implements Gateway {
        @Override
        public InetSocketAddress address() {
            return process.address();
        }

        private JsonObject ask(String command) {
            try {
                return ControlAnswer.of(control, command);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public List<String> halls() {
            return ask("halls").getAsJsonArray("halls").asList().stream().map(JsonElement::getAsString).toList();
        }

        @Override
        public int owed() {
            return ask("status").get("owed").getAsInt();
        }

        @Override
        public double cpuMs() {
            return process.cpuMs();
        }

        @Override
        public double memoryMb() {
            return process.memoryMb();
        }

        @Override
        public void kill() {
            try {
                process.kill();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void terminate() {
            try {
                process.terminate();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** One hall. */
    final class Hall {
        private final String name;
        private final Testbed bed;
        private final Map<String, Gateway> running = new LinkedHashMap<>();
        private final Map<String, InetSocketAddress> doors = new LinkedHashMap<>();

        private Hall(String name, long seed) {
            this.name = name;
            this.bed = new Testbed(plan.nodes(), NodeProfile.CACHE, NodeProfile.STORE, true, plan.repeatWindowMs(), seed, Protocol.HTTP,
                    ledger.sibling());
            bed.fleet().caches().forEach(n -> n.warm(IntStream.range(0, profile.keys()).mapToObj(Load::key)
                    .collect(Collectors.toSet())));
        }

        String name() {
            return name;
        }

        Testbed bed() {
            return bed;
        }

        /** Where clients of this hall connect, by gateway. */
        Map<String, InetSocketAddress> clientsAt() {
            Map<String, InetSocketAddress> at = new LinkedHashMap<>();
            running.forEach((n, g) -> at.put(n, g.address()));
            return at;
        }

        /** Where other halls connect to one of its gateways, without a link between. */
        InetSocketAddress door(int gateway) {
            return doors.get(name + gateway);
        }

        List<Gateway> gateways() {
            return List.copyOf(running.values());
        }

        /** This hall's gateways' links to its store are cut, or whole again: what is sent meanwhile is lost. */
        void storeCut(boolean cut) {
            bed.places().values().forEach(p -> p.links().get("db").set(Link.Conditions.CLEAR.cut(cut)));
            if (!cut) {
                bed.places().values().forEach(p -> p.links().get("db").reset());
            }
        }

        /** This hall's gateways are refused at the way to its store, or no more. */
        void storeGone(boolean gone) {
            bed.places().values().forEach(p -> p.links().get("db").refuse(gone));
        }

        /** A gateway ends at once, whatever it holds, and another starts in its place. */
        void restart(int gateway) throws Exception {
            kill(gateway);
            start(gateway);
        }

        /** A gateway ends at once. */
        void kill(int gateway) {
            // What its clients wait for is lost with it, and nobody's fault.
            bed.ledger().killed(name + gateway);
            running.remove(name + gateway).kill();
        }

        /** A gateway ends as for a planned restart: what it took is answered. */
        void terminate(int gateway) {
            running.remove(name + gateway).terminate();
        }

        private void start(int gateway) throws Exception {
            String of = name + gateway;
            Testbed.Place place = bed.places().get(of);
            Path file = directory.resolve(of + ".toml");
            Files.writeString(file, text(this, gateway));
            InetSocketAddress address = plan.processes() ? clientDoors.computeIfAbsent(of, n -> new Reservation()).address()
                    : new InetSocketAddress("127.0.0.1", 0);
            JsonObject config = ProxyConfig.of(of, gateway, plan.gateways(), address, place == null ? bed.place(of) : place, profile,
                    NodeProfile.CACHE, null, List.of(), plan.seed());
            if (plan.processes()) {
                Path control = directory.resolve(of + ".sock");
                Files.writeString(file, "[control]\nsocket = \"" + control + "\"\n", StandardOpenOption.APPEND);
                ProcessProxy process = new ProcessProxy(of, address, config, directory, List.of("--operator-file", file.toString()));
                process.start();
                running.put(of, new Outside(process, control));
            } else {
                Config read = Config.parse(config.toString(), Map.of());
                running.put(of, new Inside(Operated.start(read, file.toString(), new BalancingRouter(read.settings(), plan.seed()))));
            }
        }
    }

    private final Plan plan;
    private final LoadProfile profile;
    private final Path directory;
    private final Ledger ledger = new Ledger();
    private final Map<String, Hall> halls = new LinkedHashMap<>();
    private final Map<String, Reservation> doors = new LinkedHashMap<>();
    private final Map<String, Reservation> clientDoors = new LinkedHashMap<>();
    private final Map<String, Link> links = new LinkedHashMap<>();

    /** Starts all of it; {@code directory} is for the operator files. */
    TwoHalls(Plan plan, LoadProfile profile, Path directory) throws Exception {
        this.plan = plan;
        this.profile = profile;
        this.directory = directory;
        SplittableRandom seeds = new SplittableRandom(plan.seed());
        for (String name : plan.names()) {
            halls.put(name, new Hall(name, seeds.nextLong()));
            for (int i = 0; i < plan.gateways(); i++) {
                Reservation door = new Reservation();
                doors.put(name + i, door);
                halls.get(name).doors.put(name + i, door.address());
            }
        }
        for (Hall from : halls.values()) {
            for (Hall to : halls.values()) {
                for (int i = 0; from != to && i < plan.gateways(); i++) {
                    for (int j = 0; j < plan.gateways(); j++) {
                        links.put(from.name + i + ">" + to.name + j, new Link(from.bed.linkLoop(), doors.get(to.name + j).address(),
                                seeds.nextLong()));
                    }
                }
            }
        }
        for (Hall hall : halls.values()) {
            for (int i = 0; i < plan.gateways(); i++) {
                hall.start(i);
            }
        }
    }

    private String text(Hall hall, int gateway) {
        StringBuilder text = new StringBuilder(CLASSES.formatted(Math.round(plan.repeatWindowMs())));
        if (!plan.crossing()) {
            return text.toString();
        }
        text.append("[halls]\nname = \"").append(hall.name).append("\"\nlisten = \"")
                .append(Addresses.text(doors.get(hall.name + gateway).address())).append("\"\n")
                .append(plan.security().replace("%s", hall.name)).append(plan.settings()).append('\n');
        for (Hall other : halls.values()) {
            if (other != hall) {
                List<String> at = new ArrayList<>();
                for (int j = 0; j < plan.gateways(); j++) {
                    at.add("\"" + Addresses.text(links.get(hall.name + gateway + ">" + other.name + j).address()) + "\"");
                }
                text.append("[halls.peers.").append(other.name).append("]\ngateways = [").append(String.join(", ", at)).append("]\n");
            }
        }
        return text.toString();
    }

    List<Hall> all() {
        return List.copyOf(halls.values());
    }

    Hall hall(int number) {
        return List.copyOf(halls.values()).get(number);
    }

    /** The links on which gateways of one hall send to those of another. */
    List<Link> between(Hall from, Hall to) {
        return links.entrySet().stream().filter(e -> e.getKey().startsWith(from.name) && e.getKey().contains(">" + to.name))
                .map(Map.Entry::getValue).toList();
    }

    /** All links between halls. */
    List<Link> links() {
        return List.copyOf(links.values());
    }

    /** What all halls' stand-ins and clients saw. */
    Ledger seen() {
        return ledger.with(halls.values().stream().map(h -> h.bed.ledger()).toList());
    }

    /** Requests whose attempts left a hall and came back to it, with the halls in their order. */
    List<String> enteredTwice() {
        Map<String, List<Map.Entry<Double, String>>> visits = new HashMap<>();
        halls.values().forEach(hall -> hall.bed.ledger().nodes().stream().filter(e -> e.begunAt() > 0 && !e.id().isEmpty()).forEach(e ->
                visits.computeIfAbsent(e.id(), id -> new ArrayList<>()).add(Map.entry(e.begunAt(), hall.name))));
        List<String> twice = new ArrayList<>();
        visits.forEach((id, of) -> {
            of.sort(Map.Entry.comparingByKey());
            List<String> order = new ArrayList<>();
            of.forEach(v -> {
                if (order.isEmpty() || !order.get(order.size() - 1).equals(v.getValue())) {
                    order.add(v.getValue());
                }
            });
            if (order.stream().distinct().count() != order.size()) {
                twice.add(id + " " + order);
            }
        });
        return twice;
    }

    /** How late the stand-ins ran at worst. */
    double latenessMs() {
        return halls.values().stream().mapToDouble(h -> h.bed.latenessMs()).max().orElse(0);
    }

    /** Whether every gateway has every link that it may have. */
    boolean isLinked() {
        return halls.values().stream().allMatch(h -> h.running.values().stream().allMatch(o -> o.halls().stream()
                .filter(l -> l.startsWith("gateway ")).allMatch(l -> l.contains(" UP "))));
    }

    @Override
    public void close() {
        halls.values().forEach(h -> h.running.values().forEach(Gateway::kill));
        links.values().forEach(Link::close);
        halls.values().forEach(h -> h.bed.close());
        doors.values().forEach(Reservation::close);
        clientDoors.values().forEach(Reservation::close);
    }
}
