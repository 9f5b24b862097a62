package ridgemill.datacenter;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ridgemill.limit.Rate;
import ridgemill.limit.TokenBucket;
import ridgemill.policy.Router.Effect;

/**
 * Decides for each request whether home or another hall is asked, in which order, and when it ends. It is told how attempts
 * ended and answers with the next step; whoever asks it carries the step out.
 *
 * <p>What it keeps, whatever the other halls say or do: a request enters each hall once at most; nothing is sent on while
 * an attempt may be out elsewhere; a keyed write goes to no second hall once it may have run in one, unless both drop each
 * other's repeats; where nobody can say in which hall a client's earlier try may have run, it runs nowhere.
 */
public final class DatacenterRouter {

    /** How a request ended at this hall's own nodes. */
    public enum HomeOutcome {
        SERVED,
        /** Nothing ran. */
        REFUSED,
        /** It may have run, and trying again is harmless. */
        UNPROVEN,
        /** It may have run. */
        FAILED,
        /** Its client left. */
        GONE
    }

    /** How a crossing ended. */
    public enum ForwardOutcome {
        SERVED,
        /** The other hall says that nothing ran there or beyond. */
        REFUSED,
        /** The other hall says that it may have run there. */
        FAILED,
        /** The link went here or beyond, or the time was up: it may have run, or may be running still. */
        LOST,
        /** It was never handed to the network. */
        UNSENT,
        /** Its client left. */
        GONE
    }

    /** What is to be done next. */
    public sealed interface Step { }

    /** Ask this hall's own nodes, and leave so much of its time for another hall. */
    public record TryHome(double reserveMs) implements Step { }

    /** Send it to a gateway of another hall, which has so long. */
    public record Forward(String gateway, String datacenter, double timeoutMs) implements Step { }

    /** Ask these gateways where the key may have run; {@link #keyQueries} is owed by then. */
    public record QueryKey(List<String> gateways, double timeoutMs) implements Step { }

    /** Answer at once that it is refused. {@code proven} is false where it may have run and is safe to repeat. */
    public record Refuse(double retryAfterMs, boolean provenNotRun) implements Step { }

    /** Answer at once that it has failed. */
    public record Fail() implements Step { }

    /** Answer as home did; or nothing is to be done. */
    public record UseHomeAnswer() implements Step { }

    /** What a gateway tells others of itself. */
    public record GatewayState(int level, boolean accepting, boolean leaving) { }

    /** What a gateway knows of a key. */
    public sealed interface KeyStatus { }

    /** It knows nothing of it, and will not run it. */
    public record NotSeen() implements KeyStatus { }

    /** It may have run in this hall, so long ago. */
    public record MayHaveRun(String datacenter, double ageMs) implements KeyStatus { }

    /** It can't say, as after a start. */
    public record Indeterminate() implements KeyStatus { }

    /** Counts since the start. */
    public record Counts(long across, long rescued, long taken, long refusedForeign, long loops, long overBudget, long asked,
                         long unknown, int ledger) { }

    /** Below this a crossing is not worth its frames. */
    private static final double MIN_FORWARD_MS = 10;
    /** An answer that is back by then can still be written in time. */
    private static final double ANSWER_MARGIN_MS = 15;
    private static final double MIN_HOME_MS = 30;
    private static final double RETRY_AFTER_MS = 250;
    private static final double MAX_RESERVE_FRACTION = 0.4;
    private static final double DEDUPLICATION_MARGIN_MS = 100;
    /** How long after a start a gateway can't say what the one before it ran, in repeat windows. */
    private static final double WARM_UP_WINDOWS = 1.5;
    private static final double SEEN_ID_TTL_MS = 10_000;
    private static final int MAX_SEEN_IDS = 200_000;

    private record Seen(String id, double atMs) { }

    private final Map<String, RemoteGateway> gateways = new LinkedHashMap<>();
    private final Map<String, HomeCircuitBreaker> homeBreakers = new TreeMap<>();
    private final IdempotencyKeyTable keyTable = new IdempotencyKeyTable();
    private final Deque<Seen> seenOrder = new ArrayDeque<>();
    private final Set<String> seenIds = new HashSet<>();
    private final double startedMs;
    private DatacenterPolicy policy;
    private final TokenBucket budget;
    private RemoteRequestLimit remoteLimit;
    private long forwards;
    private long rescues;
    private long remoteAdmitted;
    private long remoteRefused;
    private long loopsRefused;
    private long budgetExceeded;
    private long keyQueries;
    private long indeterminateKeys;

    public DatacenterRouter(DatacenterPolicy policy, double nowMs) {
        this.startedMs = nowMs;
        this.budget = new TokenBucket(budgetRate(policy), nowMs);
        this.policy = policy;
        this.remoteLimit = new RemoteRequestLimit(policy.maxRemoteRequests());
        updateGateways();
    }

    private static Rate budgetRate(DatacenterPolicy policy) {
        return new Rate(policy.maxForwardsPerSecond(), (int) Math.max(1, policy.maxForwardsPerSecond() / 4));
    }

    private void updateGateways() {
        policy.gateways().forEach((hall, of) -> of.forEach(g -> gateways.computeIfAbsent(g,
                n -> new RemoteGateway(n, hall, policy.maxInFlightPerGateway()))));
        gateways.keySet().retainAll(policy.allGateways());
    }

    /** Another policy holds from now on; what was learned of gateways that stay, stays. */
    public void changeTo(DatacenterPolicy next, double nowMs) {
        boolean others = next.maxRemoteRequests() != policy.maxRemoteRequests();
        policy = next;
        budget.changeTo(budgetRate(next), nowMs);
        if (others) {
            remoteLimit = new RemoteRequestLimit(next.maxRemoteRequests());
        }
        updateGateways();
    }

    public DatacenterPolicy policy() {
        return policy;
    }

    // What is known of other halls.

    /** How the link to a gateway is. */
    public void linkStateChanged(String gateway, LinkHealth.State state, double rttMs) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.linkState = state;
            g.rttMs = rttMs;
            g.refusingSinceMs = state == LinkHealth.State.DEAD ? g.refusingSinceMs : Double.NaN;
        }
    }

    /** A connection to a gateway was refused, which shows that nobody listens there; or not had for another reason. */
    public void connectionFailed(double nowMs, String gateway, boolean refused) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.linkState = LinkHealth.State.DEAD;
            g.refusingSinceMs = !refused ? Double.NaN : Double.isNaN(g.refusingSinceMs) ? nowMs : g.refusingSinceMs;
        }
    }

    /** What a gateway says of itself. */
    public void gatewayStateReceived(double nowMs, String gateway, GatewayState state) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.stateReported(nowMs, state);
        }
    }

    /** What this gateway says of itself; {@code level} is its decisions' level of throttling. */
    public GatewayState gatewayState(int level, boolean leaving) {
        boolean away = !homeBreakers.isEmpty() && homeBreakers.values().stream().allMatch(h -> h.state() == HomeCircuitBreaker.State.AWAY);
        return new GatewayState(level, policy.maxRemoteRequests() > 0 && !away, leaving);
    }

    // The way of a request.

    /** A request has come. Whatever becomes of it, {@link #requestFinished} is owed. */
    public Step requestArrived(double nowMs, RoutedRequest p) {
        if (!policy.isForwardable(p.service().name())) {
            // Of a class that stays at home nothing can have run elsewhere, and nobody is asked.
            if (p.path().isForwarded()) {
                remoteRefused++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            p.triedHome = true;
            return new TryHome(0);
        }
        if (p.path().isForwarded()) {
            if (isLoop(nowMs, p)) {
                loopsRefused++;
                return new Refuse(0, true);
            }
            if (p.deadlineMs() - nowMs < MIN_FORWARD_MS || !remoteLimit.tryAdmit(nowMs)) {
                remoteRefused++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            p.holdsRemoteSlot = true;
            remoteAdmitted++;
        }
        if (p.isKeyed()) {
            IdempotencyKeyTable.Entry e = keyTable.find(nowMs, p.idempotencyKey());
            if (e == null && p.isRetry() && p.path().isForwarded() && isRecentlyStarted(nowMs, p.service().deduplicationWindowMs())) {
                // The gateway before this one may have promised that it does not run here.
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (e != null && e.fence() && p.path().isForwarded()) {
                // Who was promised that it does not run here may have run it.
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (mayHaveRunElsewhere(e)) {
                return forwardToRecorded(nowMs, p, e);
            }
            // A gateway that sends one on has made sure of it.
            if (e != null && e.fence() || e == null && p.isRetry() && !p.path().isForwarded() && !policy.gateways().isEmpty()) {
                return queryKey(nowMs, p);
            }
            if (e != null || p.isRetry()) {
                bindToHome(p);
            }
        }
        return firstStep(nowMs, p);
    }

    private boolean mayHaveRunElsewhere(IdempotencyKeyTable.Entry e) {
        return e != null && !e.fence() && !e.datacenter().equals(policy.datacenter());
    }

    /** An earlier try may have run at this hall's nodes, through this gateway or one beside it: this one stays here too. */
    private void bindToHome(RoutedRequest p) {
        p.boundDatacenter = policy.sharedDeduplication().isEmpty() ? policy.datacenter() : null;
        p.sharedDeduplicationOnly = true;
    }

    /** Whether the gateway that ran here before may have done and promised what this one knows nothing of. */
    private boolean isRecentlyStarted(double nowMs, double windowMs) {
        return nowMs - startedMs < WARM_UP_WINDOWS * windowMs;
    }

    private boolean isLoop(double nowMs, RoutedRequest p) {
        while (!seenOrder.isEmpty() && (seenOrder.peekFirst().atMs() < nowMs - SEEN_ID_TTL_MS || seenIds.size() >= MAX_SEEN_IDS)) {
            seenIds.remove(seenOrder.removeFirst().id());
        }
        if (p.path().contains(policy.datacenter()) || p.path().datacenters().size() > policy.hopLimit() || !seenIds.add(p.id())) {
            return true;
        }
        seenOrder.addLast(new Seen(p.id(), nowMs));
        return false;
    }

    /** One that may have run in another hall goes there or nowhere. */
    private Step forwardToRecorded(double nowMs, RoutedRequest p, IdempotencyKeyTable.Entry e) {
        p.boundDatacenter = e.datacenter();
        double until = e.firstMs() + e.windowMs() - DEDUPLICATION_MARGIN_MS;
        if (until <= nowMs) {
            // Its nodes may have forgotten it, and no other may run it.
            return new Fail();
        }
        p.deadlineMs = Math.min(p.deadlineMs, until);
        Step step = tryForward(nowMs, p);
        return step == null ? new Refuse(RETRY_AFTER_MS, true) : step;
    }

    private Step queryKey(double nowMs, RoutedRequest p) {
        List<String> whom = new ArrayList<>();
        double slowest = 0;
        for (RemoteGateway g : gateways.values()) {
            if (!Double.isNaN(g.refusingSinceMs) && nowMs - g.refusingSinceMs >= policy.gatewayGoneAfterMs()) {
                // Nobody has listened there for longer than nodes remember.
                continue;
            }
            if (g.linkState != LinkHealth.State.UP) {
                indeterminateKeys++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            slowest = Math.max(slowest, g.rttMs);
            whom.add(g.name);
        }
        if (whom.isEmpty()) {
            bindToHome(p);
            return firstStep(nowMs, p);
        }
        keyQueries++;
        p.queriedAtMs = nowMs;
        keyTable.setQueryPending(p.idempotencyKey(), true);
        return new QueryKey(whom, Math.min((p.deadlineMs() - nowMs) / 3, Math.max(50, 4 * slowest)));
    }

    /** Those asked have answered, or the wait for them is over: {@code words} has what came, by gateway. */
    public Step keyStatusesReceived(double nowMs, RoutedRequest p, List<String> whom, Map<String, KeyStatus> words) {
        keyTable.setQueryPending(p.idempotencyKey(), false);
        MayHaveRun ran = null;
        for (String g : whom) {
            KeyStatus word = words.getOrDefault(g, new Indeterminate());
            if (word instanceof Indeterminate) {
                indeterminateKeys++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (word instanceof MayHaveRun r) {
                if (ran != null && !r.datacenter().equals(ran.datacenter())) {
                    indeterminateKeys++;
                    return new Refuse(RETRY_AFTER_MS, true);
                }
                ran = ran == null || r.ageMs() > ran.ageMs() ? r : ran;
            }
        }
        if (ran != null && !ran.datacenter().equals(policy.datacenter())) {
            keyTable.recordRun(nowMs, p.idempotencyKey(), ran.datacenter(), nowMs - ran.ageMs(), p.service().deduplicationWindowMs());
        }
        IdempotencyKeyTable.Entry e = keyTable.find(nowMs, p.idempotencyKey());
        if (e != null && e.fence() && e.firstMs() >= p.queriedAtMs) {
            // Another has asked us meanwhile, and was told that it does not run here.
            return new Refuse(RETRY_AFTER_MS, true);
        }
        if (mayHaveRunElsewhere(e)) {
            return forwardToRecorded(nowMs, p, e);
        }
        bindToHome(p);
        return firstStep(nowMs, p);
    }

    private Step firstStep(double nowMs, RoutedRequest p) {
        if (!mayForward(p) || homeBreaker(p).tryHomeFirst(nowMs)) {
            return tryHome(nowMs, p);
        }
        Step step = tryForward(nowMs, p);
        if (step != null) {
            return step;
        }
        // Another hall's request finds here what it has left behind; it hears so at once.
        return p.path().isForwarded() ? new Refuse(RETRY_AFTER_MS, true) : tryHome(nowMs, p);
    }

    private boolean mayForward(RoutedRequest p) {
        return policy.isForwardable(p.service().name()) && !policy.datacenter().equals(p.boundDatacenter);
    }

    private HomeCircuitBreaker homeBreaker(RoutedRequest p) {
        return homeBreakers.computeIfAbsent(p.service().name(), n -> new HomeCircuitBreaker(p.service().effect() != Effect.SAFE));
    }

    private Step tryHome(double nowMs, RoutedRequest p) {
        if (p.isKeyed()) {
            IdempotencyKeyTable.Entry before = keyTable.find(nowMs, p.idempotencyKey());
            boolean isNew = before == null || before.fence();
            IdempotencyKeyTable.Entry e = keyTable.recordRun(nowMs, p.idempotencyKey(), policy.datacenter(), nowMs, p.service().deduplicationWindowMs());
            p.createdEntry = isNew ? e : null;
        }
        p.triedHome = true;
        double left = p.deadlineMs() - nowMs;
        RemoteGateway spare = mayForward(p) && homeBreaker(p).isDegraded(nowMs) ? bestGateway(nowMs, p, left) : null;
        return new TryHome(spare == null ? 0 : Math.min(MAX_RESERVE_FRACTION * left, 2 * spare.expectedMs() + ANSWER_MARGIN_MS));
    }

    /**
     * It has ended at home.
     *
     * @param quiet whether no attempt of it is out any more
     */
    public Step homeEnded(double nowMs, RoutedRequest p, HomeOutcome end, boolean quiet) {
        p.homeOutcome = end;
        p.mayBeInProgress |= !quiet;
        if (end == HomeOutcome.GONE) {
            return new UseHomeAnswer();
        }
        homeBreaker(p).recordOutcome(nowMs, end == HomeOutcome.SERVED);
        if (!p.path().isForwarded()) {
            remoteLimit.recordLocalOutcome(nowMs, end == HomeOutcome.SERVED);
        }
        if (end == HomeOutcome.SERVED) {
            return new UseHomeAnswer();
        }
        if (end == HomeOutcome.REFUSED) {
            clearCreatedEntry(p);
        } else if (!p.isSafe()) {
            p.sharedDeduplicationOnly = true;
        }
        boolean goes = quiet && mayForward(p) && (end == HomeOutcome.REFUSED || p.isSafe() || p.isKeyed());
        Step step = goes ? tryForward(nowMs, p) : null;
        if (step == null) {
            return finalStep(p, 0);
        }
        rescues++;
        return step;
    }

    private void clearCreatedEntry(RoutedRequest p) {
        if (p.createdEntry != null) {
            keyTable.clear(p.idempotencyKey(), p.createdEntry);
            p.createdEntry = null;
        }
    }

    private RemoteGateway bestGateway(double nowMs, RoutedRequest p, double leftMs) {
        // What must not run twice crosses once: who sent it here has noted this hall, and knows of none beyond.
        if (p.path().datacenters().size() + p.enteredDatacenters.size() + 1 > policy.hopLimit() || p.path().isForwarded() && !p.isSafe()) {
            return null;
        }
        for (Map.Entry<String, List<String>> hall : policy.gateways().entrySet()) {
            if (p.hasVisited(hall.getKey()) || p.boundDatacenter != null && !p.boundDatacenter.equals(hall.getKey())
                    || p.sharedDeduplicationOnly && p.boundDatacenter == null && !policy.sharedDeduplication().contains(hall.getKey())) {
                continue;
            }
            RemoteGateway best = null;
            for (String name : hall.getValue()) {
                RemoteGateway g = gateways.get(name);
                boolean usable = g.linkState == LinkHealth.State.UP && g.isAccepting(nowMs) && !p.unreachableGateways.contains(name)
                        && g.window.hasRoom(nowMs) && leftMs - ANSWER_MARGIN_MS > Math.max(g.rttMs + MIN_FORWARD_MS, g.expectedMs());
                if (usable && (best == null || g.window.utilization() < best.window.utilization())) {
                    best = g;
                }
            }
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    /** Sends it across if some hall takes it; null if none does. */
    private Step tryForward(double nowMs, RoutedRequest p) {
        double left = p.deadlineMs() - nowMs;
        RemoteGateway g = bestGateway(nowMs, p, left);
        if (g == null) {
            return null;
        }
        if (!budget.tryTake(nowMs)) {
            budgetExceeded++;
            return null;
        }
        if (p.isKeyed()) {
            IdempotencyKeyTable.Entry before = keyTable.find(nowMs, p.idempotencyKey());
            IdempotencyKeyTable.Entry e = keyTable.recordRun(nowMs, p.idempotencyKey(), g.datacenter, before == null ? nowMs : before.firstMs(),
                    p.service().deduplicationWindowMs());
            if (e == null) {
                return null;
            }
            p.createdEntry = before == null ? e : null;
            if (before != null) {
                p.deadlineMs = Math.min(p.deadlineMs, e.firstMs() + e.windowMs() - DEDUPLICATION_MARGIN_MS);
                left = p.deadlineMs - nowMs;
            }
        }
        p.gateway = g;
        p.forwardedAtMs = nowMs;
        p.enteredDatacenters.add(g.datacenter);
        g.window.started(nowMs);
        forwards++;
        return new Forward(g.name, g.datacenter, left - ANSWER_MARGIN_MS);
    }

    /**
     * Its crossing has ended.
     *
     * @param retryAfterMs what the other hall told, 0 for nothing
     * @param beyond halls that it has entered through that one
     */
    public Step forwardEnded(double nowMs, RoutedRequest p, ForwardOutcome end, double retryAfterMs, Collection<String> beyond) {
        p.enteredDatacenters.addAll(beyond);
        RemoteGateway g = p.gateway;
        p.gateway = null;
        switch (end) {
            case SERVED -> {
                g.served++;
                g.recordDuration(nowMs - p.forwardedAtMs);
                g.window.served();
                return new UseHomeAnswer();
            }
            case REFUSED -> {
                g.refused++;
                g.window.refused(nowMs);
                clearCreatedEntry(p);
            }
            case FAILED -> {
                g.failed++;
                g.window.refused(nowMs);
                p.mayHaveRunIn.add(g.datacenter);
            }
            case LOST -> {
                g.lost++;
                p.mayBeInProgress = true;
                g.window.lost(nowMs);
                p.mayHaveRunIn.add(g.datacenter);
            }
            case UNSENT -> {
                g.window.abandoned();
                p.unreachableGateways.add(g.name);
                p.enteredDatacenters.remove(g.datacenter);
                clearCreatedEntry(p);
            }
            case GONE -> {
                g.window.abandoned();
                return new UseHomeAnswer();
            }
        }
        // One that is lost may be running still: two attempts must not be out at once.
        boolean goesOn = end != ForwardOutcome.LOST && (p.isSafe() || p.mayHaveRunIn.isEmpty());
        Step step = goesOn ? nextStep(nowMs, p) : null;
        return step != null ? step : finalStep(p, retryAfterMs);
    }

    private Step nextStep(double nowMs, RoutedRequest p) {
        Step step = tryForward(nowMs, p);
        boolean home = !p.triedHome && (p.boundDatacenter == null || p.boundDatacenter.equals(policy.datacenter())) && !p.path().isForwarded()
                && p.deadlineMs() - nowMs > MIN_HOME_MS;
        return step != null ? step : home ? tryHome(nowMs, p) : null;
    }

    private static Step finalStep(RoutedRequest p, double retryAfterMs) {
        if (!p.mayHaveRunIn.isEmpty()) {
            return p.isSafe() ? new Refuse(RETRY_AFTER_MS, false) : new Fail();
        }
        return p.homeOutcome != null ? new UseHomeAnswer() : new Refuse(retryAfterMs > 0 ? retryAfterMs : RETRY_AFTER_MS, true);
    }

    /** A request has its final answer, or its client has left. */
    public void requestFinished(RoutedRequest p) {
        if (p.holdsRemoteSlot) {
            p.holdsRemoteSlot = false;
            remoteLimit.release();
        }
    }

    /**
     * Another hall asks whether a key may have run here. Where nothing is known of it, it will not run here from now on
     * unless all others say in their turn that they know nothing of it.
     */
    public KeyStatus answerKeyQuery(double nowMs, String key, String from, double windowMs) {
        if (isRecentlyStarted(nowMs, windowMs) || !policy.gateways().containsKey(from)
                || keyTable.isQueryPending(key) && policy.datacenter().compareTo(from) < 0) {
            return new Indeterminate();
        }
        IdempotencyKeyTable.Entry e = keyTable.find(nowMs, key);
        if (e == null || e.fence()) {
            return keyTable.fence(nowMs, key, from, windowMs) == null ? new Indeterminate() : new NotSeen();
        }
        return new MayHaveRun(e.datacenter(), nowMs - e.firstMs());
    }

    // For whoever watches.

    /** Counts since the start. */
    public Counts counts() {
        return new Counts(forwards, rescues, remoteAdmitted, remoteRefused, loopsRefused, budgetExceeded, keyQueries, indeterminateKeys, keyTable.size());
    }

    /** How each class and each gateway is, a line each. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        homeBreakers.forEach((name, h) -> lines.add("class " + name + " " + h.state() + " home share " + Math.round(h.homeShare() * 100)
                + "%"));
        Collection<RemoteGateway> all = gateways.values();
        all.forEach(g -> lines.add("gateway " + g.name + " of " + g.datacenter + " " + g.linkState + " rtt " + Math.round(g.rttMs * 10) / 10.0
                + " ms out " + g.window.inFlight() + " of " + g.window.size() + " served " + g.served + " refused " + g.refused
                + " failed " + g.failed + " lost " + g.lost));
        lines.add("others' requests open " + remoteLimit.open() + " of " + remoteLimit.limit());
        return lines;
    }
}
