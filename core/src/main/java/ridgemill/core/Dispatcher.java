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
 * Joins the decision module to fronts and backs: every event becomes one call of the module, and what the module asks
 * for is done in order once that call has returned. It keeps what no module may break, whatever it asks for: one final
 * answer for each request, one attempt out at a time, none past the attempts allowed or the client's time.
 *
 * <p>Not safe for use by several threads: whoever owns it calls it from one.
 *
 * @param <C> the type of contents that fronts and backs share
 */
public final class Dispatcher<C> implements Actions {

    /** A time that the module gives to an attempt when it names none. */
    private static final double UNTIL_DEADLINE = 0;
    /** When a timer whose handling failed is tried again: without it one fault would end all later intervals. */
    private static final double RETRY_TIMER_MS = 1000;
    /** A node is given so many times the time that a connection may take, to answer a probe. */
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
     * A dispatcher without requests.
     *
     * @param settled is told the class of each request that has its final answer or whose client has left
     * @param maxOpen how many may be open; the next are refused without asking the module
     */
    public Dispatcher(Timers timers, Settings settings, Router router, Backend<C> back, FaultReporter faults,
                      Consumer<String> settled, int maxOpen) {
        this(timers, settings, router, back, faults, settled, maxOpen, new Deadlines(DeadlinePolicy.OFF).group(Intake.PLATFORM_GROUP));
    }

    /** The same, with what is known of its nodes' times. */
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

    /** Requests that come from now on are kept there, as those of this group. */
    public void setVersionTracker(VersionTracker to, String ofGroup) {
        acts = to;
        group = ofGroup;
        if (list > 0) {
            acts.hostListConfirmed(timers.now(), group, list);
        }
    }

    /** Names what asks discovery and what tells peers; both may need this dispatcher to be made first. */
    public void setCallbacks(Runnable asksDiscovery, Consumer<byte[]> tellsPeers) {
        subscribe = asksDiscovery;
        tell = tellsPeers;
    }

    /** Comes first: tells the module that it has started. */
    public void start() {
        tell(now -> router.onStart(now, this), () -> { });
    }

    /** Requests that have no final answer yet. */
    public int pendingRequests() {
        return owed;
    }

    public RequestCounters counters() {
        return tally;
    }

    // Events from fronts, backs and the outside.

    /** The node list, or news of it; the back must know the nodes before the module may choose one. */
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

    public void peerMessage(int from, byte[] contents) {
        tell(now -> router.onPeerMessage(now, from, contents, this), () -> { });
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
    public boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    /** Other classes hold from now on, for requests that come. */
    public void updateClasses(List<ServiceClass> classes) {
        classes.forEach(c -> effects.put(c.name(), c.effect()));
        tell(now -> router.onClassesChanged(now, classes), () -> { });
    }

    /** Takes a request, whose id must not be open; {@code client} gets its one final answer, maybe before this returns. */
    public void submit(Request in, Command<C> command, ResponseHandler<C> client) {
        double cameAt = timers.now();
        tally.requestStarted();
        VersionTracker.RequestVersion under = acts.requestStarted(cameAt, in.id(), in.serviceClass(), group, list);
        if (calls.size() >= maxOpen) {
            // Beyond what the settings allow the module is not asked; nothing ran, so this promise is true.
            tally.requestEnded(in.serviceClass(), RequestCounters.RequestResult.REFUSED);
            under.requestEnded(cameAt, in.serviceClass(), RequestCounters.RequestResult.REFUSED, Reason.TOO_MANY_OPEN);
            tally.reasonCount(in.serviceClass(), Reason.TOO_MANY_OPEN);
            settled.accept(in.serviceClass());
            client.reason(Reason.TOO_MANY_OPEN);
            client.refused(0);
            return;
        }
        Call<C> call = new Call<>(in, command, client, cameAt, times.forClass(in.serviceClass()), under);
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

    /** The last byte of a request that came open is here: its time begins. */
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

    /** The client of an open request has left; nothing is owed any more. */
    public void clientGone(String id) {
        Call<C> call = calls.get(id);
        if (call != null && !call.over) {
            count(call, RequestCounters.RequestResult.GONE);
            call.kind.clientLeft(timers.now(), timers.now() - call.bornMs);
            settle(call);
            tell(now -> router.onClientDisconnected(now, id, this), () -> { });
        }
    }

    /** Whether an open request may have run already, or has an attempt out that may yet. */
    public boolean mayHaveRun(String id) {
        Call<C> call = calls.get(id);
        return call != null && (!call.proven || call.out != null);
    }

    /** An open request needs its final answer now; what is out for it is of no use any more. */
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

    /** A final answer that nobody decided on: a refusal where it is a true promise. */
    private void endNow(Call<C> call) {
        if (call.proven && call.out == null || effects.get(call.in.serviceClass()) == Effect.SAFE) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
    }

    /** An answer has begun: it is the request's final one, however long its rest takes, and whether or not that comes. */
    private boolean begun(Call<C> call, int attempt, String node, NodeResponse<C> answer) {
        if (call.over) {
            return false;
        }
        double now = timers.now();
        call.unwatch();
        call.begunMs = now;
        call.kind.attemptAnswered(now, now - call.since(call.out.sentMs), call.out.atStore, call.out.fresh);
        call.client.served(answer);
        tell(at -> router.onStreamStarted(at, call.in.id(), attempt, node, this), () -> { });
        return true;
    }

    /** One that had begun has ended or broken off; its client has seen which. */
    private void endedBegun(Call<C> call, int attempt, String node, double sentAt, Outcome outcome) {
        tally.attemptEnded(outcome);
        if (!call.over) {
            double now = timers.now();
            count(call, outcome == Outcome.OK ? RequestCounters.RequestResult.SERVED : RequestCounters.RequestResult.FAILED);
            call.kind.requestAnswered(now, call.begunMs - call.bornMs);
            settle(call);
        }
        report(call.in.id(), call, attempt, node, outcome, call.begunMs - call.since(sentAt), NodeResponse.NO_CACHE_STATUS);
    }

    private void ended(Call<C> call, int attempt, String node, double sentAt, Outcome outcome, NodeResponse<C> answer) {
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
        AttemptResult end = new AttemptResult(id, attempt, node, outcome, elapsedMs, finished, note, Map.of());
        tell(now -> router.onAttemptEnded(now, end, this), call == null ? () -> { } : () -> answerInstead(call));
    }

    // The module's calls, one at a time.

    /**
     * Tells the module of an event, or queues it if the module is being told of one or its wishes are being done: it
     * must never be entered from within itself, and its wishes must take effect in the order it had them.
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

    /** One fault must not take the process, and with it every other request, along. */
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

    /** Goes on without the module: what it had in hand has its answer now, or with the end of the attempt that is out. */
    private void abandon(Error cause) {
        if (abandoned) {
            return;
        }
        abandoned = true;
        faults.fatal("the decisions failed for good", cause);
        List.copyOf(calls.values()).forEach(this::answerInstead);
    }

    /** Answers for a module that failed: a refusal only where provably nothing ran, as it promises just that. */
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

    /** The module owes an answer before this; without one the request would be lost. */
    private void overdue(Call<C> call) {
        if (!call.over) {
            faults.warning("no answer was decided in time for " + call.in.id());
            if (call.out != null) {
                call.out.cancel();
            }
            answerInstead(call);
        }
    }

    // What the module asks for. Each is done after the module has returned.

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
            if (call.over && !call.kind.shouldCloseConnection(now, now - call.out.sentMs, call.out.atStore)) {
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
        // The module may use its array again before this is sent.
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
        // Nothing goes out for a request that is over or late, past the attempts allowed, or beside another of its own.
        if (call == null || call.over || call.out != null || wait <= 0
                || attempt >= settings.limits().maxAttempts()) {
            tally.attemptEnded(Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, NodeResponse.NO_CACHE_STATUS);
            return;
        }
        boolean atStore = stores.contains(node);
        Verdict verdict = call.kind.checkSend(now, now - call.bornMs, left, atStore, attempt == 0);
        if (verdict != Verdict.GO) {
            // Nobody would be there to read it: its final answer is due now, and the module hears that it is over.
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

    /** A probe has ended: one that the decisions asked for, or one that another proxy made. */
    public void probeEnded(String node, Outcome outcome, double tookMs) {
        tell(at -> router.onProbeResult(at, node, outcome, tookMs, Map.of(), this), () -> { });
    }

    private void probeNow(String node) {
        double now = timers.now();
        back.probe(node, settings.limits().connectTimeoutMs() * PROBE_CONNECTS,
                (outcome, answer) -> probeEnded(node, outcome, timers.now() - now));
    }

    /** The attempt that is out; the back may end it before it has handed the exchange over. */
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

        Sent(Call<C> call, double sentMs, double giveUpMs, Timers timers, GroupTimings times, boolean atStore, RequestCounters tally) {
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

    /** A request in the table: open until its final answer, kept on until its last attempt has ended. */
    private static final class Call<C> {
        final Request in;
        final Command<C> command;
        final ResponseHandler<C> client;
        final double bornMs;
        double deadline;
        /** When the last byte of its body came; infinite while one that came open is. */
        double completeMs;
        final ClassTimings kind;
        final VersionTracker.RequestVersion under;
        Timers.Timer backstop;
        Sent<C> out;
        int attempts;
        double begunMs = Double.NaN;
        Reason why = Reason.UNSAID;
        boolean proven = true;
        boolean over;

        Call(Request in, Command<C> command, ResponseHandler<C> client, double bornMs, ClassTimings kind, VersionTracker.RequestVersion under) {
            this.in = in;
            this.under = under;
            this.command = command;
            this.client = client;
            this.bornMs = bornMs;
            this.deadline = bornMs + in.budgetMs();
            this.completeMs = in.uploading() ? Double.POSITIVE_INFINITY : bornMs;
            this.kind = kind;
        }

        /** Whether its body is still coming. */
        boolean isOpen() {
            return completeMs == Double.POSITIVE_INFINITY;
        }

        /** From when on an attempt that was begun then counts: a node begins with the last byte. */
        double since(double sentMs) {
            return Math.max(sentMs, completeMs);
        }

        void unwatch() {
            if (backstop != null) {
                backstop.cancel();
            }
        }

        /** Whether its final answer has begun. */
        boolean hasBegun() {
            return !Double.isNaN(begunMs);
        }
    }
}
