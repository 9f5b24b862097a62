package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import ridgemill.cdn.config.Item;

/**
 * One random course of a {@link ClusterSimulation}: orders, reads and claims all the time, and losses within what is
 * tolerated.
 */
final class SimulationRun {

    private static final String PLACES = "abcdef------";
    private static final double FORMING_MS = 3_000;
    private static final double[] LOSS_SHARES = {0.02, 0.02, 0.1, 0.25};
    private static final double MOST_SOUND_LOSS = 0.05;
    /** One confirmed order in so many is followed by a loss of power everywhere. */
    private static final int CONFIRMED_THEN_DARK = 150;

    private final ClusterSimulation world;
    private final Random random;
    private final double lengthMs;
    private int names;
    private final List<List<Item>> sent = new ArrayList<>();

    SimulationRun(long seed, Mutation mutant, double lengthMs) {
        int tolerated = seed % 4 == 3 ? 2 : 1;
        int stores = tolerated == 2 ? 6 : 3 + (int) (seed % 3);
        this.world = new ClusterSimulation(seed, mutant, stores, tolerated);
        this.random = world.random;
        world.lossShare = LOSS_SHARES[(int) (seed / 7 % LOSS_SHARES.length)];
        this.names = stores;
        this.lengthMs = lengthMs;
    }

    ClusterSimulation run() {
        world.run(FORMING_MS);
        double nextFaultMs = world.nowMs;
        double endMs = world.nowMs + lengthMs;
        while (world.nowMs < endMs) {
            world.run(20 + random.nextInt(120));
            act();
            if (world.nowMs >= nextFaultMs) {
                fault();
                nextFaultMs = world.nowMs + 300 + random.nextInt(5_000);
            }
        }
        world.checkEnd();
        return world;
    }

    private void act() {
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            switch (random.nextInt(5)) {
                case 0 -> {
                    world.read();
                    world.read();
                }
                case 1, 2 -> claim();
                case 3 -> again();
                default -> order();
            }
        }
    }

    /** A client's request, at times sent again at once through another edge proxy. */
    private void claim() {
        String key = "key-" + random.nextInt(400);
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            world.claim(key);
        }
    }

    /** One or two operators send changes, at times with different contents under one version. */
    private void order() {
        int senders = 1 + random.nextInt(2);
        long version = 1 + (long) (world.nowMs / 400) + random.nextInt(3);
        String name = "r" + random.nextInt(8);
        for (int i = 0; i < senders; i++) {
            String content = PLACES.charAt(random.nextInt(PLACES.length())) + "" + random.nextInt(1_000);
            List<Item> items = new ArrayList<>();
            items.add(ClusterSimulation.route(name, version, random.nextInt(5) == 0 ? null : content));
            if (random.nextInt(4) == 0) {
                items.add(ClusterSimulation.route("s" + random.nextInt(4), version, "-" + random.nextInt(100)));
            }
            sent.add(items);
            world.order(items, this::answered);
        }
    }

    private void answered(ChangeResult result) {
        boolean confirmed = result.outcome() == ChangeResult.Outcome.CONFIRMED;
        if (confirmed && random.nextInt(CONFIRMED_THEN_DARK) == 0 && world.nobodyIsLost()) {
            world.at(0, null, world::powerOffAll);
        }
    }

    /** The same order again, late. */
    private void again() {
        if (!sent.isEmpty()) {
            world.order(sent.get(Math.max(0, sent.size() - 1 - random.nextInt(20))), result -> {});
        }
    }

    private void fault() {
        List<String> addresses = new ArrayList<>(world.machines.keySet());
        String address = addresses.get(random.nextInt(addresses.size()));
        if (random.nextInt(4) == 0) {
            address = leader(address);
        }
        world.remember(addresses.get(random.nextInt(addresses.size())));
        int kind = random.nextInt(11);
        if (kind == 10 && world.nobodyIsLost() && !world.isAnyDiskStuck()) {
            world.stick(address, 1_000 + random.nextInt(8_000));
            return;
        }
        if (kind == 0) {
            world.powerOffAll();
            return;
        }
        if (kind == 10 || world.isAnyDiskStuck() && !world.stuckLongEnough()) {
            return;
        }
        if (!world.mayLose(address) || world.machines.get(address).process == null) {
            return;
        }
        double forMs = 200 + random.nextInt(3_000);
        // What is tolerated counts on links that are sound: a voter can't be replaced in time over others.
        boolean soundLinks = world.lossShare < MOST_SOUND_LOSS;
        switch (kind) {
            case 1 -> world.kill(address, forMs, false, false);
            case 2, 3 -> world.kill(address, forMs, true, false);
            case 4, 5 -> world.kill(address, forMs, true, soundLinks);
            case 6 -> world.freeze(address, forMs);
            case 7 -> world.cut(address, random.nextBoolean() ? 20_000 : forMs, true, true);
            case 8 -> world.cut(address, forMs * 2, random.nextBoolean(), true);
            default -> {
                if (soundLinks) {
                    world.replace(address, "m" + ++names, random.nextBoolean(), 200 + random.nextInt(2_000));
                }
            }
        }
    }

    private String leader(String otherwise) {
        return world.machines.values().stream()
                .filter(machine -> machine.process != null && machine.process.node.isLeading())
                .map(machine -> machine.address)
                .findFirst()
                .orElse(otherwise);
    }
}
