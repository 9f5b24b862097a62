package ridgemill.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import ridgemill.deadline.ClassTimings;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.GroupTimings;
import ridgemill.deadline.Verdict;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Actions;
import ridgemill.policy.Router.AttemptResult;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router;

/**
 * Connects the routing policy, a {@link Router}, to frontends and backends. Each event becomes one call of the policy,
 * and the actions that the policy requests are carried out in order after that call has returned. Whatever the policy
 * requests, the dispatcher enforces one final response per request, one attempt in flight at a time, at most the
 * allowed number of attempts, and none beyond the client's deadline.
 *
 * <p>Not thread-safe: the owner calls it from one thread.
 *
 * @param <C> the content type that frontends and backends share
 */
public final class Dispatcher<C> implements Actions {

    /** Timeout value of the policy for an attempt that is bounded by the request's deadline alone. */
    private static final double UNTIL_DEADLINE = 0;
    /** Delay before a timer whose handling failed is retried: without a retry, one error would end a periodic timer. */
    private static final double RETRY_TIMER_MS = 1000;
    /** Timeout of a probe as a multiple of the connect timeout. */
    private static final double PROBE_CONNECT_TIMEOUTS = 2;

    private interface Event {
        void deliver(double now);
    }

    private record PendingEvent(Event event, Runnable onFailure) { }

    private final Timers timers;
    private final Settings settings;
    private final Router router;
    private final Backend<C> backend;
    private final FaultReporter faults;
    private final Consumer<String> onRequestFinished;
    private final int maxOpen;
    private final GroupTimings timings;
    private final Map<String, Effect> effects = new HashMap<>();
    private final Set<String> origins = new HashSet<>();
    private final Map<String, Call<C>> calls = new HashMap<>();
    private final Queue<PendingEvent> events = new ArrayDeque<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final RequestCounters counters = new RequestCounters();
    private VersionTracker versions = VersionTracker.NONE;
    private String group = Intake.PLATFORM_GROUP;
    private long listVersion;
    private Runnable subscribe = () -> { };
    private Consumer<byte[]> broadcast = contents -> { };
    private boolean delivering;
    private boolean abandoned;
    private int pendingRequests;

    /**
     * Creates a dispatcher that does not enforce deadlines beyond the client's time.
     *
     * @param onRequestFinished is passed the class of each request that has its final response or whose client
     *     disconnected
     * @param maxOpen maximum number of open requests; further ones are refused without calling the policy
     */
    public Dispatcher(Timers timers, Settings settings, Router router, Backend<C> backend, FaultReporter faults,
                      Consumer<String> onRequestFinished, int maxOpen) {
        this(timers, settings, router, backend, faults, onRequestFinished, maxOpen,
                new Deadlines(DeadlinePolicy.OFF).group(Intake.PLATFORM_GROUP));
    }

    /** Creates a dispatcher with the timings of its node group. */
    public Dispatcher(Timers timers, Settings settings, Router router, Backend<C> backend, FaultReporter faults,
                      Consumer<String> onRequestFinished, int maxOpen, GroupTimings timings) {
        this.timers = timers;
        this.settings = settings;
        this.router = router;
        this.backend = backend;
        this.faults = faults;
        this.onRequestFinished = onRequestFinished;
        this.maxOpen = maxOpen;
        this.timings = timings;
        settings.classes().forEach(c -> effects.put(c.name(), c.effect()));
    }

    /** Sets the version tracker of requests that arrive from now on, and the name of this dispatcher's node group. */
    public void setVersionTracker(VersionTracker next, String groupName) {
        versions = next;
        group = groupName;
        if (listVersion > 0) {
            versions.hostListConfirmed(timers.now(), group, listVersion);
        }
    }

    /**
     * Sets the callbacks that subscribe to discovery and that send a message to the other proxies. They are not
     * constructor arguments because both may need the dispatcher to exist.
     */
    public void setCallbacks(Runnable subscribeToDiscovery, Consumer<byte[]> sendToPeers) {
        subscribe = subscribeToDiscovery;
        broadcast = sendToPeers;
    }

    /** Starts the policy; must be called before any event. */
    public void start() {
        deliver(now -> router.onStart(now, this), () -> { });
    }

    /** The number of requests without a final response. */
    public int pendingRequests() {
        return pendingRequests;
    }

    public RequestCounters counters() {
        return counters;
    }

    // Events from frontends, backends, discovery and other proxies.

    /**
     * The node list, or a change of it, was received; the backend must know the nodes before the policy may select one.
     */
    public void updateNodes(ListUpdateKind kind, long version, List<Node> nodes) {
        for (Node n : nodes) {
            if (settings.originModel() != null && settings.originModel().equals(n.model())) {
                origins.add(n.id());
            } else {
                origins.remove(n.id());
            }
        }
        if (kind == ListUpdateKind.REFUSED) {
            versions.hostListUnavailable(timers.now(), group);
        } else if (kind != ListUpdateKind.REMEMBERED) {
            listVersion = version;
            versions.hostListConfirmed(timers.now(), group, listVersion);
        }
        deliver(now -> router.onNodeList(now, kind, version, nodes, this), () -> { });
    }

    /** A call to discovery failed, or the subscription broke. */
    public void discoveryFailed() {
        updateNodes(ListUpdateKind.REFUSED, 0, List.of());
    }

    /** A message of the routing policy of another proxy was received. */
    public void peerMessage(int from, byte[] contents) {
        deliver(now -> router.onPeerMessage(now, from, contents, this), () -> { });
    }

    /** Whether a request with this id is open; a second one could not be told apart from it. */
    public boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    /** Replaces the classes for requests that arrive from now on. */
    public void updateClasses(List<ServiceClass> classes) {
        classes.forEach(c -> effects.put(c.name(), c.effect()));
        deliver(now -> router.onClassesChanged(now, classes), () -> { });
    }

    /**
     * Takes a request whose id is not in use by an open one. {@code client} gets its one final response, possibly
     * before this method returns.
     */
    public void submit(Request request, Command<C> command, ResponseHandler<C> client) {
        double arrivedMs = timers.now();
        counters.requestStarted();
        VersionTracker.RequestVersion version = versions.requestStarted(arrivedMs, request.id(), request.serviceClass(),
                group, listVersion);
        if (calls.size() >= maxOpen) {
            // The policy is not called, so nothing ran and the refusal is correct.
            counters.requestEnded(request.serviceClass(), RequestCounters.RequestResult.REFUSED);
            version.requestEnded(arrivedMs, request.serviceClass(), RequestCounters.RequestResult.REFUSED,
                    Reason.TOO_MANY_OPEN);
            counters.countReason(request.serviceClass(), Reason.TOO_MANY_OPEN);
            onRequestFinished.accept(request.serviceClass());
            client.reason(Reason.TOO_MANY_OPEN);
            client.refused(0);
            return;
        }
        Call<C> call = new Call<>(request, command, client, arrivedMs, timings.forClass(request.serviceClass()),
                version);
        calls.put(request.id(), call);
        pendingRequests++;
        if (request.uploading()) {
            call.deadlineMs = Double.POSITIVE_INFINITY;
        } else {
            startBackstop(call);
        }
        deliver(now -> router.onRequest(now, request, this), () -> answerAfterFailure(call));
    }

    private void startBackstop(Call<C> call) {
        call.backstop = timers.scheduleAt(call.deadlineMs + settings.rules().answerSlackMs(), () -> overdue(call));
    }

    /** The last byte of a request that was submitted while uploading has arrived: its time budget starts now. */
    public void bodyReceived(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.finished && call.isUploading()) {
            call.completeMs = timers.now();
            call.deadlineMs = call.completeMs + call.request.budgetMs();
            if (!call.responseStarted()) {
                startBackstop(call);
            }
        }
    }

    /** The client of an open request has disconnected; no response is needed any more. */
    public void clientDisconnected(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.finished) {
            count(call, RequestCounters.RequestResult.GONE);
            call.timings.clientLeft(timers.now(), timers.now() - call.arrivedMs);
            finish(call);
            deliver(now -> router.onClientDisconnected(now, id, this), () -> { });
        }
    }

    /** Whether an open request may have run already, or has an attempt in flight that may run. */
    public boolean mayHaveRun(String id) {
        Call<C> call = calls.get(id);
        return call != null && (!call.provenNotRun || call.inFlight != null);
    }

    /** Gives an open request its final response now and cancels its attempt. */
    public void answerNow(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.finished && !call.responseStarted()) {
            call.reason = Reason.HELD_UP_ANOTHER;
            endNow(call);
            if (call.inFlight != null) {
                call.inFlight.cancel();
            }
            deliver(now -> router.onClientDisconnected(now, id, this), () -> { });
        }
    }

    /** Gives a final response without the policy: a refusal if a retry is certainly harmless, otherwise a failure. */
    private void endNow(Call<C> call) {
        if (call.provenNotRun && call.inFlight == null || effects.get(call.request.serviceClass()) == Effect.SAFE) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
    }

    /**
     * A response has started: it is the final response of the request, however long the rest takes and whether or not
     * it arrives.
     */
    private boolean responseStarted(Call<C> call, int attempt, String node, NodeResponse<C> response) {
        if (call.finished) {
            return false;
        }
        double now = timers.now();
        call.cancelBackstop();
        call.responseStartedMs = now;
        call.timings.attemptAnswered(now, now - call.effectiveStartMs(call.inFlight.sentMs), call.inFlight.atOrigin,
                call.inFlight.newConnection);
        call.client.served(response);
        deliver(at -> router.onStreamStarted(at, call.request.id(), attempt, node, this), () -> { });
        return true;
    }

    /** A response that had started is complete or has broken off; its client has seen which. */
    private void streamEnded(Call<C> call, int attempt, String node, double sentMs, Outcome outcome) {
        counters.attemptEnded(outcome);
        if (!call.finished) {
            double now = timers.now();
            count(call, outcome == Outcome.OK ? RequestCounters.RequestResult.SERVED
                    : RequestCounters.RequestResult.FAILED);
            call.timings.requestAnswered(now, call.responseStartedMs - call.arrivedMs);
            finish(call);
        }
        reportEnd(call.request.id(), call, attempt, node, outcome,
                call.responseStartedMs - call.effectiveStartMs(sentMs), NodeResponse.NO_CACHE_STATUS);
    }

    private void attemptEnded(Call<C> call, int attempt, String node, double sentMs, Outcome outcome,
                              NodeResponse<C> response) {
        InFlight<C> ended = call.inFlight;
        call.inFlight = null;
        double now = timers.now();
        call.version.attemptEnded(now, outcome);
        if (call.responseStarted()) {
            streamEnded(call, attempt, node, sentMs, outcome);
            return;
        }
        call.provenNotRun &= outcome.provesNotRun();
        double startMs = Math.min(now, call.effectiveStartMs(sentMs));
        if (outcome == Outcome.OK) {
            call.timings.attemptAnswered(now, now - startMs, ended.atOrigin, ended.newConnection);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            call.timings.attemptAbandoned(now, now - startMs, ended.atOrigin);
        }
        counters.attemptEnded(outcome);
        if (outcome == Outcome.OK && !call.finished) {
            count(call, RequestCounters.RequestResult.SERVED);
            call.timings.requestAnswered(now, now - call.arrivedMs);
            finish(call);
            call.client.served(response);
        }
        reportEnd(call.request.id(), call, attempt, node, outcome, timers.now() - startMs,
                response == null ? NodeResponse.NO_CACHE_STATUS : response.cacheStatus());
    }

    private void reportEnd(String id, Call<C> call, int attempt, String node, Outcome outcome, double elapsedMs,
                           int cacheStatus) {
        boolean finished = call == null || call.finished;
        if (call != null) {
            removeIfDone(call);
        }
        AttemptResult result = new AttemptResult(id, attempt, node, outcome, elapsedMs, finished, cacheStatus,
                Map.of());
        deliver(now -> router.onAttemptEnded(now, result, this),
                call == null ? () -> { } : () -> answerAfterFailure(call));
    }

    // Calls of the policy, one at a time.

    /**
     * Delivers an event to the policy, or queues it if another is being delivered or its actions are being carried out:
     * the policy must never be entered recursively, and its actions must take effect in the order in which it requested
     * them.
     */
    private void deliver(Event event, Runnable onFailure) {
        events.add(new PendingEvent(event, onFailure));
        if (delivering) {
            return;
        }
        delivering = true;
        while (!events.isEmpty()) {
            PendingEvent next = events.remove();
            boolean failed = abandoned || !runGuarded(() -> next.event().deliver(timers.now()));
            actions.forEach(this::runGuarded);
            actions.clear();
            if (failed) {
                runGuarded(next.onFailure());
            }
        }
        delivering = false;
    }

    /**
     * Runs an action so that an error in it ends neither the process nor the other requests; returns whether it
     * succeeded.
     */
    private boolean runGuarded(Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            faults.error("the routing policy or one of its actions failed", e);
            return false;
        } catch (Error e) {
            abandonPolicy(e);
            return false;
        }
    }

    /** Stops calling the policy. Its open requests are answered now, or at the end of the attempt that is in flight. */
    private void abandonPolicy(Error cause) {
        if (abandoned) {
            return;
        }
        abandoned = true;
        faults.fatal("the routing policy failed and is not called again", cause);
        List.copyOf(calls.values()).forEach(this::answerAfterFailure);
    }

    /**
     * Answers in place of a policy that failed. A refusal promises that nothing ran, so it is given only if that is
     * proven.
     */
    private void answerAfterFailure(Call<C> call) {
        if (call.finished || call.inFlight != null) {
            return;
        }
        call.reason = Reason.FAULT;
        if (call.provenNotRun) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
        deliver(now -> router.onClientDisconnected(now, call.request.id(), this), () -> { });
    }

    /** The policy must have answered before this runs; without this backstop the request would never be answered. */
    private void overdue(Call<C> call) {
        if (!call.finished) {
            faults.warning("the routing policy did not answer a request in time: " + call.request.id());
            if (call.inFlight != null) {
                call.inFlight.cancel();
            }
            answerAfterFailure(call);
        }
    }

    // Actions that the policy requests. Each is carried out after the policy has returned.

    @Override
    public void send(String request, String node, double timeoutMs) {
        actions.add(() -> sendNow(request, node, timeoutMs));
    }

    @Override
    public void cancel(String request, int attempt) {
        actions.add(() -> {
            Call<C> call = calls.get(request);
            if (call == null || call.inFlight == null || call.attempts - 1 != attempt) {
                return;
            }
            double now = timers.now();
            if (call.finished
                    && !call.timings.shouldCloseConnection(now, now - call.inFlight.sentMs, call.inFlight.atOrigin)) {
                call.inFlight.detach();
            } else {
                call.inFlight.cancel();
            }
        });
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        actions.add(() -> ifUnanswered(request, call -> refuseNow(call, retryAfterMs)));
    }

    @Override
    public void reportReason(String request, Reason reason) {
        actions.add(() -> ifUnanswered(request, call -> call.reason = reason));
    }

    @Override
    public void fail(String request) {
        actions.add(() -> ifUnanswered(request, this::failNow));
    }

    @Override
    public void setTimer(double atMs, String token) {
        actions.add(() -> setTimerNow(atMs, token));
    }

    @Override
    public void subscribe() {
        actions.add(subscribe);
    }

    @Override
    public void probe(String node) {
        actions.add(() -> probeNow(node));
    }

    @Override
    public void broadcast(byte[] contents) {
        // The policy may reuse its array before this is sent.
        byte[] copy = Arrays.copyOf(contents, contents.length);
        actions.add(() -> broadcast.accept(copy));
    }

    @Override
    public void closeIdleConnections(String node) {
        actions.add(() -> backend.closeIdleConnections(node));
    }

    @Override
    public double minAnswerMs(String request) {
        Call<C> call = calls.get(request);
        return call == null ? 0 : call.timings.minRemainingMs(timers.now());
    }

    private void ifUnanswered(String request, Consumer<Call<C>> action) {
        Call<C> call = calls.get(request);
        if (call != null && !call.finished && !call.responseStarted()) {
            action.accept(call);
        }
    }

    private void count(Call<C> call, RequestCounters.RequestResult result) {
        counters.requestEnded(call.request.serviceClass(), result);
        call.version.requestEnded(timers.now(), call.request.serviceClass(), result, call.reason);
    }

    private void giveReason(Call<C> call) {
        counters.countReason(call.request.serviceClass(), call.reason);
        call.client.reason(call.reason);
    }

    private void refuseNow(Call<C> call, double retryAfterMs) {
        count(call, RequestCounters.RequestResult.REFUSED);
        call.timings.requestAnswered(timers.now(), timers.now() - call.arrivedMs);
        finish(call);
        giveReason(call);
        if (call.provenNotRun && call.inFlight == null) {
            call.client.refused(retryAfterMs);
        } else {
            call.client.refusedMayHaveRun(retryAfterMs);
        }
    }

    private void failNow(Call<C> call) {
        count(call, RequestCounters.RequestResult.FAILED);
        call.timings.requestAnswered(timers.now(), timers.now() - call.arrivedMs);
        finish(call);
        giveReason(call);
        call.client.failed();
    }

    private void finish(Call<C> call) {
        call.finished = true;
        pendingRequests--;
        onRequestFinished.accept(call.request.serviceClass());
        call.cancelBackstop();
        removeIfDone(call);
    }

    private void removeIfDone(Call<C> call) {
        if (call.finished && call.inFlight == null) {
            calls.remove(call.request.id(), call);
        }
    }

    private void setTimerNow(double atMs, String token) {
        timers.scheduleAt(atMs, () -> deliver(now -> router.onTimer(now, token, this),
                () -> setTimerNow(timers.now() + RETRY_TIMER_MS, token)));
    }

    private void sendNow(String request, String node, double timeoutMs) {
        Call<C> call = calls.get(request);
        int attempt = call == null ? 0 : call.attempts++;
        double now = timers.now();
        double remainingMs = call == null ? 0 : call.deadlineMs - now;
        double waitMs = timeoutMs == UNTIL_DEADLINE ? remainingMs : Math.min(timeoutMs, remainingMs);
        // Nothing is sent for a request that is finished or late, beyond the allowed attempts, or beside another
        // attempt.
        if (call == null || call.finished || call.inFlight != null || waitMs <= 0
                || attempt >= settings.limits().maxAttempts()) {
            counters.attemptEnded(Outcome.NEVER_SENT);
            reportEnd(request, call, attempt, node, Outcome.NEVER_SENT, 0, NodeResponse.NO_CACHE_STATUS);
            return;
        }
        boolean atOrigin = origins.contains(node);
        Verdict verdict = call.timings.checkSend(now, now - call.arrivedMs, remainingMs, atOrigin, attempt == 0);
        if (verdict != Verdict.GO) {
            // No client would read the response: the final response is given now, and the policy is told that the
            // request is finished.
            call.reason = verdict == Verdict.LATE ? Reason.TOO_LATE : Reason.UNREAD;
            endNow(call);
            counters.attemptEnded(Outcome.NEVER_SENT);
            reportEnd(request, call, attempt, node, Outcome.NEVER_SENT, 0, NodeResponse.NO_CACHE_STATUS);
            return;
        }
        InFlight<C> sent = new InFlight<>(call, now, now + waitMs, timers, timings, atOrigin, counters);
        call.inFlight = sent;
        call.version.attemptSent(now, node);
        sent.exchange = backend.send(node, sent, waitMs, new Backend.Listener<>() {
            @Override
            public void ended(Outcome outcome, NodeResponse<C> response) {
                Dispatcher.this.attemptEnded(call, attempt, node, now, outcome, response);
            }

            @Override
            public boolean responseStarted(NodeResponse<C> response) {
                return Dispatcher.this.responseStarted(call, attempt, node, response);
            }
        });
    }

    /**
     * A probe has ended that the policy requested or that another proxy made; {@code elapsedMs} is how long it took.
     */
    public void probeEnded(String node, Outcome outcome, double elapsedMs) {
        deliver(at -> router.onProbeResult(at, node, outcome, elapsedMs, Map.of(), this), () -> { });
    }

    private void probeNow(String node) {
        double now = timers.now();
        backend.probe(node, settings.limits().connectTimeoutMs() * PROBE_CONNECT_TIMEOUTS,
                (outcome, response) -> probeEnded(node, outcome, timers.now() - now));
    }

    /** The attempt in flight. The backend may end it before it has returned the exchange, so that may be null. */
    private static final class InFlight<C> implements Attempt<C> {
        private final Call<C> call;
        private final double sentMs;
        private final double timeoutAtMs;
        private final Timers timers;
        private final GroupTimings timings;
        private final boolean atOrigin;
        private final RequestCounters counters;
        private boolean newConnection;
        private Backend.Exchange exchange;

        InFlight(Call<C> call, double sentMs, double timeoutAtMs, Timers timers, GroupTimings timings, boolean atOrigin,
                 RequestCounters counters) {
            this.call = call;
            this.sentMs = sentMs;
            this.timeoutAtMs = timeoutAtMs;
            this.timers = timers;
            this.timings = timings;
            this.atOrigin = atOrigin;
            this.counters = counters;
        }

        void detach() {
            if (exchange != null) {
                exchange.detach();
            }
        }

        void cancel() {
            if (exchange != null) {
                exchange.cancel();
            }
        }

        @Override
        public String requestId() {
            return call.request.id();
        }

        @Override
        public Command<C> command() {
            return call.command;
        }

        @Override
        public double remainingMs() {
            double leftMs = call.isUploading() ? call.request.budgetMs() : timeoutAtMs - timers.now();
            return leftMs - timings.returnReserveMs(leftMs);
        }

        @Override
        public boolean mayBeWritten() {
            double now = timers.now();
            return !call.finished && call.timings.checkWrite(now, call.deadlineMs - now, atOrigin) == Verdict.GO;
        }

        @Override
        public boolean hasStreamingBody() {
            return call.request.uploading();
        }

        @Override
        public boolean supportsStreaming() {
            return call.client.supportsStreaming();
        }

        @Override
        public void connected(double ms) {
            timings.recordConnectTime(ms);
        }

        @Override
        public void writeStarted(boolean onNewConnection) {
            newConnection = onNewConnection;
        }

        @Override
        public void written() {
            counters.attemptWritten();
            call.version.attemptWritten();
        }

        @Override
        public String versionLabel() {
            return call.version.versionLabel();
        }
    }

    /** A request in the table: open until its final response, and kept until its last attempt has ended. */
    private static final class Call<C> {
        final Request request;
        final Command<C> command;
        final ResponseHandler<C> client;
        final double arrivedMs;
        double deadlineMs;
        /** When the last byte of the body arrived; infinite while the request is uploading. */
        double completeMs;
        final ClassTimings timings;
        final VersionTracker.RequestVersion version;
        Timers.Timer backstop;
        InFlight<C> inFlight;
        int attempts;
        /** When a streamed response started; NaN before that. */
        double responseStartedMs = Double.NaN;
        Reason reason = Reason.UNSAID;
        /** Whether the outcomes of all ended attempts prove that none of them ran. */
        boolean provenNotRun = true;
        /** Whether the final response was given or the client disconnected. */
        boolean finished;

        Call(Request request, Command<C> command, ResponseHandler<C> client, double arrivedMs, ClassTimings timings,
             VersionTracker.RequestVersion version) {
            this.request = request;
            this.version = version;
            this.command = command;
            this.client = client;
            this.arrivedMs = arrivedMs;
            this.deadlineMs = arrivedMs + request.budgetMs();
            this.completeMs = request.uploading() ? Double.POSITIVE_INFINITY : arrivedMs;
            this.timings = timings;
        }

        /** Whether the body is still arriving. */
        boolean isUploading() {
            return completeMs == Double.POSITIVE_INFINITY;
        }

        /** The time from which an attempt's duration counts: a node starts when it has the last byte of the request. */
        double effectiveStartMs(double sentMs) {
            return Math.max(sentMs, completeMs);
        }

        void cancelBackstop() {
            if (backstop != null) {
                backstop.cancel();
            }
        }

        /** Whether a streamed response, which is the final one, has started. */
        boolean responseStarted() {
            return !Double.isNaN(responseStartedMs);
        }
    }
}
