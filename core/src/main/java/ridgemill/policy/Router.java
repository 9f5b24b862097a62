package ridgemill.policy;

import java.util.List;
import java.util.Map;

/**
 * What a proxy tells its router, and what the router asks of its proxy. One router serves one proxy; a call
 * reports one event, and everything the router wants done goes to the {@link Actions} sink before it returns.
 * Routers keep no clock and no threads: {@code now} is the proxy's clock in milliseconds and never runs back.
 */
public interface Router {

    /** What repeating a request does. */
    enum Effect {
        /** May be repeated and refused freely. */
        SAFE,
        /** Carries a key by which a group of nodes discards repeats for a while. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** Which nodes discard each other's repeats of a keyed request. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /** What the server list says of a node. */
    enum Availability { UP, DRAINING, GONE }

    /** What a delivery of the server list holds. */
    enum ListUpdateKind {
        /** Only entries that changed. */
        CHANGES,
        /** Every node; one that is not named is gone. */
        FULL,
        /** Every node as this proxy last knew them before a restart; may be stale. */
        REMEMBERED,
        /** A call to discovery failed or the subscription broke; no entries. */
        REFUSED
    }

    /** How a node's weight is meant. */
    enum WeightMode { NONE, SIZE, LIVE }

    /**
     * How an attempt ended. {@code NO_PLACE} is a rejection on a connection that was opened for the attempt: as a rule the
     * node has as many as it takes, which says nothing of its load or health.
     */
    enum Outcome {
        OK(false), ERROR(false), REJECTED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NEVER_SENT(true), MISS(true), NO_PLACE(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether this outcome shows that the request had no effect at the node. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /** A request class: its aim, the time its clients wait, its worth and what repeating it does. */
    record ServiceClass(String name, double targetLatencyMs, double targetStretch, double deadlineMs, double value,
                        double lateValueShare, Effect effect, DeduplicationScope deduplicationScope, double deduplicationWindowMs, boolean streaming,
                        RetryPolicy retry) {

        /** A class whose attempts the platform's settings alone bound. */
        public ServiceClass(String name, double aimMs, double aimStretch, double deadlineMs, double gain,
                            double lateShare, Effect effect, DeduplicationScope group, double repeatWindowMs, boolean stream) {
            this(name, aimMs, aimStretch, deadlineMs, gain, lateShare, effect, group, repeatWindowMs, stream,
                    RetryPolicy.PLATFORM_DEFAULT);
        }
    }

    /**
     * A class's own bounds on attempts: how many may fail, 0 for as many as the platform allows; after how long one is
     * given up, 0 for no bound; and how long to wait before the next, which grows by the factor up to the bound. A miss
     * is no failure, and the fetch that follows it waits for nothing.
     */
    record RetryPolicy(int maxAttempts, double attemptTimeoutMs, double initialBackoffMs, double backoffFactor, double maxBackoffMs) {

        /** No bounds beside the platform's. */
        public static final RetryPolicy PLATFORM_DEFAULT = new RetryPolicy(0, 0, 0, 1, 0);

        /** Whether another attempt may follow so many that failed. */
        public boolean allowsAnother(int failed) {
            return maxAttempts == 0 || failed < maxAttempts;
        }

        /** The wait after so many attempts that failed. */
        public double backoffMs(int failed) {
            return Math.min(maxBackoffMs, initialBackoffMs * Math.pow(backoffFactor, failed - 1.0));
        }

        /** The time of one attempt that would have so much else. */
        public double boundTimeout(double timeoutMs) {
            return attemptTimeoutMs > 0 ? Math.min(attemptTimeoutMs, timeoutMs) : timeoutMs;
        }
    }

    /** A tenant and the request rate, over all proxies, that stays inside its share. */
    record Tenant(String name, double quotaPerS) { }

    /** What the site permits. */
    record PlatformLimits(int maxAttempts, boolean cancelAllowed, boolean probesAllowed, boolean peerMessagesAllowed, boolean retryAfterAllowed,
                  double maxRetryAfterMs, boolean hedgingAllowed, double connectTimeoutMs) { }

    /** The figures behind the rules. */
    record PlatformRules(double drainGraceMs, double coldStartShare, double warmUpMs, double overloadMultiple, double overloadWindowMs,
                 double answerSlackMs, double subscribeWithinMs) { }

    /**
     * Connections: after how long idle ones close by themselves, the price of 100 open ones a node all day,
     * and the price of opening one for every request.
     */
    record ConnectionCosts(double idleTimeoutMs, double holdingCost, double openingCost) {

        /** Idle ones stay and none has a price. */
        public static final ConnectionCosts FREE = new ConnectionCosts(Double.POSITIVE_INFINITY, 0, 0);
    }

    /** What a router is told before its first event. {@code originModel} is null where no node is the origin. */
    record Settings(int proxyIndex, int proxyCount, String zone, double tickMs, List<ServiceClass> classes,
                    List<Tenant> tenants, double overQuotaFactor, boolean valueByWork, PlatformLimits limits,
                    PlatformRules rules, boolean mustSubscribe, WeightMode weightMode, String originModel,
                    ConnectionCosts connectionCosts) {

        /** Settings of a site where connections have no price. */
        public Settings(int index, int proxies, String zone, double tickMs, List<ServiceClass> classes,
                        List<Tenant> tenants, double overShareWorth, boolean worthByWork, PlatformLimits limits,
                        PlatformRules rules, boolean mustSubscribe, WeightMode weights, String originModel) {
            this(index, proxies, zone, tickMs, classes, tenants, overShareWorth, worthByWork, limits, rules,
                    mustSubscribe, weights, originModel, ConnectionCosts.FREE);
        }

        /** Refuses settings without which nothing can be decided, naming the field. */
        public Settings {
            if (classes == null || classes.isEmpty()) {
                throw new IllegalArgumentException("settings: classes: at least one is needed");
            }
            for (ServiceClass c : classes) {
                if (!(c.deadlineMs() > 0)) {
                    throw new IllegalArgumentException("settings: classes: " + c.name() + ": deadlineMs > 0 needed");
                }
            }
            classes = List.copyOf(classes);
            tenants = tenants == null ? List.of() : List.copyOf(tenants);
        }
    }

    /** One entry of the server list; {@code startedAtMs} is 0 for a node that started long ago. */
    record Node(String id, String model, String zone, int cell, double weight, double startedAtMs,
                Availability availability) { }

    /**
     * A client's request. {@code key} is negative where it names none; {@code workMs} is 0 without a hint;
     * {@code budgetMs}, the time until the client gives up this try, is negative where only the class tells. Of one that is
     * {@code open} the body is still coming: one attempt alone can carry it, and its time begins with its last byte.
     */
    record Request(String id, String serviceClass, String tenant, long key, double workMs, double budgetMs,
                   boolean write, boolean retry, boolean uploading) {

        /** One that has come whole. */
        public Request(String id, String service, String tenant, long key, double workMs, double budgetMs,
                       boolean write, boolean repeat) {
            this(id, service, tenant, key, workMs, budgetMs, write, repeat, false);
        }

        /** The same with another budget, as when part of it was spent before. */
        public Request withBudget(double otherBudgetMs) {
            return new Request(id, serviceClass, tenant, key, workMs, otherBudgetMs, write, retry, uploading);
        }
    }

    /** How an attempt ended. {@code finished} says that the request has its final answer already. */
    record AttemptResult(String request, int attempt, String node, Outcome outcome, double elapsedMs,
                      boolean requestFinished, int cacheStatus, Map<String, Double> load) { }

    /** Where a router's wishes go. */
    interface Actions {

        /** Starts the request's next attempt. */
        void send(String request, String node, double timeoutMs);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Final answer: turned away, harmless to try again; 0 gives no advice on when. */
        void refuse(String request, double retryAfterMs);

        /** Final answer: failed, with no promise about its effect. */
        void fail(String request);

        /** Asks for {@link Router#onTimer} at a clock time. */
        void setTimer(double atMs, String token);

        /** Asks discovery to send changes from now on. */
        void subscribe();

        /** Asks a node for its load. */
        void probe(String node);

        /** Sends a short message to every other proxy; it may be lost. */
        void broadcast(byte[] contents);

        /** Closes this proxy's idle connections to a node. */
        void closeIdleConnections(String node);

        /** Says why the final answer that is asked for next is what it is. */
        default void reportReason(String request, Reason why) { }

        /** The least time in which an answer to a request like this one may be hoped for; 0 where that is not known. */
        default double minAnswerMs(String request) {
            return 0;
        }
    }

    /** The present level of throttling, for whoever watches; 0 for none. */
    default int admissionLevel() {
        return 0;
    }

    /** Whether a node that the list names gets nothing now, for whoever watches. */
    default boolean isExcluded(double now, String node) {
        return false;
    }

    /** The nodes that are listed as up. */
    default List<String> listedNodes() {
        return List.of();
    }

    /** Those of them that get nothing now as they could not be reached: those that a probe may bring back sooner. */
    default List<String> unreachableNodes(double now) {
        return List.of();
    }

    /** The proxy has started; comes first. */
    void onStart(double now, Actions out);

    /**
     * Other classes hold from now on, for requests that come; one that came before keeps the class that it came under,
     * whatever becomes of that name.
     */
    default void onClassesChanged(double now, List<ServiceClass> classes) { }

    /** The server list, or news of it. */
    void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out);

    /** A request came in; exactly one final answer is owed from here on. */
    void onRequest(double now, Request request, Actions out);

    /** The first part of a streamed answer has reached the client. */
    void onStreamStarted(double now, String request, int attempt, String node, Actions out);

    /** An attempt ended. */
    void onAttemptEnded(double now, AttemptResult end, Actions out);

    /** The client is gone; nothing is owed any more. */
    void onClientDisconnected(double now, String request, Actions out);

    /** A timer that was asked for is due. */
    void onTimer(double now, String token, Actions out);

    /** A probe's result. */
    void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load, Actions out);

    /** A message from another proxy. */
    void onPeerMessage(double now, int from, byte[] contents, Actions out);
}
