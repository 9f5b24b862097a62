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
    private static final double PROBE_CONNECTS = 2;

    private interface Event {
        void tell(double now);
    }

    private record Pending(Event event, Runnable rescue) { }

    private final Timers timers;
    private final Settings settings;
    private final Router router;
    private final Backend<C> back;
    private final FaultReporter faults;
    private final Consumer<String> settled;
    private final int maxOpen;
    private final GroupTimings times;
    private final Map<String, Effect> effects = new HashMap<>();
    private final Set<String> stores = new HashSet<>();
    private final Map<String, Call<C>> calls = new HashMap<>();
    private final Queue<Pending> events = new ArrayDeque<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final RequestCounters tally = new RequestCounters();
    private VersionTracker acts = VersionTracker.NONE;
    private String group = Intake.PLATFORM_GROUP;
    private long list;
    private Runnable subscribe = () -> { };
    private Consumer<byte[]> tell = contents -> { };
    private boolean telling;
    private boolean abandoned;
    private int owed;

    /**
     * Creates a dispatcher that does not enforce deadlines beyond the client's time.
     *
     * @param onRequestFinished is passed the class of each request that has its final response or whose client
     *     disconnected
     * @param maxOpen maximum number of open requests; further ones are refused without calling the policy
     */
    public Dispatcher(Timers timers, Settings settings, Router router, Backend<C> back, FaultReporter faults,
                      Consumer<String> settled, int maxOpen) {
        this(timers, settings, router, back, faults, settled, maxOpen,
                new Deadlines(DeadlinePolicy.OFF).group(Intake.PLATFORM_GROUP));
    }

    /** Creates a dispatcher with the timings of its node group. */
    public Dispatcher(Timers timers, Settings settings, Router router, Backend<C> back, FaultReporter faults,
                      Consumer<String> settled, int maxOpen, GroupTimings times) {
        this.timers = timers;
        this.settings = settings;
        this.router = router;
        this.back = back;
        this.faults = faults;
        this.settled = settled;
        this.maxOpen = maxOpen;
        this.times = times;
        settings.classes().forEach(c -> effects.put(c.name(), c.effect()));
    }

    /** Sets the version tracker of requests that arrive from now on, and the name of this dispatcher's node group. */
    public void setVersionTracker(VersionTracker to, String ofGroup) {
        acts = to;
        group = ofGroup;
        if (list > 0) {
            acts.hostListConfirmed(timers.now(), group, list);
        }
    }

    /**
     * Sets the callbacks that subscribe to discovery and that send a message to the other proxies. They are not
     * constructor arguments because both may need the dispatcher to exist.
     */
    public void setCallbacks(Runnable asksDiscovery, Consumer<byte[]> tellsPeers) {
        subscribe = asksDiscovery;
        tell = tellsPeers;
    }

    /** Starts the policy; must be called before any event. */
    public void start() {
        tell(now -> router.onStart(now, this), () -> { });
    }

    /** The number of requests without a final response. */
    public int pendingRequests() {
        return owed;
    }

    public RequestCounters counters() {
        return tally;
    }

    // Events from frontends, backends, discovery and other proxies.

    /**
     * The node list, or a change of it, was received; the backend must know the nodes before the policy may select one.
     */
    public void updateNodes(ListUpdateKind kind, long version, List<Node> nodes) {
        for (Node n : nodes) {
            if (settings.originModel() != null && settings.originModel().equals(n.model())) {
                stores.add(n.id());
            } else {
                stores.remove(n.id());
            }
        }
        if (kind == ListUpdateKind.REFUSED) {
            acts.hostListUnavailable(timers.now(), group);
        } else if (kind != ListUpdateKind.REMEMBERED) {
            list = version;
            acts.hostListConfirmed(timers.now(), group, list);
        }
        tell(now -> router.onNodeList(now, kind, version, nodes, this), () -> { });
    }

    /** A call to discovery failed, or the subscription broke. */
    public void discoveryFailed() {
        updateNodes(ListUpdateKind.REFUSED, 0, List.of());
    }

    /** A message of the routing policy of another proxy was received. */
    public void peerMessage(int from, byte[] contents) {
        tell(now -> router.onPeerMessage(now, from, contents, this), () -> { });
    }

    /** Whether a request with this id is open; a second one could not be told apart from it. */
    public boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    /** Replaces the classes for requests that arrive from now on. */
    public void updateClasses(List<ServiceClass> classes) {
        classes.forEach(c -> effects.put(c.name(), c.effect()));
        tell(now -> router.onClassesChanged(now, classes), () -> { });
    }

    /**
     * Takes a request whose id is not in use by an open one. {@code client} gets its one final response, possibly
     * before this method returns.
     */
    public void submit(Request in, Command<C> command, ResponseHandler<C> client) {
        double cameAt = timers.now();
        tally.requestStarted();
        VersionTracker.RequestVersion under = acts.requestStarted(cameAt, in.id(), in.serviceClass(),
                group, list);
        if (calls.size() >= maxOpen) {
            // The policy is not called, so nothing ran and the refusal is correct.
            tally.requestEnded(in.serviceClass(), RequestCounters.RequestResult.REFUSED);
            under.requestEnded(cameAt, in.serviceClass(), RequestCounters.RequestResult.REFUSED,
                    Reason.TOO_MANY_OPEN);
            tally.reasonCount(in.serviceClass(), Reason.TOO_MANY_OPEN);
            settled.accept(in.serviceClass());
            client.reason(Reason.TOO_MANY_OPEN);
            client.refused(0);
            return;
        }
        Call<C> call = new Call<>(in, command, client, cameAt, times.forClass(in.serviceClass()),
                under);
        calls.put(in.id(), call);
        owed++;
        if (in.uploading()) {
            call.deadline = Double.POSITIVE_INFINITY;
        } else {
            watch(call);
        }
        tell(now -> router.onRequest(now, in, this), () -> answerInstead(call));
    }

    private void watch(Call<C> call) {
        call.backstop = timers.scheduleAt(call.deadline + settings.rules().answerSlackMs(), () -> overdue(call));
    }

    /** The last byte of a request that was submitted while uploading has arrived: its time budget starts now. */
    public void bodyReceived(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.over && call.isOpen()) {
            call.completeMs = timers.now();
            call.deadline = call.completeMs + call.in.budgetMs();
            if (!call.hasBegun()) {
                watch(call);
            }
        }
    }

    /** The client of an open request has disconnected; no response is needed any more. */
    public void clientGone(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.over) {
            count(call, RequestCounters.RequestResult.GONE);
            call.kind.clientLeft(timers.now(), timers.now() - call.bornMs);
            settle(call);
            tell(now -> router.onClientDisconnected(now, id, this), () -> { });
        }
    }

    /** Whether an open request may have run already, or has an attempt in flight that may run. */
    public boolean mayHaveRun(String id) {
        Call<C> call = calls.get(id);
        return call != null && (!call.proven || call.out != null);
    }

    /** Gives an open request its final response now and cancels its attempt. */
    public void answerNow(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.over && !call.hasBegun()) {
            call.why = Reason.HELD_UP_ANOTHER;
            endNow(call);
            if (call.out != null) {
                call.out.cancel();
            }
            tell(now -> router.onClientDisconnected(now, id, this), () -> { });
        }
    }

    /** Gives a final response without the policy: a refusal if a retry is certainly harmless, otherwise a failure. */
    private void endNow(Call<C> call) {
        if (call.proven && call.out == null || effects.get(call.in.serviceClass()) == Effect.SAFE) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
    }

    /**
     * A response has started: it is the final response of the request, however long the rest takes and whether or not
     * it arrives.
     */
    private boolean begun(Call<C> call, int attempt, String node, NodeResponse<C> answer) {
        if (call.over) {
            return false;
        }
        double now = timers.now();
        call.unwatch();
        call.begunMs = now;
        call.kind.attemptAnswered(now, now - call.since(call.out.sentMs), call.out.atStore,
                call.out.fresh);
        call.client.served(answer);
        tell(at -> router.onStreamStarted(at, call.in.id(), attempt, node, this), () -> { });
        return true;
    }

    /** A response that had started is complete or has broken off; its client has seen which. */
    private void endedBegun(Call<C> call, int attempt, String node, double sentAt, Outcome outcome) {
        tally.attemptEnded(outcome);
        if (!call.over) {
            double now = timers.now();
            count(call, outcome == Outcome.OK ? RequestCounters.RequestResult.SERVED
                    : RequestCounters.RequestResult.FAILED);
            call.kind.requestAnswered(now, call.begunMs - call.bornMs);
            settle(call);
        }
        report(call.in.id(), call, attempt, node, outcome,
                call.begunMs - call.since(sentAt), NodeResponse.NO_CACHE_STATUS);
    }

    private void ended(Call<C> call, int attempt, String node, double sentAt, Outcome outcome,
                              NodeResponse<C> answer) {
        Sent<C> sent = call.out;
        call.out = null;
        double now = timers.now();
        call.under.attemptEnded(now, outcome);
        if (call.hasBegun()) {
            endedBegun(call, attempt, node, sentAt, outcome);
            return;
        }
        call.proven &= outcome.provesNotRun();
        double since = Math.min(now, call.since(sentAt));
        if (outcome == Outcome.OK) {
            call.kind.attemptAnswered(now, now - since, sent.atStore, sent.fresh);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            call.kind.attemptAbandoned(now, now - since, sent.atStore);
        }
        tally.attemptEnded(outcome);
        if (outcome == Outcome.OK && !call.over) {
            count(call, RequestCounters.RequestResult.SERVED);
            call.kind.requestAnswered(now, now - call.bornMs);
            settle(call);
            call.client.served(answer);
        }
        report(call.in.id(), call, attempt, node, outcome, timers.now() - since,
                answer == null ? NodeResponse.NO_CACHE_STATUS : answer.cacheStatus());
    }

    private void report(String id, Call<C> call, int attempt, String node, Outcome outcome, double elapsedMs,
                           int note) {
        boolean finished = call == null || call.over;
        if (call != null) {
            forgetIfDone(call);
        }
        AttemptResult end = new AttemptResult(id, attempt, node, outcome, elapsedMs, finished, note,
                Map.of());
        tell(now -> router.onAttemptEnded(now, end, this),
                call == null ? () -> { } : () -> answerInstead(call));
    }

    // Calls of the policy, one at a time.

    /**
     * Delivers an event to the policy, or queues it if another is being delivered or its actions are being carried out:
     * the policy must never be entered recursively, and its actions must take effect in the order in which it requested
     * them.
     */
    private void tell(Event event, Runnable rescue) {
        events.add(new Pending(event, rescue));
        if (telling) {
            return;
        }
        telling = true;
        while (!events.isEmpty()) {
            Pending next = events.remove();
            boolean failed = abandoned || !guarded(() -> next.event().tell(timers.now()));
            actions.forEach(this::guarded);
            actions.clear();
            if (failed) {
                guarded(next.rescue());
            }
        }
        telling = false;
    }

    /**
     * Runs an action so that an error in it ends neither the process nor the other requests; returns whether it
     * succeeded.
     */
    private boolean guarded(Runnable action) {
        try {
            action.run();
            return true;
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            faults.error("a decision or its execution failed", e);
            return false;
        } catch (Error e) {
            abandon(e);
            return false;
        }
    }

    /** Stops calling the policy. Its open requests are answered now, or at the end of the attempt that is in flight. */
    private void abandon(Error cause) {
        if (abandoned) {
            return;
        }
        abandoned = true;
        faults.fatal("the decisions failed for good", cause);
        List.copyOf(calls.values()).forEach(this::answerInstead);
    }

    /**
     * Answers in place of a policy that failed. A refusal promises that nothing ran, so it is given only if that is
     * proven.
     */
    private void answerInstead(Call<C> call) {
        if (call.over || call.out != null) {
            return;
        }
        call.why = Reason.FAULT;
        if (call.proven) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
        tell(now -> router.onClientDisconnected(now, call.in.id(), this), () -> { });
    }

    /** The policy must have answered before this runs; without this backstop the request would never be answered. */
    private void overdue(Call<C> call) {
        if (!call.over) {
            faults.warning("no answer was decided in time for " + call.in.id());
            if (call.out != null) {
                call.out.cancel();
            }
            answerInstead(call);
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
            if (call == null || call.out == null || call.attempts - 1 != attempt) {
                return;
            }
            double now = timers.now();
            if (call.over
                    && !call.kind.shouldCloseConnection(now, now - call.out.sentMs, call.out.atStore)) {
                call.out.leave();
            } else {
                call.out.cancel();
            }
        });
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        actions.add(() -> ifOpen(request, call -> refuseNow(call, retryAfterMs)));
    }

    @Override
    public void reportReason(String request, Reason why) {
        actions.add(() -> ifOpen(request, call -> call.why = why));
    }

    @Override
    public void fail(String request) {
        actions.add(() -> ifOpen(request, this::failNow));
    }

    @Override
    public void setTimer(double atMs, String token) {
        actions.add(() -> timerNow(atMs, token));
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
        actions.add(() -> tell.accept(copy));
    }

    @Override
    public void closeIdleConnections(String node) {
        actions.add(() -> back.closeIdleConnections(node));
    }

    @Override
    public double minAnswerMs(String request) {
        Call<C> call = calls.get(request);
        return call == null ? 0 : call.kind.minRemainingMs(timers.now());
    }

    private void ifOpen(String request, Consumer<Call<C>> action) {
        Call<C> call = calls.get(request);
        if (call != null && !call.over && !call.hasBegun()) {
            action.accept(call);
        }
    }

    private void count(Call<C> call, RequestCounters.RequestResult end) {
        tally.requestEnded(call.in.serviceClass(), end);
        call.under.requestEnded(timers.now(), call.in.serviceClass(), end, call.why);
    }

    private void say(Call<C> call) {
        tally.reasonCount(call.in.serviceClass(), call.why);
        call.client.reason(call.why);
    }

    private void refuseNow(Call<C> call, double retryAfterMs) {
        count(call, RequestCounters.RequestResult.REFUSED);
        call.kind.requestAnswered(timers.now(), timers.now() - call.bornMs);
        settle(call);
        say(call);
        if (call.proven && call.out == null) {
            call.client.refused(retryAfterMs);
        } else {
            call.client.refusedMayHaveRun(retryAfterMs);
        }
    }

    private void failNow(Call<C> call) {
        count(call, RequestCounters.RequestResult.FAILED);
        call.kind.requestAnswered(timers.now(), timers.now() - call.bornMs);
        settle(call);
        say(call);
        call.client.failed();
    }

    private void settle(Call<C> call) {
        call.over = true;
        owed--;
        settled.accept(call.in.serviceClass());
        call.unwatch();
        forgetIfDone(call);
    }

    private void forgetIfDone(Call<C> call) {
        if (call.over && call.out == null) {
            calls.remove(call.in.id(), call);
        }
    }

    private void timerNow(double atMs, String token) {
        timers.scheduleAt(atMs, () -> tell(now -> router.onTimer(now, token, this),
                () -> timerNow(timers.now() + RETRY_TIMER_MS, token)));
    }

    private void sendNow(String request, String node, double timeoutMs) {
        Call<C> call = calls.get(request);
        int attempt = call == null ? 0 : call.attempts++;
        double now = timers.now();
        double left = call == null ? 0 : call.deadline - now;
        double wait = timeoutMs == UNTIL_DEADLINE ? left : Math.min(timeoutMs, left);
        // Nothing is sent for a request that is finished or late, beyond the allowed attempts, or beside another
        // attempt.
        if (call == null || call.over || call.out != null || wait <= 0
                || attempt >= settings.limits().maxAttempts()) {
            tally.attemptEnded(Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, NodeResponse.NO_CACHE_STATUS);
            return;
        }
        boolean atStore = stores.contains(node);
        Verdict verdict = call.kind.checkSend(now, now - call.bornMs, left, atStore, attempt == 0);
        if (verdict != Verdict.GO) {
            // No client would read the response: the final response is given now, and the policy is told that the
            // request is finished.
            call.why = verdict == Verdict.LATE ? Reason.TOO_LATE : Reason.UNREAD;
            endNow(call);
            tally.attemptEnded(Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, NodeResponse.NO_CACHE_STATUS);
            return;
        }
        Sent<C> sent = new Sent<>(call, now, now + wait, timers, times, atStore, tally);
        call.out = sent;
        call.under.attemptSent(now, node);
        sent.exchange = back.send(node, sent, wait, new Backend.Listener<>() {
            @Override
            public void ended(Outcome outcome, NodeResponse<C> answer) {
                Dispatcher.this.ended(call, attempt, node, now, outcome, answer);
            }

            @Override
            public boolean responseStarted(NodeResponse<C> answer) {
                return Dispatcher.this.begun(call, attempt, node, answer);
            }
        });
    }

    /**
     * A probe has ended that the policy requested or that another proxy made; {@code elapsedMs} is how long it took.
     */
    public void probeEnded(String node, Outcome outcome, double tookMs) {
        tell(at -> router.onProbeResult(at, node, outcome, tookMs, Map.of(), this), () -> { });
    }

    private void probeNow(String node) {
        double now = timers.now();
        back.probe(node, settings.limits().connectTimeoutMs() * PROBE_CONNECTS,
                (outcome, answer) -> probeEnded(node, outcome, timers.now() - now));
    }

    /** The attempt in flight. The backend may end it before it has returned the exchange, so that may be null. */
    private static final class Sent<C> implements Attempt<C> {
        private final Call<C> call;
        private final double sentMs;
        private final double giveUpMs;
        private final Timers timers;
        private final GroupTimings times;
        private final boolean atStore;
        private final RequestCounters tally;
        private boolean fresh;
        private Backend.Exchange exchange;

        Sent(Call<C> call, double sentMs, double giveUpMs, Timers timers, GroupTimings times, boolean atStore,
                 RequestCounters tally) {
            this.call = call;
            this.sentMs = sentMs;
            this.giveUpMs = giveUpMs;
            this.timers = timers;
            this.times = times;
            this.atStore = atStore;
            this.tally = tally;
        }

        void leave() {
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
            return call.in.id();
        }

        @Override
        public Command<C> command() {
            return call.command;
        }

        @Override
        public double remainingMs() {
            double left = call.isOpen() ? call.in.budgetMs() : giveUpMs - timers.now();
            return left - times.returnReserveMs(left);
        }

        @Override
        public boolean mayBeWritten() {
            double now = timers.now();
            return !call.over && call.kind.checkWrite(now, call.deadline - now, atStore) == Verdict.GO;
        }

        @Override
        public boolean hasStreamingBody() {
            return call.in.uploading();
        }

        @Override
        public boolean supportsStreaming() {
            return call.client.supportsStreaming();
        }

        @Override
        public void connected(double ms) {
            times.recordConnectTime(ms);
        }

        @Override
        public void writeStarted(boolean onFresh) {
            fresh = onFresh;
        }

        @Override
        public void written() {
            tally.attemptWritten();
            call.under.attemptWritten();
        }

        @Override
        public String versionLabel() {
            return call.under.versionLabel();
        }
    }

    /** A request in the table: open until its final response, and kept until its last attempt has ended. */
    private static final class Call<C> {
        final Request in;
        final Command<C> command;
        final ResponseHandler<C> client;
        final double bornMs;
        double deadline;
        /** When the last byte of the body arrived; infinite while the request is uploading. */
        double completeMs;
        final ClassTimings kind;
        final VersionTracker.RequestVersion under;
        Timers.Timer backstop;
        Sent<C> out;
        int attempts;
        /** When a streamed response started; NaN before that. */
        double begunMs = Double.NaN;
        Reason why = Reason.UNSAID;
        /** Whether the outcomes of all ended attempts prove that none of them ran. */
        boolean proven = true;
        /** Whether the final response was given or the client disconnected. */
        boolean over;

        Call(Request in, Command<C> command, ResponseHandler<C> client, double bornMs, ClassTimings kind,
             VersionTracker.RequestVersion under) {
            this.in = in;
            this.under = under;
            this.command = command;
            this.client = client;
            this.bornMs = bornMs;
            this.deadline = bornMs + in.budgetMs();
            this.completeMs = in.uploading() ? Double.POSITIVE_INFINITY : bornMs;
            this.kind = kind;
        }

        /** Whether the body is still arriving. */
        boolean isOpen() {
            return completeMs == Double.POSITIVE_INFINITY;
        }

        /** The time from which an attempt's duration counts: a node starts when it has the last byte of the request. */
        double since(double sentMs) {
            return Math.max(sentMs, completeMs);
        }

        void unwatch() {
            if (backstop != null) {
                backstop.cancel();
            }
        }

        /** Whether a streamed response, which is the final one, has started. */
        boolean hasBegun() {
            return !Double.isNaN(begunMs);
        }
    }
}
