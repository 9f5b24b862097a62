package ridgemill.lab.fleet;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ridgemill.lab.ProcessProxy;
import ridgemill.testbed.audit.RollJudge;
import ridgemill.testbed.ledger.Auditor;
import ridgemill.testbed.load.LoadProfile;

/**
 * Takes one version after another through a fleet of processes under load, each while something goes wrong, and judges what nodes and
 * clients saw. What is wrong, where and when follows from the seed; when the fleet answers does not.
 */
public final class RollPlay implements AutoCloseable {

    /** What goes wrong while a version is on its way. */
    public enum Fault {
        NONE, KILL_CONDUCTOR, STOP_CONDUCTOR, ISOLATE_CONDUCTOR, KILL_OTHER, STOP_OTHER, ISOLATE_OTHER, DEAF_OTHER, DUMB_OTHER, TERM_OTHER, LOSS,
        BAD_ADDRESS, KILL_ALL,
        /** Another is cut off, and there a roll of the same number with another text is asked for. */
        HALVES,
        /** Another's wall clock is an hour ahead for one of its processes, and right for the next. */
        HOUR_AHEAD,
        /** A second process takes over from another, and a third from that. */
        UPGRADE_OTHER
    }

    /**
     * What came of one roll.
     *
     * @param complete whether it was told complete; else it went back, or was given up
     * @param ms from its beginning until all acted as one and none was out
     * @param again whether that took another roll
     */
    public record Result(Fault fault, boolean complete, double ms, boolean again) { }

    /** How an operator file of a fleet under audit and leases begins, but for its number. */
    static final String HEAD = """
            version = %d
            [control]
            socket = "{dir}/{name}.sock"
            [audit]
            tell-version = true
            [leases]
            length = "1500ms"
            margin = "300ms"
            answer = "60ms"
            """;
    /** The operator file of each proxy but for its number. */
    static final String FILE = HEAD + """
            [rollout]
            steps = ["0%%", "50%%", "100%%"]
            judge = "300ms"
            samples = 0
            behind = "2s"
            cut-off = "step-aside"
            cut-off-after = "1s"
            patience = "40s"
            """;
    private static final Pattern ACTS = Pattern.compile("acts under (\\d+)\\.");
    private static final int LOOK_MS = 30;
    private static final long PATIENCE_S = 100;
    private static final double SLACK_MS = 400;
    /** Twice "behind" and "cut-off-after"; and so much for each proxy. */
    private static final double STARTED_MS = 5000;
    private static final double STARTED_MS_A_PROXY = 300;
    private static final double PER_PROXY = 25;
    private static final double LOSS = 0.3;
    private static final int LEAST_MS = 500;
    private static final int MOST_MS = 16_500;

    private final FleetRig rig;
    private final SplittableRandom random;
    private final CompletableFuture<Void> load;
    private final Map<Integer, Integer> says = new HashMap<>();
    private final List<RollJudge.Complete> completes = new ArrayList<>();
    private final List<String> faults = new ArrayList<>();
    private final int leastMs;
    private int number = 1;

    private RollPlay(FleetRig rig, long seed, CompletableFuture<Void> load, int leastMs) {
        this.leastMs = leastMs;
        this.rig = rig;
        this.random = new SplittableRandom(seed);
        this.load = load;
    }

    /** Starts a fleet under load for so long. */
    public static RollPlay start(int proxies, long seed, double seconds) throws Exception {
        return start(proxies, seed, seconds, null, LEAST_MS);
    }

    /** The same with other classes of the program before its own, null for none, and faults that last for so long at least. */
    static RollPlay start(int proxies, long seed, double seconds, String classPath, int leastMs) throws Exception {
        LoadProfile profile = LoadProfile.USUAL.rate(PER_PROXY * proxies, seconds);
        FleetRig rig = FleetRig.start(new FleetRig.Plan(proxies, 3, seed, FILE.formatted(1), classPath, 0, true, false), profile);
        RollPlay play = new RollPlay(rig, seed, rig.load(profile).start(), leastMs);
        if (!play.await(play::isWhole)) {
            play.close();
            throw new IllegalStateException("a fleet without faults does not come to one version");
        }
        return play;
    }

    /** What a proxy says of rolls and of its own standing. */
    String rolls(int proxy) {
        return String.join("\n", rig.lines(proxy, "rolls"));
    }

    /** Whether all act under one version, none is out, and no roll is under way. */
    boolean isWhole() {
        String under = null;
        for (int i = 0; i < rig.size(); i++) {
            String said = rolls(i);
            int at = said.indexOf("acts under ");
            String version = at < 0 ? "" : said.substring(at, said.indexOf(' ', at + "acts under ".length()));
            boolean open = said.contains(" by step ") && !said.contains(", over; ");
            if (version.isEmpty() || open || said.contains("conducted here: ") || !said.contains("and is in: IN") || under != null && !under.equals(version)) {
                return false;
            }
            under = version;
        }
        return true;
    }

    int actsUnder(int proxy) {
        Matcher m = ACTS.matcher(rolls(proxy));
        return m.find() ? Integer.parseInt(m.group(1)) : 1;
    }

    private int conductor() {
        for (int i = 0; i < rig.size(); i++) {
            if (rolls(i).contains("conducted here: ")) {
                return i;
            }
        }
        return random.nextInt(rig.size());
    }

    boolean await(BooleanSupplier is) throws InterruptedException {
        return await(is, PATIENCE_S);
    }

    boolean await(BooleanSupplier is, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!is.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            // They tell only when they are asked.
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return true;
    }

    FleetRig rig() {
        return rig;
    }

    /** The next numbers begin above this one. */
    void used(int upTo) {
        number = Math.max(number, upTo);
    }

    /** Has the fleet act under a number above all that there were; returns that. */
    int rollAbove() throws Exception {
        int target = number + 1;
        number = target + 1;
        says.put(number, target);
        if (!begin(target, "", target)) {
            faults.add("nobody began " + target);
        }
        return target;
    }

    /** Begins a roll at whichever proxy takes it; false if none does in time. */
    private boolean begin(int next, String more, int content) throws IOException, InterruptedException {
        says.put(next, content);
        Path file = Files.writeString(rig.directory().resolve("next-" + next + ".toml"), FILE.formatted(next) + more);
        return await(() -> {
            JsonObject answer = rig.asked(random.nextInt(rig.size()), "roll " + file);
            return answer.has("said") && answer.get("said").getAsString().startsWith("begun");
        }, 20);
    }

    private boolean isTold(String words) {
        for (int i = 0; i < rig.size(); i++) {
            if (rolls(i).contains(words)) {
                return true;
            }
        }
        return false;
    }

    /** One roll beside one fault; returns what came of it. */
    public Result roll(Fault fault) throws Exception {
        int base = actsUnder(0);
        int target = number + 1;
        number = target + 1;
        String more = fault == Fault.BAD_ADDRESS ? taken() : "";
        if (fault == Fault.LOSS) {
            rig.net().change(w -> w.loss(LOSS).delay(0, 60).doubled(0.1));
        }
        double from = rig.bed().ledger().now();
        if (!begin(target, more, target)) {
            faults.add("nobody began " + target);
        }
        says.put(number, says.getOrDefault(base, base));
        TimeUnit.MILLISECONDS.sleep(random.nextInt(3500));
        strike(fault, target);
        boolean[] complete = {false};
        boolean whole = await(() -> {
            if (!complete[0] && isTold("complete: all act on " + target + ".")) {
                complete[0] = true;
                completes.add(new RollJudge.Complete(rig.bed().ledger().now(), target));
            }
            return isWhole();
        }, 45);
        rig.net().set(0, 0);
        boolean again = !whole;
        if (again) {
            int next = number + 1;
            number = next + 1;
            // Whoever begins it makes the way back of what it acts under: no one text may be told for it.
            says.put(number, number);
            if (!begin(next, "", next) || !await(this::isWhole)) {
                StringBuilder words = new StringBuilder("not all act as one after " + fault + ":");
                for (int i = 0; i < rig.size(); i++) {
                    words.append("\n  p").append(i).append(' ').append(rolls(i));
                }
                faults.add(words.toString());
            }
        }
        return new Result(fault, complete[0], rig.bed().ledger().now() - from, again);
    }

    /** A listener at an address that one alone can have. */
    private String taken() throws IOException {
        return "[[listener]]\nname = \"more\"\naddress = \"127.0.0.1:" + rig.proxy(0).address().getPort() + "\"\nprotocol = \"http\"\n";
    }

    /** The one that is cut off has no majority to conduct by; whatever it says, its text must not act anywhere. */
    private void halves(int other, int target, long ms) throws Exception {
        rig.net().split(List.of(other));
        Path file = Files.writeString(rig.directory().resolve("other-" + target + ".toml"), FILE.formatted(target) + "[process]\nidle = \"7s\"\n");
        rig.asked(other, "roll " + file);
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.net().change(w -> w.cut(false));
    }

    private void hourAhead(int other, long ms) throws Exception {
        rig.wallClock(other, TimeUnit.HOURS.toMillis(1));
        rig.kill(other);
        rig.start(other);
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.wallClock(other, 0);
        rig.kill(other);
        rig.start(other);
    }

    private void upgrade(int other, long ms) throws Exception {
        ProcessProxy second = rig.second(other);
        rig.terminate(other);
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.startBeside(other);
        second.terminate();
    }

    private void strike(Fault fault, int target) throws Exception {
        int conductor = conductor();
        int other = (conductor + 1 + random.nextInt(rig.size() - 1)) % rig.size();
        long ms = leastMs + random.nextInt(MOST_MS - leastMs);
        switch (fault) {
            case KILL_CONDUCTOR -> restart(conductor);
            case KILL_OTHER -> restart(other);
            case STOP_CONDUCTOR -> stop(conductor, ms);
            case STOP_OTHER -> stop(other, ms);
            case ISOLATE_CONDUCTOR -> isolate(conductor, ms);
            case ISOLATE_OTHER -> isolate(other, ms);
            case DEAF_OTHER -> cut(-1, other, ms);
            case DUMB_OTHER -> cut(other, -1, ms);
            case HALVES -> halves(other, target, ms);
            case HOUR_AHEAD -> hourAhead(other, ms);
            case UPGRADE_OTHER -> upgrade(other, ms);
            case TERM_OTHER -> {
                rig.terminate(other);
                rig.start(other);
            }
            case KILL_ALL -> {
                for (int i = 0; i < rig.size(); i++) {
                    rig.kill(i);
                }
                for (int i = 0; i < rig.size(); i++) {
                    rig.start(i);
                }
            }
            default -> { }
        }
    }

    private void restart(int who) throws Exception {
        rig.kill(who);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(3000));
        rig.start(who);
    }

    private void stop(int who, long ms) throws Exception {
        rig.stop(who);
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.goOn(who);
    }

    private void isolate(int who, long ms) throws InterruptedException {
        rig.net().split(List.of(who));
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.net().change(w -> w.cut(false));
    }

    private void cut(int from, int to, long ms) throws InterruptedException {
        for (int i = 0; i < rig.size(); i++) {
            if (i != from && i != to) {
                rig.net().change(from < 0 ? i : from, to < 0 ? i : to, w -> w.cut(true));
            }
        }
        TimeUnit.MILLISECONDS.sleep(ms);
        rig.net().change(w -> w.cut(false));
    }

    /** Ends the load, and returns all that was wrong from the beginning, in words. */
    public List<String> judge() throws Exception {
        load.get(PATIENCE_S * 3, TimeUnit.SECONDS);
        await(() -> {
            for (int i = 0; i < rig.size(); i++) {
                JsonObject status = rig.asked(i, "status");
                if (!status.has("owed") || status.get("owed").getAsInt() > 0) {
                    return false;
                }
            }
            return true;
        }, 10);
        List<String> all = new ArrayList<>(faults);
        all.addAll(new RollJudge(rig.bed().ledger(), says, SLACK_MS + rig.bed().latenessMs(), STARTED_MS + STARTED_MS_A_PROXY * rig.size())
                .judge(completes));
        new Auditor(rig.bed().ledger(), Auditor.Limits.STRICT.withSlack(250 + rig.bed().latenessMs())).audit().forEach(v -> all.add(v.toString()));
        return all;
    }

    /** How many requests there were. */
    public int requests() {
        return rig.bed().ledger().clients().size();
    }

    @Override
    public void close() throws IOException {
        rig.close();
    }

    /** Rolls with the faults in turn, from a place in their order that follows from the seed; prints what came of them. */
    public static boolean plays(int proxies, long firstSeed, int count, int each, List<Fault> faults) throws Exception {
        Map<Fault, List<Result>> results = new EnumMap<>(Fault.class);
        boolean good = true;
        int requests = 0;
        for (int i = 0; i < count; i += each) {
            long seed = firstSeed + i;
            try (RollPlay play = start(proxies, seed, each * 14.0)) {
                for (int j = 0; j < each && i + j < count; j++) {
                    Fault fault = faults.get((int) ((seed + j) % faults.size()));
                    results.computeIfAbsent(fault, f -> new ArrayList<>()).add(play.roll(fault));
                }
                List<String> wrong = play.judge();
                requests += play.requests();
                if (!wrong.isEmpty()) {
                    good = false;
                    System.out.println("FAILED seed " + seed + ": " + wrong.size() + " faults, first " + wrong.subList(0, Math.min(5, wrong.size())));
                }
            }
        }
        results.forEach((fault, all) -> System.out.printf(Locale.ROOT, "%s: %d rolls, %d complete, %d after another one; until all act as one, ms: %s%n",
                fault, all.size(), all.stream().filter(Result::complete).count(), all.stream().filter(Result::again).count(),
                LeasesMeasured.spread(all.stream().map(Result::ms).toList())));
        System.out.printf(Locale.ROOT, "%d proxies, seeds from %d, %d rolls, %d requests: %s%n", proxies, firstSeed, count, requests,
                good ? "no fault" : "FAULTS");
        return good;
    }
}
