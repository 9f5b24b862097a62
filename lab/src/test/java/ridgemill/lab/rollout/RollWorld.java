package ridgemill.lab.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import ridgemill.rollout.FileFingerprint.FileVersion;
import ridgemill.rollout.FileFingerprint;
import ridgemill.rollout.Plan;
import ridgemill.rollout.Quarantine;
import ridgemill.rollout.Rollout;
import ridgemill.rollout.RolloutMessage;
import ridgemill.rollout.RolloutPolicy;
import ridgemill.rollout.RolloutWire;
import ridgemill.version.FleetView;
import ridgemill.version.Summary;

/**
 * A fleet of the real modules in passed-in time: rolls that operators begin at one proxy or at two at once, some of a text that one
 * refuses or that serves fewer; datagrams that are lost, late, doubled and said again much later; proxies that stop, go on where they
 * were, are cut off, one way too, and start anew from what they wrote or from what they had at first; clocks that differ. The lease is
 * taken for what its own proof says of it: one holder at a time, terms that grow. While a roll is open fewer than half of the proxies
 * are struck in all, as is claimed. After each event it looks at who begins requests under what. All follows from the seed.
 */
final class RollWorld {

    private static final double DRIFT = 0.03;
    private static final double LEASE_MS = 1000;
    private static final double BEHIND_MS = 6000;
    private static final double CUT_OFF_MS = 3000;
    private static final double OUT_MS = 18_000;
    private static final int REQUESTS = 3;
    private static final int TEXT = 700;
    private static final RolloutPolicy POLICY = new RolloutPolicy(List.of(0.0, 0.5, 1.0), 1500, 40, 0.05, 0.34, OUT_MS, 45_000);
    private static final Quarantine.Limits BOUNDS = new Quarantine.Limits(BEHIND_MS, CUT_OFF_MS, Quarantine.CutOffAction.STEP_ASIDE, 0.34, 1000);
    /** A view of one's own may lag behind the truth: gossip, a look, a slow clock. */
    private static final double KNOWN_MS = 6000;

    /** Who was struck is given the time to hear of all others. */
    private static final double SETTLED_MS = 10_000;

    /** One that has just started may have an old file: it has this long to hear of others, and to step aside. */
    private static final double STARTED_MS = 2 * BEHIND_MS + CUT_OFF_MS + KNOWN_MS + 7 * 300;

    /** An order may be obeyed for so long after it was asked for. */
    private static final double LATE_MS = 1700;

    private record Event(double at, long order, Runnable what) { }

    /** A text that operators gave a number. */
    private record Text(FileFingerprint stamp, String says, int content, boolean bad, int refusedBy) { }

    private final class Proxy implements Rollout.Callbacks {
        private final int number;
        private final double rate;
        private Rollout roll;
        private Quarantine aside;
        private FleetView view;
        private Text acts = texts.get(1);
        private Text disk = acts;
        private int incarnation;
        private int summaries;
        private int life;
        private boolean dead;
        private double pausedUntil;
        private double startedAt;
        private double served;
        private int ended;
        private long lastTerm;
        private double struckUntil;
        private double wellSince;
        private final List<Runnable> waiting = new ArrayList<>();

        Proxy(int number) {
            this.number = number;
            this.rate = 1 - DRIFT + 2 * DRIFT * random.nextDouble();
        }

        /** Whether it is over what it was struck by, and acts as the fleet does. */
        boolean isWell() {
            return now > struckUntil + SETTLED_MS && !isOutOfService() && acts.stamp().number() >= complete;
        }

        double clock() {
            return 1e6 * (number + 1) + now * rate;
        }

        void start() {
            life++;
            dead = false;
            startedAt = now;
            acts = disk;
            served = 0;
            ended = 0;
            lastTerm = 0;
            incarnation = random.nextInt();
            summaries = 0;
            roll = new Rollout(number, proxies.size(), incarnation, clock(), POLICY, this);
            roll.setInEffect(acts.stamp(), acts.says());
            aside = new Quarantine(number, proxies.size(), clock(), BOUNDS);
            view = new FleetView(number, proxies.size(), random.nextLong());
            view.updateOwn(clock(), own());
            turn(life);
            gossip(life);
        }

        private Summary own() {
            return new Summary(number, incarnation, ++summaries, (long) startedAt, 1, 1, acts.stamp().number(), acts.stamp().digest(), 0, 1, 1, ended,
                    (long) served, 0, isOutOfService(), 1, 0);
        }

        private void gossip(int of) {
            act(of, () -> {
                view.gossipRound(clock(), own()).forEach((to, g) -> send(number, to, () -> proxies.get(to).view.receive(proxies.get(to).clock(), g)));
                at(now + FleetView.ROUND_INTERVAL_MS, () -> gossip(of));
            });
        }

        /** What its loop does by itself. */
        private void turn(int of) {
            act(of, () -> {
                look();
                double due = roll.tick(clock(), holds(), others(), aside.differsFromFleet() && !roll.isCoordinated(clock(), BEHIND_MS));
                if (!isOutOfService()) {
                    begin();
                }
                at(now + Math.max(5, Math.min(100, (due - clock()) / rate)), () -> turn(of));
            });
        }

        private void look() {
            List<Quarantine.Peer> peers = new ArrayList<>();
            view.updateOwn(clock(), own());
            for (FleetView.MemberStatus s : view.statuses(clock())) {
                if (s.summary() != null && s.member() != number) {
                    peers.add(new Quarantine.Peer(s.member(), s.isCurrent() ? new FileVersion((int) s.summary().fileNumber(), s.summary().fileDigest()) : null, FleetView.isAlive(s), s.summary().outOfService()));
                }
            }
            aside.update(clock(), versionInEffect(), peers, roll.isCoordinated(clock(), BEHIND_MS));
        }

        /** Requests begin under what it acts on. */
        private void begin() {
            ended += REQUESTS;
            served += acts.bad() ? 0.7 * REQUESTS : REQUESTS;
            begins(this);
        }

        /** Does something now, or when it goes on; not if it has started anew meanwhile. */
        void act(int of, Runnable what) {
            if (of != life || dead) {
                return;
            }
            if (now < pausedUntil) {
                waiting.add(() -> act(of, what));
            } else {
                what.run();
            }
        }

        void goOn() {
            List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            if (!dead) {
                if (!isOutOfService()) {
                    begin();
                }
                all.forEach(Runnable::run);
            }
        }

        private List<Integer> others() {
            return IntStream.range(0, proxies.size()).filter(i -> i != number).boxed().toList();
        }

        private boolean holds() {
            return holder == number && now < heldUntil;
        }

        @Override
        public long term() {
            return holds() && !isOutOfService() ? term : 0;
        }

        @Override
        public void sendMessage(int to, RolloutMessage word) {
            byte[] datagram = RolloutWire.encode(word);
            Proxy told = proxies.get(to);
            if (word instanceof RolloutMessage.Order o && o.action() == Plan.Action.FORWARD && now < faultsUntil && !o.progress().plan().target().matches(told.versionInEffect())
                    && random.nextInt(10) == 0 && now >= told.pausedUntil && !told.dead && strikes(told)) {
                // It is stopped as it is told, and hears of it when it goes on.
                stop(told, now + 20_000 * random.nextDouble());
            }
            send(number, to, () -> {
                Proxy p = proxies.get(to);
                RolloutWire.decode(datagram).ifPresent(w -> p.roll.receive(p.clock(), number, w, p.aside.differsFromFleet()));
            });
        }

        @Override
        public void validate(FileFingerprint stamp, String text) {
            int of = life;
            at(now + 30 * random.nextDouble(), () -> act(of, () -> {
                Text known = find(stamp);
                boolean whole = known != null && known.says().equals(text);
                if (!whole) {
                    breaks("p" + number + " looks at a text that nobody wrote: " + stamp.text());
                }
                roll.validated(clock(), stamp, whole && known.refusedBy() != number ? "" : "line 3: it is not understood");
            }));
        }

        @Override
        public void apply(FileFingerprint stamp, String text, double byMs, long under) {
            int of = life;
            at(now + 20 * random.nextDouble(), () -> act(of, () -> {
                if (trace) {
                    System.out.printf("%.0f p%d acts on %s, term %d%n", now, number, stamp.text(), under);
                }
                if (clock() > byMs) {
                    roll.applied(clock(), stamp, "too late", true);
                    return;
                }
                Text next = find(stamp);
                if (under > 0 && under < lastTerm) {
                    breaks("p" + number + " obeys term " + under + " after " + lastTerm);
                }
                lastTerm = Math.max(lastTerm, under);
                if (next.stamp().number() <= acts.stamp().number()) {
                    breaks("p" + number + " goes from " + acts.stamp().text() + " to " + next.stamp().text());
                }
                if (next.refusedBy() == number) {
                    breaks("p" + number + " acts on what it does not understand");
                }
                Proxy refuses = next.refusedBy() < 0 ? null : proxies.get(next.refusedBy());
                if (refuses != null && under > 0 && refuses.wellSince + STARTED_MS < now) {
                    breaks("p" + number + " acts on what p" + refuses.number + " does not understand, which is there " + states());
                }
                if (under > 0 && now > takenBack.getOrDefault(stamp, Double.POSITIVE_INFINITY) + LATE_MS) {
                    breaks("p" + number + " acts on " + stamp.text() + ", which was taken back at %.0f".formatted(takenBack.get(stamp)));
                }
                Text before = actedOn.putIfAbsent(next.stamp().number(), next);
                if (before != null && !before.equals(next)) {
                    breaks("number " + next.stamp().number() + " stands for two texts");
                }
                acts = next;
                if (random.nextInt(20) > 0) {
                    disk = next;
                }
                acted++;
                roll.applied(clock(), stamp, "", false);
            }));
        }

        @Override
        public void notifyOperators(String words) {
            if (trace) {
                System.out.printf("%.0f p%d %s%n", now, number, words);
            }
            if (words.startsWith("complete")) {
                completed(this);
            } else if (words.startsWith("back") || words.startsWith("given up")) {
                backs += words.startsWith("back") ? 1 : 0;
                takenBack.putIfAbsent(roll.coordinatedPlan().target(), now);
            }
        }

        @Override
        public FileVersion versionInEffect() {
            return new FileVersion(acts.stamp().number(), acts.stamp().digest());
        }

        @Override
        public boolean isOutOfService() {
            return aside.isOutOfService(clock());
        }

        @Override
        public Rollout.Counts counts() {
            return new Rollout.Counts((int) served, ended);
        }
    }

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final List<Proxy> proxies = new ArrayList<>();
    private final Map<Integer, Text> texts = new TreeMap<>();
    private final List<Text> written = new ArrayList<>();
    private final Map<Integer, Text> actedOn = new HashMap<>();
    private final Map<FileFingerprint, Double> takenBack = new HashMap<>();
    private final Map<Long, Double> cutUntil = new HashMap<>();
    private final Set<Integer> struck = new HashSet<>();
    private final boolean faults;
    private final boolean trace;
    private long order;
    private double now;
    private double faultsUntil;
    private int holder = -1;
    private double heldUntil;
    private long term;
    private int complete;
    private double completeAt;
    private int nextFile = 2;
    private String broken;
    private int acted;
    private int completes;
    private int backs;

    RollWorld(int members, long seed, boolean faults, boolean trace) {
        this.random = new SplittableRandom(seed);
        this.faults = faults;
        this.trace = trace;
        text(1, 0, false, -1);
        for (int i = 0; i < members; i++) {
            proxies.add(new Proxy(i));
        }
        proxies.forEach(Proxy::start);
        lease();
    }

    /** Operators write a text; two of one number may be written. */
    Text text(int file, int content, boolean bad, int refusedBy) {
        String says = ("file " + file + " content " + content + " " + random.nextLong() + " ").repeat(1 + random.nextInt(TEXT) / 20);
        Text text = new Text(FileFingerprint.of(file, content * 1_000_003L + file * 31L + written.size(), says), says, content, bad, refusedBy);
        written.add(text);
        texts.putIfAbsent(file, text);
        return text;
    }

    private Text find(FileFingerprint stamp) {
        return written.stream().filter(t -> t.stamp().equals(stamp)).findFirst().orElse(null);
    }

    private void at(double when, Runnable what) {
        events.add(new Event(Math.max(now, when), order++, what));
    }

    private void breaks(String words) {
        if (broken == null) {
            broken = "at %.0f %s".formatted(now, words);
        }
    }

    /** Nothing goes this way until then. */
    private boolean isCut(int from, int to) {
        return now < cutUntil.getOrDefault((long) from << Integer.SIZE | to, 0.0);
    }

    private void cut(int from, int to, double until) {
        cutUntil.merge((long) from << Integer.SIZE | to, until, Math::max);
    }

    private void send(int from, int to, Runnable arrives) {
        boolean bad = faults && now < faultsUntil;
        if (from == to || isCut(from, to) || bad && random.nextInt(100) < 15) {
            return;
        }
        int copies = bad && random.nextInt(100) < 10 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            double late = bad && random.nextInt(50) == 0 ? 6000 * random.nextDouble() : 1 + 20 * random.nextDouble();
            at(now + late, () -> {
                Proxy p = proxies.get(to);
                p.act(p.life, arrives);
            });
        }
    }

    /** One holder at a time that hears most of the others both ways; its time runs out before another has it. */
    private void lease() {
        boolean held = now < heldUntil;
        if (held && hears(holder) && wants(holder)) {
            heldUntil = now + LEASE_MS;
        } else if (!held) {
            List<Integer> may = IntStream.range(0, proxies.size()).filter(i -> hears(i) && wants(i)).boxed().toList();
            if (!may.isEmpty()) {
                holder = may.get(random.nextInt(may.size()));
                term++;
                heldUntil = now + LEASE_MS;
            }
        }
        at(now + 100, this::lease);
    }

    private boolean wants(int i) {
        return proxies.get(i).roll.wantsLease(proxies.get(i).clock()) && !proxies.get(i).isOutOfService();
    }

    private boolean hears(int i) {
        if (proxies.get(i).dead || now < proxies.get(i).pausedUntil) {
            return false;
        }
        return 2 * IntStream.range(0, proxies.size()).filter(j -> j == i || !proxies.get(j).dead && now >= proxies.get(j).pausedUntil && !isCut(i, j)
                && !isCut(j, i)).count() > proxies.size();
    }

    /** Someone says that all act on a version, but for those of which nothing is heard: these have stepped aside, then. */
    private void completed(Proxy by) {
        completes++;
        complete = by.roll.coordinatedPlan().target().number();
        completeAt = now;
        Text text = find(by.roll.coordinatedPlan().target());
        if (text.bad()) {
            breaks("a version that serves fewer is complete");
        }
    }

    /** A request begins: what was told complete holds, and of the texts that act at most two are other ones. */
    private void begins(Proxy p) {
        if (now - p.startedAt < STARTED_MS) {
            return;
        }
        if (p.acts.stamp().number() < complete && p.aside.reason() != Quarantine.Reason.TOO_MANY) {
            breaks("p" + p.number + " begins under " + p.acts.stamp().text() + ", and " + complete + " was complete at %.0f".formatted(completeAt) + " " + states()
                    + p.view.statuses(p.clock()));
        }
        Set<Integer> contents = new HashSet<>();
        for (Proxy o : proxies) {
            if (!o.dead && now >= o.pausedUntil && !o.isOutOfService() && now - o.startedAt >= STARTED_MS && o.aside.reason() != Quarantine.Reason.TOO_MANY) {
                contents.add(o.acts.content());
            }
        }
        if (contents.size() > 2) {
            breaks("three texts act at once: " + contents);
        }
    }

    private boolean isAnyOpen() {
        return proxies.stream().anyMatch(p -> p.roll.wantsLease(p.clock()));
    }

    /** Operators begin a roll, at times at two proxies at once, with one number and two texts. */
    private void operators() {
        if (!isAnyOpen()) {
            int file = nextFile;
            nextFile += 2;
            int places = random.nextInt(3) == 0 ? 2 : 1;
            for (int i = 0; i < places; i++) {
                Proxy p = proxies.get(random.nextInt(proxies.size()));
                if (!p.dead && now >= p.pausedUntil) {
                    begin(p, file, random.nextInt(5) == 0, random.nextInt(6) == 0 ? random.nextInt(proxies.size()) : -1);
                }
            }
        }
    }

    private String begin(Proxy p, int file, boolean bad, int refusedBy) {
        Text target = text(file, written.size(), bad, refusedBy);
        Text back = text(file + 1, p.acts.content(), p.acts.bad(), -1);
        return p.roll.begin(target.stamp(), target.says(), back.stamp(), back.says());
    }

    /** Something goes wrong somewhere. */
    private void strike() {
        if (now >= faultsUntil) {
            return;
        }
        if (!isAnyOpen()) {
            struck.removeIf(i -> proxies.get(i).isWell());
        }
        Proxy p = random.nextInt(3) == 0 && holder >= 0 ? proxies.get(holder) : proxies.get(random.nextInt(proxies.size()));
        if (strikes(p)) {
            double until = now + (random.nextBoolean() ? 3000 : 30_000) * random.nextDouble();
            p.struckUntil = Math.max(p.struckUntil, until);
            p.wellSince = p.struckUntil;
            int kind = random.nextInt(5);
            if (trace) {
                System.out.printf("%.0f p%d is struck by %s until %.0f%n", now, p.number, List.of("a stop", "a cut", "a cut of what it says",
                        "a cut of what it hears", "a kill").get(kind), until);
            }
            switch (kind) {
                case 0 -> stop(p, until);
                case 1 -> p.others().forEach(o -> {
                    cut(p.number, o, until);
                    cut(o, p.number, until);
                });
                case 2 -> p.others().forEach(o -> cut(p.number, o, until));
                case 3 -> p.others().forEach(o -> cut(o, p.number, until));
                default -> {
                    p.dead = true;
                    p.waiting.clear();
                    p.pausedUntil = 0;
                    at(until, () -> {
                        if (p.dead) {
                            if (random.nextInt(8) == 0) {
                                p.disk = texts.get(1);
                            }
                            p.start();
                        }
                    });
                }
            }
        }
        if (random.nextInt(6) == 0) {
            halves();
        }
        at(now + 4000 * random.nextDouble(), this::strike);
    }

    /** The fleet is cut into two: who is in the smaller part is struck. */
    private void halves() {
        Set<Integer> part = new HashSet<>();
        while (2 * (part.size() + 1) < proxies.size() && (part.isEmpty() || random.nextBoolean())) {
            part.add(random.nextInt(proxies.size()));
        }
        Set<Integer> all = new HashSet<>(struck);
        all.addAll(part);
        if (part.isEmpty() || 2 * all.size() >= proxies.size()) {
            return;
        }
        double until = now + 25_000 * random.nextDouble();
        struck.addAll(part);
        for (int i : part) {
            proxies.get(i).struckUntil = Math.max(proxies.get(i).struckUntil, until);
            proxies.get(i).wellSince = proxies.get(i).struckUntil;
            for (int j = 0; j < proxies.size(); j++) {
                if (!part.contains(j)) {
                    cut(i, j, until);
                    cut(j, i, until);
                }
            }
        }
        if (trace) {
            System.out.printf("%.0f %s are cut from the others until %.0f%n", now, part, until);
        }
        if (!isAnyOpen() && now < faultsUntil) {
            // Operators on both sides begin one, each with a text of their own under one number.
            int file = nextFile;
            nextFile += 2;
            begin(proxies.get(part.iterator().next()), file, false, -1);
            proxies.stream().filter(p -> !part.contains(p.number)).findFirst().ifPresent(p -> begin(p, file, false, -1));
        }
    }

    /** Fewer than half are struck in all while a roll is open. */
    private boolean strikes(Proxy p) {
        if (!struck.contains(p.number) && 2 * (struck.size() + 1) >= proxies.size()) {
            return false;
        }
        struck.add(p.number);
        return true;
    }

    private void stop(Proxy p, double until) {
        p.struckUntil = Math.max(p.struckUntil, until);
        p.wellSince = p.struckUntil;
        p.pausedUntil = Math.max(p.pausedUntil, until);
        at(until, () -> {
            if (now >= p.pausedUntil) {
                p.goOn();
            }
        });
    }

    private void run(double until) {
        while (broken == null && !events.isEmpty() && events.peek().at() <= until) {
            Event e = events.poll();
            now = e.at();
            e.what().run();
        }
        now = until;
    }

    /** Plays for so long, with faults for two thirds of it; what was broken, or null. */
    String play(double ms) {
        faultsUntil = faults ? now + ms : now;
        if (faults) {
            at(now + 3000, this::strike);
        }
        for (double t = now + 2000; t < now + ms; t += 6000) {
            at(t, this::operators);
        }
        run(now + ms);
        faultsUntil = now;
        cutUntil.clear();
        run(now + 31_000);
        // All is well again: what is open comes to its end.
        double end = now + 180_000;
        while (broken == null && now < end && isAnyOpen()) {
            run(now + 1000);
        }
        if (isAnyOpen()) {
            breaks("a roll does not end: " + states());
        }
        if (broken == null) {
            settle();
        }
        return broken;
    }

    /** One more roll, of a good text: all act on it then, whatever each acted on before. */
    private void settle() {
        double end = now + 120_000;
        String said = "";
        while (broken == null && now < end && !proxies.stream().allMatch(p -> p.acts.stamp().number() >= nextFile)) {
            if (!isAnyOpen()) {
                Proxy p = proxies.stream().filter(o -> !o.isOutOfService()).findFirst().orElse(proxies.get(0));
                said = begin(p, nextFile, false, -1);
            }
            run(now + 1000);
        }
        run(now + 30_000);
        if (!proxies.stream().allMatch(p -> p.acts.stamp().number() >= nextFile && !p.isOutOfService())) {
            breaks("not all act as one: " + said + states());
        }
    }

    private String states() {
        return "p" + holder + " holds " + (now < heldUntil) + proxies.stream().map(p -> "\n  p" + p.number + " " + p.acts.stamp().text() + " " + p.aside.reason() + " "
                + p.isOutOfService() + " " + p.roll.wantsLease(p.clock()) + " " + p.roll.explain()).toList();
    }

    int acted() {
        return acted;
    }

    int completes() {
        return completes;
    }

    int backs() {
        return backs;
    }

    /** Loses this share of all datagrams, for a measurement; returns how long a roll of all took, in milliseconds. */
    double rollOnce() {
        run(now + 60_000);
        double from = now;
        begin(proxies.get(0), nextFile, false, -1);
        while (broken == null && completes == 0 && now < from + 300_000) {
            run(now + 50);
        }
        return completes == 0 ? Double.NaN : now - from;
    }

    String broken() {
        return broken;
    }
}
