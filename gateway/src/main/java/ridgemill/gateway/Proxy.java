package ridgemill.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.policy.Router;
import ridgemill.policy.Router.Actions;
import ridgemill.policy.Router.AttemptEnd;
import ridgemill.policy.Router.ListKind;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.Settings;

/**
 * Joins the decision module to the sockets: every event becomes one call of the module, and what the module asks for
 * is done in order once that call has returned. All of it runs on the one event loop, so there are no locks.
 */
final class Proxy implements Actions {

    /** A time that the module gives to an attempt when it names none. */
    private static final double UNTIL_DEADLINE = 0;
    /** When a timer whose handling failed is tried again: without it one fault would end all later intervals. */
    private static final double RETRY_TIMER_MS = 1000;

    /** The client's side of one request. */
    interface Client {
        void served(FullHttpResponse response);

        void refused(double retryAfterMs);

        void failed();
    }

    /** A request as it goes on to nodes. {@code key} and {@code contentType} are null where it has none. */
    record Payload(HttpMethod method, String uri, byte[] body, String key, String contentType) { }

    /** Counts for the log. */
    static final class Tally {
        final int[] outcomes = new int[Outcome.values().length];
        int requests;
        int served;
        int refused;
        int failed;
        int gone;
    }

    private interface Event {
        void tell(double now);
    }

    private record Pending(Event event, Runnable rescue) { }

    private final EventLoop loop;
    private final Clock clock;
    private final Settings settings;
    private final Router router;
    private final NodePool pool;
    private final int maxOpen;
    private final Map<String, Call> calls = new HashMap<>();
    private final Queue<Pending> events = new ArrayDeque<>();
    private final List<Runnable> actions = new ArrayList<>();
    private final Log log = new Log();
    private final Tally tally = new Tally();
    private Runnable subscribe = () -> { };
    private Consumer<byte[]> tell = contents -> { };
    private boolean telling;
    private int owed;

    Proxy(EventLoop loop, Clock clock, Settings settings, Router router, NodePool pool, int maxOpen) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.router = router;
        this.pool = pool;
        this.maxOpen = maxOpen;
    }

    /** Names what asks discovery and what tells peers; both need this proxy to be made first. */
    void wire(Runnable asksDiscovery, Consumer<byte[]> tellsPeers) {
        subscribe = asksDiscovery;
        tell = tellsPeers;
    }

    void start(HostList known) {
        tell(now -> router.started(now, this), () -> { });
        if (known != null) {
            hosts(ListKind.REMEMBERED, known);
        }
    }

    /** Requests that have no final answer yet. */
    int owed() {
        return owed;
    }

    Tally tally() {
        return tally;
    }

    // Events from the sockets.

    void hosts(ListKind kind, HostList list) {
        pool.list(list);
        tell(now -> router.nodes(now, kind, list.version(), list.nodes(), this), () -> { });
    }

    void discoveryRefused() {
        tell(now -> router.nodes(now, ListKind.REFUSED, 0, List.of(), this), () -> { });
    }

    void peerMessage(int from, byte[] contents) {
        tell(now -> router.peerMessage(now, from, contents, this), () -> { });
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
    boolean isOpen(String id) {
        return calls.containsKey(id);
    }

    void request(Request in, Payload payload, Client client) {
        tally.requests++;
        if (calls.size() >= maxOpen) {
            // Beyond what the settings allow the module is not asked; nothing ran, so this promise is true.
            tally.refused++;
            client.refused(0);
            return;
        }
        Call call = new Call(in, payload, client, clock.now() + in.budgetMs());
        calls.put(in.id(), call);
        owed++;
        call.backstop = loop.schedule(() -> overdue(call),
                clock.nanosUntil(call.deadline + settings.rules().answerSlackMs()), TimeUnit.NANOSECONDS);
        tell(now -> router.request(now, in, this), () -> answerInstead(call));
    }

    void clientGone(String id) {
        Call call = calls.get(id);
        if (call != null && !call.over) {
            tally.gone++;
            settle(call);
            tell(now -> router.clientGone(now, id, this), () -> { });
        }
    }

    private void ended(Call call, int attempt, String node, double sentAt, Outcome outcome, FullHttpResponse response) {
        call.out = null;
        call.proven &= outcome.provesNotRun();
        tally.outcomes[outcome.ordinal()]++;
        if (outcome == Outcome.OK && !call.over) {
            tally.served++;
            settle(call);
            call.client.served(response);
        }
        report(call.in.id(), call, attempt, node, outcome, clock.now() - sentAt, note(response));
    }

    private void report(String id, Call call, int attempt, String node, Outcome outcome, double elapsedMs,
                        int note) {
        boolean finished = call == null || call.over;
        if (call != null) {
            forgetIfDone(call);
        }
        AttemptEnd end = new AttemptEnd(id, attempt, node, outcome, elapsedMs, finished, note, Map.of());
        tell(now -> router.attemptEnded(now, end, this), call == null ? () -> { } : () -> answerInstead(call));
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
            boolean failed = !guarded(() -> next.event().tell(clock.now()));
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
            Log.error("a decision or its execution failed", e);
            return false;
        }
    }

    /** Answers for a module that failed: a refusal only where provably nothing ran, as it promises just that. */
    private void answerInstead(Call call) {
        if (call.over || call.out != null) {
            return;
        }
        if (call.proven) {
            refuseNow(call, 0);
        } else {
            failNow(call);
        }
        tell(now -> router.clientGone(now, call.in.id(), this), () -> { });
    }

    /** The module owes an answer before this; without one the request would be lost. */
    private void overdue(Call call) {
        if (!call.over) {
            log.odd("no answer was decided in time for " + call.in.id());
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
            Call call = calls.get(request);
            if (call != null && call.out != null && call.attempts - 1 == attempt) {
                call.out.cancel();
            }
        });
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        actions.add(() -> ifOpen(request, call -> refuseNow(call, retryAfterMs)));
    }

    @Override
    public void fail(String request) {
        actions.add(() -> ifOpen(request, this::failNow));
    }

    @Override
    public void timer(double atMs, String token) {
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
    public void tell(byte[] contents) {
        // The module may use its array again before this is sent.
        byte[] copy = Arrays.copyOf(contents, contents.length);
        actions.add(() -> tell.accept(copy));
    }

    @Override
    public void close(String node) {
        actions.add(() -> pool.closeIdle(node));
    }

    private void ifOpen(String request, Consumer<Call> action) {
        Call call = calls.get(request);
        if (call != null && !call.over) {
            action.accept(call);
        }
    }

    private void refuseNow(Call call, double retryAfterMs) {
        tally.refused++;
        settle(call);
        call.client.refused(retryAfterMs);
    }

    private void failNow(Call call) {
        tally.failed++;
        settle(call);
        call.client.failed();
    }

    private void settle(Call call) {
        call.over = true;
        owed--;
        call.backstop.cancel(false);
        forgetIfDone(call);
    }

    private void forgetIfDone(Call call) {
        if (call.over && call.out == null) {
            calls.remove(call.in.id(), call);
        }
    }

    private void timerNow(double atMs, String token) {
        loop.schedule(() -> tell(now -> router.timer(now, token, this),
                () -> timerNow(clock.now() + RETRY_TIMER_MS, token)), clock.nanosUntil(atMs), TimeUnit.NANOSECONDS);
    }

    private void sendNow(String request, String node, double timeoutMs) {
        Call call = calls.get(request);
        int attempt = call == null ? 0 : call.attempts++;
        double now = clock.now();
        double left = call == null ? 0 : call.deadline - now;
        double wait = timeoutMs == UNTIL_DEADLINE ? left : Math.min(timeoutMs, left);
        // Nothing goes out for a request that is over or late, past the attempts allowed, or beside another of its own.
        if (call == null || call.over || call.out != null || wait <= 0
                || attempt >= settings.limits().maxAttempts()) {
            tally.outcomes[Outcome.NEVER_SENT.ordinal()]++;
            report(request, call, attempt, node, Outcome.NEVER_SENT, 0, 0);
            return;
        }
        double giveUp = now + wait;
        Attempt out = new Attempt();
        call.out = out;
        out.exchange = pool.send(node, () -> call.toNode(giveUp - clock.now()), wait,
                (exchange, outcome, response) -> ended(call, attempt, node, now, outcome, response));
    }

    private static int note(FullHttpResponse response) {
        return switch (response == null ? "" : response.headers().get("X-Hit", "")) {
            case "hit" -> 1;
            case "miss" -> 2;
            case "pending" -> 3;
            default -> 0;
        };
    }

    private void probeNow(String node) {
        double now = clock.now();
        pool.send(node, () -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/alive"),
                settings.limits().connectTimeoutMs() * 2, (exchange, outcome, response) -> {
                    double elapsed = clock.now() - now;
                    tell(at -> router.probed(at, node, outcome, elapsed, Map.of(), this), () -> { });
                });
    }

    /** The attempt that is out; the pool may end it before it has handed the exchange over. */
    private static final class Attempt {
        private NodePool.Exchange exchange;

        void cancel() {
            if (exchange != null) {
                exchange.cancel();
            }
        }
    }

    /** A request in the table: open until its final answer, kept on until its last attempt has ended. */
    private static final class Call {
        final Request in;
        final Payload payload;
        final Client client;
        final double deadline;
        Future<?> backstop;
        Attempt out;
        int attempts;
        boolean proven = true;
        boolean over;

        Call(Request in, Payload payload, Client client, double deadline) {
            this.in = in;
            this.payload = payload;
            this.client = client;
            this.deadline = deadline;
        }

        FullHttpRequest toNode(double budgetMs) {
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, payload.method(),
                    payload.uri(), Unpooled.wrappedBuffer(payload.body()));
            request.headers().set(HttpHeaderNames.HOST, "service.internal").set("X-Call-Id", in.id())
                    .set("X-Budget", BigDecimal.valueOf(Math.max(1, Math.round(budgetMs)), 3).toPlainString());
            if (payload.key() != null) {
                request.headers().set("Idempotency-Key", payload.key());
            }
            if (payload.contentType() != null) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, payload.contentType());
            }
            if (payload.body().length > 0 || payload.method().equals(HttpMethod.PUT)) {
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, payload.body().length);
            }
            return request;
        }
    }
}
