package ridgemill.gateway.lease;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import ridgemill.core.Timers.Timer;
import ridgemill.core.Timers;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Incarnation;
import ridgemill.gateway.net.Log;
import ridgemill.lease.LeaseManager.Permit;
import ridgemill.lease.LeaseManager;
import ridgemill.lease.LeaseMessage;
import ridgemill.lease.LeaseWire;
import ridgemill.lease.TargetSchedule;

/**
 * Runs the leases of one proxy on its event loop: sends and receives datagrams, sets the timer and runs the tasks under
 * leases. No datagram is sent and no vote is given before this process holds the {@link VotingLock}. All methods must
 * be called on the event loop.
 */
public final class LeaseService implements LeaseManager.Callbacks {

    private static final long LOCK_POLL_MS = 100;
    private static final double HELLO_INTERVAL_MS = 1000;
    /** A peer that has sent no datagram for this time may no longer run a build that supports leases. */
    private static final double HELLO_TIMEOUT_MS = 10_000;
    /** Delay before a failed call is retried. */
    private static final double RETRY_DELAY_MS = 200;
    private static final double MS_PER_S = 1000;

    private final EventLoop loop;
    private final Timers timers;
    private final List<InetSocketAddress> peers;
    private final BiConsumer<Integer, byte[]> send;
    private final int self;
    private final int incarnation;
    private final long seed;
    private final VotingLock lock;
    private final CallClient client;
    private final Map<Integer, Integer> indexByMember = new HashMap<>();
    private final Map<Integer, Double> lastReceivedAt = new HashMap<>();
    private final Map<Integer, List<LeaseMessage>> outbox = new LinkedHashMap<>();
    private final Map<String, CallTask> callTasks = new LinkedHashMap<>();
    private final Map<String, LeasedTask> leasedTasks = new LinkedHashMap<>();
    private final Map<String, Boolean> wanted = new HashMap<>();
    private BooleanSupplier outOfService = () -> false;
    private IntPredicate ignoredPeers = from -> false;
    private BiConsumer<String, String> statusListener = (task, words) -> { };
    private LeaseSettings settings;
    private LeaseManager leases;
    private Timer timer;
    private boolean released;
    private double helloAt;
    private long changes;
    private long datagrams;
    private long bytes;

    /**
     * A task that the program itself runs under a lease, and that sends datagrams to other proxies. Called on the
     * event loop.
     */
    public interface LeasedTask {

        /** Whether this proxy wants to hold the lease of the task. */
        boolean wantsLease(double now);

        /** Does what is due and returns the next due time; {@code holds} tells whether this proxy holds the lease. */
        double tick(double now, boolean holds);

        /** Handles a datagram of a member that is not a lease message; it may belong to another task. */
        void datagramReceived(double now, int member, byte[] datagram);
    }

    /** A configured task that makes calls. */
    private final class CallTask {
        private LeaseSettings.Call call;
        private TargetSchedule schedule;
        private boolean callInFlight;
        private double notBefore;

        CallTask(LeaseSettings.Call call) {
            this.call = call;
            this.schedule = new TargetSchedule(call.targets().size(), call.intervalMs(), timers.now());
        }
    }

    /**
     * Creates the service; {@link #start} starts it.
     *
     * @param name name of the proxy, which calls send as their holder
     * @param self index of this proxy among {@code peers}
     * @param seed seed of random delays
     * @param directory directory of the lock file, shared by the processes of one proxy
     * @param send sends a datagram to the peer with this index
     * @throws IOException if the lock file cannot be opened
     */
    public LeaseService(EventLoop loop, Timers timers, String name, List<InetSocketAddress> peers, int self, long seed,
                        Path directory, LeaseSettings settings, BiConsumer<Integer, byte[]> send) throws IOException {
        this.loop = loop;
        this.timers = timers;
        this.peers = List.copyOf(peers);
        this.send = send;
        this.self = LeaseSettings.memberId(peers.get(self));
        this.seed = seed;
        this.settings = settings;
        this.incarnation = Incarnation.of(timers.now());
        this.lock = new VotingLock(directory, peers.get(self));
        this.client = new CallClient(loop, name + "#" + Integer.toHexString(incarnation));
        for (int i = 0; i < peers.size(); i++) {
            indexByMember.put(LeaseSettings.memberId(peers.get(i)), i);
        }
    }

    /** Starts voting as soon as no other process of this proxy holds the lock. */
    public void start() {
        try {
            if (released) {
                return;
            }
            if (!lock.tryAcquire()) {
                loop.schedule(this::start, LOCK_POLL_MS, TimeUnit.MILLISECONDS);
                return;
            }
        } catch (IOException e) {
            Log.info("leases: disabled, the voting lock is not usable: " + e.getMessage());
            return;
        }
        double now = timers.now();
        settings.calls().values().forEach(c -> callTasks.put(c.name(), new CallTask(c)));
        leases = new LeaseManager(self, incarnation, settings.policy(), settings.voterSets(peers),
                settings.calls().keySet().stream().sorted().toList(),
                seed, now, this);
        callTasks.values().stream().filter(t -> !t.schedule.isLeaseWanted())
                .forEach(t -> leases.setWanted(now, t.call.name(), false));
        leasedTasks.keySet().forEach(n -> leases.addTask(now, n));
        Log.info("leases: this process votes for its proxy from now on");
        step();
    }

    /** Registers a task that runs under the lease of this name; replaces a task of the same name. */
    public void register(String name, LeasedTask task) {
        boolean reactivated = leasedTasks.put(name, task) == null && Boolean.FALSE.equals(wanted.remove(name));
        if (leases != null) {
            leases.addTask(timers.now(), name);
            if (reactivated && leases.voters(name).contains(self)) {
                leases.setWanted(timers.now(), name, true);
            }
            step();
        }
    }

    /** Unregisters a task if it is still the registered one; this proxy continues to vote on its lease. */
    public void unregister(String name, LeasedTask task) {
        if (leasedTasks.remove(name, task) && leases != null) {
            wanted.put(name, false);
            leases.setWanted(timers.now(), name, false);
            step();
        }
    }

    /**
     * Requests a permit for an action of a task, see {@link LeaseManager#permit}; {@link #permitDone} must return it.
     */
    public Optional<Permit> permit(String name, double durationMs) {
        return leases == null || released ? Optional.empty() : leases.permit(timers.now(), name, durationMs);
    }

    /** Returns a permit after the action has ended. */
    public void permitDone(Permit permit) {
        leases.done(timers.now(), permit);
    }

    /** Whether this proxy holds the lease of a task at the current time. */
    public boolean holds(String name) {
        return leases != null && !released && leases.holds(timers.now(), name);
    }

    /** Releases the lease of a task without a designated successor. */
    public void release(String name) {
        if (leases != null) {
            leases.release(timers.now(), name, -1);
            step();
        }
    }

    /**
     * Sets the source of the out-of-service state: while it is true, this proxy wants and holds no lease, but it
     * continues to vote.
     */
    public void setOutOfService(BooleanSupplier source) {
        outOfService = source;
    }

    /** Ignores lease messages of the peers with matching indexes; datagrams for tasks are still handled. */
    public void ignoreLeaseMessagesFrom(IntPredicate indexes) {
        ignoredPeers = indexes;
    }

    /** Whether this proxy is a voter of the task, and thus may hold its lease. */
    public boolean isVoter(String name) {
        return leases != null && leases.voters(name).contains(self);
    }

    /** Returns the addresses of the voters of a task as text. */
    public String votersText(String name) {
        return leases == null ? "" : leases.voters(name).stream().map(this::address).collect(Collectors.joining(", "));
    }

    /** Returns the voters of a task other than this proxy. */
    public List<Integer> otherVoters(String name) {
        return leases == null ? List.of() : leases.voters(name).stream().filter(m -> m != self).toList();
    }

    /** Sends a datagram of a task to a member, unless the member may not support leases. */
    public void sendToMember(int member, byte[] datagram) {
        if (supportsLeases(member)) {
            sendDatagram(member, datagram);
        }
    }

    /** Returns the clock time that leases and tasks use, in milliseconds. */
    public double now() {
        return timers.now();
    }

    /**
     * Applies changed settings.
     *
     * @throws IllegalArgumentException if the voter sets may not follow the present ones; nothing is changed then
     */
    public void applySettings(LeaseSettings next) {
        double now = timers.now();
        if (leases != null) {
            leases.changeVoterSets(now, next.voterSets(peers));
        }
        settings = next;
        if (leases == null) {
            return;
        }
        for (LeaseSettings.Call c : next.calls().values()) {
            CallTask task = callTasks.get(c.name());
            if (task == null || !task.call.equals(c)) {
                callTasks.put(c.name(), new CallTask(c));
                leases.setWanted(now, c.name(), c.intervalMs() > 0);
            }
        }
        List.copyOf(callTasks.keySet()).stream().filter(n -> !next.calls().containsKey(n)).forEach(n -> {
            callTasks.remove(n);
            leases.setWanted(now, n, false);
        });
        step();
    }

    /** Handles a datagram of the peer with this index. */
    public void datagramReceived(int from, byte[] datagram) {
        int member = LeaseSettings.memberId(peers.get(from));
        lastReceivedAt.put(member, timers.now());
        if (leases == null || released && !LeaseWire.isLease(datagram)) {
            return;
        }
        if (!LeaseWire.isLease(datagram)) {
            double now = timers.now();
            List.copyOf(leasedTasks.values()).forEach(d -> d.datagramReceived(now, member, datagram));
            return;
        }
        if (datagram.length == LeaseWire.hello().length && !leases.peers().contains(member)) {
            // The member wants a lease that this proxy votes on, and may not yet have received a hello from here.
            sendDatagram(member, LeaseWire.hello());
        }
        if (!ignoredPeers.test(from)) {
            LeaseWire.decode(datagram).forEach(m -> leases.receive(timers.now(), member, m));
        }
        step();
    }

    /** Releases all leases for good, before this process ends. Until then it votes, and repeats its releases. */
    public void releaseAll() {
        boolean already = released;
        released = true;
        if (leases != null && !already) {
            leases.releaseAll(timers.now());
            step();
        }
    }

    @Override
    public void send(int to, LeaseMessage message) {
        outbox.computeIfAbsent(to, t -> new ArrayList<>()).add(message);
    }

    /** Sets a listener for changes of a lease's status in this process: the name of the task and the description. */
    public void setStatusListener(BiConsumer<String, String> listener) {
        statusListener = listener;
    }

    @Override
    public void statusChanged(String task, String status) {
        changes++;
        Log.info("lease " + task + ": " + status);
        statusListener.accept(task, status);
    }

    /** Does what is due, sends the queued messages and sets the timer for the next due time. */
    private void step() {
        double now = timers.now();
        double due = leases.tick(now);
        if (!released) {
            for (CallTask task : callTasks.values()) {
                due = Math.min(due, startCall(now, task));
            }
            for (Map.Entry<String, LeasedTask> d : List.copyOf(leasedTasks.entrySet())) {
                due = Math.min(due, runTask(now, d.getKey(), d.getValue()));
            }
            if (now >= helloAt) {
                helloAt = now + HELLO_INTERVAL_MS;
                Set<Integer> others = new LinkedHashSet<>(leases.peers());
                leasedTasks.keySet().forEach(n -> others.addAll(otherVoters(n)));
                others.forEach(member -> sendDatagram(member, LeaseWire.hello()));
            }
            due = Math.min(due, helloAt);
        }
        flush();
        if (timer != null) {
            timer.cancel();
        }
        timer = Double.isInfinite(due) ? null : timers.scheduleAt(Math.max(due, now + 1), this::step);
    }

    private double runTask(double now, String name, LeasedTask task) {
        boolean wants = task.wantsLease(now) && !outOfService.getAsBoolean();
        // A candidate wants its lease initially.
        if (leases.voters(name).contains(self) && wants != wanted.getOrDefault(name, true)) {
            wanted.put(name, wants);
            leases.setWanted(now, name, wants);
        }
        return task.tick(now, leases.holds(now, name));
    }

    /** Starts the next call of a task if one is due and permitted; returns when to check again. */
    private double startCall(double now, CallTask task) {
        if (task.callInFlight || !leases.holds(now, task.call.name())) {
            return Double.POSITIVE_INFINITY;
        }
        int target = now < task.notBefore ? -1 : task.schedule.nextTarget(now);
        if (target < 0) {
            return Math.max(task.notBefore, task.schedule.dueAt());
        }
        task.callInFlight = true;
        Permit[] permit = {null};
        client.call(task.call.targets().get(target), task.call.path(), task.call.timeoutMs(), () -> {
            Optional<Permit> granted = leases.permit(timers.now(), task.call.name(), task.call.timeoutMs());
            permit[0] = granted.orElse(null);
            return permit[0];
        }, result -> callEnded(task, permit[0], result));
        return Double.POSITIVE_INFINITY;
    }

    private void callEnded(CallTask task, Permit permit, CallClient.CallResult result) {
        double now = timers.now();
        task.callInFlight = false;
        if (permit != null) {
            if (result.refused() || result.term() > permit.term()) {
                leases.observeTerm(now, task.call.name(), result.term());
            }
            task.schedule.recordOutcome(result.succeeded() ? TargetSchedule.Outcome.DONE : result.refused()
                    ? TargetSchedule.Outcome.REFUSED : TargetSchedule.Outcome.FAILED);
            leases.done(now, permit);
        } else {
            task.notBefore = now + RETRY_DELAY_MS;
        }
        if (!result.succeeded()) {
            task.notBefore = now + RETRY_DELAY_MS;
        }
        if (!task.schedule.isLeaseWanted() && callTasks.get(task.call.name()) == task) {
            leases.setWanted(now, task.call.name(), false);
        }
        step();
    }

    private void flush() {
        outbox.forEach((to, messages) -> LeaseWire.encode(messages).forEach(d -> {
            if (supportsLeases(to)) {
                sendDatagram(to, d);
            }
        }));
        outbox.clear();
    }

    /** Whether a member has sent a datagram lately. A build without leases might misinterpret lease datagrams. */
    private boolean supportsLeases(int member) {
        return lastReceivedAt.getOrDefault(member, Double.NEGATIVE_INFINITY) > timers.now() - HELLO_TIMEOUT_MS;
    }

    private void sendDatagram(int member, byte[] datagram) {
        Integer index = indexByMember.get(member);
        if (index != null) {
            datagrams++;
            bytes += datagram.length;
            send.accept(index, datagram);
        }
    }

    private String release(double now, String name, String to) {
        int successor = -1;
        if (to != null) {
            successor = peers.stream().filter(p -> Addresses.text(p).equals(to)).map(LeaseSettings::memberId)
                    .findFirst().orElse(-1);
            if (successor < 0) {
                return "no such peer: " + to;
            }
        }
        boolean held = leases.holds(now, name);
        leases.release(now, name, successor);
        return !held ? "not held here" : to == null ? "given up" : "given up, and left to " + to;
    }

    /**
     * Executes an operator's command and returns a reply: {@code release NAME [PEER]}, {@code forbid NAME MS} or
     * {@code run NAME}.
     */
    public String command(List<String> words) {
        if (leases == null) {
            return "another process of this proxy votes";
        }
        String name = words.size() > 1 ? words.get(1) : "";
        if (!callTasks.containsKey(name) && !leasedTasks.containsKey(name)) {
            return "no such lease: " + name + "; there are "
                    + Stream.concat(callTasks.keySet().stream(), leasedTasks.keySet().stream())
                    .collect(Collectors.joining(", "));
        }
        double now = timers.now();
        String reply = switch (words.get(0)) {
            case "release" -> release(now, name, words.size() > 2 ? words.get(2) : null);
            case "forbid" -> {
                leases.forbid(now, name, Long.parseLong(words.get(2)));
                yield "forbidden here, and its voters were told";
            }
            case "run" -> {
                if (!callTasks.containsKey(name)) {
                    yield "it goes on by itself";
                }
                boolean started = callTasks.get(name).schedule.start(now);
                leases.setWanted(now, name, true);
                yield started ? "begun: as soon as this proxy holds its lease" : "a run is under way here";
            }
            default -> "no such command: " + words.get(0);
        };
        step();
        return reply;
    }

    /** Returns the status of all leases in this process. */
    public List<LeaseManager.Status> statuses() {
        return leases == null ? List.of() : leases.statuses(timers.now());
    }

    /** Describes the status of all leases, one line each, with the results of the tasks and the datagrams sent. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        if (leases == null) {
            return List.of("another process of this proxy votes");
        }
        for (LeaseManager.Status s : statuses()) {
            String holder = s.holds() ? "this proxy" : s.holder() < 0 ? "nobody known"
                    : Objects.requireNonNullElse(address(s.holder()), "?");
            CallTask task = callTasks.get(s.task());
            lines.add("%s: %s, term %d, for %.1f s; %d of %d votes; %s%s".formatted(s.task(), holder, s.term(),
                    s.forMs() / MS_PER_S, s.votes(),
                    s.voters(), s.words(), task == null ? "" : "; " + task.schedule.explain()));
        }
        lines.add("version " + leases.voterSetsVersion() + " of the electorates; " + datagrams + " datagrams of "
                + bytes + " bytes sent");
        return lines;
    }

    /** Returns the metrics for the console by name. */
    public Map<String, Long> metrics() {
        long held = leases == null ? 0 : statuses().stream().filter(LeaseManager.Status::holds).count();
        return Map.of("leases_held", held, "lease_changes", changes, "lease_datagrams", datagrams);
    }

    private String address(int member) {
        Integer index = indexByMember.get(member);
        return index == null ? null : Addresses.text(peers.get(index));
    }
}
