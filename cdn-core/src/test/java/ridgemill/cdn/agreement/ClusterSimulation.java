package ridgemill.cdn.agreement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;
import ridgemill.cdn.keys.ClaimTally;
import ridgemill.cdn.keys.KeyLimits;
import ridgemill.cdn.keys.KeyRecord;
import ridgemill.cdn.keys.KeyReplica;
import ridgemill.cdn.keys.KeyVote;
import ridgemill.cdn.quorum.Voter;
import ridgemill.cdn.quorum.VoterSet;

/**
 * Simulates stores that run the real agreement and key code in simulated time. Messages are delayed, lost and
 * duplicated; machines are partitioned, frozen, killed, powered off, wiped and replaced; operators submit changes and
 * read, and edge proxies claim keys. The results that callers see are checked against those confirmed before. Runs are
 * deterministic for a seed.
 */
final class ClusterSimulation {

    /** Thrown when the cluster makes no progress although all faults have ended. */
    static final class NoProgress extends Violation {

        private static final long serialVersionUID = 1;

        NoProgress(String message) {
            super(message);
        }
    }

    /** Thrown when a safety property is violated. */
    static class Violation extends AssertionError {

        private static final long serialVersionUID = 1;

        Violation(String message) {
            super(message);
        }
    }

    static final double CATCH_UP_MS = 4_000;
    private static final boolean TRACE = Boolean.getBoolean("trace");
    private static final int EDGE_PROXIES = 3;
    private static final int MAX_ANNOUNCEMENT_DELAY_MS = 4_000;
    private static final double CALL_TIMEOUT_MS = 900;
    private static final KeyLimits LIMITS = new KeyLimits(1_000_000, 100_000, 1 << 24);

    final Random random;
    private final Mutation mutation;
    private final int toleratedLosses;
    private final List<String> seeds;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Set<String> cutLinks = new HashSet<>();
    private final Map<String, Double> lostUntilMs = new HashMap<>();
    private double diskStalledAtMs;
    private long eventCount;
    private long diskCount;
    double nowMs;
    double lossRate = 0.02;
    /** The voters that each edge proxy knows; some receive updates late. */
    private final VoterSet[] edgeVoters = new VoterSet[EDGE_PROXIES];

    private final Set<Integer> edgesWithoutUpdates = new HashSet<>();

    /** The content that was confirmed, or seen by any caller, for each name and version. */
    private final Map<String, String> contentByVersion = new HashMap<>();
    /** The highest confirmed version of each name. */
    private final Map<ItemName, Item> confirmed = new TreeMap<>();

    private final Map<String, Integer> runs = new HashMap<>();
    long confirmations;
    long reads;
    long grants;

    private record Event(double atMs, long order, Runnable task) {}

    /** A machine with its disk and, while it runs, the process of its store. */
    final class Machine {

        final String address;
        SimulatedDisk disk;
        Process process;
        boolean frozen;
        private final List<Runnable> deferredTasks = new ArrayList<>();
        private Map<String, KeyRecord> oldKeys = Map.of();
        private AcceptorRecord previousImage;

        Machine(String address) {
            this.address = address;
            this.disk = new SimulatedDisk("disk-" + ++diskCount, nowMs == 0 ? seeds : List.of());
        }

        void start() {
            if (process != null) {
                return;
            }
            frozen = false;
            deferredTasks.clear();
            process = new Process(this);
            process.start();
        }

        /**
         * Ends the process. After a kill some of the writes that were not synced may be on disk; after a power loss
         * none is.
         */
        void stop(boolean powerLoss) {
            process = null;
            frozen = false;
            deferredTasks.clear();
            disk.crash(powerLoss ? 0 : random.nextInt(disk.pendingCount() + 1));
        }

        void replaceDisk() {
            boolean keepsDiskId = mutation == Mutation.WIPED_ONE_VOTES;
            disk = new SimulatedDisk(keepsDiskId ? disk.diskId : "disk-" + ++diskCount, List.of());
        }

        void unfreeze() {
            frozen = false;
            List<Runnable> tasks = new ArrayList<>(deferredTasks);
            deferredTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    /** One run of a store's process. */
    final class Process implements AgreementEnvironment {

        private final Machine machine;
        private final SimulatedDisk disk;
        final AgreementNode node;
        final KeyReplica keys = new KeyReplica(LIMITS);
        private VoterSet transferring = VoterSet.UNKNOWN;
        private final Map<Voter, List<KeyRecord>> transferred = new HashMap<>();
        private boolean syncing;

        Process(Machine machine) {
            this.machine = machine;
            this.disk = machine.disk;
            Voter self = new Voter(machine.address, disk.diskId);
            String incarnationId = mutation == Mutation.BALLOT_REUSED ? "same" : "life-" + ++eventCount;
            NodeSettings settings = new NodeSettings(
                    self,
                    incarnationId,
                    "zone-" + machine.address,
                    true,
                    currentSeeds(),
                    disk.founders,
                    toleratedLosses);
            node = new AgreementNode(settings, this, new UniquePlaceRules(mutation));
        }

        void start() {
            AcceptorRecord image = disk.read();
            if (mutation == Mutation.BALLOT_REUSED) {
                image = new AcceptorRecord(Ballot.NONE, image.accepted(), image.voters(), image.items(), true);
            }
            if (mutation == Mutation.OLD_SNAPSHOT_TAKEN && machine.previousImage != null) {
                image = machine.previousImage;
            }
            keys.restore(disk.keys.values());
            node.start(image, nowMs);
            tick();
        }

        private void tick() {
            schedule(AgreementNode.TICK_MS, this, () -> {
                node.tick(nowMs);
                transferKeys();
                tick();
            });
        }

        boolean isRunning() {
            return machine.process == this;
        }

        @Override
        public void send(String address, AgreementMessage message) {
            AgreementMessage sent = mutate(message);
            transmit(machine.address, address, () -> {
                Machine target = machines.get(address);
                if (target != null && target.process != null) {
                    target.process.receive(sent);
                }
            });
        }

        private AgreementMessage mutate(AgreementMessage message) {
            if (mutation == Mutation.UNDECIDED_DROPPED && message instanceof AgreementMessage.Promise promise) {
                StateId none = new StateId(Ballot.NONE, promise.accepted().revision() > 0 ? 0 : -1);
                return new AgreementMessage.Promise(promise.from(), promise.ballot(), none, promise.voters());
            }
            return message;
        }

        void receive(AgreementMessage message) {
            AgreementMessage received = message;
            if (mutation == Mutation.ANSWER_MATCHED_BY_NUMBER
                    && message instanceof AgreementMessage.Accepted accepted) {
                // Replaces the ballot by the one proposed here at present, so that only the revision is compared.
                Ballot own = disk.read().promised();
                received = new AgreementMessage.Accepted(
                        accepted.from(), new StateId(own, accepted.stateId().revision()));
            }
            if (mutation == Mutation.FROZEN_ONE_GOES_ON && message instanceof AgreementMessage.Refused) {
                return;
            }
            if (mutation == Mutation.FROZEN_ONE_GOES_ON && message instanceof AgreementMessage.Confirm confirm) {
                AgreementMessage confirmation = new AgreementMessage.Confirmed(
                        new Voter(machine.address, disk.diskId), confirm.ballot(), confirm.number());
                send(confirm.from().address(), confirmation);
                return;
            }
            node.receive(received, nowMs);
        }

        @Override
        public void persist(AcceptorRecord record, Runnable durable) {
            if (mutation == Mutation.PUSHES_BEFORE_DECIDED) {
                record.items().forEach(entry -> checkContent(entry.item()));
            }
            boolean reportsEarly = mutation == Mutation.CONFIRMS_BEFORE_SYNC;
            write(record, null, reportsEarly ? () -> {} : durable);
            if (reportsEarly) {
                schedule(0, this, durable);
            }
        }

        void write(AcceptorRecord record, KeyRecord key, Runnable durable) {
            disk.write(record, key, durable);
            sync();
        }

        private void sync() {
            if (syncing) {
                return;
            }
            syncing = true;
            schedule(1 + random.nextInt(8), this, () -> {
                syncing = false;
                if (disk.hasPending() && !disk.stalled) {
                    disk.sync().run();
                    node.onPersisted(nowMs);
                }
                if (disk.hasPending()) {
                    sync();
                }
            });
        }

        @Override
        public void onDecided(List<Item> changed, VoterSet voters) {
            changed.forEach(ClusterSimulation.this::checkContent);
            trace(() -> machine.address + "/" + disk.diskId + " decided epoch=" + voters.epoch() + " voters="
                    + voters.voters() + " previous=" + voters.previous());
            for (int i = 0; i < EDGE_PROXIES; i++) {
                int edge = i;
                double delayMs = random.nextInt(4) == 0 ? random.nextInt(MAX_ANNOUNCEMENT_DELAY_MS) : 0;
                schedule(
                        delayMs,
                        null,
                        () -> transmit(machine.address, "edge", () -> {
                            if (voters.isNewerThan(edgeVoters[edge]) && !edgesWithoutUpdates.contains(edge)) {
                                edgeVoters[edge] = voters;
                            }
                        }));
            }
        }

        @Override
        public double random() {
            return random.nextDouble();
        }

        /**
         * Fetches the keys as the store program does: from a majority of the base voters, each in the epoch of the
         * change.
         */
        private void transferKeys() {
            VoterSet change = node.voterChangeAwaitingKeys();
            if (change == null) {
                return;
            }
            if (mutation == Mutation.NEWCOMER_COUNTS_AT_ONCE) {
                node.onKeysComplete(change.epoch(), nowMs);
                return;
            }
            if (!change.equals(transferring)) {
                transferring = change;
                transferred.clear();
            }
            for (Voter voter : change.baseVoters()) {
                if (!transferred.containsKey(voter)) {
                    transmit(machine.address, voter.address(), () -> answerKeys(voter, change));
                }
            }
        }

        private void answerKeys(Voter voter, VoterSet change) {
            Process other = processOf(voter);
            if (other == null || other.node.decidedVoters().epoch() != change.epoch()) {
                return;
            }
            List<KeyRecord> records = other.keys.all();
            transmit(voter.address(), machine.address, () -> {
                if (isRunning() && transferring.equals(change) && transferred.putIfAbsent(voter, records) == null) {
                    finishTransfer(change);
                }
            });
        }

        private void finishTransfer(VoterSet change) {
            if (!change.hasMajorityOfBase(transferred::containsKey)) {
                return;
            }
            List<KeyRecord> all = new ArrayList<>();
            transferred.values().forEach(all::addAll);
            List<KeyRecord> merged = keys.merge(all);
            merged.forEach(record -> write(null, record, () -> {}));
            write(null, null, () -> node.onKeysComplete(change.epoch(), nowMs));
        }
    }

    /**
     * No two items may have the same place, which is the first character of the content; {@code -} stands for no place.
     */
    static final class UniquePlaceRules implements ChangeRules {

        private final Map<ItemName, Item> items = new TreeMap<>();
        private final Mutation mutation;

        UniquePlaceRules(Mutation mutation) {
            this.mutation = mutation;
        }

        @Override
        public void reset(Collection<Item> all) {
            items.clear();
            all.forEach(item -> items.put(item.name(), item));
        }

        @Override
        public void apply(Collection<Item> changed) {
            if (mutation != Mutation.CHECKS_AGAINST_OLD_ITEMS) {
                changed.forEach(item -> items.put(item.name(), item));
            }
        }

        @Override
        public Optional<String> validate(Collection<Item> changed) {
            Map<ItemName, Item> next = new TreeMap<>(items);
            changed.forEach(item -> next.put(item.name(), item));
            return conflict(next.values());
        }

        static Optional<String> conflict(Collection<Item> items) {
            Set<Character> places = new HashSet<>();
            for (Item item : items) {
                if (!item.isTombstone()
                        && item.content().charAt(0) != '-'
                        && !places.add(item.content().charAt(0))) {
                    return Optional.of(
                            "two items at the place " + item.content().charAt(0));
                }
            }
            return Optional.empty();
        }
    }

    ClusterSimulation(long seed, Mutation mutation, int stores, int tolerated) {
        this.random = new Random(seed);
        this.mutation = mutation;
        this.toleratedLosses = tolerated;
        this.seeds = List.of("m1", "m2", "m3");
        Arrays.fill(edgeVoters, VoterSet.UNKNOWN);
        for (int i = 1; i <= stores; i++) {
            add("m" + i);
        }
        machines.values().forEach(machine -> schedule(random.nextInt(300), null, machine::start));
    }

    Machine add(String address) {
        Machine machine = new Machine(address);
        machines.put(address, machine);
        return machine;
    }

    /** Schedules a task. A task of a process runs only while that process runs, and if it is frozen, after that. */
    void schedule(double delayMs, Process owner, Runnable task) {
        events.add(new Event(nowMs + delayMs, ++eventCount, () -> {
            if (owner == null) {
                task.run();
            } else if (owner.isRunning() && owner.machine.frozen) {
                owner.machine.deferredTasks.add(() -> runIfRunning(owner, task));
            } else {
                runIfRunning(owner, task);
            }
        }));
    }

    /**
     * The seeds in the settings of a process that starts now: the first seeds, or other machines where those are gone.
     */
    private List<String> currentSeeds() {
        List<String> now = new ArrayList<>(seeds);
        now.retainAll(machines.keySet());
        for (String address : machines.keySet()) {
            if (now.size() < seeds.size() && !now.contains(address)) {
                now.add(address);
            }
        }
        return now;
    }

    private static void runIfRunning(Process owner, Runnable task) {
        if (owner.isRunning()) {
            task.run();
        }
    }

    private void transmit(String from, String to, Runnable delivery) {
        int copies = random.nextDouble() < 0.02 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double delayMs = random.nextInt(10) == 0 ? random.nextInt(400) : 1 + random.nextInt(20);
            if (random.nextDouble() < lossRate) {
                continue;
            }
            events.add(new Event(nowMs + delayMs, ++eventCount, () -> {
                Machine target = machines.get(to);
                if (cutLinks.contains(from + ">" + to)) {
                    return;
                }
                if (target != null && target.frozen) {
                    target.deferredTasks.add(delivery);
                } else {
                    delivery.run();
                }
            }));
        }
    }

    void run(double forMs) {
        double endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = Math.max(nowMs, event.atMs());
            event.task().run();
        }
        nowMs = endMs;
    }

    /** Runs until a condition holds. Returns false if it does not hold within a time. */
    boolean runUntil(Predicate<ClusterSimulation> condition, double maxMs) {
        double endMs = nowMs + maxMs;
        while (nowMs < endMs && !condition.test(this)) {
            run(100);
        }
        return condition.test(this);
    }

    Process processOf(Voter voter) {
        Machine machine = machines.get(voter.address());
        boolean runs = machine != null && machine.process != null && !machine.frozen;
        return runs && machine.disk.diskId.equals(voter.diskId()) ? machine.process : null;
    }

    VoterSet edgeVoters(int edge) {
        return edgeVoters[edge];
    }

    /** An edge proxy receives no further changes of the voters. */
    void stopUpdatesToEdge(int edge) {
        edgesWithoutUpdates.add(edge);
    }

    /** Partitions a machine from the other stores; edge proxies still reach it. */
    void partitionFromStores(String address) {
        for (String other : machines.keySet()) {
            cutLinks.add(address + ">" + other);
            cutLinks.add(other + ">" + address);
        }
    }

    /** The machine of the leader. */
    Machine leader() {
        return machines.values().stream()
                .filter(machine -> machine.process != null && machine.process.node.isLeading())
                .findFirst()
                .orElseThrow();
    }

    private VoterSet newestVoters() {
        VoterSet newest = edgeVoters[0];
        for (VoterSet voters : edgeVoters) {
            newest = voters.isNewerThan(newest) ? voters : newest;
        }
        return newest;
    }

    // Faults

    boolean isLost(String address) {
        return lostUntilMs.getOrDefault(address, -1.0) > nowMs;
    }

    boolean isNoMachineLost() {
        return machines.keySet().stream().noneMatch(this::isLost);
    }

    /** Whether this machine may be lost now without exceeding the tolerated losses. */
    boolean canLose(String address) {
        long lost = machines.keySet().stream().filter(this::isLost).count();
        return machines.containsKey(address) && !isLost(address) && lost < toleratedLosses;
    }

    void markLost(String address, double forMs) {
        lostUntilMs.merge(address, nowMs + forMs + CATCH_UP_MS, Math::max);
    }

    /** Keeps an image of a disk, from which a process may start later under {@link Mutation#OLD_SNAPSHOT_TAKEN}. */
    void keepDiskImage(String address) {
        machines.get(address).previousImage = machines.get(address).disk.read();
    }

    void kill(String address, double forMs, boolean powerLoss, boolean replaceDisk) {
        Machine machine = machines.get(address);
        markLost(address, forMs);
        trace(() -> "kill " + address + " for " + forMs + " power=" + powerLoss + " wipe=" + replaceDisk);
        machine.stop(powerLoss);
        if (replaceDisk) {
            machine.replaceDisk();
        }
        schedule(forMs, null, () -> {
            if (machines.get(address) == machine) {
                machine.start();
            }
        });
    }

    void powerOffAll() {
        trace(() -> "power off all");
        for (Machine machine : machines.values()) {
            machine.stop(true);
            double forMs = 200 + random.nextInt(800);
            markLost(machine.address, forMs);
            schedule(forMs, null, () -> {
                if (machines.get(machine.address) == machine) {
                    machine.start();
                }
            });
        }
    }

    void freeze(String address, double forMs) {
        Machine machine = machines.get(address);
        markLost(address, forMs);
        trace(() -> "freeze " + address + " for " + forMs);
        machine.frozen = true;
        schedule(forMs, null, machine::unfreeze);
    }

    /** A disk writes nothing for a time, as a full disk does. Its machine does not count as lost. */
    void stallDisk(String address, double forMs) {
        SimulatedDisk disk = machines.get(address).disk;
        trace(() -> "stall disk of " + address + " for " + forMs);
        disk.stalled = true;
        diskStalledAtMs = nowMs;
        schedule(forMs, null, () -> disk.stalled = false);
    }

    /** Whether a voter whose disk is stalled has had enough time to be replaced. */
    boolean isStallLongEnough() {
        return nowMs - diskStalledAtMs > CATCH_UP_MS;
    }

    boolean isAnyDiskStalled() {
        return machines.values().stream().anyMatch(machine -> machine.disk.stalled);
    }

    /** Partitions a machine from all others, in both directions or only for what it sends or receives. */
    void partition(String address, double forMs, boolean sends, boolean receives) {
        markLost(address, forMs);
        trace(() -> "partition " + address + " for " + forMs + " sends=" + sends + " receives=" + receives);
        List<String> added = new ArrayList<>();
        List<String> others = new ArrayList<>(machines.keySet());
        others.add("edge");
        others.remove(address);
        for (String other : others) {
            if (sends) {
                added.add(address + ">" + other);
            }
            if (receives) {
                added.add(other + ">" + address);
            }
        }
        cutLinks.addAll(added);
        schedule(forMs, null, () -> cutLinks.removeAll(added));
    }

    /** Removes a machine for good and adds an empty one, which is added first if the replacement is planned. */
    void replace(String address, String successor, boolean planned, double laterMs) {
        trace(() -> "replace " + address + " by " + successor + " planned=" + planned + " later=" + laterMs);
        if (planned) {
            add(successor).start();
            markLost(successor, 0);
            schedule(laterMs, null, () -> leaveThenStop(address, nowMs + 3_000));
        } else {
            machines.remove(address).stop(true);
            lostUntilMs.put(successor, nowMs + laterMs + CATCH_UP_MS);
            add(successor);
            schedule(laterMs, null, () -> machines.get(successor).start());
        }
    }

    private void leaveThenStop(String address, double deadlineMs) {
        Machine machine = machines.get(address);
        if (machine == null) {
            return;
        }
        if (machine.process != null) {
            machine.process.node.leave(nowMs);
        }
        if (machine.process == null || nowMs >= deadlineMs || machine.process.node.canStop(nowMs)) {
            machine.stop(true);
            machines.remove(address);
        } else {
            schedule(100, null, () -> leaveThenStop(address, deadlineMs));
        }
    }

    // Calls of operators and edge proxies, and the checks of their results

    /** Checks an item that was visible outside the stores: for each name and version there is only one content. */
    private void checkContent(Item item) {
        String key = item.name() + " " + item.version();
        String content = String.valueOf(item.content());
        String before = contentByVersion.putIfAbsent(key, content);
        if (before != null && !before.equals(content)) {
            throw new Violation("two contents of " + key + ": " + before + " and " + content);
        }
    }

    Machine anyRunning() {
        List<Machine> running = machines.values().stream()
                .filter(machine -> machine.process != null && !machine.frozen)
                .toList();
        return running.isEmpty() ? null : running.get(random.nextInt(running.size()));
    }

    void submit(List<Item> items, Consumer<ChangeResult> callback) {
        Machine machine = anyRunning();
        if (machine != null) {
            submitAt(machine, items, random.nextInt(3) == 0, callback);
        }
    }

    void submitAt(Machine machine, List<Item> items, boolean insist, Consumer<ChangeResult> callback) {
        machine.process.node.submit(items, insist, nowMs, nowMs + CALL_TIMEOUT_MS, result -> {
            // The answer may be lost.
            if (result.outcome() == ChangeResult.Outcome.CONFIRMED && random.nextInt(10) > 0) {
                recordConfirmed(items);
            }
            Machine leader = machines.get(result.detail());
            boolean other = result.outcome() == ChangeResult.Outcome.NOT_LEADER && leader != null;
            if (other && leader.process != null && !leader.frozen && leader != machine) {
                // As registries do, sends the change on to the leader, over a link that may be slow.
                transmit(machine.address, leader.address, () -> {
                    if (leader.process != null) {
                        leader.process.node.submit(items, true, nowMs, nowMs + CALL_TIMEOUT_MS, retried -> {
                            if (retried.outcome() == ChangeResult.Outcome.CONFIRMED) {
                                recordConfirmed(items);
                            }
                            callback.accept(retried);
                        });
                    }
                });
                return;
            }
            callback.accept(result);
        });
    }

    private void recordConfirmed(List<Item> items) {
        confirmations++;
        for (Item item : items) {
            checkContent(item);
            confirmed.merge(item.name(), item, (first, second) -> first.version() >= second.version() ? first : second);
        }
    }

    void read() {
        Machine machine = anyRunning();
        if (machine == null) {
            return;
        }
        readAt(machine, true);
    }

    private void readAt(Machine machine, boolean retryAtLeader) {
        Map<ItemName, Item> before = new TreeMap<>(confirmed);
        if (mutation == Mutation.READS_AT_ONE) {
            checkRead(machine.process.node.decidedItems().all(), before);
            return;
        }
        machine.process.node.read(
                random.nextInt(3) == 0,
                nowMs,
                nowMs + CALL_TIMEOUT_MS,
                items -> {
                    if (items != null) {
                        checkRead(items, before);
                    }
                },
                leader -> {
                    Machine other = machines.get(leader);
                    if (retryAtLeader && other != null && other.process != null && !other.frozen) {
                        readAt(other, false);
                    }
                });
    }

    private void checkRead(Collection<Item> items, Map<ItemName, Item> confirmedBefore) {
        reads++;
        Map<ItemName, Item> read = new TreeMap<>();
        items.forEach(item -> read.put(item.name(), item));
        read.values().forEach(this::checkContent);
        for (Item item : confirmedBefore.values()) {
            Item found = read.get(item.name());
            if (found == null || found.version() < item.version()) {
                throw new Violation("read " + found + " after " + item + " was confirmed");
            }
        }
        UniquePlaceRules.conflict(read.values()).ifPresent(conflict -> {
            throw new Violation("an inconsistent configuration is in effect: " + conflict);
        });
        // A version that one read returned must be visible to all later reads.
        for (Item item : read.values()) {
            confirmed.merge(item.name(), item, (first, second) -> first.version() >= second.version() ? first : second);
        }
    }

    /** An edge proxy claims a key and, if it is granted, runs its operation. */
    void claim(String key) {
        claim(key, random.nextInt(EDGE_PROXIES));
    }

    void claim(String key, int edge) {
        VoterSet known = edgeVoters[edge];
        if (known.isKnown()) {
            new Claim(key, known).start();
        }
    }

    private final class Claim {

        private final String key;
        private final String claimId = "claim-" + ++eventCount;
        private final VoterSet voters;
        private final ClaimTally tally;
        private final Set<Voter> counted = new HashSet<>();
        private boolean decided;

        Claim(String key, VoterSet voters) {
            this.key = key;
            this.voters = voters;
            this.tally = new ClaimTally(claimId, voters);
        }

        void start() {
            for (Voter voter : voters.members()) {
                transmit("edge", voter.address(), () -> ask(voter));
            }
            schedule(
                    CALL_TIMEOUT_MS,
                    null,
                    () -> voters.members().forEach(voter -> count(voter, () -> tally.countUnavailable(voter))));
        }

        private void ask(Voter voter) {
            Process store = processOf(voter);
            if (store == null) {
                return;
            }
            boolean otherEpoch = store.node.voters().epoch() != voters.epoch();
            if (otherEpoch && mutation != Mutation.OLD_EPOCH_ACCEPTED) {
                reply(voter, () -> tally.countEpochMismatch(voter));
                return;
            }
            if (!store.node.canVoteOnKeys() && mutation != Mutation.OLD_EPOCH_ACCEPTED) {
                reply(voter, () -> tally.countUnavailable(voter));
                return;
            }
            KeyVote answer = store.keys.claim(key, claimId, (long) nowMs);
            KeyRecord record = answer.record();
            Runnable reply =
                    () -> reply(voter, () -> tally.countVote(voter, record.state(), record.claimId(), record.answer()));
            if (answer.outcome() == KeyVote.Outcome.GRANTED) {
                store.write(null, answer.changed() ? record : null, reply);
            } else {
                reply.run();
            }
        }

        private void reply(Voter voter, Runnable countVote) {
            transmit(voter.address(), "edge", () -> count(voter, countVote));
        }

        private void count(Voter voter, Runnable countVote) {
            if (decided || !counted.add(voter)) {
                return;
            }
            countVote.run();
            ClaimTally.Result result = tally.result();
            if (result == ClaimTally.Result.OPEN) {
                return;
            }
            decided = true;
            if (result == ClaimTally.Result.GRANTED) {
                runOperation();
            } else {
                release();
            }
        }

        private void runOperation() {
            grants++;
            if (runs.merge(key, 1, Integer::sum) > 1) {
                throw new Violation("the operation of " + key + " ran twice");
            }
            if (random.nextInt(3) > 0) {
                schedule(
                        random.nextInt(200),
                        null,
                        () -> updateVoters(store -> store.keys.finish(key, claimId, new byte[] {1}, (long) nowMs)));
            }
        }

        private void release() {
            updateVoters(store -> store.keys.release(key, claimId, (long) nowMs));
        }

        private void updateVoters(Function<Process, KeyRecord> change) {
            for (Voter voter : newestVoters().members()) {
                transmit("edge", voter.address(), () -> {
                    Process store = processOf(voter);
                    KeyRecord changed = store == null ? null : change.apply(store);
                    if (changed != null) {
                        store.write(null, changed, () -> {});
                    }
                });
            }
        }
    }

    /**
     * Ends all faults, and checks that changes are confirmed again and that every store holds everything that was
     * confirmed.
     */
    void verifyFinalState() {
        cutLinks.clear();
        lossRate = 0;
        for (Machine machine : machines.values()) {
            machine.disk.stalled = false;
            if (machine.frozen) {
                machine.unfreeze();
            }
            machine.start();
        }
        run(12_000);
        Item last = new Item(new ItemName(ItemKind.SERVICE, "last"), 1_000, "-last");
        boolean[] done = {false};
        for (int i = 0; i < 40 && !done[0]; i++) {
            submit(List.of(last), result -> {
                trace(() -> "last change: " + result);
                done[0] |= result.outcome() == ChangeResult.Outcome.CONFIRMED;
            });
            run(500);
        }
        if (!done[0]) {
            throw new NoProgress("no change is confirmed after all faults ended: " + newestVoters() + describe());
        }
        run(3_000);
        for (Machine machine : machines.values()) {
            checkRead(machine.process.node.decidedItems().all(), new TreeMap<>(confirmed));
        }
        if (newestVoters().isJoint()) {
            throw new NoProgress("a change of the voters does not complete: " + newestVoters());
        }
    }

    /** The progress of each store, for failure messages. */
    private String describe() {
        StringBuilder text = new StringBuilder();
        for (Machine machine : machines.values()) {
            text.append('\n').append(machine.address).append('/').append(machine.disk.diskId);
            text.append(' ').append(machine.process == null ? "down" : machine.process.node.describe());
        }
        return text.toString();
    }

    /** Prints an event if {@code -Dtrace=true} is set. */
    void trace(Supplier<String> message) {
        if (TRACE) {
            System.out.printf("%8.0f %s%n", nowMs, message.get());
        }
    }

    static Item route(String name, long version, String content) {
        return new Item(new ItemName(ItemKind.ROUTE, name), version, content);
    }
}
