package ridgemill.lab.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import ridgemill.lease.LeaseManager;
import ridgemill.lease.LeaseMessage;
import ridgemill.lease.LeasePolicy;
import ridgemill.lease.LeaseWire;
import ridgemill.lease.VoterSets;

/** A fleet of any size in passed-in time: the real leases of each proxy, and datagrams that take a while or are lost. */
final class LeaseModel {

    /** What a datagram is on its way, in milliseconds: this, and up to as much more. */
    private static final double DELAY_MS = 1;

    private record Event(double at, long order, Runnable what) { }

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final List<LeaseManager> members = new ArrayList<>();
    private final List<Map<Integer, List<LeaseMessage>>> outbox = new ArrayList<>();
    private final boolean[] dead;
    private final double[] dueAt;
    private final SplittableRandom random;
    private final List<String> tasks;
    private final double loss;
    private double now;
    private long order;
    private long datagrams;
    private long bytes;

    LeaseModel(int proxies, int leases, LeasePolicy policy, double loss, long seed) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        this.dead = new boolean[proxies];
        this.dueAt = new double[proxies];
        this.tasks = IntStream.range(0, leases).mapToObj(i -> "task-" + i).toList();
        VoterSets electorates = new VoterSets(1, IntStream.range(0, proxies).boxed().toList(), List.of(), 5);
        for (int i = 0; i < proxies; i++) {
            int number = i;
            outbox.add(new LinkedHashMap<>());
            members.add(new LeaseManager(i, 1000 + i, policy, electorates, tasks, random.nextLong(), 0, new LeaseManager.Callbacks() {
                @Override
                public void send(int to, LeaseMessage message) {
                    outbox.get(number).computeIfAbsent(to, t -> new ArrayList<>()).add(message);
                }

                @Override
                public void statusChanged(String task, String words) { }
            }));
            step(number);
        }
    }

    private void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** What one proxy does when it hears something or its time has come. */
    private void step(int member) {
        if (dead[member]) {
            return;
        }
        double due = Math.max(members.get(member).tick(now), now + 1);
        outbox.get(member).forEach((to, messages) -> LeaseWire.encode(messages).forEach(d -> {
            datagrams++;
            bytes += d.length;
            if (random.nextDouble() >= loss) {
                at(now + DELAY_MS * (1 + random.nextDouble()), () -> hear(to, member, d));
            }
        }));
        outbox.get(member).clear();
        if (!Double.isInfinite(due)) {
            dueAt[member] = due;
            at(due, () -> {
                if (dueAt[member] <= now) {
                    step(member);
                }
            });
        }
    }

    private void hear(int member, int from, byte[] datagram) {
        if (!dead[member]) {
            LeaseWire.decode(datagram).forEach(m -> members.get(member).receive(now, from, m));
            step(member);
        }
    }

    private void run(double untilMs) {
        while (!events.isEmpty() && events.peek().at() <= untilMs) {
            Event e = events.remove();
            now = e.at();
            e.what().run();
        }
        now = untilMs;
    }

    private int holder(String task) {
        for (int i = 0; i < members.size(); i++) {
            if (!dead[i] && members.get(i).holds(now, task)) {
                return i;
            }
        }
        return -1;
    }

    /** Prints what leases cost in a fleet without faults, and how long a task is nobody's when its holder dies. */
    static void print(int proxies, int leases, LeasePolicy policy, double loss, int silences, long seed) {
        double seconds = 30;
        LeaseModel model = new LeaseModel(proxies, leases, policy, loss, seed);
        model.run(10 * policy.lengthMs());
        long datagrams = model.datagrams;
        long bytes = model.bytes;
        long cpu = System.nanoTime();
        model.run(model.now + seconds * 1000);
        double cpuMs = (System.nanoTime() - cpu) / 1e6;
        long held = model.tasks.stream().filter(t -> model.holder(t) >= 0).count();
        System.out.printf(Locale.ROOT, "%d proxies, %d leases of %.0f ms, loss %.1f, passed-in time: %d held; a second and proxy %.2f datagrams, "
                + "%.0f bytes, %.3f ms of CPU", proxies, leases, policy.lengthMs(), loss, held, (model.datagrams - datagrams) / seconds / proxies,
                (model.bytes - bytes) / seconds / proxies, cpuMs / seconds / proxies);
        List<Double> takeovers = new ArrayList<>();
        for (int i = 0; i < silences; i++) {
            String task = model.tasks.get(i % leases);
            int holder = model.holder(task);
            if (holder < 0) {
                model.run(model.now + policy.lengthMs());
                continue;
            }
            model.dead[holder] = true;
            double from = model.now;
            while (model.holder(task) < 0 && model.now < from + 20 * policy.lengthMs()) {
                model.run(model.now + 10);
            }
            takeovers.add(model.now - from);
            // It comes back as the same process would after a stop: what it had has run out.
            model.dead[holder] = false;
            model.step(holder);
            model.run(model.now + 2 * policy.lengthMs());
        }
        System.out.println("; holder silent: ms " + LeasesMeasured.spread(takeovers));
    }
}
