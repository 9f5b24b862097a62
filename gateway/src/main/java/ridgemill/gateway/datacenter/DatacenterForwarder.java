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
 * Carries out the decisions of {@link DatacenterRouter}: passes requests to the nodes of this datacenter or to a link,
 * and gives each request exactly one final response. All methods must be called on the event loop.
 */
public final class DatacenterForwarder implements RequestForwarder<Content> {

    /**
     * Least time reserved for the way back, so that the other datacenter responds before the time of the request ends
     * here.
     */
    private static final double MIN_RESERVE_MS = 2;
    /** How long other datacenters are queried for the outcome of an idempotency key. */
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
    /** Requests of other datacenters by id, until the intake submits them here. */
    private final Map<String, RemoteRequest> remoteRequests = new HashMap<>();
    private final RequestCounters counters = new RequestCounters();
    private DatacenterSettings settings;
    private int requestsAwayFromHome;

    /** A request of another datacenter: its path so far and, once it is submitted here, its routing state. */
    static final class RemoteRequest {
        DatacenterPath path;
        RoutedRequest routed;
    }

    /**
     * Creates the forwarder and installs it at the intake, so that all requests pass through it.
     *
     * @param throttlingLevel returns the throttling level of the routing policy, which is sent to other datacenters
     * @throws IOException if the certificates are not usable
     */
    public DatacenterForwarder(EventLoop loop, Timers timers, Intake<Content> intake, DatacenterSettings settings,
                               IntSupplier throttlingLevel, long seed)
            throws IOException {
        this.loop = loop;
        this.timers = timers;
        this.settings = settings;
        this.onFinished = intake::requestFinished;
        this.deadlines = intake.deadlines();
        this.seed = seed;
        this.authenticator = new DatacenterAuthenticator(settings.security());
        this.router = new DatacenterRouter(settings.policy(), timers.now());
        this.server = new DatacenterServer(loop, timers, intake, this, router, authenticator, throttlingLevel);
        intake.setForwarder(this);
        updateLinks();
    }

    /** Starts to listen for other datacenters, with this forwarder installed; returns null if none may connect. */
    public ChannelFuture listen() {
        return settings.listen() == null ? null : server.listen(settings.listen());
    }

    private void updateLinks() {
        settings.gatewayAddresses().forEach((name, address) -> links.computeIfAbsent(name, n -> {
            DatacenterLink link = new DatacenterLink(loop, timers, settings.policy().datacenter(), name,
                    settings.policy().datacenterOf(name), address, authenticator, router, seed);
            link.open();
            return link;
        }));
        for (String name : List.copyOf(links.keySet())) {
            if (!settings.gatewayAddresses().containsKey(name)) {
                links.remove(name).close();
            }
        }
    }

    /** Applies changed settings; the own name, listen address and security stay as they were. */
    public void applySettings(DatacenterSettings next) {
        settings = new DatacenterSettings(settings.listen(), settings.security(), next.gatewayAddresses(),
                next.policy());
        router.changeTo(next.policy(), timers.now());
        updateLinks();
    }

    /** Whether other settings agree with the present ones in the parts that cannot change while the proxy runs. */
    public boolean hasSameFixedSettings(DatacenterSettings next) {
        return next != null && next.policy().datacenter().equals(settings.policy().datacenter())
                && next.security().equals(settings.security()) && Objects.equals(next.listen(), settings.listen());
    }

    /** Announces to other datacenters that they should send no more requests. */
    public void announceLeaving() {
        server.announceLeaving();
    }

    /** Stops accepting requests of other datacenters. */
    public void stop() {
        server.stop();
    }

    /** Describes the state of datacenters, links and classes, one line each. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>(router.explain());
        links.values().forEach(link -> lines.add(link.explain()));
        lines.add(router.counts() + " expired=" + server.expired() + " out=" + requestsAwayFromHome);
        return lines;
    }

    void addRemoteRequest(String id, RemoteRequest remote) {
        remoteRequests.put(id, remote);
    }

    void removeRemoteRequest(String id) {
        remoteRequests.remove(id);
    }

    @Override
    public void submit(Dispatcher<Content> home, ServiceClass service, Request request, Command<Content> command,
                       ResponseHandler<Content> client) {
        RemoteRequest remote = remoteRequests.remove(request.id());
        PendingRequest pending = new PendingRequest(home, service, request, command, client,
                remote == null ? DatacenterPath.LOCAL : remote.path);
        if (remote != null) {
            remote.routed = pending.routed;
        }
        openRequests.put(request.id(), pending);
        requestsAwayFromHome++;
        pending.proceed(() -> router.requestArrived(timers.now(), pending.routed));
    }

    @Override
    public boolean isOpen(String id) {
        return openRequests.containsKey(id);
    }

    @Override
    public boolean clientDisconnected(String id) {
        PendingRequest pending = openRequests.get(id);
        if (pending == null) {
            return false;
        }
        pending.clientGone();
        return true;
    }

    @Override
    public boolean mayHaveRun(String id) {
        PendingRequest pending = openRequests.get(id);
        return pending != null && pending.mayHaveRun();
    }

    @Override
    public boolean answerNow(String id) {
        PendingRequest pending = openRequests.get(id);
        if (pending == null) {
            return false;
        }
        pending.answerNow();
        return true;
    }

    @Override
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        List<DatacenterLink> queried = List.copyOf(links.values());
        if (queried.isEmpty()) {
            found.accept(null);
            return;
        }
        Set<DatacenterLink> unanswered = new HashSet<>(queried);
        boolean[] completed = {false};
        Consumer<IdempotencyRecord> complete = outcome -> {
            if (!completed[0]) {
                completed[0] = true;
                found.accept(outcome);
            }
        };
        timers.scheduleAt(timers.now() + OUTCOME_QUERY_TIMEOUT_MS, () -> complete.accept(null));
        queried.forEach(link -> link.queryOutcome(key, tenant, outcome -> {
            unanswered.remove(link);
            if (outcome != null || unanswered.isEmpty()) {
                complete.accept(outcome);
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

    /** One request without a final response. */
    private final class PendingRequest implements ResponseHandler<Content> {
        private final Dispatcher<Content> homeDispatcher;
        private final Request request;
        private final Command<Content> command;
        private final ResponseHandler<Content> client;
        private final RoutedRequest routed;
        private boolean atHome;
        private boolean finished;
        /**
         * The result that the home datacenter counted, and its response, which is used if no other datacenter gives
         * one.
         */
        private RequestCounters.RequestResult homeResult;
        private Runnable homeResponse = () -> { };
        private DatacenterLink.OutgoingCall outgoingCall = () -> { };
        private boolean forwarding;
        private double forwardedAtMs;
        private ClassTimings timings;
        private Timers.Timer timer;
        private List<String> queriedGateways;
        private final Map<String, KeyStatus> keyStatuses = new HashMap<>();

        PendingRequest(Dispatcher<Content> homeDispatcher, ServiceClass service, Request request,
                       Command<Content> command, ResponseHandler<Content> client, DatacenterPath path) {
            this.homeDispatcher = homeDispatcher;
            this.request = request;
            this.command = command;
            this.client = client;
            this.routed = new RoutedRequest(request.id(), service, command.idempotencyKey(), request.retry(), path,
                    timers.now() + request.budgetMs());
        }

        /**
         * Performs the next decision. An exception in it fails only this request, and the request still gets a
         * response.
         */
        void proceed(Supplier<Step> decision) {
            try {
                perform(decision.get());
            } catch (RuntimeException e) {
                Log.error("a routing decision between datacenters failed", e);
                requestsAwayFromHome += atHome ? 1 : 0;
                atHome = false;
                finish(RequestCounters.RequestResult.FAILED, client::failed);
            }
        }

        private void perform(Step step) {
            if (step instanceof DatacenterRouter.TryHome tryHome) {
                submitHome(tryHome.reserveMs());
            } else if (step instanceof DatacenterRouter.Forward forward) {
                forward(forward);
            } else if (step instanceof DatacenterRouter.QueryKey query) {
                queryKey(query);
            } else if (step instanceof DatacenterRouter.Refuse refusal) {
                finish(RequestCounters.RequestResult.REFUSED, refusal.provenNotRun()
                        ? () -> client.refused(refusal.retryAfterMs())
                        : () -> client.refusedMayHaveRun(refusal.retryAfterMs()));
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

        private void forward(DatacenterRouter.Forward forward) {
            forwarding = true;
            DatacenterLink link = links.get(forward.gateway());
            double left = link == null ? 0 : forward.timeoutMs() - link.minRoundTripMs() - reserveMs(forward, link);
            timings = deadlines.group("hall " + forward.datacenter()).forClass(request.serviceClass());
            if (link == null || timings.checkStage(RequestStage.CROSSING, timers.now(), left) != Verdict.GO
                    || !DatacenterWire.fitsHeaders(command, request.serviceClass(), request.tenant())) {
                loop.execute(() -> forwardEnded(Reply.of(ForwardOutcome.UNSENT)));
                return;
            }
            forwardedAtMs = timers.now();
            timer = timers.scheduleAt(forwardedAtMs + forward.timeoutMs(), () -> {
                outgoingCall.cancel();
                forwardEnded(Reply.of(ForwardOutcome.LOST));
            });
            outgoingCall = link.call(new DatacenterWire.Call(request.id(), left, request.serviceClass(),
                    request.tenant(), request.retry(), request.workMs(),
                    routed.forwardedPath(settings.policy().datacenter()), command), this::forwardEnded);
        }

        /**
         * Returns the time reserved for the way back, from the recent round trips in excess of the minimum; the
         * minimum itself is subtracted separately.
         */
        private double reserveMs(DatacenterRouter.Forward forward, DatacenterLink link) {
            ReturnDelay returnDelay = deadlines.returnDelay("hall " + forward.datacenter());
            returnDelay.record(link.excessRoundTripMs());
            return Math.max(MIN_RESERVE_MS, returnDelay.reserveMs(forward.timeoutMs(),
                    deadlines.policy().maxReserveFraction()));
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
                finish(RequestCounters.RequestResult.SERVED, () ->
                        client.served(new NodeResponse<>(reply.content(), NodeResponse.NO_CACHE_STATUS)));
            } else if (reply.conflict()) {
                router.forwardEnded(now, routed, ForwardOutcome.REFUSED, 0, reply.enteredDatacenters());
                finish(RequestCounters.RequestResult.FAILED, client::conflict);
            } else {
                proceed(() -> router.forwardEnded(timers.now(), routed, reply.outcome(), reply.retryAfterMs(),
                        reply.enteredDatacenters()));
            }
        }

        private void stopWaiting() {
            outgoingCall = () -> { };
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        private void queryKey(DatacenterRouter.QueryKey query) {
            queriedGateways = query.gateways();
            timer = timers.scheduleAt(timers.now() + query.timeoutMs(), this::keyQueryEnded);
            for (String gateway : queriedGateways) {
                links.get(gateway).queryKey(routed.idempotencyKey(), routed.service().deduplicationWindowMs(),
                        status -> {
                    if (queriedGateways != null) {
                        keyStatuses.put(gateway, status);
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
            List<String> queried = queriedGateways;
            queriedGateways = null;
            stopWaiting();
            proceed(() -> router.keyStatusesReceived(timers.now(), routed, queried, keyStatuses));
        }

        boolean mayHaveRun() {
            return forwarding || atHome && homeDispatcher.mayHaveRun(request.id()) || routed.mayBeInProgress()
                    || !routed.forwardedPath(settings.policy().datacenter()).mayHaveRun().isEmpty();
        }

        void answerNow() {
            boolean provenNotRun = !mayHaveRun();
            boolean safeToRefuse = provenNotRun || routed.service().effect() == Effect.SAFE;
            abandon();
            finish(safeToRefuse ? RequestCounters.RequestResult.REFUSED : RequestCounters.RequestResult.FAILED,
                    provenNotRun ? () -> client.refused(0)
                    : safeToRefuse ? () -> client.refusedMayHaveRun(0) : client::failed);
        }

        void clientGone() {
            abandon();
            finish(RequestCounters.RequestResult.GONE, () -> { });
        }

        private void abandon() {
            if (atHome) {
                // The home datacenter counts the request and frees its capacity.
                homeDispatcher.clientDisconnected(request.id());
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

        private void finish(RequestCounters.RequestResult result, Runnable response) {
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
                counters.requestEnded(request.serviceClass(), result);
                onFinished.accept(request.serviceClass());
            } else if (homeResult != result) {
                counters.changeResult(request.serviceClass(), homeResult, result);
            }
            response.run();
        }

        // Responses of the home datacenter.

        private void homeEnded(HomeOutcome outcome, RequestCounters.RequestResult result, Runnable response) {
            if (finished || !atHome) {
                Log.info("halls: the home datacenter responded to " + request.id() + " twice");
                return;
            }
            atHome = false;
            requestsAwayFromHome++;
            homeResult = result;
            homeResponse = response;
            proceed(() -> router.homeEnded(timers.now(), routed, outcome, !homeDispatcher.isOpen(request.id())));
        }

        @Override
        public void reason(Reason reason) {
            client.reason(reason);
        }

        @Override
        public void served(NodeResponse<Content> response) {
            homeEnded(HomeOutcome.SERVED, RequestCounters.RequestResult.SERVED, () -> client.served(response));
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
            homeEnded(HomeOutcome.UNPROVEN, RequestCounters.RequestResult.REFUSED,
                    () -> client.refusedMayHaveRun(retryAfterMs));
        }

        @Override
        public void failed() {
            homeEnded(HomeOutcome.FAILED, RequestCounters.RequestResult.FAILED, client::failed);
        }
    }
}
