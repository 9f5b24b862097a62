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
import ridgemill.deadline.ClassTimes;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.GroupTimes;
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
    private final Back<C> back;
    private final Faults faults;
    private final Consumer<String> settled;
    private final int maxOpen;
    private final GroupTimes times;
    private final Map<String, Effect> effects = new HashMap<>();
    private final Set<String> stores = new HashSet<>();
    private final Map<String, Call<C>> calls = new HashMap<>();
    private final Queue<Pending> events = new ArrayDeque<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final Tally tally = new Tally();
    private Acts acts = Acts.NONE;
    private String group = Intake.PLATFORM;
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
    public Dispatcher(Timers timers, Settings settings, Router router, Back<C> back, Faults faults,
                      Consumer<String> settled, int maxOpen) {
        this(timers, settings, router, back, faults, settled, maxOpen, new Deadlines(DeadlinePolicy.OFF).group(Intake.PLATFORM));
    }

    /** The same, with what is known of its nodes' times. */
    public Dispatcher(Timers timers, Settings settings, Router router, Back<C> back, Faults faults,
                      Consumer<String> settled, int maxOpen, GroupTimes times) {
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
    public void acts(Acts to, String ofGroup) {
        acts = to;
        group = ofGroup;
        if (list > 0) {
            acts.listed(timers.now(), group, list);
        }
    }

    /** Names what asks discovery and what tells peers; both may need this dispatcher to be made first. */
    public void wire(Runnable asksDiscovery, Consumer<byte[]> tellsPeers) {
        subscribe = asksDiscovery;
        tell = tellsPeers;
    }

    /** Comes first: tells the module that it has started. */
    public void start() {
        tell(now -> router.onStart(now, this), () -> { });
    }

    /** Requests that have no final answer yet. */
    public int owed() {
        return owed;
    }

    public Tally tally() {
        return tally;
    }

    // Events from fronts, backs and the outside.

    /** The node list, or news of it; the back must know the nodes before the module may choose one. */
    public void nodes(ListUpdateKind kind, long version, List<Node> nodes) {
        for (Node n : nodes) {
            if (settings.originModel() != null && settings.originModel().equals(n.model())) {
                stores.add(n.id());
            } else {
                stores.remove(n.id());
            }
        }
        if (kind == ListUpdateKind.REFUSED) {
            acts.unlisted(timers.now(), group);
        } else if (kind != ListUpdateKind.REMEMBERED) {
            list = version;
            acts.listed(timers.now(), group, list);
        }
        tell(now -> router.onNodeList(now, kind, version, nodes, this), () -> { });
    }

    /** A call to discovery failed, or the subscription broke. */
    public void discoveryRefused() {
        nodes(ListUpdateKind.REFUSED, 0, List.of());
    }

    public void peerMessage(int from, byte[] contents) {
        tell(now -> router.onPeerMessage(now, from, contents, this), () -> { });
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
    public boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    /** Other classes hold from now on, for requests that come. */
    public void classes(List<ServiceClass> classes) {
        classes.forEach(c -> effects.put(c.name(), c.effect()));
        tell(now -> router.onClassesChanged(now, classes), () -> { });
    }

    /** Takes a request, whose id must not be open; {@code client} gets its one final answer, maybe before this returns. */
    public void request(Request in, Command<C> command, Client<C> client) {
        double cameAt = timers.now();
        tally.took();
        Acts.Under under = acts.begins(cameAt, in.id(), in.serviceClass(), group, list);
        if (calls.size() >= maxOpen) {
            // Beyond what the settings allow the module is not asked; nothing ran, so this promise is true.
            tally.ended(in.serviceClass(), Tally.End.REFUSED);
            under.ended(cameAt, in.serviceClass(), Tally.End.REFUSED, Reason.TOO_MANY_OPEN);
            tally.because(in.serviceClass(), Reason.TOO_MANY_OPEN);
            settled.accept(in.serviceClass());
            client.because(Reason.TOO_MANY_OPEN);
            client.refused(0);
            return;
        }
        Call<C> call = new Call<>(in, command, client, cameAt, times.of(in.serviceClass()), under);
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
        call.backstop = timers.at(call.deadline + settings.rules().answerSlackMs(), () -> overdue(call));
    }

    /** The last byte of a request that came open is here: its time begins. */
    public void complete(String id) {
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
            count(call, Tally.End.GONE);
            call.kind.left(timers.now(), timers.now() - call.bornMs);
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
    public void giveUp(String id) {
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
    private boolean begun(Call<C> call, int attempt, String node, Answer<C> answer) {
        if (call.over) {
            return false;
        }
        double now = timers.now();
        call.unwatch();
        call.begunMs = now;
        call.kind.answered(now, now - call.since(call.out.sentMs), call.out.atStore, call.out.fresh);
        call.client.served(answer);
        tell(at -> router.onStreamStarted(at, call.in.id(), attempt, node, this), () -> { });
        return true;
    }

    /** One that had begun has ended or broken off; its client has seen which. */
    private void endedBegun(Call<C> call, int attempt, String node, double sentAt, Outcome outcome) {
        tally.count(outcome);
        if (!call.over) {
            double now = timers.now();
            count(call, outcome == Outcome.OK ? Tally.End.SERVED : Tally.End.FAILED);
            call.kind.finished(now, call.begunMs - call.bornMs);
            settle(call);
        }
        report(call.in.id(), call, attempt, node, outcome, call.begunMs - call.since(sentAt), Answer.NO_NOTE);
    }

    private void ended(Call<C> call, int attempt, String node, double sentAt, Outcome outcome, Answer<C> answer) {
        Sent<C> sent = call.out;
        call.out = null;
        double now = timers.now();
        call.under.came(now, outcome);
        if (call.hasBegun()) {
            endedBegun(call, attempt, node, sentAt, outcome);
            return;
        }
        call.proven &= outcome.provesNotRun();
        double since = Math.min(now, call.since(sentAt));
        if (outcome == Outcome.OK) {
            call.kind.answered(now, now - since, sent.atStore, sent.fresh);
        } else if (outcome == Outcome.CANCELLED || outcome == Outcome.TIMEOUT) {
            call.kind.givenUp(now, now - since, sent.atStore);
        }
        tally.count(outcome);
        if (outcome == Outcome.OK && !call.over) {
            count(call, Tally.End.SERVED);
            call.kind.finished(now, now - call.bornMs);
            settle(call);
            call.client.served(answer);
        }
        report(call.in.id(), call, attempt, node, outcome, timers.now() - since,
                answer == null ? Answer.NO_NOTE : answer.note());
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
            faults.fault("a decision or its execution failed", e);
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
            faults.odd("no answer was decided in time for " + call.in.id());
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
            if (call.over && !call.kind.closes(now, now - call.out.sentMs, call.out.atStore)) {
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
        actions.add(() -> back.closeIdle(node));
    }

    @Override
    public double minAnswerMs(String request) {
        Call<C> call = calls.get(request);
        return call == null ? 0 : call.kind.backOffMs(timers.now());
    }

    private void ifOpen(String request, Consumer<Call<C>> action) {
        Call<C> call = calls.get(request);
        if (call != null && !call.over && !call.hasBegun()) {
            action.accept(call);
        }
    }

    private void count(Call<C> call, Tally.End end) {
        tally.ended(call.in.serviceClass(), end);
        call.under.ended(timers.now(), call.in.serviceClass(), end, call.why);
    }

    private void say(Call<C> call) {
        tally.because(call.in.serviceClass(), call.why);
        call.client.because(call.why);
    }

    private void refuseNow(Call<C> call, double retryAfterMs) {
        count(call, Tally.End.REFUSED);
        call.kind.finished(timers.now(), timers.now() - call.bornMs);
        settle(call);
        say(call);
        if (call.proven && call.out == null) {
            call.client.refused(retryAfterMs);
        } else {
            call.client.refusedUnproven(retryAfterMs);
        }
    }

    private void failNow(Call<C> call) {
        count(call, Tally.End.FAILED);
        call.kind.finished(timers.now(), timers.now() - call.bornMs);
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
        timers.at(atMs, () -> tell(now -> router.onTimer(now, token, this),
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
            tally.count(Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, Answer.NO_NOTE);
            return;
        }
        boolean atStore = stores.contains(node);
        Verdict verdict = call.kind.maySend(now, now - call.bornMs, left, atStore, attempt == 0);
        if (verdict != Verdict.GO) {
            // Nobody would be there to read it: its final answer is due now, and the module hears that it is over.
            call.why = verdict == Verdict.LATE ? Reason.TOO_LATE : Reason.UNREAD;
            endNow(call);
            tally.count(Outcome.NEVER_SENT);
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, Answer.NO_NOTE);
            return;
        }
        Sent<C> sent = new Sent<>(call, now, now + wait, timers, times, atStore, tally);
        call.out = sent;
        call.under.sent(now, node);
        sent.exchange = back.send(node, sent, wait, new Back.Done<>() {
            @Override
            public void ended(Outcome outcome, Answer<C> answer) {
                Dispatcher.this.ended(call, attempt, node, now, outcome, answer);
            }

            @Override
            public boolean begun(Answer<C> answer) {
                return Dispatcher.this.begun(call, attempt, node, answer);
            }
        });
    }

    /** A probe has ended: one that the decisions asked for, or one that another proxy made. */
    public void probed(String node, Outcome outcome, double tookMs) {
        tell(at -> router.onProbeResult(at, node, outcome, tookMs, Map.of(), this), () -> { });
    }

    private void probeNow(String node) {
        double now = timers.now();
        back.probe(node, settings.limits().connectTimeoutMs() * PROBE_CONNECTS,
                (outcome, answer) -> probed(node, outcome, timers.now() - now));
    }

    /** The attempt that is out; the back may end it before it has handed the exchange over. */
    private static final class Sent<C> implements Attempt<C> {
        private final Call<C> call;
        private final double sentMs;
        private final double giveUpMs;
        private final Timers timers;
        private final GroupTimes times;
        private final boolean atStore;
        private final Tally tally;
        private boolean fresh;
        private Back.Exchange exchange;

        Sent(Call<C> call, double sentMs, double giveUpMs, Timers timers, GroupTimes times, boolean atStore, Tally tally) {
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
                exchange.leave();
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
            return left - times.wayBackMs(left);
        }

        @Override
        public boolean mayBeWritten() {
            double now = timers.now();
            return !call.over && call.kind.mayWrite(now, call.deadline - now, atStore) == Verdict.GO;
        }

        @Override
        public boolean isOpen() {
            return call.in.uploading();
        }

        @Override
        public boolean takesParts() {
            return call.client.takesParts();
        }

        @Override
        public void connected(double ms) {
            times.connected(ms);
        }

        @Override
        public void begun(boolean onFresh) {
            fresh = onFresh;
        }

        @Override
        public void written() {
            tally.wrote();
            call.under.wrote();
        }

        @Override
        public String label() {
            return call.under.label();
        }
    }

    /** A request in the table: open until its final answer, kept on until its last attempt has ended. */
    private static final class Call<C> {
        final Request in;
        final Command<C> command;
        final Client<C> client;
        final double bornMs;
        double deadline;
        /** When the last byte of its body came; infinite while one that came open is. */
        double completeMs;
        final ClassTimes kind;
        final Acts.Under under;
        Timers.Timer backstop;
        Sent<C> out;
        int attempts;
        double begunMs = Double.NaN;
        Reason why = Reason.UNSAID;
        boolean proven = true;
        boolean over;

        Call(Request in, Command<C> command, Client<C> client, double bornMs, ClassTimes kind, Acts.Under under) {
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
