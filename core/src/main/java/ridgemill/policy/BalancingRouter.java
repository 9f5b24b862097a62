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
 * Selects nodes, retries, and admits or refuses requests. Router.java defines the events, actions and types;
 * AdmissionLevel.java, PriorityTokenBucket.java and RendezvousHash.java hold admission control and hashing.
 *
 * <p>A read goes to the less busy of its key's two top cache nodes by rendezvous hashing; on a miss it takes
 * a token and fetches from the origin. A write takes a token on arrival. An admission level with hysteresis,
 * updated every control interval from the outcomes of this proxy's own fetches, sets the token refill rate.
 * Without a token a request is refused at once; the last token is kept for high priority.
 */
public final class BalancingRouter implements Router {

    /** Control interval: long enough for a sample, short compared with an overload, which lasts seconds. */
    static final double CONTROL_INTERVAL_MS = 1000;
    /** Weight of a new value in running means; higher for paced nodes, which get fewer attempts. */
    static final double SMOOTHING = 0.1;
    static final double PACED_SMOOTHING = 0.3;
    /** Consecutive failures after which a node is ejected. */
    static final int FAILURES_TO_EJECT = 2;
    /**
     * Failure weight of a connection that the node had no slot for. A node that drains before the list shows
     * it rejects connections in the same way, while one whose connection table is full still serves others.
     */
    static final double NO_PLACE_FAILURE_WEIGHT = 0.5;
    /** Delay before a fetch that found no connection slot is retried: other proxies free slots meanwhile. */
    static final double NO_PLACE_RETRY_MS = 50;
    /**
     * Running error share above which a node is ejected although it answers, and the weight of one outcome.
     * A node that fails half of its answers need not fail twice in a row, and each failed answer costs a
     * retry. May eject wrongly where the requests cause the errors.
     */
    static final double MAX_ERROR_SHARE = 0.35;
    static final double ERROR_SMOOTHING = 0.1;
    /** Weight of an attempt in a node's running share of broken connections: covers about two seconds. */
    static final double BROKEN_SMOOTHING = 0.02;
    /** Broken share at the median cache node above which breaks are attributed to the network. */
    static final double NETWORK_FAULT_SHARE = 0.01;
    /** A run of breaks counts against a node only if it is less likely than this at the median share. */
    static final double CHANCE_LIMIT = 1e-5;
    /** Part of the mean target latency that a node's queue may take. */
    static final double QUEUE_SHARE_OF_TARGET = 0.6;
    /** Proxies share a node's queue by this power of their number; above 0.5 so that overloads clear. */
    static final double SHARING_EXPONENT = 0.58;
    /** How long a key whose fetch was refused is assumed to be uncached, and how many such keys are kept. */
    static final double KNOWN_MISS_MS = 3000;
    static final int MAX_KNOWN_MISSES = 1024;
    /** Bounds on a listed size relative to the median, and on the learned weight of a model. */
    static final double MAX_SIZE_RATIO = 4;
    static final double MAX_MODEL_RATIO = 2;
    /** Part of its target latency that a read may wait while both of its nodes are at capacity. */
    static final double QUEUE_WAIT_SHARE = 0.25;
    /** Initial estimate of a node's service time, as a part of the shortest target latency. */
    static final double INITIAL_TIME_SHARE = 0.2;
    /**
     * At most one node in this many is ejected at once: with half ejected the rest took twice the load and
     * stayed slow, while some ejected ones answered most requests. Dead nodes beyond that are still tried.
     */
    static final int NODES_PER_EJECTION = 3;
    /** First ejection time, doubled for each further failure up to the maximum. */
    static final double EJECTION_MS = 500;
    static final double MAX_EJECTION_MS = 4000;
    /** Part of the remaining time that a cache attempt may use while another attempt is still possible. */
    static final double FIRST_ATTEMPT_SHARE = 0.6;
    /** Part of the target latency after which a request to a quick but lossy node is considered lost. */
    static final double LOST_AFTER_SHARE = 0.4;
    /** Mean deviations above the mean within which an answer still counts as usual, as in TCP. */
    static final double LATE_DEVIATIONS = 4;
    /** Time limit of a request whose body is still arriving; the sender's pace is limited elsewhere. */
    static final double UPLOAD_BUDGET_MS = 600_000;
    /** Weight of an attempt in a node's running timeout share; shares that mark it as dead and as lossy. */
    static final double TIMEOUT_SMOOTHING = 0.2;
    static final double DEAD_TIMEOUT_SHARE = 0.5;
    static final double LOSSY_TIMEOUT_SHARE = 0.05;
    /** Open connections at a node that {@link ConnectionCosts#holdingCost} is the cost of. */
    static final double HOLDING_COST_CONNECTIONS = 100;
    /** Number of recent keys remembered to detect hot keys, without and with keys sent by peers. */
    static final int RECENT_KEYS = 64;
    static final int RECENT_KEYS_WITH_PEERS = 256;
    /** Mean number of peers that receive a request's key: samples the requests at a bounded cost. */
    static final double PEERS_PER_KEY = 24;
    /** Keys sent in one message, as each message has a cost of its own. */
    static final int KEYS_PER_MESSAGE = 4;
    /** Larger than the combined rounding error of a logarithm and an exponential. */
    private static final double ROUNDING_MARGIN = 1e-9;
    /**
     * Ratio of sent to answered cache attempts above which requests are refused, and how steeply. Prevents
     * a collapse in which timeouts cause retries that cause timeouts; failed connections do not count. Costs
     * all requests a little where only a few nodes fail to answer for long.
     */
    static final double OVERSEND_RATIO = 1.1;
    static final double OVERSEND_EXPONENT = 3;
    /**
     * Share of requests admitted however little is answered. Without it a proxy whose first attempts all time
     * out refuses for ten seconds, as too few attempts go out to outweigh those timeouts.
     */
    static final double MIN_ADMIT_SHARE = 0.3;
    /** Added to the answer rate, so that nodes that answer nothing are tried again. */
    static final double ASSUMED_ANSWERS_PER_SECOND = 0.05;
    /** Part of its share that a cold node gets: the configured warm-up and this proxy's view are inexact. */
    static final double COLD_SAFETY_FACTOR = 0.7;
    /** Assumed count of an unseen key at a cold node, as the key may be hot at other proxies. */
    static final double UNSEEN_KEY_COUNT = 0.25;
    /** Node pairs that a hot key gets for each node's worth of this proxy's requests that name it. */
    static final double HOT_KEY_SPREAD = 2;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> serviceClasses = new HashMap<>();
    private final Map<String, RateMeter> tenantRates = new HashMap<>();
    private final Map<String, Double> quotas = new HashMap<>();
    private final Map<String, NodeState> nodes = new LinkedHashMap<>();
    private final Map<Long, List<PendingRequest>> fetchWaiters = new HashMap<>();
    private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Double> knownMisses = new LinkedHashMap<>();
    private final AdmissionLevel admission = new AdmissionLevel();
    private final PriorityTokenBucket tokens = new PriorityTokenBucket(PriorityTokenBucket.DEFAULT_CAPACITY);
    private final double marginMs;
    private final double shortestTargetMs;
    private final ServiceClass unknownClass;
    private final boolean hasOrigin;
    private List<NodeState> cacheNodes = List.of();
    private NodeState origin;
    private List<PendingRequest> waitQueue = new ArrayList<>();
    private double intervalEnd;
    private double meanPriority;
    /** Running mean of 1 / target latency: a harmonic mean, as short targets are missed first. */
    private double inverseTarget;
    private final int[] recentKeys;
    private final boolean sharesKeys;
    // Whether holding a connection from each proxy costs a node more than opening one per request. Gaps
    // between uses are memoryless, so then no idle connection is worth keeping. Prevents full connection
    // tables, which reject, and their overhead. May harm where opening costs far more than configured.
    private final boolean closesIdle;
    private final ByteBuffer outgoingKeys;
    private final RateMeter cacheSends = new RateMeter();
    private final RateMeter cacheAnswers = new RateMeter();
    private final RateMeter arrivals = new RateMeter();
    private double answeredShare = 1, admitShare = 1, totalWeight = 1, coldProbability = COLD_SAFETY_FACTOR;
    // Share of attempts whose connection breaks at the median cache node. Breaks that occur everywhere come
    // from the network (short idle timeouts, a lossy middlebox, resets) and say nothing of a node's health or
    // the origin's load: only breaks beyond that share count against them. May harm where one cause overloads
    // all nodes at once and they cut connections instead of delaying answers.
    private double medianBrokenShare;
    private boolean subscribed;
    private int recordedKeys, failedSubscriptions;

    /** Creates the router of one proxy; routers with the same settings, seed and events act alike. */
    public BalancingRouter(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        ConnectionCosts costs = settings.connectionCosts();
        this.closesIdle = costs.holdingCost() * settings.proxyCount()
                > costs.openingCost() * HOLDING_COST_CONNECTIONS;
        this.sharesKeys = settings.limits().peerMessagesAllowed() && settings.proxyCount() > 1;
        this.outgoingKeys = ByteBuffer.allocate((sharesKeys ? KEYS_PER_MESSAGE : 1) * Integer.BYTES);
        this.recentKeys = new int[sharesKeys ? RECENT_KEYS_WITH_PEERS : RECENT_KEYS];
        this.hasOrigin = settings.originModel() != null;
        this.marginMs = 2 * settings.tickMs();
        this.shortestTargetMs = settings.classes().stream().mapToDouble(ServiceClass::targetLatencyMs).min()
                .orElse(1);
        this.inverseTarget = 1 / Math.max(1, shortestTargetMs);
        double deadline = settings.classes().stream().mapToDouble(ServiceClass::deadlineMs).min().orElse(1);
        // A class that the settings do not name has no value and must not be executed twice.
        this.unknownClass = new ServiceClass("", deadline, 0, deadline, 0, 0, Effect.UNSAFE,
                DeduplicationScope.ALL, 0, false);
        settings.classes().forEach(c -> serviceClasses.put(c.name(), c));
        int proxies = Math.max(1, settings.proxyCount());
        settings.tenants().forEach(t -> quotas.put(t.name(), t.quotaPerS() / proxies));
    }

    @Override
    public int admissionLevel() {
        return admission.level();
    }

    @Override
    public boolean isExcluded(double now, String node) {
        NodeState n = nodes.get(node);
        return n == null || !n.listed || now < n.ejectedUntil;
    }

    @Override
    public List<String> listedNodes() {
        return nodes.values().stream().filter(n -> n.listed).map(n -> n.entry.id()).toList();
    }

    @Override
    public List<String> unreachableNodes(double now) {
        return nodes.values().stream().filter(n -> n.listed && n.unreachable && now < n.ejectedUntil)
                .map(n -> n.entry.id()).toList();
    }

    @Override
    public void onClassesChanged(double now, List<ServiceClass> next) {
        serviceClasses.clear();
        next.forEach(c -> serviceClasses.put(c.name(), c));
    }

    @Override
    public void onStart(double now, Actions out) {
        intervalEnd = now + CONTROL_INTERVAL_MS;
        out.setTimer(intervalEnd, "step");
        if (settings.mustSubscribe()) {
            out.setTimer(now + random.nextDouble() * CONTROL_INTERVAL_MS, "subscribe");
        }
    }

    @Override
    public void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out) {
        if (kind == ListUpdateKind.REFUSED) {
            subscribed = false;
            failedSubscriptions++;
            double wait = CONTROL_INTERVAL_MS * Math.min(8, 1 << Math.min(3, failedSubscriptions));
            out.setTimer(now + wait * (0.5 + random.nextDouble()), "subscribe");
            return;
        }
        failedSubscriptions = kind == ListUpdateKind.REMEMBERED ? failedSubscriptions : 0;
        if (kind != ListUpdateKind.CHANGES) {
            nodes.values().forEach(n -> n.listed = false);
        }
        for (Node entry : entries) {
            nodes.computeIfAbsent(entry.id(), id -> new NodeState(entry)).update(entry);
        }
        rebuildNodeLists();
    }

    @Override
    public void onRequest(double now, Request request, Actions out) {
        PendingRequest r = new PendingRequest(request,
                serviceClasses.getOrDefault(request.serviceClass(), unknownClass), now, marginMs);
        requests.put(request.id(), r);
        trackKey(r, out);
        arrivals.add(now, 1);
        r.priority = priority(now, request, r.serviceClass);
        meanPriority = meanPriority == 0 ? r.priority
                : meanPriority + SMOOTHING / 10 * (r.priority - meanPriority);
        r.lowPriority = r.priority < meanPriority;
        inverseTarget += SMOOTHING / 10 * (1 / Math.max(1, r.serviceClass.targetLatencyMs()) - inverseTarget);
        out.setTimer(r.answerBy, "r" + request.id());
        if (!hasTime(now, r)) {
            // A request may arrive with no time left; waiting for its timer would answer it too late.
            finish(now, r, out, Reason.OUT_OF_TIME);
        } else if (isKnownMiss(now, r) && !joinFetch(r) && !acquireToken(now, r)) {
            finish(now, r, out, Reason.NO_TOKEN);
        } else if (r.coalesced) {
            return;
        } else if (request.write() && hasOrigin) {
            fetchFromOrigin(now, r, out);
        } else if (r.uniformDraw > admitShare || request.write() && !tokens.tryAcquire(now, r.lowPriority)) {
            finish(now, r, out, r.uniformDraw > admitShare ? Reason.FLEET_SILENT : Reason.NO_TOKEN);
        } else {
            readFromCache(now, r, out);
        }
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt, String nodeId, Actions out) {
        PendingRequest r = requests.get(request);
        NodeState node = nodes.get(nodeId);
        if (r == null || r.streaming) {
            return;
        }
        // The node has done its work: the time of the rest depends on the client as much as on the node.
        r.streaming = true;
        List<PendingRequest> waiting = r.leadsFetch ? fetchWaiters.remove(r.request.key()) : null;
        r.leadsFetch = false;
        if (node != null) {
            double elapsed = now - r.sentAt;
            node.attemptEnded(now, new AttemptResult(request, attempt, nodeId, Outcome.OK, elapsed, false, 0,
                    Map.of()), cacheNodes);
            if (node.isOrigin() && !r.overdue && !r.request.uploading()) {
                admission.recordFetch(elapsed <= r.serviceClass.targetLatencyMs());
            } else if (!node.isOrigin()) {
                cacheAnswers.add(now, 1);
            }
        }
        releaseWaiters(now, waiting, true, out);
    }

    @Override
    public void onAttemptEnded(double now, AttemptResult end, Actions out) {
        PendingRequest r = requests.get(end.request());
        if (r != null && r.streaming) {
            requests.remove(r.request.id());
            return;
        }
        NodeState node = nodes.get(end.node());
        boolean fetched = node != null && node.isOrigin();
        if (node != null) {
            node.attemptEnded(now, end, cacheNodes);
            if (closesIdle && node.inFlight == 0) {
                out.closeIdleConnections(end.node());
            }
            boolean answered = switch (end.outcome()) {
                case OK, MISS, ERROR -> true;
                default -> false;
            };
            if (!fetched && answered) {
                // An error is an answer too: one node with errors does not mean that the fleet is overloaded.
                cacheAnswers.add(now, 1);
            } else if (!fetched && (isBroken(end.outcome()) || didNotReachNode(end.outcome()))) {
                cacheSends.add(now, -1);
            }
        }
        if (fetched || !hasOrigin && end.cacheStatus() > 1) {
            double target = r == null ? CONTROL_INTERVAL_MS : r.serviceClass.targetLatencyMs();
            boolean ignored = end.outcome() == Outcome.CANCELLED || didNotReachNode(end.outcome());
            if (!ignored && (r == null || !r.overdue) && isBroken(end.outcome())) {
                admission.recordBrokenFetch();
            } else if (!ignored && (r == null || !r.overdue)) {
                admission.recordFetch(end.outcome() == Outcome.OK && end.elapsedMs() <= target);
            }
        }
        if (r == null) {
            return;
        }
        r.inFlight = false;
        r.provenNotRun &= end.outcome().provesNotRun();
        r.failedAttempts += end.outcome() == Outcome.OK || end.outcome() == Outcome.MISS ? 0 : 1;
        List<PendingRequest> waiting = fetched && r.leadsFetch ? fetchWaiters.remove(r.request.key()) : null;
        r.leadsFetch = false;
        if (end.requestFinished()) {
            requests.remove(r.request.id());
        } else if (fetched) {
            afterFetch(now, r, end.outcome(), out);
        } else {
            afterCacheRead(now, r, node, end.outcome(), out);
        }
        if (fetched && end.outcome() == Outcome.OK) {
            knownMisses.remove(r.request.key());
        }
        releaseWaiters(now, waiting, end.outcome() == Outcome.OK, out);
    }

    @Override
    public void onClientDisconnected(double now, String request, Actions out) {
        PendingRequest r = requests.get(request);
        if (r == null || r.inFlight && r.leadsFetch && hasWaiters(r)) {
            // Other requests wait for this fetch; a new one for them would cost the origin the same again.
            return;
        }
        if (!r.streaming) {
            requests.remove(request);
        }
        abandon(now, r, out);
    }

    /** Whether an unanswered request waits for the fetch of this one. */
    private boolean hasWaiters(PendingRequest r) {
        for (PendingRequest waiting : fetchWaiters.getOrDefault(r.request.key(), List.of())) {
            if (requests.get(waiting.request.id()) == waiting && !waiting.inFlight) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void onTimer(double now, String token, Actions out) {
        if (token.equals("step")) {
            endInterval(now);
            out.setTimer(intervalEnd, "step");
        } else if (token.equals("room")) { // wait queue
            drainWaitQueue(now, out);
        } else if (token.equals("subscribe")) {
            if (!subscribed) {
                subscribed = true;
                out.subscribe();
            }
        } else if (token.startsWith("r")) { // time limit of a request
            PendingRequest r = requests.get(token.substring(1));
            if (r != null && !r.streaming) {
                finish(now, r, out, Reason.OUT_OF_TIME);
            }
        } else if (token.startsWith("w")) { // retry of a request
            PendingRequest r = requests.get(token.substring(1));
            if (r != null && !r.inFlight) {
                retry(now, r, out);
            }
        }
    }

    @Override
    public void onProbeResult(double now, String node, Outcome outcome, double elapsedMs,
                              Map<String, Double> load, Actions out) {
        NodeState n = nodes.get(node);
        if (n != null) {
            n.recordProbe(now, outcome);
        }
    }

    @Override
    public void onPeerMessage(double now, int from, byte[] contents, Actions out) {
        recordKeys(ByteBuffer.wrap(contents));
    }

    /** Records keys, from a peer or from this proxy; trailing bytes that are not a whole key are ignored. */
    private void recordKeys(ByteBuffer keys) {
        for (keys.rewind(); keys.remaining() >= Integer.BYTES;) {
            recentKeys[recordedKeys++ % recentKeys.length] = keys.getInt();
        }
        keys.rewind();
    }

    /** Sends a read to the less busy of its two top nodes, or lets it wait for a fetch of its key. */
    private void readFromCache(double now, PendingRequest r, Actions out) {
        if (joinFetch(r)) {
            return;
        }
        NodeState node = pickNode(now, r);
        if (node != null) {
            double left = r.answerBy - now;
            boolean more = r.attempts + 2 < settings.limits().maxAttempts() && r.request.key() >= 0;
            double first = node.isLossy(r.serviceClass.targetLatencyMs()) && !r.hadShortTimeout
                    ? Math.min(LOST_AFTER_SHARE * r.serviceClass.targetLatencyMs(),
                            left * FIRST_ATTEMPT_SHARE) : left * FIRST_ATTEMPT_SHARE;
            r.hadShortTimeout = true;
            send(now, r, node, more ? first : left, out);
        } else if (!r.missed.isEmpty() && hasOrigin) {
            fetchFromOrigin(now, r, out);
        } else if (r.busy && now < r.queueUntil) {
            if (waitQueue.isEmpty()) {
                out.setTimer(now + marginMs, "room");
            }
            waitQueue.add(r);
        } else {
            finish(now, r, out, r.busy ? Reason.CROWDED
                    : r.tried.isEmpty() ? Reason.NO_NODE : Reason.NODES_FAILED);
        }
    }

    /**
     * Retries reads that waited as both of their nodes were at capacity: highest priority, then newest first.
     * Prevents refusals while nodes are idle between bursts; in a lasting overload each read pays the wait.
     */
    private void drainWaitQueue(double now, Actions out) {
        List<PendingRequest> waiting = waitQueue;
        waitQueue = new ArrayList<>();
        waiting.sort(Comparator.comparingDouble((PendingRequest r) -> -r.priority)
                .thenComparingDouble(r -> -r.queueUntil));
        for (PendingRequest r : waiting) {
            if (requests.get(r.request.id()) == r) {
                readFromCache(now, r, out);
            }
        }
    }

    private void afterCacheRead(double now, PendingRequest r, NodeState node, Outcome outcome, Actions out) {
        boolean network = isBroken(outcome) && medianBrokenShare > NETWORK_FAULT_SHARE;
        if (network && node != null && node.isUsable(now) && mayRetry(now, r) && r.sameNodeRetries++ == 0) {
            // The node is healthy and may hold the key; another would miss, which costs one more fetch.
            retryAfterBackoff(now, r, false, out);
            return;
        }
        r.tried.add(node);
        if (outcome == Outcome.MISS && node != null) {
            r.missed.add(node);
            if (r.missed.size() == 1 && r.pickedSecond) {
                readFromCache(now, r, out);
            } else {
                fetchFromOrigin(now, r, out);
            }
        } else if (mayRetry(now, r) && r.tried.size() < 2
                && (outcome != Outcome.TIMEOUT || r.uniformDraw < 2 * answeredShare - 1)) {
            retryAfterBackoff(now, r, false, out);
        } else {
            finish(now, r, out, mayRetry(now, r) || r.tried.size() > 1 ? Reason.NODES_FAILED
                    : Reason.NO_REPEAT);
        }
    }

    /** Fetches from the origin if a token is available, or joins a fetch in flight for the same key. */
    private void fetchFromOrigin(double now, PendingRequest r, Actions out) {
        if (origin == null || !origin.listed || !hasTime(now, r)) {
            finish(now, r, out, hasTime(now, r) ? Reason.NO_STORE : Reason.OUT_OF_TIME);
        } else if (!r.request.write() && joinFetch(r)) {
            return;
        } else if (!acquireToken(now, r)) {
            knownMisses.put(r.request.key(), now);
            if (knownMisses.size() > MAX_KNOWN_MISSES) {
                knownMisses.remove(knownMisses.keySet().iterator().next());
            }
            finish(now, r, out, Reason.NO_TOKEN);
        } else {
            r.hasToken = false;
            if (!r.request.write() && r.request.key() >= 0 && !fetchWaiters.containsKey(r.request.key())) {
                fetchWaiters.put(r.request.key(), new ArrayList<>());
                r.leadsFetch = true;
            }
            send(now, r, origin, r.answerBy - now, out);
        }
    }

    private boolean acquireToken(double now, PendingRequest r) {
        r.hasToken = r.hasToken || admission.level() == 0 || tokens.tryAcquire(now, r.lowPriority);
        return r.hasToken;
    }

    /**
     * Whether a read almost surely needs a fetch: while throttled, one of its key was refused recently. Its
     * token is taken on arrival, so that client retries cause no further misses. May refuse needlessly where
     * another proxy has filled the key since.
     */
    private boolean isKnownMiss(double now, PendingRequest r) {
        Double refusedAt = r.request.write() || r.request.key() < 0 || admission.level() == 0 ? null
                : knownMisses.get(r.request.key());
        return refusedAt != null && now - refusedAt < KNOWN_MISS_MS;
    }

    private void afterFetch(double now, PendingRequest r, Outcome outcome, Actions out) {
        // Not for writes: an origin that drains before the list shows it rejects in the same way.
        if (outcome == Outcome.NO_PLACE && !r.request.write() && r.fetchRetries++ == 0 && mayRetry(now, r)
                && now + NO_PLACE_RETRY_MS + marginMs < r.answerBy) {
            r.retryAtOrigin = true;
            out.setTimer(now + NO_PLACE_RETRY_MS, "w" + r.request.id());
            return;
        }
        boolean retryable = outcome != Outcome.OK && outcome != Outcome.TIMEOUT
                && outcome != Outcome.REJECTED && outcome != Outcome.NO_PLACE;
        // Breaks by the network are retried even while throttled: the retry's token bounds the load.
        boolean may = admission.level() == 0 || isBroken(outcome) && medianBrokenShare > NETWORK_FAULT_SHARE;
        if (retryable && may && r.fetchRetries++ == 0 && mayRetry(now, r)) {
            retryAfterBackoff(now, r, true, out);
        } else {
            finish(now, r, out, Reason.STORE_FAILED);
        }
    }

    /** Retries after the backoff of the class; answers at once if the request's time ends before that. */
    private void retryAfterBackoff(double now, PendingRequest r, boolean atOrigin, Actions out) {
        double backoff = r.serviceClass.retry().backoffMs(r.failedAttempts);
        r.retryAtOrigin = atOrigin;
        if (backoff <= 0) {
            retry(now, r, out);
        } else if (now + backoff + Math.max(marginMs, out.minAnswerMs(r.request.id())) >= r.answerBy) {
            finish(now, r, out, Reason.OUT_OF_TIME);
        } else {
            out.setTimer(now + backoff, "w" + r.request.id());
        }
    }

    private void retry(double now, PendingRequest r, Actions out) {
        if (!mayRetry(now, r)) {
            finish(now, r, out, hasTime(now, r) ? Reason.NO_REPEAT : Reason.OUT_OF_TIME);
        } else if (r.retryAtOrigin) {
            fetchFromOrigin(now, r, out);
        } else {
            readFromCache(now, r, out);
        }
    }

    /** Lets a read wait, at most once, for a fetch of its key that is in flight. */
    private boolean joinFetch(PendingRequest r) {
        List<PendingRequest> waiting = r.request.key() < 0 || r.request.write() ? null
                : fetchWaiters.get(r.request.key());
        if (waiting == null || r.coalesced) {
            return false;
        }
        r.coalesced = true;
        waiting.add(r);
        return true;
    }

    /** After a fetch, its waiters read from the filled node or, if it failed, continue as if just arrived. */
    private void releaseWaiters(double now, List<PendingRequest> waiting, boolean filled, Actions out) {
        for (PendingRequest r : waiting == null ? List.<PendingRequest>of() : waiting) {
            if (requests.get(r.request.id()) == r && !r.inFlight) {
                if (filled) {
                    r.tried.clear();
                    r.missed.clear();
                } else {
                    r.coalesced = false;
                }
                if (filled || r.missed.isEmpty()) {
                    readFromCache(now, r, out);
                } else {
                    fetchFromOrigin(now, r, out);
                }
            }
        }
    }

    private NodeState pickNode(double now, PendingRequest r) {
        NodeState first = null;
        NodeState second = null;
        double firstScore = 0;
        double secondScore = 0;
        // With a weight of at most 1 a draw below this cannot reach the second score: saves the logarithm.
        double minDraw = 0;
        long key = RendezvousHash.mix(r.hashKey);
        for (NodeState n : cacheNodes) {
            double draw = RendezvousHash.unitInterval(n.hash ^ key);
            if (draw < minDraw && n.effectiveWeight(now) <= 1 || !n.isUsable(now)) {
                continue;
            }
            double score = -n.effectiveWeight(now) / Math.log(draw);
            if (score > firstScore && n.admitsWhileCold(now, r)) {
                second = first;
                secondScore = firstScore;
                first = n;
                firstScore = score;
            } else if (score > secondScore && score <= firstScore && n.admitsWhileCold(now, r)) {
                second = n;
                secondScore = score;
            } else {
                continue;
            }
            minDraw = Math.exp(-1 / secondScore) * (1 - ROUNDING_MARGIN);
        }
        boolean canFirst = first != null && !r.tried.contains(first) && first.hasCapacity(now, r.lowPriority);
        boolean canSecond = second != null && !r.tried.contains(second)
                && second.hasCapacity(now, r.lowPriority);
        r.pickedSecond = canSecond && (!canFirst || second.inFlight < first.inFlight);
        r.busy = first != null && !r.tried.contains(first) || second != null && !r.tried.contains(second);
        return r.pickedSecond ? second : canFirst ? first : null;
    }

    /**
     * A key found among the recent keys is hot: it is split into variants, each with its own node pair,
     * enough to keep each node's part of it below a part of the node's usual load. Prevents overload if one
     * key needs more than two nodes and no proxy has enough requests in flight to notice. A key that recurs
     * by chance costs one miss per pair.
     */
    private void trackKey(PendingRequest r, Actions out) {
        int key = (int) RendezvousHash.mix(r.request.key());
        int known = Math.min(recordedKeys, recentKeys.length);
        int same = 0;
        for (int i = 0; i < known; i++) {
            same += recentKeys[i] == key ? 1 : 0;
        }
        outgoingKeys.putInt(key);
        if (!sharesKeys) {
            recordKeys(outgoingKeys);
        } else if (!outgoingKeys.hasRemaining()) {
            if (random.nextDouble() * settings.proxyCount() < PEERS_PER_KEY) {
                out.broadcast(outgoingKeys.array());
                recordKeys(outgoingKeys);
            }
            outgoingKeys.clear();
        }
        r.keyShare = Math.max(same, UNSEEN_KEY_COUNT) / Math.max(known, 1);
        if (same > 0 && r.request.key() >= 0) {
            double share = same / Math.max(known, RECENT_KEYS / 2.0);
            double most = HOT_KEY_SPREAD * Math.min(cacheNodes.size(), settings.proxyCount());
            r.keyVariants = 1 + (int) Math.min(cacheNodes.size() / 2.0, share * most);
            int variant = (int) (RendezvousHash.unitInterval(
                    r.hashKey ^ Double.doubleToLongBits(r.uniformDraw)) * r.keyVariants);
            r.hashKey = variant == 0 ? r.hashKey : RendezvousHash.mix(r.hashKey + variant);
        }
    }

    private void send(double now, PendingRequest r, NodeState node, double timeoutMs, Actions out) {
        if (r.attempts >= settings.limits().maxAttempts() || !hasTime(now, r)) {
            finish(now, r, out, hasTime(now, r) ? Reason.NO_REPEAT : Reason.OUT_OF_TIME);
            return;
        }
        r.attempts++;
        r.inFlight = true;
        r.node = node;
        r.overdue = false;
        r.sentAt = now;
        if (r.provenNotRun) {
            r.firstSentAt = now;
        }
        node.inFlight++;
        if (!node.isOrigin()) {
            cacheSends.add(now, 1);
        }
        out.send(r.request.id(), node.entry.id(),
                Math.max(1, r.serviceClass.retry().boundTimeout(timeoutMs)));
    }

    /** Gives the final answer: a refusal if the request surely had no unsafe effect, otherwise a failure. */
    private void finish(double now, PendingRequest r, Actions out, Reason reason) {
        out.reportReason(r.request.id(), reason);
        requests.remove(r.request.id());
        abandon(now, r, out);
        boolean harmless = switch (r.serviceClass.effect()) {
            case SAFE -> true;
            case KEYED -> r.provenNotRun && !r.inFlight
                    || r.serviceClass.deduplicationScope() == DeduplicationScope.ALL;
            case UNSAFE -> r.provenNotRun && !r.inFlight;
        };
        if (harmless) {
            boolean noAdvice = admission.level() == 0 || !settings.limits().retryAfterAllowed();
            double retryAfterMs = noAdvice ? 0 : 1000 / tokens.ratePerS();
            out.refuse(r.request.id(), Math.min(retryAfterMs, settings.limits().maxRetryAfterMs()));
        } else {
            out.fail(r.request.id());
        }
    }

    /** Cancels the attempt in flight of a request that has ended, and lets others fetch its key. */
    private void abandon(double now, PendingRequest r, Actions out) {
        if (r.inFlight && settings.limits().cancelAllowed()) {
            out.cancel(r.request.id(), r.attempts - 1);
        }
        if (r.leadsFetch) {
            r.leadsFetch = false;
            releaseWaiters(now, fetchWaiters.remove(r.request.key()), false, out);
        }
    }

    private boolean mayRetry(double now, PendingRequest r) {
        boolean can = hasTime(now, r) && !r.request.uploading();
        return can && r.serviceClass.retry().allowsAnother(r.failedAttempts)
                && switch (r.serviceClass.effect()) {
            case SAFE -> true;
            case UNSAFE -> r.provenNotRun;
            case KEYED -> r.provenNotRun || r.serviceClass.deduplicationScope() == DeduplicationScope.ALL
                    && now - r.firstSentAt < r.serviceClass.deduplicationWindowMs() - marginMs;
        };
    }

    private boolean hasTime(double now, PendingRequest r) {
        return r.answerBy - now > marginMs;
    }

    private void endInterval(double now) {
        if (now < intervalEnd) {
            return;
        }
        countOverdue(now);
        admission.minBaseline = AdmissionLevel.MIN_BASELINE
                * Math.min(1, cacheNodes.size() / (double) settings.proxyCount());
        double[] broken = cacheNodes.stream().mapToDouble(n -> n.brokenShare).sorted().toArray();
        medianBrokenShare = broken.length == 0 ? 0 : broken[(broken.length - 1) / 2];
        admission.classifyBrokenFetches(medianBrokenShare);
        admission.endInterval(CONTROL_INTERVAL_MS, tokens.refusals());
        tokens.setRate(now, admission.allowedPerSecond());
        updateModelWeights();
        double answered = cacheAnswers.perSecond(now) + ASSUMED_ANSWERS_PER_SECOND;
        // Recent attempts may still be answered; a proxy with few requests would refuse because of them.
        double recent = requests.values().stream().filter(r -> r.isRecent(now)).count() * 1000
                / RateMeter.DECAY_MS;
        answeredShare = Math.min(1, answered / Math.max(1e-9, cacheSends.perSecond(now) - recent));
        admitShare = Math.max(MIN_ADMIT_SHARE, Math.pow(OVERSEND_RATIO * answeredShare, OVERSEND_EXPONENT));
        coldProbability = COLD_SAFETY_FACTOR * Math.min(answeredShare, answered / arrivals.perSecond(now));
        totalWeight = cacheNodes.stream().mapToDouble(n -> n.effectiveWeight(now)).sum();
        intervalEnd = now + CONTROL_INTERVAL_MS;
    }

    /**
     * Counts fetches in flight for longer than their target latency as bad. Waiting for them to end would
     * detect an overloaded origin only once its queue is as long as clients wait, and a stopped one never.
     */
    private void countOverdue(double now) {
        for (PendingRequest r : requests.values()) {
            if (r.inFlight && !r.overdue && !r.streaming && !r.request.uploading()
                    && r.node == origin && now - r.sentAt > r.serviceClass.targetLatencyMs()) {
                r.overdue = true;
                admission.recordFetch(false);
            }
        }
    }

    /**
     * Without sizes in the node list, nodes of a slower model get fewer keys. Weights are learned per model
     * and slowly, so that all proxies reach nearly the same ones and keys keep their nodes. Prevents overload
     * of slow models while fast ones are idle; may harm where a model is slow for a short time.
     */
    private void updateModelWeights() {
        if (settings.weightMode() == WeightMode.SIZE) {
            return;
        }
        Map<String, double[]> models = new LinkedHashMap<>();
        double mean = cacheNodes.stream().mapToDouble(n -> n.serviceTimeMs).average().orElse(1);
        for (NodeState n : cacheNodes) {
            double[] sum = models.computeIfAbsent(String.valueOf(n.entry.model()), m -> new double[2]);
            sum[0] += n.serviceTimeMs;
            sum[1]++;
        }
        for (NodeState n : cacheNodes) {
            double[] sum = models.get(String.valueOf(n.entry.model()));
            double target = Math.min(MAX_MODEL_RATIO, Math.max(1 / MAX_MODEL_RATIO, mean * sum[1] / sum[0]));
            n.weight += SMOOTHING * (target - n.weight);
        }
    }

    /** The value of the class, times the work if so configured, reduced for a tenant over its quota. */
    private double priority(double now, Request request, ServiceClass serviceClass) {
        double priority = serviceClass.value();
        priority *= settings.valueByWork() && request.workMs() > 0 ? request.workMs() : 1;
        Double quota = quotas.get(request.tenant());
        if (quota != null) {
            RateMeter meter = tenantRates.computeIfAbsent(request.tenant(), t -> new RateMeter());
            meter.add(now, 1);
            priority *= meter.perSecond(now) > quota ? settings.overQuotaFactor() : 1;
        }
        return priority;
    }

    private void rebuildNodeLists() {
        // Ids of removed nodes do not return; without this the map would grow without bound.
        nodes.values().removeIf(n -> !n.listed && n.inFlight == 0);
        List<NodeState> list = new ArrayList<>();
        origin = null;
        for (NodeState n : nodes.values()) {
            if (n.listed && n.isOrigin()) {
                origin = n;
            } else if (n.listed) {
                list.add(n);
            }
        }
        list.sort(Comparator.comparing(n -> n.entry.id()));
        cacheNodes = list;
        if (settings.weightMode() == WeightMode.SIZE) {
            applyListedSizes();
        }
    }

    /** Uses listed sizes as weights, bounded around their median, so that an absurd size excludes no node. */
    private void applyListedSizes() {
        double[] sizes = cacheNodes.stream().mapToDouble(n -> n.entry.weight())
                .filter(w -> w > 0 && w < Double.POSITIVE_INFINITY).sorted().toArray();
        double median = sizes.length == 0 ? 1 : sizes[sizes.length / 2];
        for (NodeState n : cacheNodes) {
            double size = n.entry.weight() > 0 ? n.entry.weight() / median : 1;
            n.weight = Math.min(MAX_SIZE_RATIO, Math.max(1 / MAX_SIZE_RATIO, size));
        }
    }

    /** A request without a final answer. */
    private static final class PendingRequest {
        final Request request;
        final ServiceClass serviceClass;
        final double answerBy;
        final double queueUntil;
        final double uniformDraw;
        /** The key that is hashed: the request's key or, for a hot key, one of its variants. */
        long hashKey;
        double keyShare;
        int keyVariants = 1;
        final List<NodeState> tried = new ArrayList<>(2);
        final List<NodeState> missed = new ArrayList<>(2);
        NodeState node;
        double priority, sentAt, firstSentAt;
        int attempts;
        int failedAttempts;
        int fetchRetries;
        int sameNodeRetries;
        boolean provenNotRun = true;
        boolean lowPriority, inFlight, overdue, streaming, pickedSecond, busy, coalesced, hasToken,
                leadsFetch, retryAtOrigin;
        /** Had an attempt with the short timeout; the next gets the usual: many nodes may be slow at once. */
        boolean hadShortTimeout;

        PendingRequest(Request request, ServiceClass serviceClass, double now, double deadlineMarginMs) {
            this.request = request;
            this.serviceClass = serviceClass;
            double budget = request.uploading() ? UPLOAD_BUDGET_MS
                    : request.budgetMs() >= 0 ? request.budgetMs() : serviceClass.deadlineMs();
            this.uniformDraw = RendezvousHash.unitInterval(RendezvousHash.hashText(request.id()));
            this.hashKey = request.key() >= 0 ? request.key() : RendezvousHash.hashText(request.id());
            this.answerBy = now + Math.max(0, budget - deadlineMarginMs);
            this.queueUntil = now + QUEUE_WAIT_SHARE * Math.min(serviceClass.targetLatencyMs(), budget);
        }

        boolean isRecent(double now) {
            return inFlight && !node.isOrigin() && 2 * (now - sentAt) < serviceClass.targetLatencyMs();
        }
    }

    /** An event rate with exponential decay. */
    private static final class RateMeter {
        private static final double DECAY_MS = 3000;
        private double startedAt = -1, sum, updatedAt;

        void add(double now, int amount) {
            perSecond(now);
            sum = Math.max(0, sum + amount);
        }

        double perSecond(double now) {
            sum *= Math.exp(-(now - updatedAt) / DECAY_MS);
            updatedAt = now;
            startedAt = startedAt < 0 ? now : startedAt;
            return sum / DECAY_MS * 1000 / (1 - Math.exp(-Math.max(500, now - startedAt) / DECAY_MS));
        }
    }

    /** The state of a node as this proxy sees it. */
    private final class NodeState {
        final long hash;
        Node entry;
        boolean listed;
        double weight = 1;
        int inFlight;
        double failures;
        double serviceTimeMs, errorShare, brokenShare, timeoutShare;
        double meanAnswerMs, answerDeviationMs;
        int errorEjections;
        double lastEndAt = Double.NEGATIVE_INFINITY;
        boolean onTrial;
        double ejectedAt, ejectedUntil;
        /** Whether the connection of its last attempt failed or broke. */
        boolean unreachable;
        /** Whether a probe ended its ejection, and whether that proved wrong since its last answer. */
        boolean restoredByProbe, probeWasWrong;
        double coldSince = Double.NEGATIVE_INFINITY;

        NodeState(Node entry) {
            this.entry = entry;
            this.hash = RendezvousHash.mix(RendezvousHash.hashText(entry.id()));
            this.serviceTimeMs = INITIAL_TIME_SHARE * shortestTargetMs;
        }

        void update(Node e) {
            if (e.startedAtMs() > Math.max(0, coldSince)) {
                failures = 0;
                onTrial = false;
                ejectedUntil = 0;
                coldSince = e.startedAtMs();
            }
            entry = e;
            listed = e.availability() == Availability.UP;
        }

        boolean isOrigin() {
            return hasOrigin && settings.originModel().equals(entry.model());
        }

        boolean isUsable(double now) {
            return now >= ejectedUntil && (!onTrial || inFlight == 0);
        }

        /**
         * Whether the node may take one more attempt of this proxy now: a node with too many turns slow and
         * stays slow. Its queue, most of the mean target latency long, is divided among the proxies by a
         * power of their number, as their bursts seldom coincide. A capacity below one means a pause after
         * each attempt, so that a node recovers even if many proxies each send little. Low priority leaves
         * the last of several slots free. A proxy with nearly all traffic refuses sooner than the node needs.
         */
        boolean hasCapacity(double now, boolean lowPriority) {
            double slots = lowPriority ? Math.max(capacity() - 1, Math.min(capacity(), 1)) : capacity();
            return slots >= 1 ? inFlight < slots
                    : inFlight == 0 && now - lastEndAt >= serviceTimeMs * (1 / slots - 1);
        }

        private double capacity() {
            double proxies = Math.max(1, settings.proxyCount());
            return QUEUE_SHARE_OF_TARGET / inverseTarget / Math.max(1, serviceTimeMs)
                    / Math.pow(proxies, SHARING_EXPONENT);
        }

        double effectiveWeight(double now) {
            double age = now - coldSince;
            double warmUpMs = settings.rules().warmUpMs();
            if (age >= warmUpMs) {
                return weight;
            }
            double startShare = settings.rules().coldStartShare();
            return weight * (startShare + (1 - startShare) * Math.max(0, age) / warmUpMs);
        }

        /**
         * Whether a cold node may take this request. Its reduced weight limits which keys are sent to it, but
         * not a key hotter than the node's share of keys, nor many unanswered requests and retries that all
         * see a free slot at once. A probability, as counts round up and there are many proxies; derived from
         * the request id, so that waiting gives no second chance. A key unseen here may be hot elsewhere: the
         * fewer keys are recorded, the less of it is sent. Too strict for a key that seems hot by chance.
         */
        boolean admitsWhileCold(double now, PendingRequest r) {
            if (now - coldSince >= settings.rules().warmUpMs()) {
                return true;
            }
            double fairShare = effectiveWeight(now) / totalWeight * r.keyVariants;
            return r.uniformDraw < coldProbability * Math.min(1, fairShare / r.keyShare);
        }

        void attemptEnded(double now, AttemptResult end, List<NodeState> peers) {
            inFlight = Math.max(0, inFlight - 1);
            lastEndAt = now;
            unreachable = isBroken(end.outcome());
            if (end.outcome() != Outcome.CANCELLED && !didNotReachNode(end.outcome())) {
                brokenShare += BROKEN_SMOOTHING * ((isBroken(end.outcome()) ? 1 : 0) - brokenShare);
            }
            switch (end.outcome()) {
                case OK, MISS -> {
                    onTrial = restoredByProbe = probeWasWrong = false;
                    failures = 0;
                    errorShare -= ERROR_SMOOTHING * errorShare;
                    timeoutShare -= TIMEOUT_SMOOTHING * timeoutShare;
                    recordAnswerTime(end.elapsedMs());
                    errorEjections = errorShare < ERROR_SMOOTHING ? 0 : errorEjections;
                    recordServiceTime(end.elapsedMs());
                }
                case CONNECT_FAILED, RESET -> recordFailure(now, peers, FAILURES_TO_EJECT / breaksToEject());
                case REJECTED -> recordFailure(now, peers, 1);
                case NO_PLACE -> recordFailure(now, peers, NO_PLACE_FAILURE_WEIGHT);
                case TIMEOUT -> {
                    recordServiceTime(Math.max(end.elapsedMs(), serviceTimeMs * (inFlight + 1)));
                    timeoutShare += TIMEOUT_SMOOTHING * (1 - timeoutShare);
                    // A node that drops one request in four often drops two in a row but is still useful.
                    recordFailure(now, peers, timeoutShare > DEAD_TIMEOUT_SHARE ? 1 : 0);
                }
                case ERROR -> {
                    errorShare += ERROR_SMOOTHING * (1 - errorShare);
                    if (errorShare > MAX_ERROR_SHARE && now >= ejectedUntil) {
                        eject(now, peers, errorEjections++);
                    }
                }
                default -> { }
            }
        }

        private void recordAnswerTime(double elapsedMs) {
            if (elapsedMs >= 0) {
                answerDeviationMs += SMOOTHING * (Math.abs(elapsedMs - meanAnswerMs) - answerDeviationMs);
                meanAnswerMs += SMOOTHING * (elapsedMs - meanAnswerMs);
            }
        }

        /**
         * Whether the node answers quickly or not at all. A missing answer then means a lost request, which
         * is retried elsewhere within its target latency. Guards against nodes and links that drop requests
         * while listed as healthy. A slow node answers late before it stops answering, and keeps the usual
         * timeout. May harm where a few requests take far longer than all others.
         */
        boolean isLossy(double targetMs) {
            return timeoutShare > LOSSY_TIMEOUT_SHARE
                    && meanAnswerMs + LATE_DEVIATIONS * answerDeviationMs < LOST_AFTER_SHARE * targetMs;
        }

        /** Updates the service time; faster for a paced node, as it gets few attempts. */
        private void recordServiceTime(double elapsedMs) {
            double sampleMs = elapsedMs >= 0 ? elapsedMs / (inFlight + 1) : serviceTimeMs;
            serviceTimeMs += (capacity() < 1 ? PACED_SMOOTHING : SMOOTHING) * (sampleMs - serviceTimeMs);
        }

        /**
         * Ejects a node after consecutive failures of any kind while it is listed as healthy, but never more
         * than a part of the nodes. May eject wrongly where the requests cause the timeouts.
         */
        private void recordFailure(double now, List<NodeState> peers, double weight) {
            failures += weight;
            if (failures >= FAILURES_TO_EJECT) {
                eject(now, peers, (int) failures - FAILURES_TO_EJECT);
            }
        }

        /**
         * Records a probe by this proxy or by another one for all. An answer puts a node ejected as
         * unreachable on trial; a failure extends its ejection, up to twice the maximum time. A node ejected
         * for timeouts or errors is judged by requests alone, as a probe demands less. After a wrong probe
         * (its sender reaches the node, this proxy does not) none restores it until it answers a request.
         */
        void recordProbe(double now, Outcome outcome) {
            if (unreachable && now < ejectedUntil && !(probeWasWrong && outcome == Outcome.OK)) {
                restoredByProbe = outcome == Outcome.OK;
                double extended = Math.min(now + EJECTION_MS, ejectedAt + 2 * MAX_EJECTION_MS);
                ejectedUntil = restoredByProbe ? now : Math.max(ejectedUntil, extended);
            }
        }

        /**
         * Consecutive breaks that chance does not explain. If one connection in twelve breaks, a fleet sees
         * two in a row every second, and ejections for them move keys to nodes that miss. If a node dies
         * while the network breaks connections, a few more attempts fail before its ejection.
         */
        private double breaksToEject() {
            return medianBrokenShare <= 0 ? FAILURES_TO_EJECT : Math.max(FAILURES_TO_EJECT,
                    Math.ceil(Math.log(CHANCE_LIMIT) / Math.log(Math.min(0.5, medianBrokenShare))));
        }

        private void eject(double now, List<NodeState> peers, int times) {
            if (isOrigin()) {
                return;
            }
            long ejected = peers.stream().filter(n -> now < n.ejectedUntil).count();
            if (NODES_PER_EJECTION * (ejected + 1) <= peers.size()) {
                ejectedAt = now;
                probeWasWrong |= restoredByProbe;
                restoredByProbe = false;
                ejectedUntil = now + Math.min(MAX_EJECTION_MS, EJECTION_MS * Math.pow(2, times));
                onTrial = true;
            }
        }
    }

    /** Whether the attempt did not reach the node, so that it shows nothing of its load or health. */
    private static boolean didNotReachNode(Outcome outcome) {
        return outcome == Outcome.NEVER_SENT || outcome == Outcome.NO_PLACE;
    }

    private static boolean isBroken(Outcome outcome) {
        return outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED;
    }
}
