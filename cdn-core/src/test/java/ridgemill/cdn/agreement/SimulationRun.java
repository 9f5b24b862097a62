package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ridgemill.cdn.config.Item;

/** One random run of a {@link ClusterSimulation}: continuous changes, reads and claims, and tolerated faults. */
final class SimulationRun {

    private static final String CONTENT_PREFIXES = "abcdef------";
    private static final double STARTUP_MS = 3_000;
    private static final double[] LOSS_RATES = {0.02, 0.02, 0.1, 0.25};
    private static final double MAX_RELIABLE_LOSS_RATE = 0.05;
    /** On average one of this many confirmed changes is followed by a power loss of all machines. */
    private static final int CONFIRMED_PER_POWER_LOSS = 150;

    private final ClusterSimulation simulation;
    private final Random random;
    private final double lengthMs;
    private int machineCount;
    private final List<List<Item>> submitted = new ArrayList<>();

    SimulationRun(long seed, Mutation mutation, double lengthMs) {
        int toleratedLosses = seed % 4 == 3 ? 2 : 1;
        int stores = toleratedLosses == 2 ? 6 : 3 + (int) (seed % 3);
        this.simulation = new ClusterSimulation(seed, mutation, stores, toleratedLosses);
        this.random = simulation.random;
        simulation.lossRate = LOSS_RATES[(int) (seed / 7 % LOSS_RATES.length)];
        this.machineCount = stores;
        this.lengthMs = lengthMs;
    }

    ClusterSimulation run() {
        simulation.run(STARTUP_MS);
        double nextFaultMs = simulation.nowMs;
        double endMs = simulation.nowMs + lengthMs;
        while (simulation.nowMs < endMs) {
            simulation.run(20 + random.nextInt(120));
            performCalls();
            if (simulation.nowMs >= nextFaultMs) {
                injectFault();
                nextFaultMs = simulation.nowMs + 300 + random.nextInt(5_000);
            }
        }
        simulation.verifyFinalState();
        return simulation;
    }

    private void performCalls() {
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            switch (random.nextInt(5)) {
                case 0 -> {
                    simulation.read();
                    simulation.read();
                }
                case 1, 2 -> claim();
                case 3 -> resubmit();
                default -> submitChanges();
            }
        }
    }

    /** A client request, at times sent again at once through another edge proxy. */
    private void claim() {
        String key = "key-" + random.nextInt(400);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            simulation.claim(key);
        }
    }

    /** One or two operators send changes, at times with different contents under one version. */
    private void submitChanges() {
        int senders = 1 + random.nextInt(2);
        long version = 1 + (long) (simulation.nowMs / 400) + random.nextInt(3);
        String name = "r" + random.nextInt(8);
        for (int i = 0; i < senders; i++) {
            String content =
                    CONTENT_PREFIXES.charAt(random.nextInt(CONTENT_PREFIXES.length())) + "" + random.nextInt(1_000);
            List<Item> items = new ArrayList<>();
            items.add(ClusterSimulation.route(name, version, random.nextInt(5) == 0 ? null : content));
            if (random.nextInt(4) == 0) {
                items.add(ClusterSimulation.route("s" + random.nextInt(4), version, "-" + random.nextInt(100)));
            }
            submitted.add(items);
            simulation.submit(items, this::onResult);
        }
    }

    private void onResult(ChangeResult result) {
        boolean confirmed = result.outcome() == ChangeResult.Outcome.CONFIRMED;
        if (confirmed && random.nextInt(CONFIRMED_PER_POWER_LOSS) == 0 && simulation.isNoMachineLost()) {
            simulation.schedule(0, null, simulation::powerOffAll);
        }
    }

    /** Submits an earlier change again. */
    private void resubmit() {
        if (!submitted.isEmpty()) {
            simulation.submit(submitted.get(Math.max(0, submitted.size() - 1 - random.nextInt(20))), result -> {});
        }
    }

    private void injectFault() {
        List<String> addresses = new ArrayList<>(simulation.machines.keySet());
        String address = addresses.get(random.nextInt(addresses.size()));
        if (random.nextInt(4) == 0) {
            address = leaderOr(address);
        }
        simulation.keepDiskImage(addresses.get(random.nextInt(addresses.size())));
        int kind = random.nextInt(11);
        if (kind == 10 && simulation.isNoMachineLost() && !simulation.isAnyDiskStalled()) {
            simulation.stallDisk(address, 1_000 + random.nextInt(8_000));
            return;
        }
        if (kind == 0) {
            simulation.powerOffAll();
            return;
        }
        if (kind == 10 || simulation.isAnyDiskStalled() && !simulation.isStallLongEnough()) {
            return;
        }
        if (!simulation.canLose(address) || simulation.machines.get(address).process == null) {
            return;
        }
        double forMs = 200 + random.nextInt(3_000);
        // The tolerated losses assume reliable links: over others a voter can't be replaced in time.
        boolean reliableLinks = simulation.lossRate < MAX_RELIABLE_LOSS_RATE;
        switch (kind) {
            case 1 -> simulation.kill(address, forMs, false, false);
            case 2, 3 -> simulation.kill(address, forMs, true, false);
            case 4, 5 -> simulation.kill(address, forMs, true, reliableLinks);
            case 6 -> simulation.freeze(address, forMs);
            case 7 -> simulation.partition(address, random.nextBoolean() ? 20_000 : forMs, true, true);
            case 8 -> simulation.partition(address, forMs * 2, random.nextBoolean(), true);
            default -> {
                if (reliableLinks) {
                    simulation.replace(
                            address, "m" + ++machineCount, random.nextBoolean(), 200 + random.nextInt(2_000));
                }
            }
        }
    }

    private String leaderOr(String fallback) {
        return simulation.machines.values().stream()
                .filter(machine -> machine.process != null && machine.process.node.isLeading())
                .map(machine -> machine.address)
                .findFirst()
                .orElse(fallback);
    }
}
