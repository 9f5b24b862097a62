package ridgemill.lab.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.File;
import java.io.IOException;
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
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.Stream;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.ClockSkew;
import ridgemill.lab.ControlAnswer;
import ridgemill.lab.ProcessProxy;
import ridgemill.lab.ProcessProxy.Launch;
import ridgemill.lab.ProxyConfig;
import ridgemill.testbed.Reservation;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.acts.ActStandIn;
import ridgemill.testbed.acts.History.What;
import ridgemill.testbed.acts.History;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.peers.PeerNet;

/**
 * Several processes of the program, started as a deployment starts them, beside stand-ins for all that they talk to, with
 * faults in them and between them: a process is stopped and goes on, is killed, ends, starts again; its clock runs fast or
 * slow, stands still or tells another day; the datagrams between two of them are lost, late, doubled, spoilt. What is done is
 * noted in one {@link History}. Calls come from one thread; proxies are named p0, p1, ...
 */
public final class FleetRig implements AutoCloseable {

    private static final double REPEAT_WINDOW_MS = 6000;
    private static final long PATIENCE_S = 120;
    private static final long CHANCE = 0x9e3779b97f4a7c15L;

    /**
     * What a rig is made of.
     *
     * @param proxies how many processes
     * @param nodes how many cache nodes they serve from
     * @param seed of all chance
     * @param operatorFile the text of each proxy's operator file; null for none. {@code {dir}} stands for the rig's directory,
     *     {@code {name}} for the proxy's name and {@code {acts}} for where acts are received
     * @param classPath classes that come before the program's own; null for none
     * @param plain how many of the proxies, the last ones, have no operator file all the same
     * @param consoles whether operators have an address at each, and a second process may take over from it
     * @param links whether each proxy has a way of its own to each node, which can be cut
     */
    public record Plan(int proxies, int nodes, long seed, String operatorFile, String classPath, int plain, boolean consoles, boolean links) {

        /** Bare proxies, as on the platform. */
        public static Plan bare(int proxies, long seed) {
            return new Plan(proxies, 3, seed, null, null, 0, false, false);
        }

        /** Proxies under an operator file. */
        public static Plan operated(int proxies, long seed, String operatorFile) {
            return new Plan(proxies, 1, seed, operatorFile, null, 0, false, false);
        }

        /** The same with other classes of the program before its own. */
        public Plan mutated(String before) {
            return new Plan(proxies, nodes, seed, operatorFile, before, plain, consoles, links);
        }

        /** The same with so many nodes, to each of which each proxy has a way of its own. */
        public Plan linked(int count) {
            return new Plan(proxies, count, seed, operatorFile, classPath, plain, consoles, true);
        }

        /** The same under another operator file. */
        public Plan under(String file) {
            return new Plan(proxies, nodes, seed, file, classPath, plain, consoles, links);
        }

        /** The same with consoles, where so many have no operator file; these are of the build before where its jar is named. */
        public Plan mixed(int without) {
            return new Plan(proxies, nodes, seed, operatorFile, classPath, without, true, links);
        }
    }

    private final Plan plan;
    private final Path directory;
    private final Testbed bed;
    private final PeerNet net;
    private final ActStandIn acts;
    private final History history;
    private final SplittableRandom seeds;
    private final List<InetSocketAddress> peerSockets = new ArrayList<>();
    private final List<Reservation> reservations = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<ClockSkew> clocks = new ArrayList<>();
    private final List<ProcessProxy> proxies = new ArrayList<>();
    private final List<ProcessProxy> seconds = new ArrayList<>();
    /** A test that is ended in its middle leaves no process behind. */
    private final Thread atExit = new Thread(this::killAll, "rig-end");
    private final double[] stoppedAt;
    private final AtomicIntegerArray kills;

    private FleetRig(Plan plan, LoadProfile load) throws IOException {
        this.plan = plan;
        this.directory = Files.createTempDirectory("ridgemill-rig");
        this.stoppedAt = new double[plan.proxies()];
        this.kills = new AtomicIntegerArray(plan.proxies());
        this.bed = new Testbed(plan.nodes(), NodeProfile.CACHE, NodeProfile.STORE, plan.links(), REPEAT_WINDOW_MS, plan.seed());
        this.history = new History(bed.ledger());
        this.seeds = new SplittableRandom(plan.seed() + CHANCE);
        for (int i = 0; i < plan.proxies(); i++) {
            peerSockets.add(Reservation.datagramAddress());
        }
        this.net = new PeerNet(bed.linkLoop(), peerSockets, seeds.nextLong());
        this.acts = new ActStandIn(bed.linkLoop(), bed.ledger());
        for (int i = 0; i < plan.proxies(); i++) {
            Reservation held = new Reservation();
            reservations.add(held);
            addresses.add(held.address());
            clocks.add(new ClockSkew(directory.resolve(name(i) + ".clock")));
            proxies.add(process(i, load, directory));
        }
    }

    /** Starts all of it and returns when every proxy serves. */
    public static FleetRig start(Plan plan) throws Exception {
        return start(plan, LoadProfile.USUAL);
    }

    /** The same for clients of a load. */
    public static FleetRig start(Plan plan, LoadProfile load) throws Exception {
        FleetRig rig = new FleetRig(plan, load);
        Runtime.getRuntime().addShutdownHook(rig.atExit);
        try {
            List<CompletableFuture<Void>> starting = new ArrayList<>();
            for (int i = 0; i < plan.proxies(); i++) {
                int number = i;
                starting.add(CompletableFuture.runAsync(() -> rig.startNow(number), FleetRig::daemon));
            }
            CompletableFuture.allOf(starting.toArray(CompletableFuture[]::new)).get(PATIENCE_S, TimeUnit.SECONDS);
            rig.bed.forgetLateness();
            return rig;
        } catch (Exception e) {
            rig.close();
            throw e;
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "rig-start");
        thread.setDaemon(true);
        thread.start();
    }

    private ProcessProxy process(int number, LoadProfile load, Path own) throws IOException {
        String name = name(number);
        JsonObject config = ProxyConfig.of(name, number, plan.proxies(), addresses.get(number),
                bed.places().containsKey(name) ? bed.places().get(name) : bed.place(name), load, NodeProfile.CACHE,
                plan.proxies() == 1 ? null : peerSockets.get(number), net.addresses(), seeds.nextLong());
        if (plan.consoles()) {
            Reservation console = new Reservation();
            reservations.add(console);
            config.addProperty("console", Addresses.text(console.address()));
        }
        boolean plain = number >= size() - plan.plain();
        List<String> arguments = new ArrayList<>();
        if (plan.operatorFile() != null && !plain) {
            arguments.addAll(List.of("--operator-file", writeOperatorFile(own, number, plan.operatorFile()).toString()));
        }
        String first = plain ? System.getProperty("rig.before") : plan.classPath();
        String classPath = first == null ? null : first + File.pathSeparator + System.getProperty("java.class.path");
        return new ProcessProxy(name, addresses.get(number), config, own, new Launch(classPath,
                List.of("-D" + ClockSkew.PROPERTY + "=" + directory.resolve(name + ".clock")), arguments,
                Map.of("TMPDIR", directory.toString())));
    }

    /** Writes a proxy's operator file anew; it takes effect at a reload or a start. */
    public Path writeOperatorFile(int number, String text) throws IOException {
        return writeOperatorFile(directory, number, text);
    }

    /** {@code own} is a second process' own place: it can't have the first one's control socket. */
    private Path writeOperatorFile(Path own, int number, String text) throws IOException {
        return Files.writeString(own.resolve(name(number) + ".toml"), text.replace("{dir}", own.toString())
                .replace("{name}", name(number)).replace("{acts}", acts.address().getAddress().getHostAddress() + ":" + acts.address().getPort()));
    }

    /** The name of a proxy. */
    public static String name(int number) {
        return "p" + number;
    }

    public Testbed bed() {
        return bed;
    }

    public PeerNet net() {
        return net;
    }

    public ActStandIn acts() {
        return acts;
    }

    public History history() {
        return history;
    }

    public Path directory() {
        return directory;
    }

    /** How many proxies there are. */
    public int size() {
        return plan.proxies();
    }

    /** A proxy's process. */
    public ProcessProxy proxy(int number) {
        return proxies.get(number);
    }

    /** What a proxy answers to an operator, whose file must name the socket {@code {dir}/{name}.sock}; throws where it can't be asked. */
    public JsonObject ask(int number, String command) throws IOException {
        return ControlAnswer.of(directory.resolve(name(number) + ".sock"), command);
    }

    /** The same; empty while it can't be asked, as it is stopped, starts or ends. */
    public JsonObject asked(int number, String command) {
        try {
            return isStopped(number) || !proxies.get(number).isAlive() ? new JsonObject() : ask(number, command);
        } catch (IOException e) {
            return new JsonObject();
        }
    }

    /** The lines that it answers to a command that tells lines under its own name; none while it can't be asked. */
    public List<String> lines(int number, String command) {
        JsonObject answer = asked(number, command);
        return answer.has(command) ? answer.getAsJsonArray(command).asList().stream().map(JsonElement::getAsString).toList() : List.of();
    }

    /** Clients of all proxies. */
    public Load load(LoadProfile profile) {
        Map<String, InetSocketAddress> to = new LinkedHashMap<>();
        for (int i = 0; i < size(); i++) {
            to.put(name(i), addresses.get(i));
        }
        return bed.load(profile, to);
    }

    /** Whether it is stopped now. */
    public boolean isStopped(int number) {
        return stoppedAt[number] > 0;
    }

    /** Stops it where it is. */
    public void stop(int number) throws Exception {
        // Whoever ends it meanwhile has it go on first.
        synchronized (proxies) {
            if (!proxies.get(number).isAlive() || isStopped(number)) {
                return;
            }
            double asked = bed.ledger().now();
            if (proxies.get(number).stop()) {
                stoppedAt[number] = asked;
                history.note(asked, name(number), What.STOPPED, "");
            }
        }
    }

    /** It goes on where it was. */
    public void goOn(int number) throws Exception {
        goOn(number, 0);
    }

    /** It goes on where it was; its machine's clock stood still for so long of the time that it was stopped. */
    public void goOn(int number, double sleptMs) throws Exception {
        synchronized (proxies) {
            if (isStopped(number) && proxies.get(number).isAlive()) {
                goOnNow(number, sleptMs);
            }
            stoppedAt[number] = 0;
        }
    }

    private void goOnNow(int number, double sleptMs) throws Exception {
        double from = stoppedAt[number];
        if (sleptMs > 0) {
            double stood = Math.min(sleptMs, bed.ledger().now() - from);
            clocks.get(number).step((long) (-1e6 * stood));
            history.note(name(number), What.CLOCK_STEP, "stood still for %.0f ms".formatted(stood));
        }
        // Noted on both sides: what it does first may be seen before the signal's own end is.
        history.note(name(number), What.WENT_ON, "");
        proxies.get(number).goOn();
        history.note(name(number), What.WENT_ON, "");
        bed.ledger().stopped(name(number), from);
    }

    /** Kills it; what it held is gone. */
    public void kill(int number) throws Exception {
        if (proxies.get(number).isAlive()) {
            bed.ledger().killed(name(number));
            kills.incrementAndGet(number);
            proxies.get(number).kill();
            history.note(name(number), What.KILLED, "");
            stoppedAt[number] = 0;
        }
    }

    /** Ends it as a planned restart does, once its clients were told to leave it; returns when it has ended. */
    public void terminate(int number) throws Exception {
        if (proxies.get(number).isAlive()) {
            goOn(number);
            history.note(name(number), What.TERMINATED, "");
            proxies.get(number).terminate();
        }
    }

    /** Starts it again and returns when it serves, or was killed before it did. */
    public void start(int number) {
        if (proxies.get(number).isAlive()) {
            return;
        }
        int killed = kills.get(number);
        try {
            startNow(number);
        } catch (CompletionException e) {
            if (kills.get(number) == killed) {
                throw e;
            }
        }
    }

    private void startNow(int number) {
        try {
            proxies.get(number).start();
            history.note(name(number), What.STARTED, String.valueOf(proxies.get(number).pid()));
        } catch (Exception e) {
            throw new CompletionException(e);
        }
    }

    /**
     * A second process of a proxy starts beside the first, as in an upgrade, with a control socket of its own, which its operator
     * file must name; returns when that is there, as the last thing of a start. Ended with the rig, and by the caller before.
     */
    public ProcessProxy second(int number) throws Exception {
        Path own = Files.createDirectories(directory.resolve(name(number) + "-second"));
        Files.deleteIfExists(controlOfSecond(number));
        ProcessProxy second = process(number, LoadProfile.USUAL, own);
        carryFile(number, directory, own);
        seconds.add(second);
        second.start();
        awaitControl(second, controlOfSecond(number));
        history.note(name(number), What.STARTED, "second " + second.pid());
        return second;
    }

    /**
     * Its first process starts again beside the second, which takes over from that in turn; returns when its control socket is there, as the
     * last thing of a start.
     */
    public void startBeside(int number) throws Exception {
        Path socket = directory.resolve(name(number) + ".sock");
        Files.deleteIfExists(socket);
        carryFile(number, directory.resolve(name(number) + "-second"), directory);
        startNow(number);
        awaitControl(proxies.get(number), socket);
    }

    /** Both processes of a proxy have one operator file in service, but for the control socket: what a roll made of it is the next one's too. */
    private static void carryFile(int number, Path from, Path to) throws IOException {
        Path file = from.resolve(name(number) + ".toml");
        if (Files.exists(file)) {
            Files.writeString(to.resolve(name(number) + ".toml"), Files.readString(file).replace(from + "/", to + "/"));
        }
    }

    private static void awaitControl(ProcessProxy proxy, Path socket) throws Exception {
        while (!Files.exists(socket)) {
            if (!proxy.isAlive()) {
                throw new IOException(proxy.name() + " ended: " + proxy.log());
            }
            // Two processes answer at the same address, so nothing else tells.
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Where a proxy's second process answers commands. */
    public Path controlOfSecond(int number) {
        return directory.resolve(name(number) + "-second").resolve(name(number) + ".sock");
    }

    /** Its clock runs so many times as fast. */
    public void clockRate(int number, double times) {
        clocks.get(number).rate(times);
        history.note(name(number), What.CLOCK_RATE, String.valueOf(times));
    }

    /** From its next start on its wall clock is so far ahead. */
    public void wallClock(int number, long aheadMs) {
        clocks.get(number).wall(aheadMs);
        history.note(name(number), What.WALL_CLOCK, String.valueOf(aheadMs));
    }

    /** Ends everything and takes away what was written; ledger, acts and history stay. */
    @Override
    public void close() throws IOException {
        Runtime.getRuntime().removeShutdownHook(atExit);
        killAll();
        net.close();
        acts.close();
        reservations.forEach(Reservation::close);
        bed.close();
        try (Stream<Path> left = Files.walk(directory)) {
            for (Path path : left.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void killAll() {
        try {
            for (ProcessProxy proxy : proxies) {
                proxy.kill();
            }
            for (ProcessProxy second : seconds) {
                second.kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
