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
 * One proxy's leases on its loop: datagrams in and out, the timer, and the tasks that are done under them. Nothing is said and no
 * vote given before this process has the {@link VotingLock}. All calls are on the loop.
 */
public final class LeaseService implements LeaseManager.Callbacks {

    private static final long LOCK_POLL_MS = 100;
    private static final double HELLO_INTERVAL_MS = 1000;
    /** Who has said nothing for so long is taken for one that may not understand any more. */
    private static final double HELLO_TIMEOUT_MS = 10_000;
    /** A task whose act failed waits so long before it is tried again. */
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

    /** A task that the program does by itself under a lease, and that tells other proxies. All calls are on the loop. */
    public interface LeasedTask {

        /** Whether this proxy wants to be the one that does it. */
        boolean wantsLease(double now);

        /** Does what is due and returns when something will be; {@code holds} says whether this proxy is the one. */
        double tick(double now, boolean holds);

        /** A datagram of a member that is not of leases; not each is for this duty. */
        void datagramReceived(double now, int member, byte[] datagram);
    }

    /** One task that calls. */
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
     * @param name of the proxy, by which acts name their holder
     * @param self this proxy's place among {@code peers}
     * @param seed of waits
     * @param directory for the lock, shared by the processes of one proxy
     * @param send sends a datagram to a peer by its place
     * @throws IOException where the lock's file can't be opened
     */
    public LeaseService(EventLoop loop, Timers timers, String name, List<InetSocketAddress> peers, int self, long seed, Path directory,
                        LeaseSettings settings, BiConsumer<Integer, byte[]> send) throws IOException {
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

    /** Takes its part from now on, or as soon as no other process of this proxy does. */
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
            Log.info("no part in leases: " + e.getMessage());
            return;
        }
        double now = timers.now();
        settings.calls().values().forEach(c -> callTasks.put(c.name(), new CallTask(c)));
        leases = new LeaseManager(self, incarnation, settings.policy(), settings.voterSets(peers), settings.calls().keySet().stream().sorted().toList(),
                seed, now, this);
        callTasks.values().stream().filter(t -> !t.schedule.wantsLease()).forEach(t -> leases.setWanted(now, t.call.name(), false));
        leasedTasks.keySet().forEach(n -> leases.addTask(now, n));
        Log.info("leases: this process votes for its proxy from now on");
        step();
    }

    /** A duty is done under the lease of this name from now on, in place of one of the same name. */
    public void register(String name, LeasedTask duty) {
        boolean again = leasedTasks.put(name, duty) == null && Boolean.FALSE.equals(wanted.remove(name));
        if (leases != null) {
            leases.addTask(timers.now(), name);
            if (again && leases.voters(name).contains(self)) {
                leases.setWanted(timers.now(), name, true);
            }
            step();
        }
    }

    /** This proxy has no more part in a duty, if it is still this one; it votes on. */
    public void unregister(String name, LeasedTask duty) {
        if (leasedTasks.remove(name, duty) && leases != null) {
            wanted.put(name, false);
            leases.setWanted(timers.now(), name, false);
            step();
        }
    }

    /** Leave for an act of a duty, as {@link LeaseManager#permit}; {@link #permitDone} is owed for it. */
    public Optional<Permit> permit(String name, double actMs) {
        return leases == null || released ? Optional.empty() : leases.permit(timers.now(), name, actMs);
    }

    /** An act of a duty is over. */
    public void permitDone(Permit permit) {
        leases.done(timers.now(), permit);
    }

    /** Whether this proxy holds a duty's lease, as far as the clock goes. */
    public boolean holds(String name) {
        return leases != null && !released && leases.holds(timers.now(), name);
    }

    /** Gives a duty's lease up, to whoever wants it. */
    public void release(String name) {
        if (leases != null) {
            leases.release(timers.now(), name, -1);
            step();
        }
    }

    /** While this is so the proxy holds no lease and wants none; it goes on to vote. */
    public void setOutOfService(BooleanSupplier isAside) {
        outOfService = isAside;
    }

    /** What such peers, by their place, say of leases is not heard; what they say to duties is. */
    public void ignoreLeaseMessagesFrom(IntPredicate from) {
        ignoredPeers = from;
    }

    /** Whether this proxy may hold a duty's lease. */
    public boolean isVoter(String name) {
        return leases != null && leases.voters(name).contains(self);
    }

    /** Who may, by their peers' addresses. */
    public String votersText(String name) {
        return leases == null ? "" : leases.voters(name).stream().map(this::address).collect(Collectors.joining(", "));
    }

    /** Who may hold a duty's lease, but for this proxy. */
    public List<Integer> otherVoters(String name) {
        return leases == null ? List.of() : leases.voters(name).stream().filter(m -> m != self).toList();
    }

    /** Sends a datagram of a duty to a member, if that has said lately that it understands any. */
    public void sendToMember(int member, byte[] datagram) {
        if (supportsLeases(member)) {
            sendDatagram(member, datagram);
        }
    }

    /** The time by which leases and duties go. */
    public double now() {
        return timers.now();
    }

    /** Another file holds from now on; throws, and changes nothing, where its electorates can't follow. */
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

    /** A datagram of a peer, by its place. */
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
            // It wants a lease on which this proxy votes, and may not have heard of it before.
            sendDatagram(member, LeaseWire.hello());
        }
        if (!ignoredPeers.test(from)) {
            LeaseWire.decode(datagram).forEach(m -> leases.receive(timers.now(), member, m));
        }
        step();
    }

    /** Gives all back for good: this process ends. It votes until it does, and says again what it gave back. */
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

    /** Each change of a lease's standing here is told there too, by the task's name, in words. */
    public void setStatusListener(BiConsumer<String, String> to) {
        statusListener = to;
    }

    @Override
    public void statusChanged(String task, String words) {
        changes++;
        Log.info("lease " + task + ": " + words);
        statusListener.accept(task, words);
    }

    /** Does what is due, sends what was said, and sets the timer for what comes. */
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

    private double runTask(double now, String name, LeasedTask duty) {
        boolean wants = duty.wantsLease(now) && !outOfService.getAsBoolean();
        // A candidate wants its lease from the first.
        if (leases.voters(name).contains(self) && wants != wanted.getOrDefault(name, true)) {
            wanted.put(name, wants);
            leases.setWanted(now, name, wants);
        }
        return duty.tick(now, leases.holds(now, name));
    }

    /** Begins a task's next act if there is one and it may be done; returns when to look again. */
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
            Optional<Permit> given = leases.permit(timers.now(), task.call.name(), task.call.timeoutMs());
            permit[0] = given.orElse(null);
            return permit[0];
        }, answer -> callEnded(task, permit[0], answer));
        return Double.POSITIVE_INFINITY;
    }

    private void callEnded(CallTask task, Permit permit, CallClient.CallResult answer) {
        double now = timers.now();
        task.callInFlight = false;
        if (permit != null) {
            if (answer.refused() || answer.term() > permit.term()) {
                leases.observeTerm(now, task.call.name(), answer.term());
            }
            task.schedule.recordOutcome(answer.succeeded() ? TargetSchedule.Outcome.DONE : answer.refused() ? TargetSchedule.Outcome.REFUSED : TargetSchedule.Outcome.FAILED);
            leases.done(now, permit);
        } else {
            task.notBefore = now + RETRY_DELAY_MS;
        }
        if (!answer.succeeded()) {
            task.notBefore = now + RETRY_DELAY_MS;
        }
        if (!task.schedule.wantsLease() && callTasks.get(task.call.name()) == task) {
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

    /** One that has not said that it understands may be of a build that takes what it is told for something else. */
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
        int heir = -1;
        if (to != null) {
            heir = peers.stream().filter(p -> Addresses.text(p).equals(to)).map(LeaseSettings::memberId).findFirst().orElse(-1);
            if (heir < 0) {
                return "no such peer: " + to;
            }
        }
        boolean held = leases.holds(now, name);
        leases.release(now, name, heir);
        return !held ? "not held here" : to == null ? "given up" : "given up, and left to " + to;
    }

    /** What operators ask: {@code release NAME [PEER]}, {@code forbid NAME MS}, {@code run NAME}; returns what came of it, in words. */
    public String command(List<String> words) {
        if (leases == null) {
            return "another process of this proxy votes";
        }
        String name = words.size() > 1 ? words.get(1) : "";
        if (!callTasks.containsKey(name) && !leasedTasks.containsKey(name)) {
            return "no such lease: " + name + "; there are "
                    + Stream.concat(callTasks.keySet().stream(), leasedTasks.keySet().stream()).collect(Collectors.joining(", "));
        }
        double now = timers.now();
        String said = switch (words.get(0)) {
            case "release" -> release(now, name, words.size() > 2 ? words.get(2) : null);
            case "forbid" -> {
                leases.forbid(now, name, Long.parseLong(words.get(2)));
                yield "forbidden here, and its voters were told";
            }
            case "run" -> {
                if (!callTasks.containsKey(name)) {
                    yield "it goes on by itself";
                }
                boolean began = callTasks.get(name).schedule.start(now);
                leases.setWanted(now, name, true);
                yield began ? "begun: as soon as this proxy holds its lease" : "a run is under way here";
            }
            default -> "no such command: " + words.get(0);
        };
        step();
        return said;
    }

    /** How all leases are here. */
    public List<LeaseManager.Status> statuses() {
        return leases == null ? List.of() : leases.statuses(timers.now());
    }

    /** The same in words, a line each, with what the tasks did and what it cost. */
    public List<String> describe() {
        List<String> lines = new ArrayList<>();
        if (leases == null) {
            return List.of("another process of this proxy votes");
        }
        for (LeaseManager.Status s : statuses()) {
            String who = s.holds() ? "this proxy" : s.holder() < 0 ? "nobody known" : Objects.requireNonNullElse(address(s.holder()), "?");
            CallTask task = callTasks.get(s.task());
            lines.add("%s: %s, term %d, for %.1f s; %d of %d votes; %s%s".formatted(s.task(), who, s.term(), s.forMs() / MS_PER_S, s.votes(),
                    s.voters(), s.words(), task == null ? "" : "; " + task.schedule.explain()));
        }
        lines.add("version " + leases.voterSetsVersion() + " of the electorates; " + datagrams + " datagrams of " + bytes + " bytes sent");
        return lines;
    }

    /** Counts for the console. */
    public Map<String, Long> metrics() {
        long held = leases == null ? 0 : statuses().stream().filter(LeaseManager.Status::holds).count();
        return Map.of("leases_held", held, "lease_changes", changes, "lease_datagrams", datagrams);
    }

    private String address(int member) {
        Integer index = indexByMember.get(member);
        return index == null ? null : Addresses.text(peers.get(index));
    }
}
