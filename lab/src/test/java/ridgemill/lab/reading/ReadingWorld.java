package ridgemill.lab.reading;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ridgemill.membership.Instance;
import ridgemill.membership.Status;
import ridgemill.registry.RegistryUpdateCodec;
import ridgemill.registry.ElectedRegistryReader;
import ridgemill.registry.RegistryReadPolicy;
import ridgemill.registry.RegistryUpdate;

/**
 * A fleet of the real module in passed-in time: a registry that changes and answers late or not at all, datagrams that are lost, late,
 * doubled, spoilt and said again much later, proxies that stop, go on, start anew and whose clocks differ, and a lease that goes from
 * one to another. After each event it looks at what every proxy goes by: that has to be something that the registry had, and had
 * a short while ago if the proxy can ask it or is told. All of it follows from the seed.
 */
final class ReadingWorld {

    static final double INTERVAL_MS = 200;
    /** One way to the registry at most; a poll of twice this and what it reads. */
    static final double MOST_WAY_MS = 150;
    private static final double DRIFT = 0.05;
    /** Interval, quiet time, the poll that told and one's own, all by a slow clock, and a moment for what is due at once. */
    static final double BOUND_MS = 3 * INTERVAL_MS / (1 - DRIFT) + 4 * MOST_WAY_MS + 60;
    private static final double LEASE_MS = 1000;
    private static final double LOOK_MS = 10;
    private static final String APP = "METERS";
    /** How often each checks what it is told: so long at most it goes by a reader whose registry is behind. */
    private static final double CHECK_MS = 2000;
    private static final RegistryReadPolicy POLICY = RegistryReadPolicy.of(INTERVAL_MS, CHECK_MS);

    private record Event(double at, long order, Runnable what) { }

    /** What the registry had from a time on. */
    private record State(double from, Map<String, Status> all) { }

    private final class Proxy implements ElectedRegistryReader.Out {
        private final int number;
        private final double rate;
        private ElectedRegistryReader reader;
        private Map<String, Status> goesBy = Map.of();
        private boolean known;
        /** The last of the registry's states that is what it goes by. */
        private int seen;
        private long life;
        private boolean out;
        private double nextPoll;
        private double pausedUntil;
        private double cutUntil;
        /** Until then the registry that it asks is behind: it has what was there when that began. */
        private double behindUntil = -BOUND_MS;
        private Map<String, Status> behind;
        private double goodFrom;
        private final List<Runnable> waiting = new ArrayList<>();

        Proxy(int number) {
            this.number = number;
            this.rate = 1 - DRIFT + 2 * DRIFT * random.nextDouble();
        }

        double clock() {
            return 1e6 * number + now * rate;
        }

        void start() {
            life++;
            out = false;
            known = false;
            seen = 0;
            goesBy = Map.of();
            nextPoll = now;
            reader = new ElectedRegistryReader(POLICY, List.of(APP), random.nextLong(), clock(), this);
            turn(life);
        }

        /** What its loop does by itself, every few milliseconds. */
        private void turn(long of) {
            if (of != life) {
                return;
            }
            act(() -> {
                if (of == life) {
                    reader.tick(clock(), holds(), electors());
                    poll();
                    at(now + 2 + 8 * random.nextDouble(), () -> turn(of));
                }
            });
        }

        /** Does something now, or when it goes on. */
        void act(Runnable what) {
            if (now < pausedUntil) {
                waiting.add(what);
            } else {
                what.run();
            }
        }

        void goOn() {
            List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
            spare(0);
        }

        /** Whether it keeps up is not judged until it has had the time to. */
        void spare(double forMs) {
            goodFrom = Math.max(goodFrom, now + forMs + BOUND_MS);
        }

        private Collection<Integer> electors() {
            return others(number, Math.min(ELECTORS, proxies.size()));
        }

        private boolean holds() {
            return holder == number && now < heldUntil;
        }

        private void poll() {
            if (out || now < nextPoll) {
                return;
            }
            double rests = reader.pollNotDueUntil(clock(), holds()) - clock();
            if (rests > 0) {
                nextPoll = now + rests / rate;
                return;
            }
            out = true;
            polls++;
            reader.pollStarted();
            double asked = now;
            long of = life;
            boolean fails = now < cutUntil || now < registryDownUntil;
            double there = now + MOST_WAY_MS * random.nextDouble();
            at(there, () -> {
                Map<String, Status> seen = now < behindUntil ? behind : states.get(states.size() - 1).all();
                at(now + (fails ? 2 : 1) * MOST_WAY_MS * random.nextDouble(), () -> act(() -> answered(of, asked, fails ? null : seen)));
            });
        }

        private void answered(long of, double asked, Map<String, Status> seen) {
            if (of != life) {
                return;
            }
            out = false;
            nextPoll = Math.max(now, asked + INTERVAL_MS * (0.8 + 0.2 * random.nextDouble()) / rate);
            if (seen == null) {
                spare(0);
                if (reader.pollFailed(clock(), holds())) {
                    heldUntil = now;
                }
                return;
            }
            reader.pollSucceeded(clock(), clock() - (now - asked) * rate, APP, instances(seen), holds() ? term : 0);
        }

        @Override
        public void sendListen(int to, int mark) {
            send(number, to, RegistryUpdateCodec.encodeListen(mark));
        }

        @Override
        public void sendUpdate(int to, RegistryUpdate telling, int mark) {
            RegistryUpdateCodec.encode(telling, mark).forEach(d -> send(number, to, d));
        }

        @Override
        public void instancesChanged(String stream, List<Instance> instances) {
            known = true;
            Map<String, Status> all = new HashMap<>();
            instances.forEach(i -> all.put(i.id(), i.status()));
            goesBy = all;
            int before = seen;
            seen = states.size() - 1;
            while (seen >= 0 && !states.get(seen).all().equals(all)) {
                seen--;
            }
            if (seen < 0 && broken == null) {
                broken = "at %.0f p%d goes by what the registry never had".formatted(now, number);
            } else if (seen < before && now >= anyBehindUntil + BOUND_MS && broken == null) {
                broken = "at %.0f p%d goes back to what the registry had before".formatted(now, number);
            }
        }

        @Override
        public void pollNow() {
            if (!out) {
                nextPoll = now;
            }
        }

        @Override
        public void log(String words) {
            doubts += words.contains("do not match") ? 1 : 0;
        }
    }

    private static final int ELECTORS = 3;

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at())
            : Long.compare(a.order(), b.order()));
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<State> states = new ArrayList<>();
    private final List<byte[]> said = new ArrayList<>();
    private final Map<Integer, Double> lateUntil = new HashMap<>();
    private final Map<String, Long> changedAt = new HashMap<>();
    private long order;
    private double now;
    private double registryDownUntil;
    private double anyBehindUntil = -BOUND_MS;
    private double loss;
    private int holder = -1;
    private long term;
    private double heldUntil;
    private long polls;
    private long datagrams;
    private long doubts;
    private String broken;
    private final boolean faults;

    /** {@code faults} says whether anything goes wrong at all. */
    ReadingWorld(int count, long seed, boolean faults) {
        this.random = new SplittableRandom(seed);
        this.faults = faults;
        Map<String, Status> first = new HashMap<>();
        for (int i = 0; i < 30; i++) {
            first.put("n" + i, Status.UP);
            changedAt.put("n" + i, 1L);
        }
        states.add(new State(0, first));
        for (int i = 0; i < count; i++) {
            proxies.add(new Proxy(i));
        }
        proxies.forEach(Proxy::start);
        at(500, this::grant);
        at(1000, this::change);
        at(1000, this::look);
        if (faults) {
            at(1500, this::fault);
        }
    }

    private static Collection<Integer> others(int self, int of) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            if (i != self) {
                all.add(i);
            }
        }
        return all;
    }

    private List<Instance> instances(Map<String, Status> all) {
        return all.entrySet().stream().map(e -> new Instance(e.getKey(), "10.0.0.1:" + e.getKey().substring(1), e.getValue(), "", 1, 0,
                changedAt.get(e.getKey()))).toList();
    }

    private void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    /** Renews the lease where its holder runs, or gives it to another once it has run out. */
    private void grant() {
        boolean runs = holder >= 0 && proxies.get(holder).pausedUntil <= now;
        if (holder >= 0 && now < heldUntil && runs) {
            heldUntil = now + LEASE_MS;
        } else if (now >= heldUntil) {
            int next = random.nextInt(Math.min(ELECTORS, proxies.size()));
            if (proxies.get(next).pausedUntil <= now && proxies.get(next).reader.wantsLease(proxies.get(next).clock())) {
                holder = next;
                term++;
                heldUntil = now + LEASE_MS;
            }
        }
        at(now + LEASE_MS / 3, this::grant);
    }

    private void change() {
        Map<String, Status> all = new HashMap<>(states.get(states.size() - 1).all());
        int many = random.nextInt(8) == 0 ? 40 : 1 + random.nextInt(3);
        for (int i = 0; i < many; i++) {
            String id = "n" + random.nextInt(60);
            changedAt.merge(id, 1L, Long::sum);
            switch (random.nextInt(4)) {
                case 0 -> all.remove(id);
                case 1 -> all.put(id, Status.OUT_OF_SERVICE);
                default -> all.put(id, Status.UP);
            }
        }
        states.add(new State(now, all));
        proxies.stream().filter(p -> p.known && p.goesBy.equals(all)).forEach(p -> p.seen = states.size() - 1);
        at(now + 100 + 1200 * random.nextDouble(), this::change);
    }

    private void fault() {
        Proxy struck = proxies.get(random.nextInt(3) == 0 && holder >= 0 ? holder : random.nextInt(proxies.size()));
        double length = 100 + 4000 * random.nextDouble();
        switch (random.nextInt(8)) {
            case 0 -> {
                struck.pausedUntil = now + length;
                struck.spare(length);
                at(struck.pausedUntil, struck::goOn);
            }
            case 1 -> {
                struck.waiting.clear();
                struck.pausedUntil = now;
                // A new process of it holds nothing; what it was promised holds for others all the same.
                holder = holder == struck.number ? -1 : holder;
                struck.start();
                struck.spare(0);
            }
            case 2 -> struck.cutUntil = now + length;
            case 3 -> {
                registryDownUntil = now + length / 2;
                proxies.forEach(p -> p.spare(length / 2));
            }
            case 4 -> {
                loss = 0.5 * random.nextDouble();
                at(now + length, () -> loss = 0);
            }
            case 5 -> {
                struck.behind = states.get(states.size() - 1).all();
                struck.behindUntil = now + 2 * length;
                anyBehindUntil = Math.max(anyBehindUntil, struck.behindUntil);
            }
            case 6 -> lateUntil.put(struck.number, now + length);
            default -> {
                // What was said at any time comes again, to anybody.
                for (int i = 0; i < 20 && !said.isEmpty(); i++) {
                    deliver(random.nextInt(proxies.size()), random.nextInt(proxies.size()), said.get(random.nextInt(said.size())));
                }
            }
        }
        at(now + 200 + 1500 * random.nextDouble(), this::fault);
    }

    private void send(int from, int to, byte[] datagram) {
        datagrams++;
        if (faults) {
            said.add(datagram);
        }
        if (!faults) {
            at(now + 0.2, () -> deliver(from, to, datagram));
            return;
        }
        if (random.nextDouble() < loss) {
            return;
        }
        boolean late = now < lateUntil.getOrDefault(from, 0.0) || now < lateUntil.getOrDefault(to, 0.0);
        int copies = random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double way = late ? 3000 * random.nextDouble() : random.nextInt(10) == 0 ? 350 * random.nextDouble() : 0.3;
            byte[] comes = datagram.clone();
            if (random.nextInt(50) == 0) {
                comes[random.nextInt(comes.length)] ^= (byte) (1 << random.nextInt(8));
            }
            at(now + way, () -> deliver(from, to, comes));
        }
    }

    private void deliver(int from, int to, byte[] datagram) {
        Proxy p = proxies.get(to);
        long of = p.life;
        p.act(() -> {
            if (of == p.life) {
                RegistryUpdateCodec.decodeListen(datagram).ifPresent(mark -> p.reader.listenReceived(p.clock(), from, mark));
                RegistryUpdateCodec.decode(datagram).ifPresent(news -> p.reader.updateReceived(p.clock(), from, news));
            }
        });
    }

    /** Lets so much time pass; returns what is broken, or null. */
    String run(double ms) {
        double end = now + ms;
        while (broken == null && !events.isEmpty() && events.peek().at() <= end) {
            Event e = events.poll();
            now = e.at();
            e.what().run();
        }
        return broken;
    }

    /** How old what each goes by is. */
    private void look() {
        for (Proxy p : proxies) {
            if (broken == null && p.known && p.seen < states.size() - 1 && now >= p.pausedUntil && now >= p.goodFrom
                    && now >= p.cutUntil + BOUND_MS && now >= p.behindUntil + BOUND_MS
                    && now - states.get(p.seen + 1).from() > BOUND_MS + (now < anyBehindUntil + BOUND_MS ? CHECK_MS / (1 - DRIFT) : 0)) {
                broken = "at %.0f p%d goes by what the registry had %.0f ms ago".formatted(now, p.number, now - states.get(p.seen + 1).from());
            }
        }
        at(now + LOOK_MS, this::look);
    }

    long polls() {
        return polls;
    }

    long datagrams() {
        return datagrams;
    }

    /** How often a proxy began to doubt. */
    long doubts() {
        return doubts;
    }
}
