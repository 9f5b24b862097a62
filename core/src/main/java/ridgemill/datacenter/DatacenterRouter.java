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
 * Decides for each request whether the home datacenter (the one of this gateway) or another one is tried, in which
 * order, and when the request ends. It is told how attempts ended and returns the next {@link Step}, which the caller
 * carries out.
 *
 * <p>Invariants, whatever other datacenters report or do: a request enters each datacenter at most once; nothing is
 * forwarded while an attempt may be in progress elsewhere; a keyed write that may have run in one datacenter goes to no
 * second one, unless both drop each other's duplicates; and a request runs nowhere if nobody can say in which
 * datacenter an earlier try of its client may have run.
 */
public final class DatacenterRouter {

    /** How a request ended on the home datacenter's nodes. */
    public enum HomeOutcome {
        SERVED,
        /** Nothing ran. */
        REFUSED,
        /** It may have run, and repeating it is harmless. */
        UNPROVEN,
        /** It may have run. */
        FAILED,
        /** Its client disconnected. */
        GONE
    }

    /** How a forwarded request ended. */
    public enum ForwardOutcome {
        SERVED,
        /** The other datacenter reports that nothing ran there or beyond. */
        REFUSED,
        /** The other datacenter reports that it may have run there. */
        FAILED,
        /** The link was lost, here or beyond, or the time was up: it may have run or may still be running. */
        LOST,
        /** It was never handed to the network. */
        UNSENT,
        /** Its client disconnected. */
        GONE
    }

    /** What to do next with a request. */
    public sealed interface Step { }

    /**
     * Send it to the home datacenter's nodes.
     *
     * @param reserveMs how much of its time to keep for another datacenter
     */
    public record TryHome(double reserveMs) implements Step { }

    /**
     * Forward it to a gateway of another datacenter.
     *
     * @param timeoutMs how long that datacenter has
     */
    public record Forward(String gateway, String datacenter, double timeoutMs) implements Step { }

    /**
     * Ask these gateways where the key may have run; {@link DatacenterRouter#keyStatusesReceived} must be called by the
     * end of the timeout.
     */
    public record QueryKey(List<String> gateways, double timeoutMs) implements Step { }

    /**
     * Answer now that it is refused.
     *
     * @param provenNotRun false if it may have run and is safe to repeat
     */
    public record Refuse(double retryAfterMs, boolean provenNotRun) implements Step { }

    /** Answer now that it has failed. */
    public record Fail() implements Step { }

    /** Answer as the home datacenter's nodes did; without such an answer there is nothing to do. */
    public record UseHomeAnswer() implements Step { }

    /**
     * The state that a gateway reports to gateways of other datacenters.
     *
     * @param level of throttling
     * @param accepting whether it accepts requests of other datacenters
     * @param leaving whether it asks to be sent nothing more, as it shuts down
     */
    public record GatewayState(int level, boolean accepting, boolean leaving) { }

    /** What a gateway knows about an idempotency key. */
    public sealed interface KeyStatus { }

    /** It does not know the key and will not run it. */
    public record NotSeen() implements KeyStatus { }

    /** The key may have run in this datacenter, this long ago. */
    public record MayHaveRun(String datacenter, double ageMs) implements KeyStatus { }

    /** It cannot tell, as after a start. */
    public record Indeterminate() implements KeyStatus { }

    /** Counters since the start. Operators see the text form of this record, so its names stay. */
    public record Counts(long across, long rescued, long taken, long refusedForeign, long loops, long overBudget,
                         long asked, long unknown, int ledger) { }

    /** With less time than this, forwarding is not worthwhile. */
    private static final double MIN_FORWARD_MS = 10;
    /** An answer that arrives this long before the deadline can still be written in time. */
    private static final double ANSWER_MARGIN_MS = 15;
    private static final double MIN_HOME_MS = 30;
    private static final double RETRY_AFTER_MS = 250;
    private static final double MAX_RESERVE_FRACTION = 0.4;
    private static final double DEDUPLICATION_MARGIN_MS = 100;
    /** For this many deduplication windows after its start, a gateway cannot tell what its predecessor ran. */
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
        policy.gateways().forEach((datacenter, names) -> names.forEach(g -> gateways.computeIfAbsent(g,
                n -> new RemoteGateway(n, datacenter, policy.maxInFlightPerGateway()))));
        gateways.keySet().retainAll(policy.allGateways());
    }

    /** Applies another policy; what is known of gateways that remain is kept. */
    public void changeTo(DatacenterPolicy next, double nowMs) {
        boolean remoteLimitChanged = next.maxRemoteRequests() != policy.maxRemoteRequests();
        policy = next;
        budget.changeTo(budgetRate(next), nowMs);
        if (remoteLimitChanged) {
            remoteLimit = new RemoteRequestLimit(next.maxRemoteRequests());
        }
        updateGateways();
    }

    public DatacenterPolicy policy() {
        return policy;
    }

    // State of other datacenters.

    /** The state of the link to a gateway. */
    public void linkStateChanged(String gateway, LinkHealth.State state, double rttMs) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.linkState = state;
            g.rttMs = rttMs;
            g.refusingSinceMs = state == LinkHealth.State.DEAD ? g.refusingSinceMs : Double.NaN;
        }
    }

    /**
     * A connection to a gateway failed.
     *
     * @param refused whether it was refused, which shows that nobody listens there
     */
    public void connectionFailed(double nowMs, String gateway, boolean refused) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.linkState = LinkHealth.State.DEAD;
            g.refusingSinceMs = !refused ? Double.NaN : Double.isNaN(g.refusingSinceMs) ? nowMs : g.refusingSinceMs;
        }
    }

    /** The state that a gateway reports of itself. */
    public void gatewayStateReceived(double nowMs, String gateway, GatewayState state) {
        RemoteGateway g = gateways.get(gateway);
        if (g != null) {
            g.stateReported(nowMs, state);
        }
    }

    /** The state of this gateway to report to others; {@code level} is the routing policy's level of throttling. */
    public GatewayState gatewayState(int level, boolean leaving) {
        boolean allAway = !homeBreakers.isEmpty()
                && homeBreakers.values().stream().allMatch(h -> h.state() == HomeCircuitBreaker.State.AWAY);
        return new GatewayState(level, policy.maxRemoteRequests() > 0 && !allAway, leaving);
    }

    // The steps of a request.

    /** A request has arrived. However it ends, {@link #requestFinished} must be called. */
    public Step requestArrived(double nowMs, RoutedRequest request) {
        if (!policy.isForwardable(request.service().name())) {
            // Requests of a class that stays at home cannot have run elsewhere, so no gateway is queried.
            if (request.path().isForwarded()) {
                remoteRefused++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            request.triedHome = true;
            return new TryHome(0);
        }
        if (request.path().isForwarded()) {
            if (isLoop(nowMs, request)) {
                loopsRefused++;
                return new Refuse(0, true);
            }
            if (request.deadlineMs() - nowMs < MIN_FORWARD_MS || !remoteLimit.tryAdmit(nowMs)) {
                remoteRefused++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            request.holdsRemoteSlot = true;
            remoteAdmitted++;
        }
        if (request.isKeyed()) {
            IdempotencyKeyTable.Entry entry = keyTable.find(nowMs, request.idempotencyKey());
            if (entry == null && request.isRetry() && request.path().isForwarded()
                    && isRecentlyStarted(nowMs, request.service().deduplicationWindowMs())) {
                // The previous process of this gateway may have promised that the key does not run here.
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (entry != null && entry.fence() && request.path().isForwarded()) {
                // The datacenter that was promised that the key does not run here may have run it.
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (mayHaveRunElsewhere(entry)) {
                return forwardToRecorded(nowMs, request, entry);
            }
            // For a forwarded request, the gateway that sent it has already checked where the key may have run.
            if (entry != null && entry.fence() || entry == null && request.isRetry() && !request.path().isForwarded()
                    && !policy.gateways().isEmpty()) {
                return queryKey(nowMs, request);
            }
            if (entry != null || request.isRetry()) {
                bindToHome(request);
            }
        }
        return firstStep(nowMs, request);
    }

    private boolean mayHaveRunElsewhere(IdempotencyKeyTable.Entry entry) {
        return entry != null && !entry.fence() && !entry.datacenter().equals(policy.datacenter());
    }

    /**
     * An earlier try may have run on the home nodes, through this gateway or another one here, so this one stays here
     * too.
     */
    private void bindToHome(RoutedRequest request) {
        request.boundDatacenter = policy.sharedDeduplication().isEmpty() ? policy.datacenter() : null;
        request.sharedDeduplicationOnly = true;
    }

    /** Whether the previous process of this gateway may have run keys or made promises that this one does not know. */
    private boolean isRecentlyStarted(double nowMs, double windowMs) {
        return nowMs - startedMs < WARM_UP_WINDOWS * windowMs;
    }

    private boolean isLoop(double nowMs, RoutedRequest request) {
        while (!seenOrder.isEmpty()
                && (seenOrder.peekFirst().atMs() < nowMs - SEEN_ID_TTL_MS || seenIds.size() >= MAX_SEEN_IDS)) {
            seenIds.remove(seenOrder.removeFirst().id());
        }
        if (request.path().contains(policy.datacenter()) || request.path().datacenters().size() > policy.hopLimit()
                || !seenIds.add(request.id())) {
            return true;
        }
        seenOrder.addLast(new Seen(request.id(), nowMs));
        return false;
    }

    /** A request that may have run in another datacenter goes there or nowhere. */
    private Step forwardToRecorded(double nowMs, RoutedRequest request, IdempotencyKeyTable.Entry entry) {
        request.boundDatacenter = entry.datacenter();
        double untilMs = entry.firstMs() + entry.windowMs() - DEDUPLICATION_MARGIN_MS;
        if (untilMs <= nowMs) {
            // The nodes there may have forgotten the key, and no other datacenter may run it.
            return new Fail();
        }
        request.deadlineMs = Math.min(request.deadlineMs, untilMs);
        Step step = tryForward(nowMs, request);
        return step == null ? new Refuse(RETRY_AFTER_MS, true) : step;
    }

    private Step queryKey(double nowMs, RoutedRequest request) {
        List<String> queried = new ArrayList<>();
        double maxRttMs = 0;
        for (RemoteGateway g : gateways.values()) {
            if (!Double.isNaN(g.refusingSinceMs) && nowMs - g.refusingSinceMs >= policy.gatewayGoneAfterMs()) {
                // Nothing has listened there for longer than nodes remember keys.
                continue;
            }
            if (g.linkState != LinkHealth.State.UP) {
                indeterminateKeys++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            maxRttMs = Math.max(maxRttMs, g.rttMs);
            queried.add(g.name);
        }
        if (queried.isEmpty()) {
            bindToHome(request);
            return firstStep(nowMs, request);
        }
        keyQueries++;
        request.queriedAtMs = nowMs;
        keyTable.setQueryPending(request.idempotencyKey(), true);
        return new QueryKey(queried, Math.min((request.deadlineMs() - nowMs) / 3, Math.max(50, 4 * maxRttMs)));
    }

    /**
     * The queried gateways have answered, or the timeout is over. {@code statuses} holds the answers received, by
     * gateway.
     */
    public Step keyStatusesReceived(double nowMs, RoutedRequest request, List<String> queried,
                                    Map<String, KeyStatus> statuses) {
        keyTable.setQueryPending(request.idempotencyKey(), false);
        MayHaveRun found = null;
        for (String g : queried) {
            KeyStatus status = statuses.getOrDefault(g, new Indeterminate());
            if (status instanceof Indeterminate) {
                indeterminateKeys++;
                return new Refuse(RETRY_AFTER_MS, true);
            }
            if (status instanceof MayHaveRun r) {
                if (found != null && !r.datacenter().equals(found.datacenter())) {
                    indeterminateKeys++;
                    return new Refuse(RETRY_AFTER_MS, true);
                }
                found = found == null || r.ageMs() > found.ageMs() ? r : found;
            }
        }
        if (found != null && !found.datacenter().equals(policy.datacenter())) {
            keyTable.recordRun(nowMs, request.idempotencyKey(), found.datacenter(), nowMs - found.ageMs(),
                    request.service().deduplicationWindowMs());
        }
        IdempotencyKeyTable.Entry entry = keyTable.find(nowMs, request.idempotencyKey());
        if (entry != null && entry.fence() && entry.firstMs() >= request.queriedAtMs) {
            // Another datacenter has asked in the meantime and was promised that the key does not run here.
            return new Refuse(RETRY_AFTER_MS, true);
        }
        if (mayHaveRunElsewhere(entry)) {
            return forwardToRecorded(nowMs, request, entry);
        }
        bindToHome(request);
        return firstStep(nowMs, request);
    }

    private Step firstStep(double nowMs, RoutedRequest request) {
        if (!mayForward(request) || homeBreaker(request).tryHomeFirst(nowMs)) {
            return tryHome(nowMs, request);
        }
        Step step = tryForward(nowMs, request);
        if (step != null) {
            return step;
        }
        // A forwarded request meets here the same problem that it left behind, so it is refused at once.
        return request.path().isForwarded() ? new Refuse(RETRY_AFTER_MS, true) : tryHome(nowMs, request);
    }

    private boolean mayForward(RoutedRequest request) {
        return policy.isForwardable(request.service().name()) && !policy.datacenter().equals(request.boundDatacenter);
    }

    private HomeCircuitBreaker homeBreaker(RoutedRequest request) {
        return homeBreakers.computeIfAbsent(request.service().name(),
                n -> new HomeCircuitBreaker(request.service().effect() != Effect.SAFE));
    }

    private Step tryHome(double nowMs, RoutedRequest request) {
        if (request.isKeyed()) {
            IdempotencyKeyTable.Entry before = keyTable.find(nowMs, request.idempotencyKey());
            boolean isNew = before == null || before.fence();
            IdempotencyKeyTable.Entry entry = keyTable.recordRun(nowMs, request.idempotencyKey(), policy.datacenter(),
                    nowMs, request.service().deduplicationWindowMs());
            request.createdEntry = isNew ? entry : null;
        }
        request.triedHome = true;
        double leftMs = request.deadlineMs() - nowMs;
        RemoteGateway fallback = mayForward(request) && homeBreaker(request).isDegraded(nowMs)
                ? bestGateway(nowMs, request, leftMs) : null;
        return new TryHome(fallback == null ? 0
                : Math.min(MAX_RESERVE_FRACTION * leftMs, 2 * fallback.expectedMs() + ANSWER_MARGIN_MS));
    }

    /**
     * A request has ended on the home nodes.
     *
     * @param quiet whether no attempt of it is in progress any more
     */
    public Step homeEnded(double nowMs, RoutedRequest request, HomeOutcome outcome, boolean quiet) {
        request.homeOutcome = outcome;
        request.mayBeInProgress |= !quiet;
        if (outcome == HomeOutcome.GONE) {
            return new UseHomeAnswer();
        }
        homeBreaker(request).recordOutcome(nowMs, outcome == HomeOutcome.SERVED);
        if (!request.path().isForwarded()) {
            remoteLimit.recordLocalOutcome(nowMs, outcome == HomeOutcome.SERVED);
        }
        if (outcome == HomeOutcome.SERVED) {
            return new UseHomeAnswer();
        }
        if (outcome == HomeOutcome.REFUSED) {
            clearCreatedEntry(request);
        } else if (!request.isSafe()) {
            request.sharedDeduplicationOnly = true;
        }
        boolean mayGoOn = quiet && mayForward(request)
                && (outcome == HomeOutcome.REFUSED || request.isSafe() || request.isKeyed());
        Step step = mayGoOn ? tryForward(nowMs, request) : null;
        if (step == null) {
            return finalStep(request, 0);
        }
        rescues++;
        return step;
    }

    private void clearCreatedEntry(RoutedRequest request) {
        if (request.createdEntry != null) {
            keyTable.clear(request.idempotencyKey(), request.createdEntry);
            request.createdEntry = null;
        }
    }

    private RemoteGateway bestGateway(double nowMs, RoutedRequest request, double leftMs) {
        // A request that must not run twice is forwarded once: its sender has recorded this datacenter and knows of
        // none beyond.
        if (request.path().datacenters().size() + request.enteredDatacenters.size() + 1 > policy.hopLimit()
                || request.path().isForwarded() && !request.isSafe()) {
            return null;
        }
        for (Map.Entry<String, List<String>> peer : policy.gateways().entrySet()) {
            if (request.hasVisited(peer.getKey())
                    || request.boundDatacenter != null && !request.boundDatacenter.equals(peer.getKey())
                    || request.sharedDeduplicationOnly && request.boundDatacenter == null
                    && !policy.sharedDeduplication().contains(peer.getKey())) {
                continue;
            }
            RemoteGateway best = null;
            for (String name : peer.getValue()) {
                RemoteGateway g = gateways.get(name);
                boolean usable = g.linkState == LinkHealth.State.UP && g.isAccepting(nowMs)
                        && !request.unreachableGateways.contains(name) && g.window.hasRoom(nowMs)
                        && leftMs - ANSWER_MARGIN_MS > Math.max(g.rttMs + MIN_FORWARD_MS, g.expectedMs());
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

    /** Forwards the request if some datacenter can take it; null if none can. */
    private Step tryForward(double nowMs, RoutedRequest request) {
        double leftMs = request.deadlineMs() - nowMs;
        RemoteGateway g = bestGateway(nowMs, request, leftMs);
        if (g == null) {
            return null;
        }
        if (!budget.tryTake(nowMs)) {
            budgetExceeded++;
            return null;
        }
        if (request.isKeyed()) {
            IdempotencyKeyTable.Entry before = keyTable.find(nowMs, request.idempotencyKey());
            IdempotencyKeyTable.Entry entry = keyTable.recordRun(nowMs, request.idempotencyKey(), g.datacenter,
                    before == null ? nowMs : before.firstMs(),
                    request.service().deduplicationWindowMs());
            if (entry == null) {
                return null;
            }
            request.createdEntry = before == null ? entry : null;
            if (before != null) {
                request.deadlineMs = Math.min(request.deadlineMs, entry.firstMs()
                        + entry.windowMs() - DEDUPLICATION_MARGIN_MS);
                leftMs = request.deadlineMs - nowMs;
            }
        }
        request.gateway = g;
        request.forwardedAtMs = nowMs;
        request.enteredDatacenters.add(g.datacenter);
        g.window.started(nowMs);
        forwards++;
        return new Forward(g.name, g.datacenter, leftMs - ANSWER_MARGIN_MS);
    }

    /**
     * A forwarded request has ended.
     *
     * @param retryAfterMs as the other datacenter reported it, 0 for none
     * @param beyond datacenters that it entered through the other one
     */
    public Step forwardEnded(double nowMs, RoutedRequest request, ForwardOutcome outcome, double retryAfterMs,
            Collection<String> beyond) {
        request.enteredDatacenters.addAll(beyond);
        RemoteGateway g = request.gateway;
        request.gateway = null;
        switch (outcome) {
            case SERVED -> {
                g.served++;
                g.recordDuration(nowMs - request.forwardedAtMs);
                g.window.served();
                return new UseHomeAnswer();
            }
            case REFUSED -> {
                g.refused++;
                g.window.refused(nowMs);
                clearCreatedEntry(request);
            }
            case FAILED -> {
                g.failed++;
                g.window.refused(nowMs);
                request.mayHaveRunIn.add(g.datacenter);
            }
            case LOST -> {
                g.lost++;
                request.mayBeInProgress = true;
                g.window.lost(nowMs);
                request.mayHaveRunIn.add(g.datacenter);
            }
            case UNSENT -> {
                g.window.abandoned();
                request.unreachableGateways.add(g.name);
                request.enteredDatacenters.remove(g.datacenter);
                clearCreatedEntry(request);
            }
            case GONE -> {
                g.window.abandoned();
                return new UseHomeAnswer();
            }
        }
        // A lost request may still be running, and two attempts must not be in progress at once.
        boolean mayGoOn = outcome != ForwardOutcome.LOST && (request.isSafe() || request.mayHaveRunIn.isEmpty());
        Step step = mayGoOn ? nextStep(nowMs, request) : null;
        return step != null ? step : finalStep(request, retryAfterMs);
    }

    private Step nextStep(double nowMs, RoutedRequest request) {
        Step step = tryForward(nowMs, request);
        boolean home = !request.triedHome
                && (request.boundDatacenter == null || request.boundDatacenter.equals(policy.datacenter()))
                && !request.path().isForwarded()
                && request.deadlineMs() - nowMs > MIN_HOME_MS;
        return step != null ? step : home ? tryHome(nowMs, request) : null;
    }

    private static Step finalStep(RoutedRequest request, double retryAfterMs) {
        if (!request.mayHaveRunIn.isEmpty()) {
            return request.isSafe() ? new Refuse(RETRY_AFTER_MS, false) : new Fail();
        }
        return request.homeOutcome != null ? new UseHomeAnswer()
                : new Refuse(retryAfterMs > 0 ? retryAfterMs : RETRY_AFTER_MS, true);
    }

    /** A request has its final response, or its client has disconnected. */
    public void requestFinished(RoutedRequest request) {
        if (request.holdsRemoteSlot) {
            request.holdsRemoteSlot = false;
            remoteLimit.release();
        }
    }

    /**
     * Answers another datacenter's query whether a key may have run here. An unknown key will not run here from now on,
     * unless all other datacenters report in turn that they do not know it.
     */
    public KeyStatus answerKeyQuery(double nowMs, String key, String from, double windowMs) {
        if (isRecentlyStarted(nowMs, windowMs) || !policy.gateways().containsKey(from)
                || keyTable.isQueryPending(key) && policy.datacenter().compareTo(from) < 0) {
            return new Indeterminate();
        }
        IdempotencyKeyTable.Entry entry = keyTable.find(nowMs, key);
        if (entry == null || entry.fence()) {
            return keyTable.fence(nowMs, key, from, windowMs) == null ? new Indeterminate() : new NotSeen();
        }
        return new MayHaveRun(entry.datacenter(), nowMs - entry.firstMs());
    }

    // Monitoring.

    /** Counters since the start. */
    public Counts counts() {
        return new Counts(forwards, rescues, remoteAdmitted, remoteRefused, loopsRefused, budgetExceeded, keyQueries,
                indeterminateKeys, keyTable.size());
    }

    /** The state of each class and each gateway for operators, one line each. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>();
        homeBreakers.forEach((name, h) -> lines.add("class " + name + " " + h.state() + " home share "
                + Math.round(h.homeShare() * 100) + "%"));
        Collection<RemoteGateway> all = gateways.values();
        all.forEach(g -> lines.add("gateway " + g.name + " of " + g.datacenter + " " + g.linkState + " rtt "
                + Math.round(g.rttMs * 10) / 10.0
                + " ms out " + g.window.inFlight() + " of " + g.window.size() + " served " + g.served + " refused "
                + g.refused
                + " failed " + g.failed + " lost " + g.lost));
        lines.add("others' requests open " + remoteLimit.open() + " of " + remoteLimit.limit());
        return lines;
    }
}
