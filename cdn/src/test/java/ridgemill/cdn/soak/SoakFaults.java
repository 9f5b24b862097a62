package ridgemill.cdn.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Chooses overlapping faults at random and injects them. All stopped processes are started again by the end. */
final class SoakFaults {

    private static final double MAX_FAULT_MS = 3_000;
    private static final int PURGES = 20;
    private static final int CHANGES = 6;

    private final SoakFleet fleet;
    private final SoakAudit audit;
    private final SoakOperator operator;
    private final List<SoakInstance> instances;
    private final Random random;
    private final ScheduledExecutorService timer;
    private final List<String> planned = new ArrayList<>();
    private final AtomicLong lastEndMs = new AtomicLong();
    /** Counts the chosen core faults. Only the first one is injected, so that core faults never overlap. */
    private final AtomicInteger coreFaults = new AtomicInteger();

    SoakFaults(
            SoakFleet fleet,
            SoakAudit audit,
            SoakOperator operator,
            List<SoakInstance> instances,
            long seed,
            ScheduledExecutorService timer) {
        this.fleet = fleet;
        this.audit = audit;
        this.operator = operator;
        this.instances = instances;
        this.random = new Random(seed);
        this.timer = timer;
    }

    /** Plans a number of faults over a time span. Some of them start at the same moment. */
    void plan(int count, double spanMs) {
        double atMs = 0;
        for (int i = 0; i < count; i++) {
            atMs = random.nextInt(3) == 0 ? atMs : random.nextDouble() * spanMs;
            double durationMs = 300 + random.nextDouble() * (MAX_FAULT_MS - 300);
            planFault(atMs, durationMs);
        }
    }

    List<String> planned() {
        return planned;
    }

    private void planFault(double atMs, double durationMs) {
        switch (random.nextInt(10)) {
            case 0 -> kill(machine(SoakFleet.Role.PROXY), atMs, durationMs);
            case 1 -> kill(machine(SoakFleet.Role.CACHE), atMs, durationMs);
            case 2 -> pause(machine(SoakFleet.Role.PROXY), atMs, durationMs);
            case 3 -> pause(machine(SoakFleet.Role.CACHE), atMs, durationMs);
            case 4 -> core(atMs, durationMs);
            case 5 -> rollingRestart(SoakFleet.Role.PROXY, atMs);
            case 6 -> rollingRestart(SoakFleet.Role.CACHE, atMs);
            case 7 -> changes(atMs);
            case 8 -> purges(atMs);
            default -> instance(atMs, durationMs);
        }
    }

    private SoakFleet.Machine machine(SoakFleet.Role role) {
        List<SoakFleet.Machine> all = fleet.machines(role);
        return all.get(random.nextInt(all.size()));
    }

    private void at(double ms, Runnable task) {
        lastEndMs.accumulateAndGet((long) ms, Math::max);
        timer.schedule(task, (long) ms, TimeUnit.MILLISECONDS);
    }

    private void recordPlan(double atMs, String description) {
        planned.add(Math.round(atMs) + " ms " + description);
    }

    private void kill(SoakFleet.Machine machine, double atMs, double durationMs) {
        recordPlan(atMs, "kill " + machine.name() + " for " + Math.round(durationMs) + " ms");
        at(atMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now() + durationMs);
            machine.processes().forEach(SoakProcess::kill);
        });
        at(atMs + durationMs, () -> machine.processes().forEach(SoakProcess::start));
    }

    private void pause(SoakFleet.Machine machine, double atMs, double durationMs) {
        recordPlan(atMs, "pause " + machine.name() + " for " + Math.round(durationMs) + " ms");
        at(atMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now() + durationMs);
            machine.processes().forEach(SoakProcess::pause);
        });
        at(atMs + durationMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now());
            machine.processes().forEach(SoakProcess::resume);
        });
    }

    private void core(double atMs, double durationMs) {
        if (coreFaults.getAndIncrement() > 0) {
            return;
        }
        if (random.nextBoolean()) {
            kill(machine(SoakFleet.Role.CORE), atMs, durationMs);
        } else if (random.nextBoolean()) {
            pause(machine(SoakFleet.Role.CORE), atMs, durationMs);
        } else {
            // Kills all core processes at once. Their disks are kept.
            fleet.machines(SoakFleet.Role.CORE).forEach(machine -> kill(machine, atMs, Math.min(1_000, durationMs)));
        }
    }

    /**
     * Restarts several machines one after another: SIGHUP, then SIGTERM, then a new start once the process has ended.
     */
    private void rollingRestart(SoakFleet.Role role, double atMs) {
        List<SoakFleet.Machine> all = fleet.machines(role);
        int first = random.nextInt(all.size());
        int count = Math.min(all.size() - 1, 1 + random.nextInt(2));
        for (int i = 0; i < count; i++) {
            SoakFleet.Machine machine = all.get((first + i) % all.size());
            double beginMs = atMs + 700 * i;
            recordPlan(beginMs, "hang up on and terminate " + machine.name());
            SoakProcess process = machine.processes().get(0);
            at(beginMs, process::hangUp);
            at(beginMs + 100, process::terminate);
            at(beginMs + 100, () -> startOnceGone(machine));
        }
    }

    private void startOnceGone(SoakFleet.Machine machine) {
        SoakProcess process = machine.processes().get(0);
        if (process.isAlive()) {
            timer.schedule(() -> startOnceGone(machine), 100, TimeUnit.MILLISECONDS);
        } else {
            process.start();
        }
    }

    private void changes(double atMs) {
        recordPlan(atMs, "series of changes");
        for (int i = 0; i < CHANGES; i++) {
            boolean timeout = random.nextBoolean();
            at(atMs + 120 * i, () -> operator.change(timeout));
        }
    }

    private void purges(double atMs) {
        recordPlan(atMs, "series of purges");
        for (int i = 0; i < PURGES; i++) {
            int object = random.nextInt(20);
            at(atMs + 50 * i, () -> operator.purge(object));
        }
    }

    private void instance(double atMs, double durationMs) {
        SoakInstance instance = instances.get(random.nextInt(instances.size()));
        boolean cut = random.nextBoolean();
        recordPlan(
                atMs,
                (cut ? "cut off " : "answers lost by ") + instance.id() + " for " + Math.round(durationMs) + " ms");
        at(atMs, () -> {
            instance.cutOff(cut);
            instance.loseResponses(cut ? 0 : 0.2);
        });
        at(atMs + durationMs, () -> {
            instance.cutOff(false);
            instance.loseResponses(0);
        });
    }

    /** Returns when the last planned action is due, in milliseconds from the planning. */
    long lastEndMs() {
        return lastEndMs.get();
    }
}
