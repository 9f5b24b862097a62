package ridgemill.gateway.halls;

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
import ridgemill.gateway.halls.HallWire.Reply;
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
public final class HallCrossings implements RequestForwarder<Content> {

    /** The least that is kept for the other hall's answer, so that it is under way when its time there is up. */
    private static final double LEAST_ANSWER_MS = 2;
    /** For how long other halls are asked what a key came to. */
    private static final double OUTCOME_MS = 250;

    private final EventLoop loop;
    private final Timers timers;
    private final DatacenterRouter halls;
    private final HallKeys keys;
    private final HallFront front;
    private final Deadlines deadlines;
    private final Consumer<String> settled;
    private final long seed;
    private final Map<String, HallLink> links = new HashMap<>();
    private final Map<String, Passage> open = new HashMap<>();
    /** Where requests of other halls were, until they come through here. */
    private final Map<String, Foreign> foreign = new HashMap<>();
    private final RequestCounters tally = new RequestCounters();
    private HallSettings settings;
    private int away;

    /** A request of another hall: where it was, and, once it has come through here, what becomes of it. */
    static final class Foreign {
        DatacenterPath trail;
        RoutedRequest passing;
    }

    /**
     * Puts it in the way of all requests; to be called on the loop.
     *
     * @param level the decisions' level of throttling, which other halls are told
     */
    public HallCrossings(EventLoop loop, Timers timers, Intake<Content> intake, HallSettings settings, IntSupplier level, long seed)
            throws IOException {
        this.loop = loop;
        this.timers = timers;
        this.settings = settings;
        this.settled = intake::requestFinished;
        this.deadlines = intake.deadlines();
        this.seed = seed;
        this.keys = new HallKeys(settings.security());
        this.halls = new DatacenterRouter(settings.policy(), timers.now());
        this.front = new HallFront(loop, timers, intake, this, halls, keys, level);
        intake.setForwarder(this);
        dial();
    }

    /** Starts to listen for other halls; not to be called before it is in the way. Null where none may come. */
    public ChannelFuture listen() {
        return settings.listen() == null ? null : front.listen(settings.listen());
    }

    private void dial() {
        settings.addresses().forEach((name, address) -> links.computeIfAbsent(name, n -> {
            HallLink link = new HallLink(loop, timers, settings.policy().datacenter(), name, settings.policy().datacenterOf(name), address, keys,
                    halls, seed);
            link.open();
            return link;
        }));
        for (String name : List.copyOf(links.keySet())) {
            if (!settings.addresses().containsKey(name)) {
                links.remove(name).close();
            }
        }
    }

    /** Other halls or other bounds hold from now on; its own name, address and proofs stay as they were. On the loop. */
    public void changeTo(HallSettings next) {
        settings = new HallSettings(settings.listen(), settings.security(), next.addresses(), next.policy());
        halls.changeTo(next.policy(), timers.now());
        dial();
    }

    /** Whether this much of the settings can't change while the proxy runs. */
    public boolean isFixedIn(HallSettings next) {
        return next != null && next.policy().datacenter().equals(settings.policy().datacenter())
                && next.security().equals(settings.security()) && Objects.equals(next.listen(), settings.listen());
    }

    /** Other halls are asked to send nothing more; on the loop. */
    public void leave() {
        front.leave();
    }

    /** Nothing more is taken from other halls; on the loop. */
    public void stop() {
        front.stop();
    }

    /** How halls, links and classes are, a line each; on the loop. */
    public List<String> explain() {
        List<String> lines = new ArrayList<>(halls.explain());
        links.values().forEach(l -> lines.add(l.explain()));
        lines.add(halls.counts() + " expired=" + front.expired() + " out=" + away);
        return lines;
    }

    void foreign(String id, Foreign from) {
        foreign.put(id, from);
    }

    void forgetForeign(String id) {
        foreign.remove(id);
    }

    @Override
    public void submit(Dispatcher<Content> home, ServiceClass service, Request in, Command<Content> command, ResponseHandler<Content> client) {
        Foreign from = foreign.remove(in.id());
        Passage passage = new Passage(home, service, in, command, client, from == null ? DatacenterPath.LOCAL : from.trail);
        if (from != null) {
            from.passing = passage.passing;
        }
        open.put(in.id(), passage);
        away++;
        passage.next(() -> halls.requestArrived(timers.now(), passage.passing));
    }

    @Override
    public boolean isOpen(String id) {
        return open.containsKey(id);
    }

    @Override
    public boolean clientGone(String id) {
        Passage passage = open.get(id);
        if (passage == null) {
            return false;
        }
        passage.clientGone();
        return true;
    }

    @Override
    public boolean mayHaveRun(String id) {
        Passage passage = open.get(id);
        return passage != null && passage.mayHaveRun();
    }

    @Override
    public boolean answerNow(String id) {
        Passage passage = open.get(id);
        if (passage == null) {
            return false;
        }
        passage.giveUp();
        return true;
    }

    @Override
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        List<HallLink> asked = List.copyOf(links.values());
        if (asked.isEmpty()) {
            found.accept(null);
            return;
        }
        Set<HallLink> silent = new HashSet<>(asked);
        boolean[] told = {false};
        Consumer<IdempotencyRecord> tell = known -> {
            if (!told[0]) {
                told[0] = true;
                found.accept(known);
            }
        };
        timers.scheduleAt(timers.now() + OUTCOME_MS, () -> tell.accept(null));
        asked.forEach(link -> link.askOutcome(key, tenant, known -> {
            silent.remove(link);
            if (known != null || silent.isEmpty()) {
                tell.accept(known);
            }
        }));
    }

    @Override
    public int pendingRequests() {
        return away;
    }

    @Override
    public RequestCounters counters() {
        return tally;
    }

    /** One request on its way. */
    private final class Passage implements ResponseHandler<Content> {
        private final Dispatcher<Content> home;
        private final Request in;
        private final Command<Content> command;
        private final ResponseHandler<Content> client;
        private final RoutedRequest passing;
        private boolean atHome;
        private boolean over;
        /** How home counted it, and its answer, which is given if nobody else has one. */
        private RequestCounters.RequestResult homeCounted;
        private Runnable homeAnswer = () -> { };
        private HallLink.Out out = () -> { };
        private boolean crossing;
        private double crossedMs;
        private ClassTimings times;
        private Timers.Timer timer;
        private List<String> whom;
        private final Map<String, KeyStatus> words = new HashMap<>();

        Passage(Dispatcher<Content> home, ServiceClass service, Request in, Command<Content> command, ResponseHandler<Content> client,
                DatacenterPath trail) {
            this.home = home;
            this.in = in;
            this.command = command;
            this.client = client;
            this.passing = new RoutedRequest(in.id(), service, command.idempotencyKey(), in.retry(), trail,
                    timers.now() + in.budgetMs());
        }

        /** Decides and goes on. A fault in a decision must not cost the request its answer, nor others theirs. */
        void next(Supplier<Step> decision) {
            try {
                take(decision.get());
            } catch (RuntimeException e) {
                Log.error("a decision between halls failed", e);
                away += atHome ? 1 : 0;
                atHome = false;
                end(RequestCounters.RequestResult.FAILED, client::failed);
            }
        }

        private void take(Step step) {
            if (step instanceof DatacenterRouter.TryHome h) {
                home(h.reserveMs());
            } else if (step instanceof DatacenterRouter.Forward a) {
                cross(a);
            } else if (step instanceof DatacenterRouter.QueryKey a) {
                ask(a);
            } else if (step instanceof DatacenterRouter.Refuse r) {
                end(RequestCounters.RequestResult.REFUSED, r.provenNotRun() ? () -> client.refused(r.retryAfterMs()) : () -> client.refusedMayHaveRun(r.retryAfterMs()));
            } else if (step instanceof DatacenterRouter.Fail) {
                end(RequestCounters.RequestResult.FAILED, client::failed);
            } else {
                end(homeCounted, homeAnswer);
            }
        }

        private void home(double reserveMs) {
            atHome = true;
            away--;
            double left = Math.max(0, passing.deadlineMs() - timers.now() - reserveMs);
            home.submit(in.withBudget(left), command, this);
        }

        private void cross(DatacenterRouter.Forward a) {
            crossing = true;
            HallLink link = links.get(a.gateway());
            double left = link == null ? 0 : a.timeoutMs() - link.leastMs() - reserveMs(a, link);
            times = deadlines.group("hall " + a.datacenter()).forClass(in.serviceClass());
            if (link == null || times.checkStage(RequestStage.CROSSING, timers.now(), left) != Verdict.GO || !HallWire.fits(command, in.serviceClass(), in.tenant())) {
                loop.execute(() -> crossed(Reply.of(ForwardOutcome.UNSENT)));
                return;
            }
            crossedMs = timers.now();
            timer = timers.scheduleAt(crossedMs + a.timeoutMs(), () -> {
                out.cancel();
                crossed(Reply.of(ForwardOutcome.LOST));
            });
            out = link.call(new HallWire.Call(in.id(), left, in.serviceClass(), in.tenant(), in.retry(), in.workMs(),
                    passing.forwardedPath(settings.policy().datacenter()), command), this::crossed);
        }

        /** What is kept for the other hall's answer: by what round trips of late exceed the least that is taken off already. */
        private double reserveMs(DatacenterRouter.Forward a, HallLink link) {
            ReturnDelay back = deadlines.returnDelay("hall " + a.datacenter());
            back.record(link.excessMs());
            return Math.max(LEAST_ANSWER_MS, back.reserveMs(a.timeoutMs(), deadlines.policy().maxReserveFraction()));
        }

        private void crossed(Reply reply) {
            if (over || !crossing) {
                return;
            }
            stopWaiting();
            crossing = false;
            double now = timers.now();
            if (reply.end() == ForwardOutcome.SERVED) {
                halls.forwardEnded(now, passing, ForwardOutcome.SERVED, 0, Set.of());
                if (reply.recorded() != null) {
                    end(RequestCounters.RequestResult.SERVED, () -> client.recorded(reply.recorded()));
                    return;
                }
                times.attemptAnswered(now, now - crossedMs, false, false);
                end(RequestCounters.RequestResult.SERVED, () -> client.served(new NodeResponse<>(reply.content(), NodeResponse.NO_CACHE_STATUS)));
            } else if (reply.conflict()) {
                halls.forwardEnded(now, passing, ForwardOutcome.REFUSED, 0, reply.beyond());
                end(RequestCounters.RequestResult.FAILED, client::conflict);
            } else {
                next(() -> halls.forwardEnded(timers.now(), passing, reply.end(), reply.retryAfterMs(), reply.beyond()));
            }
        }

        private void stopWaiting() {
            out = () -> { };
            if (timer != null) {
                timer.cancel();
                timer = null;
            }
        }

        private void ask(DatacenterRouter.QueryKey a) {
            whom = a.gateways();
            timer = timers.scheduleAt(timers.now() + a.timeoutMs(), this::allAsked);
            for (String gateway : whom) {
                links.get(gateway).askKey(passing.idempotencyKey(), passing.service().deduplicationWindowMs(), word -> {
                    if (whom != null) {
                        words.put(gateway, word);
                        if (words.size() == whom.size()) {
                            allAsked();
                        }
                    }
                });
            }
        }

        private void allAsked() {
            if (over || whom == null) {
                return;
            }
            List<String> asked = whom;
            whom = null;
            stopWaiting();
            next(() -> halls.keyStatusesReceived(timers.now(), passing, asked, words));
        }

        boolean mayHaveRun() {
            return crossing || atHome && home.mayHaveRun(in.id()) || passing.mayBeInProgress()
                    || !passing.forwardedPath(settings.policy().datacenter()).mayHaveRun().isEmpty();
        }

        void giveUp() {
            boolean proven = !mayHaveRun();
            boolean harmless = proven || passing.service().effect() == Effect.SAFE;
            letGo();
            end(harmless ? RequestCounters.RequestResult.REFUSED : RequestCounters.RequestResult.FAILED, proven ? () -> client.refused(0)
                    : harmless ? () -> client.refusedMayHaveRun(0) : client::failed);
        }

        void clientGone() {
            letGo();
            end(RequestCounters.RequestResult.GONE, () -> { });
        }

        private void letGo() {
            if (atHome) {
                // Home counts it and gives its place back.
                home.clientGone(in.id());
                halls.homeEnded(timers.now(), passing, HomeOutcome.GONE, false);
                homeCounted = RequestCounters.RequestResult.GONE;
                atHome = false;
                away++;
            } else if (whom != null) {
                halls.keyStatusesReceived(timers.now(), passing, whom, Map.of());
                whom = null;
            } else if (crossing) {
                crossing = false;
                out.cancel();
                halls.forwardEnded(timers.now(), passing, ForwardOutcome.GONE, 0, Set.of());
            }
        }

        private void end(RequestCounters.RequestResult end, Runnable answer) {
            if (over) {
                return;
            }
            over = true;
            stopWaiting();
            away--;
            open.remove(in.id());
            halls.requestFinished(passing);
            if (homeCounted == null) {
                tally.requestStarted();
                tally.requestEnded(in.serviceClass(), end);
                settled.accept(in.serviceClass());
            } else if (homeCounted != end) {
                tally.changeResult(in.serviceClass(), homeCounted, end);
            }
            answer.run();
        }

        // What home says.

        private void homeEnded(HomeOutcome end, RequestCounters.RequestResult counted, Runnable answer) {
            if (over || !atHome) {
                Log.info("halls: home answered " + in.id() + " twice");
                return;
            }
            atHome = false;
            away++;
            homeCounted = counted;
            homeAnswer = answer;
            next(() -> halls.homeEnded(timers.now(), passing, end, !home.isOpen(in.id())));
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
