package ridgemill.cdn.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Draws troubles that overlap and carries them out. Everything that was stopped is started again by the end. */
final class SoakFaults {

    private static final double MAX_FAULT_MS = 3_000;
    private static final int PURGES_PER_SERIES = 20;
    private static final int CHANGES_PER_SERIES = 6;

    private final SoakFleet fleet;
    private final SoakAudit audit;
    private final SoakOperator operator;
    private final List<SoakInstance> instances;
    private final Random random;
    private final ScheduledExecutorService timer;
    private final List<String> planned = new ArrayList<>();
    private final AtomicLong lastEndMs = new AtomicLong();
    /** One core machine may be in trouble at once. */
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

    /** Plans so many troubles over a span; some of them strike at the same moment. */
    void plan(int count, double spanMs) {
        double atMs = 0;
        for (int i = 0; i < count; i++) {
            atMs = random.nextInt(3) == 0 ? atMs : random.nextDouble() * spanMs;
            double forMs = 300 + random.nextDouble() * (MAX_FAULT_MS - 300);
            planFault(atMs, forMs);
        }
    }

    List<String> planned() {
        return planned;
    }

    private void planFault(double atMs, double forMs) {
        switch (random.nextInt(10)) {
            case 0 -> kill(machine(SoakFleet.Role.PROXY), atMs, forMs);
            case 1 -> kill(machine(SoakFleet.Role.CACHE), atMs, forMs);
            case 2 -> pause(machine(SoakFleet.Role.PROXY), atMs, forMs);
            case 3 -> pause(machine(SoakFleet.Role.CACHE), atMs, forMs);
            case 4 -> core(atMs, forMs);
            case 5 -> rollingRestart(SoakFleet.Role.PROXY, atMs);
            case 6 -> rollingRestart(SoakFleet.Role.CACHE, atMs);
            case 7 -> changes(atMs);
            case 8 -> purges(atMs);
            default -> instance(atMs, forMs);
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

    private void recordPlan(double atMs, String what) {
        planned.add(Math.round(atMs) + " ms " + what);
    }

    private void kill(SoakFleet.Machine machine, double atMs, double forMs) {
        recordPlan(atMs, "kill " + machine.name() + " for " + Math.round(forMs) + " ms");
        at(atMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now() + forMs);
            machine.processes().forEach(SoakProcess::kill);
        });
        at(atMs + forMs, () -> machine.processes().forEach(SoakProcess::start));
    }

    private void pause(SoakFleet.Machine machine, double atMs, double forMs) {
        recordPlan(atMs, "pause " + machine.name() + " for " + Math.round(forMs) + " ms");
        at(atMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now() + forMs);
            machine.processes().forEach(SoakProcess::pause);
        });
        at(atMs + forMs, () -> {
            audit.recordFault(machine.name(), audit.now(), audit.now());
            machine.processes().forEach(SoakProcess::resume);
        });
    }

    private void core(double atMs, double forMs) {
        if (coreFaults.getAndIncrement() > 0) {
            return;
        }
        if (random.nextBoolean()) {
            kill(machine(SoakFleet.Role.CORE), atMs, forMs);
        } else if (random.nextBoolean()) {
            pause(machine(SoakFleet.Role.CORE), atMs, forMs);
        } else {
            // All processes of the core at once; their disks stay.
            fleet.machines(SoakFleet.Role.CORE).forEach(machine -> kill(machine, atMs, Math.min(1_000, forMs)));
        }
    }

    /** Several machines are asked to end in turn, hung up on before, and started again once they are gone. */
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
        for (int i = 0; i < CHANGES_PER_SERIES; i++) {
            boolean timeout = random.nextBoolean();
            at(atMs + 120 * i, () -> operator.change(timeout));
        }
    }

    private void purges(double atMs) {
        recordPlan(atMs, "series of purges");
        for (int i = 0; i < PURGES_PER_SERIES; i++) {
            int object = random.nextInt(20);
            at(atMs + 50 * i, () -> operator.purge(object));
        }
    }

    private void instance(double atMs, double forMs) {
        SoakInstance instance = instances.get(random.nextInt(instances.size()));
        boolean cut = random.nextBoolean();
        recordPlan(atMs, (cut ? "cut off " : "answers lost by ") + instance.id() + " for " + Math.round(forMs) + " ms");
        at(atMs, () -> {
            instance.cutOff(cut);
            instance.loseResponses(cut ? 0 : 0.2);
        });
        at(atMs + forMs, () -> {
            instance.cutOff(false);
            instance.loseResponses(0);
        });
    }

    /** When the last planned act is due, in milliseconds from the plan. */
    long lastEndMs() {
        return lastEndMs.get();
    }
}
