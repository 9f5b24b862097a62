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

/**
 * One run: the whole system as processes under seeded faults, then a phase without faults, then the check for
 * violations.
 */
public final class Soak {

    private static final double ORIGIN_RATE = 60;
    private static final int CONNECTION_CAP = 24;
    private static final long START_TIMEOUT_MS = 60_000;
    private static final long FAULT_FREE_MS = 5_000;
    private static final long RECOVERY_TIMEOUT_MS = 15_000;
    private static final long HEARTBEAT_MS = 500;
    private static final int CACHES = 2;
    private static final int FILE_DESCRIPTORS = 1_024;
    private static final int FAULT_COUNT = 9;

    /**
     * The result of a run.
     *
     * @param violations the violated rules and invariants
     * @param served the number of requests that were served after the faults
     * @param faults descriptions of the injected faults
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

    /** Executes the run. */
    Result run() throws IOException {
        SoakFleet.Size size = new SoakFleet.Size(proxies, CACHES, FILE_DESCRIPTORS, false);
        SoakFleet fleet = new SoakFleet(folder, (int) Math.floorMod(seed, 200L), new Random(seed), size);
        Map<String, AtomicInteger> versions = SoakInstance.versions();
        for (int i = 0; i < 2; i++) {
            objects.add(new SoakInstance("o" + i, audit, seed + i, CONNECTION_CAP, versions));
            orders.add(new SoakInstance("w" + i, audit, seed + 10 + i, 400, versions));
        }
        SoakOperator operator = new SoakOperator(fleet, audit, versions, seed, timer);
        List<SoakClient> running = new ArrayList<>();
        SoakFaults faults = null;
        // Kills the processes of the run if it is terminated from outside.
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
            fleet.markStarted();
            for (int i = 0; i < clients; i++) {
                SoakClient client = new SoakClient(fleet, audit, seed * 1_000 + i, 25.0 * clients / 12);
                running.add(client);
                clientThreads.execute(client);
            }
            List<SoakInstance> all = new ArrayList<>(objects);
            all.addAll(orders);
            faults = new SoakFaults(fleet, audit, operator, all, seed, timer);
            faults.plan(FAULT_COUNT, spanMs);
            sleep(faults.lastEndMs() + 1_000);
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
        List<String> violations = audit.violations(ORIGIN_RATE);
        if (violations.isEmpty()) {
            delete(folder);
        }
        return new Result(seed, violations, audit.served(), faults == null ? List.of() : faults.planned(), folder);
    }

    private void heartbeats(SoakOperator operator) {
        objects.forEach(instance -> operator.heartbeat(instance, "objects"));
        orders.forEach(instance -> operator.heartbeat(instance, "orders"));
    }

    /** Checks the invariant violations that each running process counts itself. */
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

    private void until(String description, long timeoutMs, BooleanSupplier condition) {
        double endMs = audit.now() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (audit.now() > endMs) {
                throw new IllegalStateException("not after " + timeoutMs + " ms: " + description);
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
     * Runs seeds from the command line. The arguments are the first seed, the number of seeds, the number of proxies,
     * and optionally the number of clients. The exit code is 1 if any run failed. The folder of a failed run, with the
     * logs of its processes, is kept.
     */
    public static void main(String[] arguments) throws IOException {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        int proxies = Integer.parseInt(arguments[2]);
        int clients = arguments.length > 3 ? Integer.parseInt(arguments[3]) : 12;
        int failures = 0;
        for (long seed = first; seed < first + count; seed++) {
            Result result = new Soak(seed, proxies, clients, 10_000).run();
            boolean held = result.violations().isEmpty() && result.served() > 0;
            failures += held ? 0 : 1;
            System.out.println((held ? "held" : "BROKE") + " seed=" + seed + " proxies=" + proxies + " served_calm="
                    + result.served());
            if (!held) {
                result.faults().forEach(fault -> System.out.println("  trouble " + fault));
                result.violations().forEach(violation -> System.out.println("  " + violation));
                System.out.println("  logs in " + result.folder());
            }
        }
        System.out.println(count + " seeds, " + failures + " broke something");
        System.exit(failures == 0 ? 0 : 1);
    }
}
