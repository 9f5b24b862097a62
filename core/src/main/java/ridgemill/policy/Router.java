package ridgemill.policy;

import java.util.List;
import java.util.Map;

/**
 * The interface between a proxy and its routing decisions. One router serves one proxy. Each call reports one event;
 * the router passes every action that it requests to the {@link Actions} sink before the call returns. Routers have no
 * clock and no threads: {@code now} is the proxy's clock in milliseconds and never goes backwards. Nodes, requests and
 * service classes are identified by text.
 */
public interface Router {

    /** What happens if a request is executed more than once. */
    enum Effect {
        /** May be retried and refused freely. */
        SAFE,
        /** Carries a key by which a set of nodes discards duplicates for a limited time. */
        KEYED,
        /** Must never be executed twice. */
        UNSAFE
    }

    /** The set of nodes within which duplicates of a keyed request are discarded. */
    enum DeduplicationScope { ALL, ZONE, CELL }

    /** State of a node in the node list. */
    enum Availability { UP, DRAINING, GONE }

    /** Content of an update of the node list. */
    enum ListUpdateKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All nodes; a node that is missing has been removed. */
        FULL,
        /** All nodes as this proxy knew them before a restart; may be stale. */
        REMEMBERED,
        /** A call to service discovery failed or the subscription broke; no entries. */
        REFUSED
    }

    /** Meaning of a node's weight in the list: unused, its size, or a live value. */
    enum WeightMode { NONE, SIZE, LIVE }

    /**
     * How an attempt ended. {@code NO_PLACE} is a rejection on a connection that was opened for the attempt: usually
     * the node has reached its connection limit, which says nothing of its load or health.
     */
    enum Outcome {
        OK(false), ERROR(false), REJECTED(true), TIMEOUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NEVER_SENT(true), MISS(true), NO_PLACE(true);

        private final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }

        /** Whether this outcome proves that the node did not execute the request. */
        public boolean provesNotRun() {
            return provesNotRun;
        }
    }

    /**
     * A class of requests.
     *
     * @param targetLatencyMs time within which an answer has its full value, in milliseconds
     * @param targetStretch as in the platform's settings; not used by the router
     * @param deadlineMs how long clients wait, in milliseconds; greater than 0
     * @param value of an answer within the target latency
     * @param lateValueShare part of the value that a later answer has; not used by the router
     * @param deduplicationScope within which nodes discard duplicates of a keyed request
     * @param deduplicationWindowMs for how long they do, in milliseconds
     * @param streaming whether answers are streamed
     */
    record ServiceClass(String name, double targetLatencyMs, double targetStretch, double deadlineMs, double value,
                        double lateValueShare, Effect effect, DeduplicationScope deduplicationScope,
                        double deduplicationWindowMs, boolean streaming, RetryPolicy retry) {

        /** Creates a class whose attempts are limited by the platform's settings alone. */
        public ServiceClass(String name, double targetLatencyMs, double targetStretch, double deadlineMs, double value,
                            double lateValueShare, Effect effect, DeduplicationScope deduplicationScope,
                            double deduplicationWindowMs, boolean streaming) {
            this(name, targetLatencyMs, targetStretch, deadlineMs, value, lateValueShare, effect, deduplicationScope,
                    deduplicationWindowMs, streaming, RetryPolicy.PLATFORM_DEFAULT);
        }

        /** The platform digest is built from this text, so it must not change when the type or a component is renamed. */
        @Override
        public String toString() {
            return "ServiceClass[name=" + name + ", aimMs=" + targetLatencyMs + ", aimStretch=" + targetStretch
                    + ", deadlineMs=" + deadlineMs + ", gain=" + value + ", lateShare=" + lateValueShare
                    + ", effect=" + effect + ", group=" + deduplicationScope
                    + ", repeatWindowMs=" + deduplicationWindowMs + ", stream=" + streaming + ", retry=" + retry + "]";
        }
    }

    /**
     * The limits of a service class on its attempts. A cache miss is not a failure, and the fetch that follows it
     * starts without a wait.
     *
     * @param maxAttempts attempts that may fail; 0 for as many as the platform allows
     * @param attemptTimeoutMs timeout of one attempt; 0 for no limit
     * @param initialBackoffMs wait after the first failed attempt
     * @param backoffFactor growth of the wait with each further failure
     * @param maxBackoffMs upper limit of the wait
     */
    record RetryPolicy(int maxAttempts, double attemptTimeoutMs, double initialBackoffMs, double backoffFactor,
                       double maxBackoffMs) {

        /** No limits beyond the platform's. */
        public static final RetryPolicy PLATFORM_DEFAULT = new RetryPolicy(0, 0, 0, 1, 0);

        /** Whether another attempt may follow after this number of failed attempts. */
        public boolean allowsAnother(int failedAttempts) {
            return maxAttempts == 0 || failedAttempts < maxAttempts;
        }

        /** The wait before the next attempt after this number of failed attempts, in milliseconds. */
        public double backoffMs(int failedAttempts) {
            return Math.min(maxBackoffMs, initialBackoffMs * Math.pow(backoffFactor, failedAttempts - 1.0));
        }

        /** The given attempt timeout, limited by that of the class. */
        public double boundTimeout(double timeoutMs) {
            return attemptTimeoutMs > 0 ? Math.min(attemptTimeoutMs, timeoutMs) : timeoutMs;
        }

        /** The platform digest is built from this text, so it must not change when the type or a component is renamed. */
        @Override
        public String toString() {
            return "Retry[attempts=" + maxAttempts + ", attemptMs=" + attemptTimeoutMs
                    + ", firstWaitMs=" + initialBackoffMs + ", waitFactor=" + backoffFactor
                    + ", mostWaitMs=" + maxBackoffMs + "]";
        }
    }

    /** A tenant and its quota: the request rate over all proxies up to which its requests keep their full priority. */
    record Tenant(String name, double quotaPerS) {

        /** The platform digest is built from this text, so it must not change when the type or a component is renamed. */
        @Override
        public String toString() {
            return "Tenant[name=" + name + ", quotaPerS=" + quotaPerS + "]";
        }
    }

    /**
     * Limits and permissions of the platform.
     *
     * @param maxAttempts per request
     * @param cancelAllowed whether attempts may be cancelled
     * @param probesAllowed whether nodes may be probed
     * @param peerMessagesAllowed whether proxies may send messages to each other
     * @param retryAfterAllowed whether a refusal may advise when to retry, by at most {@code maxRetryAfterMs}
     * @param hedgingAllowed whether a second attempt may be started while the first one is in flight
     * @param connectTimeoutMs timeout for opening a connection to a node
     */
    record PlatformLimits(int maxAttempts, boolean cancelAllowed, boolean probesAllowed, boolean peerMessagesAllowed,
                          boolean retryAfterAllowed, double maxRetryAfterMs, boolean hedgingAllowed,
                          double connectTimeoutMs) {

        /** The platform digest is built from this text, so it must not change when the type or a component is renamed. */
        @Override
        public String toString() {
            return "Limits[maxAttempts=" + maxAttempts + ", cancel=" + cancelAllowed + ", probes=" + probesAllowed
                    + ", peers=" + peerMessagesAllowed + ", retryAfter=" + retryAfterAllowed
                    + ", maxRetryAfterMs=" + maxRetryAfterMs + ", secondCopies=" + hedgingAllowed
                    + ", connectTimeoutMs=" + connectTimeoutMs + "]";
        }
    }

    /**
     * Parameters of the rules that the platform sets.
     *
     * @param drainGraceMs time after the start of a drain within which requests to the node must stop
     * @param coldStartShare part of its usual load that a node can take right after its start, rising to 1
     * @param warmUpMs how long a node takes to warm up
     * @param overloadMultiple multiple of its current share that overloads a cold node
     * @param overloadWindowMs period over which the load of a cold node is measured
     * @param answerSlackMs how far past its deadline a request may be answered
     * @param subscribeWithinMs within which a proxy subscribes to service discovery after its start
     */
    record PlatformRules(double drainGraceMs, double coldStartShare, double warmUpMs, double overloadMultiple,
                         double overloadWindowMs, double answerSlackMs, double subscribeWithinMs) {

        /** The platform digest is built from this text, so it must not change when the type or a component is renamed. */
        @Override
        public String toString() {
            return "Rules[drainGraceMs=" + drainGraceMs + ", coldFrom=" + coldStartShare + ", coldMs=" + warmUpMs
                    + ", fallMultiple=" + overloadMultiple + ", fallMs=" + overloadWindowMs
                    + ", answerSlackMs=" + answerSlackMs + ", askWithinMs=" + subscribeWithinMs + "]";
        }
    }

    /**
     * Lifetime and cost of connections to nodes.
     *
     * @param idleTimeoutMs after which nodes close idle connections
     * @param holdingCost cost of 100 connections open at a node all day
     * @param openingCost cost of opening a connection for every request
     */
    record ConnectionCosts(double idleTimeoutMs, double holdingCost, double openingCost) {

        /** Idle connections stay open and have no cost. */
        public static final ConnectionCosts FREE = new ConnectionCosts(Double.POSITIVE_INFINITY, 0, 0);
    }

    /**
     * Settings of a router.
     *
     * @param proxyIndex index of this proxy among all
     * @param proxyCount number of proxies
     * @param zone of this proxy
     * @param tickMs resolution of the proxy's timers, in milliseconds
     * @param overQuotaFactor factor on the priority of requests of a tenant that exceeds its quota
     * @param valueByWork whether the value of a class is per unit of work and not per request
     * @param mustSubscribe whether node list updates come only after {@link Actions#subscribe}
     * @param originModel node model that marks the origin; null if no node is the origin
     */
    record Settings(int proxyIndex, int proxyCount, String zone, double tickMs, List<ServiceClass> classes,
                    List<Tenant> tenants, double overQuotaFactor, boolean valueByWork, PlatformLimits limits,
                    PlatformRules rules, boolean mustSubscribe, WeightMode weightMode, String originModel,
                    ConnectionCosts connectionCosts) {

        /** Creates settings for a site where connections have no cost. */
        public Settings(int proxyIndex, int proxyCount, String zone, double tickMs, List<ServiceClass> classes,
                        List<Tenant> tenants, double overQuotaFactor, boolean valueByWork, PlatformLimits limits,
                        PlatformRules rules, boolean mustSubscribe, WeightMode weightMode, String originModel) {
            this(proxyIndex, proxyCount, zone, tickMs, classes, tenants, overQuotaFactor, valueByWork, limits, rules,
                    mustSubscribe, weightMode, originModel, ConnectionCosts.FREE);
        }

        /**
         * Checks the service classes.
         *
         * @throws IllegalArgumentException naming the field, if there is no class or one without a deadline
         */
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

    /** An entry of the node list; {@code startedAtMs} is 0 for a node that started long ago. */
    record Node(String id, String model, String zone, int cell, double weight, double startedAtMs,
                Availability availability) { }

    /**
     * A client's request.
     *
     * @param serviceClass name of its service class
     * @param tenant may be null
     * @param key of the object it reads or writes; negative if it has none
     * @param workMs expected work in milliseconds; 0 without a hint
     * @param budgetMs time until the client gives up; negative if only the deadline of the class applies
     * @param write whether it changes the object
     * @param retry whether the client sent it before
     * @param uploading whether the body is still arriving: it can be sent in only one attempt, and its time starts with
     *     its last byte
     */
    record Request(String id, String serviceClass, String tenant, long key, double workMs, double budgetMs,
                   boolean write, boolean retry, boolean uploading) {

        /** Creates a request that has arrived completely. */
        public Request(String id, String serviceClass, String tenant, long key, double workMs, double budgetMs,
                       boolean write, boolean retry) {
            this(id, serviceClass, tenant, key, workMs, budgetMs, write, retry, false);
        }

        /** The same request with another budget, such as after part of it was spent elsewhere. */
        public Request withBudget(double newBudgetMs) {
            return new Request(id, serviceClass, tenant, key, workMs, newBudgetMs, write, retry, uploading);
        }
    }

    /**
     * The result of an attempt.
     *
     * @param request id of the request
     * @param attempt number of the attempt within the request, from 0
     * @param node id of the node
     * @param elapsedMs time from sending to the end
     * @param requestFinished whether the request has its final answer already
     * @param cacheStatus how the node's cache answered a read: 0 unknown, 1 hit, 2 miss, 3 miss with a fetch in flight
     * @param load load values that the node reported, by name
     */
    record AttemptResult(String request, int attempt, String node, Outcome outcome, double elapsedMs,
                         boolean requestFinished, int cacheStatus, Map<String, Double> load) { }

    /** Receives the actions that a router requests. */
    interface Actions {

        /** Starts the request's next attempt; the timeout is in milliseconds. */
        void send(String request, String node, double timeoutMs);

        /** Cancels an attempt. */
        void cancel(String request, int attempt);

        /** Gives the final answer: refused and safe to retry, after the given time; 0 gives no advice on when. */
        void refuse(String request, double retryAfterMs);

        /** Gives the final answer: failed; it may or may not have been executed. */
        void fail(String request);

        /** Requests a call of {@link Router#onTimer} with this token at a clock time. */
        void setTimer(double atMs, String token);

        /** Subscribes to changes of the node list at service discovery. */
        void subscribe();

        /** Probes a node; {@link Router#onProbeResult} reports the result. */
        void probe(String node);

        /** Sends a short message to all other proxies; delivery is not guaranteed. */
        void broadcast(byte[] contents);

        /** Closes the idle connections of this proxy to a node. */
        void closeIdleConnections(String node);

        /** Reports the reason of the final answer that is given next. */
        default void reportReason(String request, Reason reason) { }

        /** The shortest time in which an answer to such a request can be expected, in milliseconds; 0 if unknown. */
        default double minAnswerMs(String request) {
            return 0;
        }
    }

    /** The current throttling level, for monitoring; 0 for none. */
    default int admissionLevel() {
        return 0;
    }

    /** Whether a node currently gets no requests, for monitoring. */
    default boolean isExcluded(double now, String node) {
        return false;
    }

    /** The ids of the nodes that are listed as up. */
    default List<String> listedNodes() {
        return List.of();
    }

    /** The listed nodes that are ejected as unreachable; an answered probe may restore them early. */
    default List<String> unreachableNodes(double now) {
        return List.of();
    }

    /** The proxy has started; the first event. */
    void onStart(double now, Actions out);

    /**
     * The service classes have changed. They apply to requests that arrive from now on; earlier requests keep the class
     * that they arrived with, even if it was removed.
     */
    default void onClassesChanged(double now, List<ServiceClass> classes) { }

    /** The node list or changes to it have arrived. */
    void onNodeList(double now, ListUpdateKind kind, long version, List<Node> entries, Actions out);

    /** A request has arrived; the router must give it exactly one final answer. */
    void onRequest(double now, Request request, Actions out);

    /** The first part of a streamed answer has reached the client. */
    void onStreamStarted(double now, String request, int attempt, String node, Actions out);

    /** An attempt has ended. */
    void onAttemptEnded(double now, AttemptResult end, Actions out);

    /** The client has disconnected; the request needs no answer any more. */
    void onClientDisconnected(double now, String request, Actions out);

    /** A timer set by {@link Actions#setTimer} is due. */
    void onTimer(double now, String token, Actions out);

    /** A probe by this proxy, or by another one on behalf of all, has ended. */
    void onProbeResult(double now, String node, Outcome outcome, double elapsedMs, Map<String, Double> load,
                       Actions out);

    /** A message from another proxy has arrived. */
    void onPeerMessage(double now, int from, byte[] contents, Actions out);
}
