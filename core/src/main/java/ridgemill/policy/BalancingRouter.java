package ridgemill.policy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Every decision of ridgemill; its events, actions and types stand in Router.java beside this file, the
 * level, the bank and the hashing in AdmissionLevel.java, PriorityTokenBucket.java and RendezvousHash.java.
 *
 * <p>A read goes to the less busy of its key's two top cache nodes by rendezvous hash; on a miss it draws a
 * token and fetches from the origin. A write draws on arrival. One hysteresis level, stepped once an interval
 * from the outcomes of our own fetches, sets how fast the token bank refills; an empty bank refuses at once
 * and its last token is kept for higher worth. Everything else below is health, time and the rules.
 */
public final class BalancingRouter implements Router {

    /** Length of a control interval: long enough for a sample, short against an overload of seconds. */
    static final double INTERVAL_MS = 1000;
    /** Weight of a new value in running means; faster at nodes that are paced. */
    static final double SMOOTH = 0.1;
    static final double PACED_SMOOTH = 0.3;
    /** Failures in a row before a node is spared, and how long, doubling up to the last. */
    static final int STRIKES = 2;
    /**
     * What a node without a place for our connection counts as failures in a row: one that drains unsaid
     * turns us away in the same way, while one whose table is full still answers those who have a place.
     */
    static final double NO_PLACE_STRIKE = 0.5;
    /** After how long a fetch that found no place is tried once more: others hear our call meanwhile. */
    static final double PLACE_MS = 50;
    /**
     * Running share of errors above which a node is spared though it answers, and the weight of an outcome:
     * one that spoils half of its answers has no failures in a row. Prevents a repeat for each of them; could
     * harm where errors come from the requests and not the node.
     */
    static final double SPOILING = 0.35;
    static final double SPOILT_SMOOTH = 0.1;
    /** Weight of an attempt in a node's running share of broken connections: about two seconds' worth. */
    static final double BROKEN_SMOOTH = 0.02;
    /** Share of connections that break at the median cache node from which on the network is at fault. */
    static final double BREAKING = 0.01;
    /** How unlikely a run of broken connections must be by the fleet's usual share to tell of its node. */
    static final double LUCK = 1e-5;
    /** Part of the usual aim that a node's queue may take. */
    static final double CROWD = 0.6;
    /** Power of their number by which balancers share a node's queue; over a half, as jams must end. */
    static final double OTHERS = 0.58;
    /** How long a refused key is taken to be still missing, and how many such keys are kept. */
    static final double MISSING_MS = 3000;
    static final int MISSING_KEYS = 1024;
    /** How far from the middle a listed size may go, and a model's learned weight. */
    static final double SIZE_SPAN = 4;
    static final double MODEL_SPAN = 2;
    /** Part of its aim that a read may wait for a place at a crowded pair. */
    static final double PATIENCE = 0.25;
    /** A new node is taken to need this part of the shortest aim for a request until it has answered some. */
    static final double FIRST_GUESS = 0.2;
    /**
     * One of so many nodes may be spared at once. With half of them spared the others took twice their load,
     * turned slow and stayed so, while some of the spared still answered most of what they got. Could harm
     * where more nodes than that are dead: requests go on trying them.
     */
    static final int SPARED_PART = 3;
    static final double SPARE_MS = 500;
    static final double SPARE_MOST_MS = 4000;
    /** Of a cache attempt's remaining time, the part it may use while another attempt is still possible. */
    static final double FIRST_TRY = 0.6;
    /** Part of the aim after which a request is taken for lost, where answers come sooner but for losses. */
    static final double SOONEST = 0.4;
    /** Mean deviations by which an answer may be late and still be usual, as in TCP. */
    static final double DEVIATIONS = 4;
    /** A request whose body is still coming may take so long: its sender's pace is judged elsewhere. */
    static final double OPEN_MS = 600_000;
    /** Weight of an attempt in a node's running share of silence; shares that count as losses and as dead. */
    static final double SILENT_SMOOTH = 0.2;
    static final double SILENT = 0.5;
    static final double LOSING = 0.05;
    /** Open connections a node that cost the held price. */
    static final double PRICED_TABLE = 100;
    /** Keys of the latest requests, ours or told by peers, that are remembered, to tell a hot key. */
    static final int LATELY = 64;
    static final int LATELY_TOLD = 256;
    /** How many peers hear of a request's key on average: a sample of all requests, at a bounded price. */
    static final double HEARD_BY = 24;
    /** Keys told at once, as each message has a price of its own. */
    static final int KEYS_TOLD = 4;
    /** More than a logarithm and an exponential are off together. */
    private static final double ROUNDING = 1e-9;
    /**
     * Sends to cache nodes, as a multiple of those answered, beyond which requests are turned away, and how
     * steeply. Prevents collapse, where time-outs bring repeats that bring time-outs; failed connections do
     * not count. Could harm where a few nodes alone answer nothing for long: all pay a little.
     */
    static final double PUSH = 1.1;
    static final double PUSH_POWER = 3;
    /**
     * Part of the requests that goes on however little is answered. Without it a start whose first attempts
     * all come too late refuses for ten seconds: too little goes out to outweigh the first silence.
     */
    static final double GO_ON_LEAST = 0.3;
    /** Answers a second that are taken for granted, so that a fleet that answers none is tried again. */
    static final double TRIAL_PER_S = 0.05;
    /** Part of its due that a cold node gets, for what the stated warm-up and our view leave out. */
    static final double COLD_CARE = 0.7;
    /** Times a key that we did not see is taken to have come, as it may be hot for others, at a cold node. */
    static final double UNSEEN = 0.25;
    /** Pairs a hot key is given, for each node's worth of our requests that ask for it. */
    static final double HOT_SPREAD = 2;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Map<String, Meter> tenants = new HashMap<>();
    private final Map<String, Double> quotas = new HashMap<>();
    private final Map<String, NodeView> nodes = new LinkedHashMap<>();
    private final Map<Long, List<Held>> fetching = new HashMap<>();
    private final Map<String, Held> requests = new LinkedHashMap<>();
    private final Map<Long, Double> missing = new LinkedHashMap<>();
    private final AdmissionLevel control = new AdmissionLevel();
    private final PriorityTokenBucket bank = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
    private final double guardMs;
    private final double shortestAim;
    private final ServiceClass unknown;
    private final boolean hasOrigin;
    private List<NodeView> caches = List.of();
    private NodeView origin;
    private List<Held> room = new ArrayList<>();
    private double intervalEnd;
    private double meanWorth;
    /** Running mean of 1 / aim over requests: the usual aim is harmonic, as short aims suffer first. */
    private double urgency;
    private final int[] lately;
    private final boolean peers;
    /**
     * Whether a connection from each balancer would cost a node more than opening one for each request: gaps
     * between uses have no memory, so then none is worth holding. Prevents full tables, which refuse, and the
     * work that they take; could harm where opening is far dearer than its price.
     */
    private final boolean closesIdle;
    private final ByteBuffer news;
    private final Meter cacheSends = new Meter();
    private final Meter cacheAnswers = new Meter();
    private final Meter asked = new Meter();
    private double answeredShare = 1, goOn = 1, totalShare = 1, coldChance = COLD_CARE;
    /**
     * Share of attempts whose connection breaks at the median cache node. What breaks everywhere is the
     * network's doing (short idle times, a lossy middlebox, resets) and tells nothing of a node or of the
     * origin's load, so neither is judged by it; a node or an origin that breaks more than that still is.
     * Could harm where one cause overruns all nodes at once and they cut connections instead of waiting.
     */
    private double usualBreaks;
    private boolean subscribed;
    private int seen, refusedCalls;

    public BalancingRouter(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        ConnectionCosts c = settings.connectionCosts();
        this.closesIdle = c.holdingCost() * settings.proxyCount() > c.openingCost() * PRICED_TABLE;
        this.peers = settings.limits().peerMessagesAllowed() && settings.proxyCount() > 1;
        this.news = ByteBuffer.allocate((peers ? KEYS_TOLD : 1) * Integer.BYTES);
        this.lately = new int[peers ? LATELY_TOLD : LATELY];
        this.hasOrigin = settings.originModel() != null;
        this.guardMs = 2 * settings.tickMs();
        this.shortestAim = settings.classes().stream().mapToDouble(ServiceClass::targetLatencyMs).min().orElse(1);
        this.urgency = 1 / Math.max(1, shortestAim);
        double soonest = settings.classes().stream().mapToDouble(ServiceClass::deadlineMs).min().orElse(1);
        // A class that the settings do not name is taken to be worth little and never safe to repeat.
        this.unknown = new ServiceClass("", soonest, 0, soonest, 0, 0, Effect.UNSAFE, DeduplicationScope.ALL, 0, false);
        settings.classes().forEach(s -> classes.put(s.name(), s));
        int proxies = Math.max(1, settings.proxyCount());
        settings.tenants().forEach(t -> quotas.put(t.name(), t.quotaPerS() / proxies));
    }

    @Override
    public int admissionLevel() {
        return control.level();
    }

    @Override
    public boolean isExcluded(double now, String node) {
        NodeView n = nodes.get(node);
        return n == null || !n.listed || now < n.sparedUntil;
    }

    @Override
    public List<String> listedNodes() {
        return nodes.values().stream().filter(n -> n.listed).map(n -> n.entry.id()).toList();
    }

    @Override
    public List<String> unreachableNodes(double now) {
        return nodes.values().stream().filter(n -> n.listed && n.gone && now < n.sparedUntil)
                .map(n -> n.entry.id()).toList();
    }

    @Override
    public void onClassesChanged(double now, List<ServiceClass> next) {
        classes.clear();
        next.forEach(s -> classes.put(s.name(), s));
    }

    @Override
    public void onStart(double now, Actions out) {
        intervalEnd = now + INTERVAL_MS;
        out.setTimer(intervalEnd, "step");
        if (settings.mustSubscribe()) {
            out.setTimer(now + random.nextDouble() * INTERVAL_MS, "subscribe");
        }
    }

    @Override
    public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out) {
        if (kind == ListUpdateKind.REFUSED) {
            subscribed = false;
            refusedCalls++;
            double wait = INTERVAL_MS * Math.min(8, 1 << Math.min(3, refusedCalls));
            out.setTimer(now + wait * (0.5 + random.nextDouble()), "subscribe");
            return;
        }
        refusedCalls = kind == ListUpdateKind.REMEMBERED ? refusedCalls : 0;
        if (kind != ListUpdateKind.CHANGES) {
            nodes.values().forEach(n -> n.listed = false);
        }
        for (Node entry : entries) {
            nodes.computeIfAbsent(entry.id(), id -> new NodeView(entry)).learn(entry);
        }
        relist();
    }

    @Override
    public void onRequest(double now, Request in, Actions out) {
        Held r = new Held(in, classes.getOrDefault(in.serviceClass(), unknown), now, guardMs);
        requests.put(in.id(), r);
        heat(r, out);
        asked.add(now, 1);
        r.worth = worth(now, in, r.service);
        meanWorth = meanWorth == 0 ? r.worth : meanWorth + SMOOTH / 10 * (r.worth - meanWorth);
        r.low = r.worth < meanWorth;
        urgency += SMOOTH / 10 * (1 / Math.max(1, r.service.targetLatencyMs()) - urgency);
        out.setTimer(r.guard, "r" + in.id());
        if (!hasTime(now, r)) {
            // A try may come with no time left at all: a timer would answer it too late.
            end(now, r, out, Reason.OUT_OF_TIME);
        } else if (knownMissing(now, r) && !hold(r) && !draw(now, r)) {
            end(now, r, out, Reason.NO_TOKEN);
        } else if (r.heldOnce) {
            return;
        } else if (in.write() && hasOrigin) {
            fetch(now, r, out);
        } else if (r.draw > goOn || in.write() && !bank.tryAcquire(now, r.low)) {
            end(now, r, out, r.draw > goOn ? Reason.FLEET_SILENT : Reason.NO_TOKEN);
        } else {
            lookUp(now, r, out);
        }
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt, String node, Actions out) {
        Held r = requests.get(request);
        NodeView at = nodes.get(node);
        if (r == null || r.streaming) {
            return;
        }
        // The node has done its work: how long the rest takes is its client's doing as much as its own.
        r.streaming = true;
        List<Held> waiting = r.fetches ? fetching.remove(r.in.key()) : null;
        r.fetches = false;
        if (at != null) {
            double elapsed = now - r.sentAt;
            at.ended(now, new AttemptResult(request, attempt, node, Outcome.OK, elapsed, false, 0,
                    Map.of()), caches);
            if (at.isOrigin() && !r.overdue && !r.in.uploading()) {
                control.recordFetch(elapsed <= r.service.targetLatencyMs());
            } else if (!at.isOrigin()) {
                cacheAnswers.add(now, 1);
            }
        }
        release(now, waiting, true, out);
    }

    @Override
    public void onAttemptEnded(double now, AttemptResult end, Actions out) {
        Held r = requests.get(end.request());
        if (r != null && r.streaming) {
            requests.remove(r.in.id());
            return;
        }
        NodeView node = nodes.get(end.node());
        boolean fetched = node != null && node.isOrigin();
        if (node != null) {
            node.ended(now, end, caches);
            if (closesIdle && node.inFlight == 0) {
                out.closeIdleConnections(end.node());
            }
            boolean answered = switch (end.outcome()) {
                case OK, MISS, ERROR -> true;
                default -> false;
            };
            if (!fetched && answered) {
                // An error too is an answer: a node that spoils some of its own is no fleet that is overrun.
                cacheAnswers.add(now, 1);
            } else if (!fetched && (broke(end.outcome()) || neverThere(end.outcome()))) {
                cacheSends.add(now, -1);
            }
        }
        if (fetched || !hasOrigin && end.cacheStatus() > 1) {
            double aim = r == null ? INTERVAL_MS : r.service.targetLatencyMs();
            boolean called = end.outcome() == Outcome.CANCELLED || neverThere(end.outcome());
            if (!called && (r == null || !r.overdue) && broke(end.outcome())) {
                control.recordBrokenFetch();
            } else if (!called && (r == null || !r.overdue)) {
                control.recordFetch(end.outcome() == Outcome.OK && end.elapsedMs() <= aim);
            }
        }
        if (r == null) {
            return;
        }
        r.out = false;
        r.proven &= end.outcome().provesNotRun();
        r.failed += end.outcome() == Outcome.OK || end.outcome() == Outcome.MISS ? 0 : 1;
        List<Held> waiting = fetched && r.fetches ? fetching.remove(r.in.key()) : null;
        r.fetches = false;
        if (end.requestFinished()) {
            requests.remove(r.in.id());
        } else if (fetched) {
            afterFetch(now, r, end.outcome(), out);
        } else {
            afterLookUp(now, r, node, end.outcome(), out);
        }
        if (fetched && end.outcome() == Outcome.OK) {
            missing.remove(r.in.key());
        }
        release(now, waiting, end.outcome() == Outcome.OK, out);
    }

    @Override
    public void onClientDisconnected(double now, String request, Actions out) {
        Held r = requests.get(request);
        if (r == null || r.out && r.fetches && isAwaited(r)) {
            // Others wait for what it fetches: a new fetch for them would cost the origin the same once more.
            return;
        }
        if (!r.streaming) {
            requests.remove(request);
        }
        letGo(now, r, out);
    }

    /** Whether one that still has its answer to come waits for this one's fetch. */
    private boolean isAwaited(Held r) {
        for (Held waiting : fetching.getOrDefault(r.in.key(), List.of())) {
            if (requests.get(waiting.in.id()) == waiting && !waiting.out) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void onTimer(double now, String token, Actions out) {
        if (token.equals("step")) {
            step(now);
            out.setTimer(intervalEnd, "step");
        } else if (token.equals("room")) {
            recallRoom(now, out);
        } else if (token.equals("subscribe")) {
            if (!subscribed) {
                subscribed = true;
                out.subscribe();
            }
        } else if (token.startsWith("r")) {
            Held r = requests.get(token.substring(1));
            if (r != null && !r.streaming) {
                end(now, r, out, Reason.OUT_OF_TIME);
            }
        } else if (token.startsWith("w")) {
            Held r = requests.get(token.substring(1));
            if (r != null && !r.out) {
                repeat(now, r, out);
            }
        }
    }

    @Override
    public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                       Actions out) {
        NodeView n = nodes.get(node);
        if (n != null) {
            n.probed(now, outcome);
        }
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] contents, Actions out) {
        learn(ByteBuffer.wrap(contents));
    }

    /** Takes in told keys; a message that is no whole number of keys loses its rest. */
    private void learn(ByteBuffer keys) {
        for (keys.rewind(); keys.remaining() >= Integer.BYTES;) {
            lately[seen++ % lately.length] = keys.getInt();
        }
        keys.rewind();
    }

    /** Sends a read to the less busy of its two top nodes, or holds it while we fetch its key. */
    private void lookUp(double now, Held r, Actions out) {
        if (hold(r)) {
            return;
        }
        NodeView node = pick(now, r);
        if (node != null) {
            double left = r.guard - now;
            boolean more = r.attempts + 2 < settings.limits().maxAttempts() && r.in.key() >= 0;
            double first = node.loses(r.service.targetLatencyMs()) && !r.hurried
                    ? Math.min(SOONEST * r.service.targetLatencyMs(), left * FIRST_TRY) : left * FIRST_TRY;
            r.hurried = true;
            send(now, r, node, more ? first : left, out);
        } else if (!r.missed.isEmpty() && hasOrigin) {
            fetch(now, r, out);
        } else if (r.crowded && now < r.patience) {
            if (room.isEmpty()) {
                out.setTimer(now + guardMs, "room");
            }
            room.add(r);
        } else {
            end(now, r, out, r.crowded ? Reason.CROWDED
                    : r.tried.isEmpty() ? Reason.NO_NODE : Reason.NODES_FAILED);
        }
    }

    /**
     * Reads that found their pair crowded wait here for a small part of their aim; higher worth first, then
     * newest. Prevents refusals while nodes idle between bursts; a lasting overload costs each read the wait.
     */
    private void recallRoom(double now, Actions out) {
        List<Held> waiting = room;
        room = new ArrayList<>();
        waiting.sort(Comparator.comparingDouble((Held r) -> -r.worth).thenComparingDouble(r -> -r.patience));
        for (Held r : waiting) {
            if (requests.get(r.in.id()) == r) {
                lookUp(now, r, out);
            }
        }
    }

    private void afterLookUp(double now, Held r, NodeView node, Outcome outcome, Actions out) {
        boolean network = broke(outcome) && usualBreaks > BREAKING;
        if (network && node != null && node.usable(now) && mayRepeat(now, r) && r.samePlace++ == 0) {
            // The node is fine and may hold the key: another would miss, and a miss is one more fetch.
            again(now, r, false, out);
            return;
        }
        r.tried.add(node);
        if (outcome == Outcome.MISS && node != null) {
            r.missed.add(node);
            if (r.missed.size() == 1 && r.pickedSecond) {
                lookUp(now, r, out);
            } else {
                fetch(now, r, out);
            }
        } else if (mayRepeat(now, r) && r.tried.size() < 2
                && (outcome != Outcome.TIMEOUT || r.draw < 2 * answeredShare - 1)) {
            again(now, r, false, out);
        } else {
            end(now, r, out, mayRepeat(now, r) || r.tried.size() > 1 ? Reason.NODES_FAILED
                    : Reason.NO_REPEAT);
        }
    }

    /** Fetches from the origin if a token is had; joins a fetch of ours that is out for the same key. */
    private void fetch(double now, Held r, Actions out) {
        if (origin == null || !origin.listed || !hasTime(now, r)) {
            end(now, r, out, hasTime(now, r) ? Reason.NO_STORE : Reason.OUT_OF_TIME);
        } else if (!r.in.write() && hold(r)) {
            return;
        } else if (!draw(now, r)) {
            missing.put(r.in.key(), now);
            if (missing.size() > MISSING_KEYS) {
                missing.remove(missing.keySet().iterator().next());
            }
            end(now, r, out, Reason.NO_TOKEN);
        } else {
            r.hasToken = false;
            if (!r.in.write() && r.in.key() >= 0 && !fetching.containsKey(r.in.key())) {
                fetching.put(r.in.key(), new ArrayList<>());
                r.fetches = true;
            }
            send(now, r, origin, r.guard - now, out);
        }
    }

    private boolean draw(double now, Held r) {
        r.hasToken = r.hasToken || control.level() == 0 || bank.tryAcquire(now, r.low);
        return r.hasToken;
    }

    /**
     * Whether a read is all but sure to need a fetch: while throttled, its key was refused lately. It draws
     * on arrival, so that clients' retries cost no further misses. Could harm where another has filled it.
     */
    private boolean knownMissing(double now, Held r) {
        Double at = r.in.write() || r.in.key() < 0 || control.level() == 0 ? null : missing.get(r.in.key());
        return at != null && now - at < MISSING_MS;
    }

    private void afterFetch(double now, Held r, Outcome outcome, Actions out) {
        // Not a write: a store that drains unsaid refuses in the same way.
        if (outcome == Outcome.NO_PLACE && !r.in.write() && r.fetchTries++ == 0 && mayRepeat(now, r)
                && now + PLACE_MS + guardMs < r.guard) {
            r.refetches = true;
            out.setTimer(now + PLACE_MS, "w" + r.in.id());
            return;
        }
        boolean again = outcome != Outcome.OK && outcome != Outcome.TIMEOUT
                && outcome != Outcome.REJECTED && outcome != Outcome.NO_PLACE;
        // What the network breaks is repeated while throttled too: the token that it draws bounds the load.
        boolean may = control.level() == 0 || broke(outcome) && usualBreaks > BREAKING;
        if (again && may && r.fetchTries++ == 0 && mayRepeat(now, r)) {
            again(now, r, true, out);
        } else {
            end(now, r, out, Reason.STORE_FAILED);
        }
    }

    /** Repeats after the wait of its class; one whose time ends before that has its final answer now. */
    private void again(double now, Held r, boolean fetches, Actions out) {
        double wait = r.service.retry().backoffMs(r.failed);
        r.refetches = fetches;
        if (wait <= 0) {
            repeat(now, r, out);
        } else if (now + wait + Math.max(guardMs, out.minAnswerMs(r.in.id())) >= r.guard) {
            end(now, r, out, Reason.OUT_OF_TIME);
        } else {
            out.setTimer(now + wait, "w" + r.in.id());
        }
    }

    private void repeat(double now, Held r, Actions out) {
        if (!mayRepeat(now, r)) {
            end(now, r, out, hasTime(now, r) ? Reason.NO_REPEAT : Reason.OUT_OF_TIME);
        } else if (r.refetches) {
            fetch(now, r, out);
        } else {
            lookUp(now, r, out);
        }
    }

    private boolean hold(Held r) {
        List<Held> waiting = r.in.key() < 0 || r.in.write() ? null : fetching.get(r.in.key());
        if (waiting == null || r.heldOnce) {
            return false;
        }
        r.heldOnce = true;
        waiting.add(r);
        return true;
    }

    /** After a fetch, those held for it go to the filled node, or on as if they had come just now. */
    private void release(double now, List<Held> waiting, boolean filled, Actions out) {
        for (Held r : waiting == null ? List.<Held>of() : waiting) {
            if (requests.get(r.in.id()) == r && !r.out) {
                if (filled) {
                    r.tried.clear();
                    r.missed.clear();
                } else {
                    r.heldOnce = false;
                }
                if (filled || r.missed.isEmpty()) {
                    lookUp(now, r, out);
                } else {
                    fetch(now, r, out);
                }
            }
        }
    }

    private NodeView pick(double now, Held r) {
        NodeView first = null;
        NodeView second = null;
        double firstScore = 0;
        double secondScore = 0;
        // A draw below this can't reach the second score with a usual share: it needs no logarithm.
        double least = 0;
        long key = RendezvousHash.mix(r.place);
        for (NodeView n : caches) {
            double draw = RendezvousHash.unitInterval(n.hash ^ key);
            if (draw < least && n.share(now) <= 1 || !n.usable(now)) {
                continue;
            }
            double score = -n.share(now) / Math.log(draw);
            if (score > firstScore && n.admits(now, r)) {
                second = first;
                secondScore = firstScore;
                first = n;
                firstScore = score;
            } else if (score > secondScore && score <= firstScore && n.admits(now, r)) {
                second = n;
                secondScore = score;
            } else {
                continue;
            }
            least = Math.exp(-1 / secondScore) * (1 - ROUNDING);
        }
        boolean canFirst = first != null && !r.tried.contains(first) && first.open(now, r.low);
        boolean canSecond = second != null && !r.tried.contains(second) && second.open(now, r.low);
        r.pickedSecond = canSecond && (!canFirst || second.inFlight < first.inFlight);
        r.crowded = first != null && !r.tried.contains(first) || second != null && !r.tried.contains(second);
        return r.pickedSecond ? second : canFirst ? first : null;
    }

    /**
     * A key that came again within our latest requests is hot: it counts as several keys, each with a pair of
     * its own, as many as keep each node's part of it under a part of its usual work. Prevents jams where one
     * key needs more than a pair and no balancer has enough in flight to see it. Could harm where a key comes
     * again by luck: it costs a miss for each pair.
     */
    private void heat(Held r, Actions out) {
        int key = (int) RendezvousHash.mix(r.in.key());
        int known = Math.min(seen, lately.length);
        int same = 0;
        for (int i = 0; i < known; i++) {
            same += lately[i] == key ? 1 : 0;
        }
        news.putInt(key);
        if (!peers) {
            learn(news);
        } else if (!news.hasRemaining()) {
            if (random.nextDouble() * settings.proxyCount() < HEARD_BY) {
                out.broadcast(news.array());
                learn(news);
            }
            news.clear();
        }
        r.heat = Math.max(same, UNSEEN) / Math.max(known, 1);
        if (same > 0 && r.in.key() >= 0) {
            double share = same / Math.max(known, LATELY / 2.0);
            double most = HOT_SPREAD * Math.min(caches.size(), settings.proxyCount());
            r.variants = 1 + (int) Math.min(caches.size() / 2.0, share * most);
            int variant = (int) (RendezvousHash.unitInterval(r.place ^ Double.doubleToLongBits(r.draw)) * r.variants);
            r.place = variant == 0 ? r.place : RendezvousHash.mix(r.place + variant);
        }
    }

    private void send(double now, Held r, NodeView node, double timeoutMs, Actions out) {
        if (r.attempts >= settings.limits().maxAttempts() || !hasTime(now, r)) {
            end(now, r, out, hasTime(now, r) ? Reason.NO_REPEAT : Reason.OUT_OF_TIME);
            return;
        }
        r.attempts++;
        r.out = true;
        r.at = node;
        r.overdue = false;
        r.sentAt = now;
        if (r.proven) {
            r.firstSent = now;
        }
        node.inFlight++;
        if (!node.isOrigin()) {
            cacheSends.add(now, 1);
        }
        out.send(r.in.id(), node.entry.id(), Math.max(1, r.service.retry().boundTimeout(timeoutMs)));
    }

    /** The one final answer that we give: a refusal where it is a true promise, else a failure. */
    private void end(double now, Held r, Actions out, Reason why) {
        out.reportReason(r.in.id(), why);
        requests.remove(r.in.id());
        letGo(now, r, out);
        boolean harmless = switch (r.service.effect()) {
            case SAFE -> true;
            case KEYED -> r.proven && !r.out || r.service.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> r.proven && !r.out;
        };
        if (harmless) {
            boolean free = control.level() == 0 || !settings.limits().retryAfterAllowed();
            double wait = free ? 0 : 1000 / bank.ratePerS();
            out.refuse(r.in.id(), Math.min(wait, settings.limits().maxRetryAfterMs()));
        } else {
            out.fail(r.in.id());
        }
    }

    /** Stops what is still out for a request that is over, and lets others fetch its key. */
    private void letGo(double now, Held r, Actions out) {
        if (r.out && settings.limits().cancelAllowed()) {
            out.cancel(r.in.id(), r.attempts - 1);
        }
        if (r.fetches) {
            r.fetches = false;
            release(now, fetching.remove(r.in.key()), false, out);
        }
    }

    private boolean mayRepeat(double now, Held r) {
        boolean can = hasTime(now, r) && !r.in.uploading();
        return can && r.service.retry().allowsAnother(r.failed) && switch (r.service.effect()) {
            case SAFE -> true;
            case UNSAFE -> r.proven;
            case KEYED -> r.proven || r.service.deduplicationScope() == DeduplicationScope.ALL
                    && now - r.firstSent < r.service.deduplicationWindowMs() - guardMs;
        };
    }

    private boolean hasTime(double now, Held r) {
        return r.guard - now > guardMs;
    }

    private void step(double now) {
        if (now < intervalEnd) {
            return;
        }
        countOverdue(now);
        control.floor = AdmissionLevel.BASE_FLOOR * Math.min(1, caches.size() / (double) settings.proxyCount());
        double[] broken = caches.stream().mapToDouble(n -> n.broken).sorted().toArray();
        usualBreaks = broken.length == 0 ? 0 : broken[(broken.length - 1) / 2];
        control.classifyBrokenFetches(usualBreaks);
        control.endInterval(INTERVAL_MS, bank.refusals());
        bank.setRate(now, control.allowedPerSecond());
        weighModels();
        double answered = cacheAnswers.perS(now) + TRIAL_PER_S;
        // Young attempts tell nothing yet; a balancer with few requests would refuse on their account.
        double young = requests.values().stream().filter(r -> r.young(now)).count() * 1000 / Meter.MEMORY_MS;
        answeredShare = Math.min(1, answered / Math.max(1e-9, cacheSends.perS(now) - young));
        goOn = Math.max(GO_ON_LEAST, Math.pow(PUSH * answeredShare, PUSH_POWER));
        coldChance = COLD_CARE * Math.min(answeredShare, answered / asked.perS(now));
        totalShare = caches.stream().mapToDouble(n -> n.share(now)).sum();
        intervalEnd = now + INTERVAL_MS;
    }

    /**
     * A fetch that is out past its aim is bad already; waiting for its end would tell of a full origin only
     * once its queue has been as long as the clients' patience. Also tells of an origin that has stopped.
     */
    private void countOverdue(double now) {
        for (Held r : requests.values()) {
            if (r.out && !r.overdue && !r.streaming && !r.in.uploading()
                    && r.at == origin && now - r.sentAt > r.service.targetLatencyMs()) {
                r.overdue = true;
                control.recordFetch(false);
            }
        }
    }

    /**
     * Where the list tells no sizes, nodes of a model that answers slower get fewer keys. By model and
     * slowly, so that all balancers come to nearly the same weights and keys keep their nodes. Prevents slow
     * models from being crowded while fast ones idle; could harm where a model is slow for a short while.
     */
    private void weighModels() {
        if (settings.weightMode() == WeightMode.SIZE) {
            return;
        }
        Map<String, double[]> models = new LinkedHashMap<>();
        double all = caches.stream().mapToDouble(n -> n.eachMs).average().orElse(1);
        for (NodeView n : caches) {
            double[] sum = models.computeIfAbsent(String.valueOf(n.entry.model()), m -> new double[2]);
            sum[0] += n.eachMs;
            sum[1]++;
        }
        for (NodeView n : caches) {
            double[] sum = models.get(String.valueOf(n.entry.model()));
            double target = Math.min(MODEL_SPAN, Math.max(1 / MODEL_SPAN, all * sum[1] / sum[0]));
            n.weight += SMOOTH * (target - n.weight);
        }
    }

    /** Class gain, by work where value is, cut for what a tenant sends beyond its quota. */
    private double worth(double now, Request in, ServiceClass service) {
        double worth = service.value();
        worth *= settings.valueByWork() && in.workMs() > 0 ? in.workMs() : 1;
        Double quota = quotas.get(in.tenant());
        if (quota != null) {
            Meter meter = tenants.computeIfAbsent(in.tenant(), t -> new Meter());
            meter.add(now, 1);
            worth *= meter.perS(now) > quota ? settings.overQuotaFactor() : 1;
        }
        return worth;
    }

    private void relist() {
        // Ids that left never come back, and on a long day there is no end to new ones.
        nodes.values().removeIf(n -> !n.listed && n.inFlight == 0);
        List<NodeView> list = new ArrayList<>();
        origin = null;
        for (NodeView n : nodes.values()) {
            if (n.listed && n.isOrigin()) {
                origin = n;
            } else if (n.listed) {
                list.add(n);
            }
        }
        list.sort(Comparator.comparing(n -> n.entry.id()));
        caches = list;
        if (settings.weightMode() == WeightMode.SIZE) {
            takeSizes();
        }
    }

    /** Listed sizes, kept within a span of their median, so that an absurd one shuts no node out. */
    private void takeSizes() {
        double[] sizes = caches.stream().mapToDouble(n -> n.entry.weight())
                .filter(w -> w > 0 && w < Double.POSITIVE_INFINITY).sorted().toArray();
        double median = sizes.length == 0 ? 1 : sizes[sizes.length / 2];
        for (NodeView n : caches) {
            double size = n.entry.weight() > 0 ? n.entry.weight() / median : 1;
            n.weight = Math.min(SIZE_SPAN, Math.max(1 / SIZE_SPAN, size));
        }
    }

    /** A request that we owe an answer. */
    private static final class Held {
        final Request in;
        final ServiceClass service;
        final double guard;
        final double patience;
        final double draw;
        /** What a rendezvous is held for: the key, or for a hot one, one of the keys that it counts as. */
        long place;
        double heat;
        int variants = 1;
        final List<NodeView> tried = new ArrayList<>(2);
        final List<NodeView> missed = new ArrayList<>(2);
        NodeView at;
        double worth, sentAt, firstSent;
        int attempts;
        int failed;
        int fetchTries;
        int samePlace;
        boolean proven = true;
        boolean low, out, overdue, streaming, pickedSecond, crowded, heldOnce, hasToken, fetches, refetches;
        /** Had an attempt with the short time: the next one gets the usual, as many may be slow at once. */
        boolean hurried;

        Held(Request in, ServiceClass service, double now, double guardMs) {
            this.in = in;
            this.service = service;
            double budget = in.uploading() ? OPEN_MS : in.budgetMs() >= 0 ? in.budgetMs() : service.deadlineMs();
            this.draw = RendezvousHash.unitInterval(RendezvousHash.hashText(in.id()));
            this.place = in.key() >= 0 ? in.key() : RendezvousHash.hashText(in.id());
            this.guard = now + Math.max(0, budget - guardMs);
            this.patience = now + PATIENCE * Math.min(service.targetLatencyMs(), budget);
        }

        boolean young(double now) {
            return out && !at.isOrigin() && 2 * (now - sentAt) < service.targetLatencyMs();
        }
    }

    /** An exponentially forgetting rate. */
    private static final class Meter {
        private static final double MEMORY_MS = 3000;
        private double since = -1, sum, at;

        void add(double now, int amount) {
            perS(now);
            sum = Math.max(0, sum + amount);
        }

        double perS(double now) {
            sum *= Math.exp(-(now - at) / MEMORY_MS);
            at = now;
            since = since < 0 ? now : since;
            return sum / MEMORY_MS * 1000 / (1 - Math.exp(-Math.max(500, now - since) / MEMORY_MS));
        }
    }

    /** What we know of a node. */
    private final class NodeView {
        final long hash;
        Node entry;
        boolean listed;
        double weight = 1;
        int inFlight;
        double strikes;
        double eachMs, spoilt, broken, silent;
        /** Usual time of an answered attempt and its mean deviation. */
        double usualMs, deviationMs;
        int ejections;
        double lastEnd = Double.NEGATIVE_INFINITY;
        boolean onTrial;
        double sparedFrom, sparedUntil;
        /** Whether what came of it last was that it could not be reached. */
        boolean gone;
        /** Whether a probe has ended its sparing, and whether that proved wrong since it last answered. */
        boolean recalled, misled;
        double coldSince = Double.NEGATIVE_INFINITY;

        NodeView(Node entry) {
            this.entry = entry;
            this.hash = RendezvousHash.mix(RendezvousHash.hashText(entry.id()));
            this.eachMs = FIRST_GUESS * shortestAim;
        }

        void learn(Node e) {
            if (e.startedAtMs() > Math.max(0, coldSince)) {
                strikes = 0;
                onTrial = false;
                sparedUntil = 0;
                coldSince = e.startedAtMs();
            }
            entry = e;
            listed = e.availability() == Availability.UP;
        }

        boolean isOrigin() {
            return hasOrigin && settings.originModel().equals(entry.model());
        }

        boolean usable(double now) {
            return now >= sparedUntil && (!onTrial || inFlight == 0);
        }

        /**
         * Whether it may take one more of ours now. Prevents jams: a node that holds too many turns slow and
         * stays so. A queue most of the usual aim long is shared among the balancers by a power of their
         * number, as their bursts seldom meet. Less than one place means a pause after each: a jammed node
         * gets its rest also from many balancers that each send little. Low worth leaves the last of
         * several places free. Could harm where one balancer carries nearly all traffic: it then refuses
         * sooner than the node needs.
         */
        boolean open(double now, boolean low) {
            double places = low ? Math.max(places() - 1, Math.min(places(), 1)) : places();
            return places >= 1 ? inFlight < places
                    : inFlight == 0 && now - lastEnd >= eachMs * (1 / places - 1);
        }

        private double places() {
            double p = Math.max(1, settings.proxyCount());
            return CROWD / urgency / Math.max(1, eachMs) / Math.pow(p, OTHERS);
        }

        double share(double now) {
            double age = now - coldSince;
            double coldMs = settings.rules().warmUpMs();
            if (age >= coldMs) {
                return weight;
            }
            double from = settings.rules().coldStartShare();
            return weight * (from + (1 - from) * Math.max(0, age) / coldMs);
        }

        /**
         * Whether a cold node may take this request. Its cut weight already bounds the chance that a key is
         * sent there; this bounds it for what a weight cannot: a key hotter than the node's part of all keys,
         * and a crowd of requests and repeats that the fleet does not answer and that all see a free place at
         * once. A chance and not a count, as counts round up and the balancers are many; drawn from the
         * request's id, so that waiting buys no second draw. A key that none of our requests named may still
         * be hot; fewer of those known, less of it goes here. Could harm where keys look hot by luck.
         */
        boolean admits(double now, Held r) {
            if (now - coldSince >= settings.rules().warmUpMs()) {
                return true;
            }
            double due = share(now) / totalShare * r.variants;
            return r.draw < coldChance * Math.min(1, due / r.heat);
        }

        void ended(double now, AttemptResult end, List<NodeView> peers) {
            inFlight = Math.max(0, inFlight - 1);
            lastEnd = now;
            gone = broke(end.outcome());
            if (end.outcome() != Outcome.CANCELLED && !neverThere(end.outcome())) {
                broken += BROKEN_SMOOTH * ((broke(end.outcome()) ? 1 : 0) - broken);
            }
            switch (end.outcome()) {
                case OK, MISS -> {
                    onTrial = recalled = misled = false;
                    strikes = 0;
                    spoilt -= SPOILT_SMOOTH * spoilt;
                    silent -= SILENT_SMOOTH * silent;
                    answered(end.elapsedMs());
                    ejections = spoilt < SPOILT_SMOOTH ? 0 : ejections;
                    timed(end.elapsedMs());
                }
                case CONNECT_FAILED, RESET -> strike(now, peers, STRIKES / runOfBreaks());
                case REJECTED -> strike(now, peers, 1);
                case NO_PLACE -> strike(now, peers, NO_PLACE_STRIKE);
                case TIMEOUT -> {
                    timed(Math.max(end.elapsedMs(), eachMs * (inFlight + 1)));
                    silent += SILENT_SMOOTH * (1 - silent);
                    // A node that drops one request in four often drops two in a row and is of use.
                    strike(now, peers, silent > SILENT ? 1 : 0);
                }
                case ERROR -> {
                    spoilt += SPOILT_SMOOTH * (1 - spoilt);
                    if (spoilt > SPOILING && now >= sparedUntil) {
                        spare(now, peers, ejections++);
                    }
                }
                default -> { }
            }
        }

        private void answered(double elapsedMs) {
            if (elapsedMs >= 0) {
                deviationMs += SMOOTH * (Math.abs(elapsedMs - usualMs) - deviationMs);
                usualMs += SMOOTH * (elapsedMs - usualMs);
            }
        }

        /**
         * Whether it answers quickly or not at all: then silence means that the request is lost, and it is
         * repeated elsewhere within its aim. Guards against machines and links that drop some of what they
         * are sent while the list calls them fine. A node that is slow answers late before it falls silent,
         * and keeps its time. Could harm where a few requests take far longer than all others.
         */
        boolean loses(double aimMs) {
            return silent > LOSING && usualMs + DEVIATIONS * deviationMs < SOONEST * aimMs;
        }

        /** Learns from an attempt's time; faster while paced, as few attempts are left to learn from. */
        private void timed(double elapsedMs) {
            double each = elapsedMs >= 0 ? elapsedMs / (inFlight + 1) : eachMs;
            eachMs += (places() < 1 ? PACED_SMOOTH : SMOOTH) * (each - eachMs);
        }

        /**
         * Spares a node after failures in a row, whatever their kind: silent, cut off, full or stalled, while
         * the list still calls it fine. Never more than a part of the nodes, or those left would be overrun.
         * Could harm where time-outs come from the requests and not the node.
         */
        private void strike(double now, List<NodeView> peers, double weight) {
            strikes += weight;
            if (strikes >= STRIKES) {
                spare(now, peers, (int) strikes - STRIKES);
            }
        }

        /**
         * A probe, ours or one that another proxy made for all. A node that was spared as it could not be
         * reached is back on trial once one is answered, and no request is risked there while none is, for
         * so long. What was spared for silence or errors is judged by requests alone, as a probe asks less
         * of it; and where a probe was wrong once, as it was made by one that can reach it when we can't,
         * none brings it back before a request has.
         */
        void probed(double now, Outcome outcome) {
            if (gone && now < sparedUntil && !(misled && outcome == Outcome.OK)) {
                recalled = outcome == Outcome.OK;
                double most = Math.min(now + SPARE_MS, sparedFrom + 2 * SPARE_MOST_MS);
                sparedUntil = recalled ? now : Math.max(sparedUntil, most);
            }
        }

        /**
         * Broken connections in a row that tell of this node and not of luck. Where a twelfth of all
         * breaks, a fleet sees two in a row every second, and sparing for them moves keys to where they miss.
         * Could harm where a node dies while the network breaks: a few more attempts then break at once.
         */
        private double runOfBreaks() {
            return usualBreaks <= 0 ? STRIKES
                    : Math.max(STRIKES, Math.ceil(Math.log(LUCK) / Math.log(Math.min(0.5, usualBreaks))));
        }

        private void spare(double now, List<NodeView> peers, int times) {
            if (isOrigin()) {
                return;
            }
            long spared = peers.stream().filter(n -> now < n.sparedUntil).count();
            if (SPARED_PART * (spared + 1) <= peers.size()) {
                sparedFrom = now;
                misled |= recalled;
                recalled = false;
                sparedUntil = now + Math.min(SPARE_MOST_MS, SPARE_MS * Math.pow(2, times));
                onTrial = true;
            }
        }
    }

    /** The attempt met nothing of the node's: its load, its queue and its health remain unknown. */
    private static boolean neverThere(Outcome outcome) {
        return outcome == Outcome.NEVER_SENT || outcome == Outcome.NO_PLACE;
    }

    private static boolean broke(Outcome outcome) {
        return outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
    }
}
