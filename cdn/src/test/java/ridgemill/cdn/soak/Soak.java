package ridgemill.cdn.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** One run: a whole system of processes under seeded troubles, then calm, then what it broke. */
public final class Soak {

    private static final double ORIGIN_RATE = 60;
    private static final int CONNECTION_CAP = 24;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long FAULT_FREE_MS = 5_000;
    private static final long RECOVERY_TIMEOUT_MS = 15_000;
    private static final long HEARTBEAT_MS = 500;
    private static final int FAULT_COUNT = 9;

    /**
     * What a run came to.
     *
     * @param violations the rules and invariants that it broke
     * @param served requests that were served after the troubles
     * @param faults what was done
     */
    record Result(long seed, List<String> violations, int served, List<String> faults, Path folder) {}

    private final long seed;
    private final int proxies;
    private final int clients;
    private final double spanMs;
    private final Path folder;
    private final SoakAudit audit = new SoakAudit();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(12, Soak::daemon);
    private final ExecutorService clientThreads = Executors.newCachedThreadPool(Soak::daemon);
    private final List<SoakInstance> objects = new ArrayList<>();
    private final List<SoakInstance> orders = new ArrayList<>();

    Soak(long seed, int proxies, int clients, double spanMs) throws IOException {
        this.seed = seed;
        this.proxies = proxies;
        this.clients = clients;
        this.spanMs = spanMs;
        this.folder = Files.createTempDirectory("ridgemill-soak-" + seed + "-");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Plays it. */
    Result run() throws IOException {
        SoakFleet fleet = new SoakFleet(folder, (int) Math.floorMod(seed, 200L), new Random(seed), proxies);
        Map<String, AtomicInteger> versions = SoakInstance.versions();
        for (int i = 0; i < 2; i++) {
            objects.add(new SoakInstance("o" + i, audit, seed + i, CONNECTION_CAP, versions));
            orders.add(new SoakInstance("w" + i, audit, seed + 10 + i, 400, versions));
        }
        SoakOperator operator = new SoakOperator(fleet, audit, versions, seed, timer);
        List<SoakClient> running = new ArrayList<>();
        SoakFaults troubles = null;
        // A run that is ended from outside takes its processes along.
        Thread cleanUp = new Thread(fleet::kill);
        Runtime.getRuntime().addShutdownHook(cleanUp);
        try {
            fleet.start();
            operator.configure(ORIGIN_RATE, CONNECTION_CAP, () -> {});
            timer.scheduleWithFixedDelay(() -> heartbeats(operator), 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
            until(
                    "all proxies are ready",
                    START_TIMEOUT_MS,
                    () -> fleet.machines(SoakFleet.Role.PROXY).stream().allMatch(fleet::isReady));
            fleet.started();
            for (int i = 0; i < clients; i++) {
                SoakClient client = new SoakClient(fleet, audit, seed * 1_000 + i, 25.0 * clients / 12);
                running.add(client);
                clientThreads.execute(client);
            }
            List<SoakInstance> all = new ArrayList<>(objects);
            all.addAll(orders);
            troubles = new SoakFaults(fleet, audit, operator, all, seed, timer);
            troubles.plan(FAULT_COUNT, spanMs);
            sleep(troubles.lastEndMs() + 1_000);
            until(
                    "all proxies are ready again",
                    RECOVERY_TIMEOUT_MS,
                    () -> fleet.machines(SoakFleet.Role.PROXY).stream().allMatch(fleet::isReady));
            sleep(1_500);
            audit.startFaultFreePhase();
            sleep(FAULT_FREE_MS);
            until("the configuration is read back", RECOVERY_TIMEOUT_MS, operator::readBack);
            checkInvariants(fleet);
        } catch (IllegalStateException late) {
            audit.recordViolation("RECOVER", late.getMessage());
        } finally {
            running.forEach(SoakClient::end);
            clientThreads.shutdownNow();
            timer.shutdownNow();
            fleet.kill();
            Runtime.getRuntime().removeShutdownHook(cleanUp);
        }
        List<String> broken = audit.violations(ORIGIN_RATE);
        if (broken.isEmpty()) {
            delete(folder);
        }
        return new Result(seed, broken, audit.served(), troubles == null ? List.of() : troubles.planned(), folder);
    }

    private void heartbeats(SoakOperator operator) {
        objects.forEach(instance -> operator.heartbeat(instance, "objects"));
        orders.forEach(instance -> operator.heartbeat(instance, "orders"));
    }

    /** Every process that runs counts breaks of its invariants itself. */
    private void checkInvariants(SoakFleet fleet) {
        for (SoakFleet.Machine machine : fleet.machines()) {
            for (int i = 0; i < machine.processes().size(); i++) {
                String figures = fleet.fetch(machine, fleet.metricsPort(i), "/metrics");
                figures.lines()
                        .filter(line -> line.startsWith("ridgemill_invariant_violations_total"))
                        .filter(line -> !line.endsWith(" 0.0"))
                        .forEach(line -> audit.recordViolation("INVARIANT", machine.name() + ' ' + line));
            }
        }
    }

    private void sleep(long ms) {
        java.util.concurrent.locks.LockSupport.parkNanos(ms * 1_000_000);
    }

    private void until(String what, long mostMs, BooleanSupplier holds) {
        double endMs = audit.now() + mostMs;
        while (!holds.getAsBoolean()) {
            if (audit.now() > endMs) {
                throw new IllegalStateException("not after " + mostMs + " ms: " + what);
            }
            sleep(50);
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    /**
     * Plays seeds by hand: first seed, how many, proxies, and optionally how many clients. The exit code is 1 if any broke a
     * rule; the folder of such a run, with the logs of its processes, is kept.
     */
    public static void main(String[] arguments) throws IOException {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        int proxies = Integer.parseInt(arguments[2]);
        int clients = arguments.length > 3 ? Integer.parseInt(arguments[3]) : 12;
        int red = 0;
        for (long seed = first; seed < first + count; seed++) {
            Result result = new Soak(seed, proxies, clients, 10_000).run();
            boolean good = result.violations().isEmpty() && result.served() > 0;
            red += good ? 0 : 1;
            System.out.println((good ? "held" : "BROKE") + " seed=" + seed + " proxies=" + proxies + " served_calm="
                    + result.served());
            if (!good) {
                result.faults().forEach(trouble -> System.out.println("  trouble " + trouble));
                result.violations().forEach(broken -> System.out.println("  " + broken));
                System.out.println("  logs in " + result.folder());
            }
        }
        System.out.println(count + " seeds, " + red + " broke something");
        System.exit(red == 0 ? 0 : 1);
    }
}
