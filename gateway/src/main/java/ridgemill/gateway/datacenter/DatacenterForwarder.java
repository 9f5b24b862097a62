package ridgemill.gateway.datacenter;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import ridgemill.core.NodeResponse;
import ridgemill.core.ResponseHandler;
import ridgemill.core.Command;
import ridgemill.core.RequestForwarder;
import ridgemill.core.Dispatcher;
import ridgemill.core.Intake;
import ridgemill.core.RequestCounters;
import ridgemill.core.Timers;
import ridgemill.deadline.ClassTimings;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.RequestStage;
import ridgemill.deadline.Verdict;
import ridgemill.deadline.ReturnDelay;
import ridgemill.gateway.datacenter.DatacenterWire.Reply;
import ridgemill.gateway.net.Content;
import ridgemill.gateway.net.Log;
import ridgemill.datacenter.DatacenterRouter.ForwardOutcome;
import ridgemill.datacenter.DatacenterRouter.HomeOutcome;
import ridgemill.datacenter.DatacenterRouter.Step;
import ridgemill.datacenter.DatacenterRouter.KeyStatus;
import ridgemill.datacenter.DatacenterRouter;
import ridgemill.datacenter.RoutedRequest;
import ridgemill.datacenter.DatacenterPath;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;

/**
 * Carries out what {@link DatacenterRouter} decides: hands requests to this hall's nodes or to a link, and gives each its one final
 * answer. All of it runs on the loop.
 */
public final class DatacenterForwarder implements RequestForwarder<Content> {

    /** The least that is kept for the other hall's answer, so that it is under way when its time there is up. */
    private static final double MIN_RESERVE_MS = 2;
    /** For how long other halls are asked what a key came to. */
    private static final double OUTCOME_QUERY_TIMEOUT_MS = 250;

    private final EventLoop loop;
    private final Timers timers;
    private final DatacenterRouter router;
    private final DatacenterAuthenticator authenticator;
    private final DatacenterServer server;
    private final Deadlines deadlines;
    private final Consumer<String> onFinished;
    private final long seed;
    private final Map<String, DatacenterLink> links = new HashMap<>();
    private final Map<String, PendingRequest> openRequests = new HashMap<>();
    /** Where requests of other halls were, until they come through here. */
    private final Map<String, RemoteRequest> remoteRequests = new HashMap<>();
    private final RequestCounters counters = new RequestCounters();
    private DatacenterSettings settings;
    private int requestsAwayFromHome;

    /** A request of another hall: where it was, and, once it has come through here, what becomes of it. */
    static final class RemoteRequest {
        DatacenterPath path;
        RoutedRequest routed;
    }

    /**
     * Puts it in the way of all requests; to be called on the loop.
     *
     * @param level the decisions' level of throttling, which other halls are told
     */
    public DatacenterForwarder(EventLoop loop, Timers timers, Intake<Content> intake, DatacenterSettings settings, IntSupplier level, long seed)
            throws IOException {
        this.loop = loop;
        this.timers = timers;
        this.settings = settings;
        this.onFinished = intake::requestFinished;
        this.deadlines = intake.deadlines();
        this.seed = seed;
        this.authenticator = new DatacenterAuthenticator(settings.security());
        this.router = new DatacenterRouter(settings.policy(), timers.now());
        this.server = new DatacenterServer(loop, timers, intake, this, router, authenticator, level);
        intake.setForwarder(this);
        updateLinks();
    }

    /** Starts to listen for other halls; not to be called before it is in the way. Null where none may come. */
    public ChannelFuture listen() {
        return settings.listen() == null ? null : server.listen(settings.listen());
    }

    private void updateLinks() {
        settings.gatewayAddresses().forEach((name, address) -> links.computeIfAbsent(name, n -> {
            DatacenterLink link = new DatacenterLink(loop, timers, settings.policy().datacenter(), name, settings.policy().datacenterOf(name), address, authenticator,
                    router, seed);
            link.open();
            return link;
        }));
        for (String name : List.copyOf(links.keySet())) {
            if (!settings.gatewayAddresses().containsKey(name)) {
                links.remove(name).close();
            }
        }
    }

    /** Other halls or other bounds hold from now on; its own name, address and proofs stay as they were. On the loop. */
    public void applySettings(DatacenterSettings next) {
        settings = new DatacenterSettings(settings.listen(), settings.security(), next.gatewayAddresses(), next.policy());
        router.changeTo(next.policy(), timers.now());
        updateLinks();
    }

    /** Whether this much of the settings can't change while the proxy runs. */
    public boolean hasSameFixedSettings(DatacenterSettings next) {
        return next != null && next.policy().datacenter().equals(settings.policy().datacenter())
                && next.security().equals(settings.security()) && Objects.equals(next.listen(), settings.listen());
    }

    /** Other halls are asked to send nothing more; on the loop. */
    public void announceLeaving() {
        server.announceLeaving();
    }

    /** Nothing more is taken from other halls; on the loop. */
    public void stop() {
        server.stop();
    }

    /** How halls, links and classes are, a line each; on the loop. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>(router.explain());
        links.values().forEach(l -> lines.add(l.explain()));
        lines.add(router.counts() + " expired=" + server.expired() + " out=" + requestsAwayFromHome);
        return lines;
    }

    void addRemoteRequest(String id, RemoteRequest from) {
        remoteRequests.put(id, from);
    }

    void removeRemoteRequest(String id) {
        remoteRequests.remove(id);
    }

    @Override
    public void submit(Dispatcher<Content> home, ServiceClass service, Request in, Command<Content> command, ResponseHandler<Content> client) {
        RemoteRequest from = remoteRequests.remove(in.id());
        PendingRequest passage = new PendingRequest(home, service, in, command, client, from == null ? DatacenterPath.LOCAL : from.path);
        if (from != null) {
            from.routed = passage.routed;
        }
        openRequests.put(in.id(), passage);
        requestsAwayFromHome++;
        passage.proceed(() -> router.requestArrived(timers.now(), passage.routed));
    }

    @Override
    public boolean isOpen(String id) {
        return openRequests.containsKey(id);
    }

    @Override
    public boolean clientGone(String id) {
        PendingRequest passage = openRequests.get(id);
        if (passage == null) {
            return false;
        }
        passage.clientGone();
        return true;
    }

    @Override
    public boolean mayHaveRun(String id) {
        PendingRequest passage = openRequests.get(id);
        return passage != null && passage.mayHaveRun();
    }

    @Override
    public boolean answerNow(String id) {
        PendingRequest passage = openRequests.get(id);
        if (passage == null) {
            return false;
        }
        passage.answerNow();
        return true;
    }

    @Override
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        List<DatacenterLink> asked = List.copyOf(links.values());
        if (asked.isEmpty()) {
            found.accept(null);
            return;
        }
        Set<DatacenterLink> silent = new HashSet<>(asked);
        boolean[] told = {false};
        Consumer<IdempotencyRecord> tell = known -> {
            if (!told[0]) {
                told[0] = true;
                found.accept(known);
            }
        };
        timers.scheduleAt(timers.now() + OUTCOME_QUERY_TIMEOUT_MS, () -> tell.accept(null));
        asked.forEach(link -> link.queryOutcome(key, tenant, known -> {
            silent.remove(link);
            if (known != null || silent.isEmpty()) {
                tell.accept(known);
            }
        }));
    }

    @Override
    public int pendingRequests() {
        return requestsAwayFromHome;
    }

    @Override
    public RequestCounters counters() {
        return counters;
    }

    /** One request on its way. */
    private final class PendingRequest implements ResponseHandler<Content> {
        private final Dispatcher<Content> homeDispatcher;
        private final Request request;
        private final Command<Content> command;
        private final ResponseHandler<Content> client;
        private final RoutedRequest routed;
        private boolean atHome;
        private boolean finished;
        /** How home counted it, and its answer, which is given if nobody else has one. */
        private RequestCounters.RequestResult homeResult;
        private Runnable homeResponse = () -> { };
        private DatacenterLink.OutgoingCall outgoingCall = () -> { };
        private boolean forwarding;
        private double forwardedAtMs;
        private ClassTimings timings;
        private Timers.Timer timer;
        private List<String> queriedGateways;
        private final Map<String, KeyStatus> keyStatuses = new HashMap<>();

        PendingRequest(Dispatcher<Content> home, ServiceClass service, Request in, Command<Content> command, ResponseHandler<Content> client,
                DatacenterPath trail) {
            this.homeDispatcher = home;
            this.request = in;
            this.command = command;
            this.client = client;
            this.routed = new RoutedRequest(in.id(), service, command.idempotencyKey(), in.retry(), trail,
                    timers.now() + in.budgetMs());
        }

        /** Decides and goes on. A fault in a decision must not cost the request its answer, nor others theirs. */
        void proceed(Supplier<Step> decision) {
            try {
                perform(decision.get());
            } catch (RuntimeException e) {
                Log.error("a decision between halls failed", e);
                requestsAwayFromHome += atHome ? 1 : 0;
                atHome = false;
                finish(RequestCounters.RequestResult.FAILED, client::failed);
            }
        }

        private void perform(Step step) {
            if (step instanceof DatacenterRouter.TryHome h) {
                submitHome(h.reserveMs());
            } else if (step instanceof DatacenterRouter.Forward a) {
                forward(a);
            } else if (step instanceof DatacenterRouter.QueryKey a) {
                queryKey(a);
            } else if (step instanceof DatacenterRouter.Refuse r) {
                finish(RequestCounters.RequestResult.REFUSED, r.provenNotRun() ? () -> client.refused(r.retryAfterMs()) : () -> client.refusedMayHaveRun(r.retryAfterMs()));
            } else if (step instanceof DatacenterRouter.Fail) {
                finish(RequestCounters.RequestResult.FAILED, client::failed);
            } else {
                finish(homeResult, homeResponse);
            }
        }

        private void submitHome(double reserveMs) {
            atHome = true;
            requestsAwayFromHome--;
            double left = Math.max(0, routed.deadlineMs() - timers.now() - reserveMs);
            homeDispatcher.submit(request.withBudget(left), command, this);
        }

        private void forward(DatacenterRouter.Forward a) {
            forwarding = true;
            DatacenterLink link = links.get(a.gateway());
            double left = link == null ? 0 : a.timeoutMs() - link.minRoundTripMs() - reserveMs(a, link);
            timings = deadlines.group("hall " + a.datacenter()).forClass(request.serviceClass());
            if (link == null || timings.checkStage(RequestStage.CROSSING, timers.now(), left) != Verdict.GO || !DatacenterWire.fitsHeaders(command, request.serviceClass(), request.tenant())) {
                loop.execute(() -> forwardEnded(Reply.of(ForwardOutcome.UNSENT)));
                return;
            }
            forwardedAtMs = timers.now();
            timer = timers.scheduleAt(forwardedAtMs + a.timeoutMs(), () -> {
                outgoingCall.cancel();
                forwardEnded(Reply.of(ForwardOutcome.LOST));
            });
            outgoingCall = link.call(new DatacenterWire.Call(request.id(), left, request.serviceClass(), request.tenant(), request.retry(), request.workMs(),
                    routed.forwardedPath(settings.policy().datacenter()), command), this::forwardEnded);
        }

        /** What is kept for the other hall's answer: by what round trips of late exceed the least that is taken off already. */
        private double reserveMs(DatacenterRouter.Forward a, DatacenterLink link) {
            ReturnDelay back = deadlines.returnDelay("hall " + a.datacenter());
            back.record(link.excessRoundTripMs());
            return Math.max(MIN_RESERVE_MS, back.reserveMs(a.timeoutMs(), deadlines.policy().maxReserveFraction()));
        }

        private void forwardEnded(Reply reply) {
            if (finished || !forwarding) {
                return;
            }
            stopWaiting();
            forwarding = false;
            double now = timers.now();
            if (reply.outcome() == ForwardOutcome.SERVED) {
                router.forwardEnded(now, routed, ForwardOutcome.SERVED, 0, Set.of());
                if (reply.recorded() != null) {
                    finish(RequestCounters.RequestResult.SERVED, () -> client.recorded(reply.recorded()));
                    return;
                }
                timings.attemptAnswered(now, now - forwardedAtMs, false, false);
                finish(RequestCounters.RequestResult.SERVED, () -> client.served(new NodeResponse<>(reply.content(), NodeResponse.NO_CACHE_STATUS)));
            } else if (reply.conflict()) {
                router.forwardEnded(now, routed, ForwardOutcome.REFUSED, 0, reply.enteredDatacenters());
                finish(RequestCounters.RequestResult.FAILED, client::conflict);
            } else {
                proceed(() -> router.forwardEnded(timers.now(), routed, reply.outcome(), reply.retryAfterMs(), reply.enteredDatacenters()));
            }
        }

        private void stopWaiting() {
            outgoingCall = () -> { };
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        private void queryKey(DatacenterRouter.QueryKey a) {
            queriedGateways = a.gateways();
            timer = timers.scheduleAt(timers.now() + a.timeoutMs(), this::keyQueryEnded);
            for (String gateway : queriedGateways) {
                links.get(gateway).queryKey(routed.idempotencyKey(), routed.service().deduplicationWindowMs(), word -> {
                    if (queriedGateways != null) {
                        keyStatuses.put(gateway, word);
                        if (keyStatuses.size() == queriedGateways.size()) {
                            keyQueryEnded();
                        }
                    }
                });
            }
        }

        private void keyQueryEnded() {
            if (finished || queriedGateways == null) {
                return;
            }
            List<String> asked = queriedGateways;
            queriedGateways = null;
            stopWaiting();
            proceed(() -> router.keyStatusesReceived(timers.now(), routed, asked, keyStatuses));
        }

        boolean mayHaveRun() {
            return forwarding || atHome && homeDispatcher.mayHaveRun(request.id()) || routed.mayBeInProgress()
                    || !routed.forwardedPath(settings.policy().datacenter()).mayHaveRun().isEmpty();
        }

        void answerNow() {
            boolean proven = !mayHaveRun();
            boolean harmless = proven || routed.service().effect() == Effect.SAFE;
            abandon();
            finish(harmless ? RequestCounters.RequestResult.REFUSED : RequestCounters.RequestResult.FAILED, proven ? () -> client.refused(0)
                    : harmless ? () -> client.refusedMayHaveRun(0) : client::failed);
        }

        void clientGone() {
            abandon();
            finish(RequestCounters.RequestResult.GONE, () -> { });
        }

        private void abandon() {
            if (atHome) {
                // Home counts it and gives its place back.
                homeDispatcher.clientGone(request.id());
                router.homeEnded(timers.now(), routed, HomeOutcome.GONE, false);
                homeResult = RequestCounters.RequestResult.GONE;
                atHome = false;
                requestsAwayFromHome++;
            } else if (queriedGateways != null) {
                router.keyStatusesReceived(timers.now(), routed, queriedGateways, Map.of());
                queriedGateways = null;
            } else if (forwarding) {
                forwarding = false;
                outgoingCall.cancel();
                router.forwardEnded(timers.now(), routed, ForwardOutcome.GONE, 0, Set.of());
            }
        }

        private void finish(RequestCounters.RequestResult end, Runnable answer) {
            if (finished) {
                return;
            }
            finished = true;
            stopWaiting();
            requestsAwayFromHome--;
            openRequests.remove(request.id());
            router.requestFinished(routed);
            if (homeResult == null) {
                counters.requestStarted();
                counters.requestEnded(request.serviceClass(), end);
                onFinished.accept(request.serviceClass());
            } else if (homeResult != end) {
                counters.changeResult(request.serviceClass(), homeResult, end);
            }
            answer.run();
        }

        // What home says.

        private void homeEnded(HomeOutcome end, RequestCounters.RequestResult counted, Runnable answer) {
            if (finished || !atHome) {
                Log.info("halls: home answered " + request.id() + " twice");
                return;
            }
            atHome = false;
            requestsAwayFromHome++;
            homeResult = counted;
            homeResponse = answer;
            proceed(() -> router.homeEnded(timers.now(), routed, end, !homeDispatcher.isOpen(request.id())));
        }

        @Override
        public void reason(Reason why) {
            client.reason(why);
        }

        @Override
        public void served(NodeResponse<Content> answer) {
            homeEnded(HomeOutcome.SERVED, RequestCounters.RequestResult.SERVED, () -> client.served(answer));
        }

        @Override
        public void recorded(String call) {
            homeEnded(HomeOutcome.SERVED, RequestCounters.RequestResult.SERVED, () -> client.recorded(call));
        }

        @Override
        public void conflict() {
            homeEnded(HomeOutcome.SERVED, RequestCounters.RequestResult.FAILED, client::conflict);
        }

        @Override
        public void refused(double retryAfterMs) {
            homeEnded(HomeOutcome.REFUSED, RequestCounters.RequestResult.REFUSED, () -> client.refused(retryAfterMs));
        }

        @Override
        public void refusedMayHaveRun(double retryAfterMs) {
            homeEnded(HomeOutcome.UNPROVEN, RequestCounters.RequestResult.REFUSED, () -> client.refusedMayHaveRun(retryAfterMs));
        }

        @Override
        public void failed() {
            homeEnded(HomeOutcome.FAILED, RequestCounters.RequestResult.FAILED, client::failed);
        }
    }
}
