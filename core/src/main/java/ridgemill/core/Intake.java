package ridgemill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ridgemill.deadline.ClassTimings;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.RequestStage;
import ridgemill.deadline.Verdict;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.Request;
import ridgemill.policy.Router.ServiceClass;

/**
 * Entry point for the requests of all frontends. It asks the admission controller about each request, holds queued
 * ones, and passes the others to the dispatcher of their node group, through the forwarder and the deduplicator if
 * these are set. A queued request gets its final response like any other: when its wait is over, when another takes its
 * position, or when the configuration that it was admitted under no longer applies.
 *
 * <p>Not thread-safe: the owner calls it from one thread.
 *
 * @param <C> the content type that frontends and backends share
 */
public final class Intake<C> {

    /** Class name under which requests of unknown classes are counted. */
    private static final String NO_CLASS = "";
    /** Name of the node group that the platform's host list defines. */
    public static final String PLATFORM_GROUP = "";

    /** A queued request. */
    private record Waiting<C>(AdmissionController.Admitted go, Request in, Command<C> command,
                              ResponseHandler<C> client, double sinceMs, Timers.Timer patience) { }

    private final Timers timers;
    private final AdmissionController gate;
    private final Deadlines deadlines;
    private final Map<String, Dispatcher<C>> groups = new HashMap<>();
    /** The dispatchers of all groups, and those of removed groups that still have pending requests. */
    private final List<Dispatcher<C>> dispatchers = new ArrayList<>();
    private final Map<String, Waiting<C>> line = new HashMap<>();
    private final RequestCounters tally = new RequestCounters();
    private VersionTracker acts = VersionTracker.NONE;
    private RequestForwarder<C> detour;
    private WriteDeduplicator<C> recorder;
    private boolean advancing;

    /** Creates an intake that does not enforce deadlines; nodes are still sent the remaining time. */
    public Intake(Timers timers, AdmissionController gate) {
        this(timers, gate, new Deadlines(DeadlinePolicy.OFF));
    }

    /** Creates an intake that enforces deadlines by the given policy. */
    public Intake(Timers timers, AdmissionController gate, Deadlines deadlines) {
        this.timers = timers;
        this.gate = gate;
        this.deadlines = deadlines;
    }

    /** The deadline handling of this proxy, for frontends and metrics. */
    public Deadlines deadlines() {
        return deadlines;
    }

    /** The current time by the clock that measures waits, in milliseconds. */
    public double now() {
        return timers.now();
    }

    /**
     * Sets the deduplicator of writes with idempotency keys; null for none, which is allowed only while none is open.
     */
    public void setDeduplicator(WriteDeduplicator<C> through) {
        recorder = through;
    }

    /** Whether outcomes of writes with idempotency keys are recorded. */
    public boolean deduplicates() {
        return recorder != null;
    }

    /** The record of an idempotency key, for the tenant that used it; null if there is none. */
    public IdempotencyRecord findLocalOutcome(String key, String tenant) {
        return recorder == null ? null : recorder.records().find(timers.now(), key, tenant);
    }

    /**
     * Finds the record of an idempotency key, and queries other datacenters if there is none here. {@code found} is
     * called once.
     */
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        IdempotencyRecord known = findLocalOutcome(key, tenant);
        if (known != null || recorder == null || detour == null) {
            found.accept(known);
        } else {
            detour.findOutcome(key, tenant, found);
        }
    }

    /** Adds a node group; requests for it go to this dispatcher from now on. */
    public void addGroup(String name, Dispatcher<C> dispatcher) {
        groups.put(name, dispatcher);
        dispatchers.add(dispatcher);
        dispatcher.setVersionTracker(acts, name);
    }

    /** Removes a node group; its pending requests are still answered. */
    public void removeGroup(String name) {
        groups.remove(name);
        for (Dispatcher<C> d : List.copyOf(dispatchers)) {
            if (!groups.containsValue(d) && d.pendingRequests() == 0) {
                dispatchers.remove(d);
                tally.add(d.counters());
            }
        }
    }

    /** Sets the version tracker of requests that arrive from now on, in all present and future groups. */
    public void setVersionTracker(VersionTracker to) {
        acts = to;
        groups.forEach((name, dispatcher) -> dispatcher.setVersionTracker(to, name));
    }

    /** Sets the forwarder that requests pass through; it must not change while any request is open. */
    public void setForwarder(RequestForwarder<C> through) {
        detour = through;
    }

    /** Whether a request with this id is open; a second one could not be told apart from it. */
    public boolean isOpen(String id) {
        if (recorder != null && recorder.isOpen(id)) {
            return true;
        }
        if (detour != null && detour.isOpen(id)) {
            return true;
        }
        for (Dispatcher<C> d : dispatchers) {
            if (d.isOpen(id)) {
                return true;
            }
        }
        return line.containsKey(id);
    }

    /**
     * Decides on a request that has arrived at a frontend. If it is admitted, {@link #submit} or {@link #withdraw} must
     * be called for it before any other method.
     */
    public AdmissionController.Decision admit(AdmissionController.AdmissionRequest arrival) {
        return gate.admit(timers.now(), arrival);
    }

    /** Reverts the admission of a request that turned out to be malformed. */
    public void withdraw(AdmissionController.Admitted go, String id) {
        if (go.maxQueueMs() > 0) {
            gate.withdraw(timers.now(), id);
        } else {
            requestFinished(go.service().name());
        }
        displace(go);
    }

    /**
     * Counts a request that a limit rejected and that the frontend answers; {@code serviceClass} is null if unknown.
     */
    public void countRejected(String service) {
        count(service == null ? NO_CLASS : service, RequestCounters.RequestResult.REFUSED);
    }

    /** Counts a request that never reached a dispatcher. */
    private void count(String service, RequestCounters.RequestResult end) {
        tally.requestStarted();
        tally.requestEnded(service, end);
        double now = timers.now();
        acts.requestStarted(now, null, service, PLATFORM_GROUP, 0)
                .requestEnded(now, service, end, Reason.UNSAID);
    }

    private void countRejected(String service, Reason why) {
        countRejected(service);
        tally.reasonCount(service, why);
    }

    /**
     * Takes an admitted request whose id is not in use by an open one. {@code client} gets its one final response,
     * possibly before this method returns.
     */
    public void submit(AdmissionController.Admitted go, Request in, Command<C> command,
                       ResponseHandler<C> client) {
        if (go.maxQueueMs() > 0) {
            // The request is rejected as soon as it is certain that it could not be answered in time after its wait.
            double patience = Math.max(0, Math.min(go.maxQueueMs(),
                    in.budgetMs() - times(go).minRemainingMs(timers.now())));
            line.put(in.id(), new Waiting<>(go, in, command, client, timers.now(),
                    timers.scheduleAt(timers.now() + patience, () -> turnAway(in.id()))));
            // Capacity may have become free since the admission: a response that was written while this request was
            // being read causes no further event.
            advance();
        } else {
            start(go, in, command, client, RequestStage.INTAKE);
        }
        displace(go);
    }

    private void displace(AdmissionController.Admitted go) {
        if (go.displacedId() != null) {
            turnAway(go.displacedId());
        }
    }

    private ClassTimings times(AdmissionController.Admitted go) {
        return deadlines.group(go.group()).forClass(go.service().name());
    }

    private void start(AdmissionController.Admitted go, Request in, Command<C> command,
                       ResponseHandler<C> client, RequestStage from) {
        Dispatcher<C> dispatcher = groups.get(go.group());
        if (dispatcher == null
                || times(go).checkStage(from, timers.now(), in.budgetMs()) != Verdict.GO) {
            // The group was removed since the admission, or it is too late for any response; nothing ran.
            Reason why = dispatcher == null ? Reason.GROUP_GONE : Reason.TOO_LATE;
            countRejected(in.serviceClass(), why);
            requestFinished(in.serviceClass());
            client.reason(why);
            client.refused(0);
            return;
        }
        if (recorder != null && command.write() && go.service().effect() == Effect.KEYED
                && command.idempotencyKey() != null) {
            ResponseHandler<C> waits = recorder.submit(in, command,
                    go.service().deduplicationWindowMs(), client, () -> requestFinished(in.serviceClass()));
            if (waits == null) {
                return;
            }
            hand(dispatcher, go, in, command, waits);
        } else {
            hand(dispatcher, go, in, command, client);
        }
    }

    private void hand(Dispatcher<C> dispatcher, AdmissionController.Admitted go, Request in,
                          Command<C> command, ResponseHandler<C> client) {
        if (detour != null) {
            detour.submit(dispatcher, go.service(), in, command, client);
        } else {
            dispatcher.submit(in, command, client);
        }
    }

    /** A request of this class has its final response from a dispatcher, or its client has disconnected. */
    public void requestFinished(String service) {
        gate.requestEnded(timers.now(), service);
        advance();
    }

    /**
     * Starts the queued requests whose turn has come, one at a time: a response that is given while one starts frees
     * capacity for the next.
     */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            for (String id = gate.nextQueued(); id != null; id = gate.nextQueued()) {
                Waiting<C> w = line.remove(id);
                w.patience().cancel();
                double left = w.in().budgetMs() - (timers.now() - w.sinceMs());
                start(w.go(), w.in().withBudget(left), w.command(), w.client(), RequestStage.LINE);
            }
        } finally {
            advancing = false;
        }
    }

    /** Rejects a queued request; no effect if it is not queued. */
    private void turnAway(String id) {
        Waiting<C> w = line.remove(id);
        if (w != null) {
            w.patience().cancel();
            double retryAfterMs = gate.withdraw(timers.now(), id);
            countRejected(w.in().serviceClass(), Reason.LIMIT);
            w.client().reason(Reason.LIMIT);
            w.client().limited(retryAfterMs);
        }
    }

    /** Rejects the queued requests that match, such as those whose class has changed since their admission. */
    public void rejectQueuedIf(Predicate<AdmissionController.Admitted> changed) {
        List.copyOf(line.values()).stream().filter(w -> changed.test(w.go()))
                .forEach(w -> turnAway(w.in().id()));
    }

    /** Limits have changed, which may have freed capacity for queued requests. */
    public void limitsChanged() {
        advance();
    }

    /** The client of an open request has disconnected; no response is needed any more. */
    public void clientGone(String id) {
        Waiting<C> w = line.remove(id);
        if (w != null) {
            w.patience().cancel();
            gate.withdraw(timers.now(), id);
            count(w.in().serviceClass(), RequestCounters.RequestResult.GONE);
        } else if (recorder == null || !recorder.clientGone(id, () -> mayHaveRun(id))) {
            leave(id);
        }
    }

    private void leave(String id) {
        if (detour == null || !detour.clientGone(id)) {
            dispatchers.forEach(d -> d.clientGone(id));
        }
    }

    /** The last byte of a request that was submitted while uploading has arrived. */
    public void bodyReceived(String id) {
        dispatchers.forEach(d -> d.bodyReceived(id));
    }

    /**
     * Whether a request may be submitted while its body is still arriving: deduplicator and forwarder need all of it.
     */
    public boolean acceptsStreamingBody(AdmissionController.Admitted go) {
        return recorder == null && detour == null && go.group().equals(PLATFORM_GROUP);
    }

    private boolean mayHaveRun(String id) {
        return detour != null && detour.mayHaveRun(id) || dispatchers.stream().anyMatch(d -> d.mayHaveRun(id));
    }

    /**
     * Gives an open request its final response now, because the response of one behind it on its connection is due. The
     * request is refused if it is certain that a retry is harmless.
     */
    public void answerNow(String id) {
        if (line.containsKey(id)) {
            turnAway(id);
        } else if (recorder != null && recorder.answerNow(id)) {
            return;
        } else if (detour == null || !detour.answerNow(id)) {
            dispatchers.forEach(d -> d.answerNow(id));
        }
    }

    /** Replaces the classes for requests that arrive from now on. */
    public void updateClasses(List<ServiceClass> classes) {
        groups.values().forEach(d -> d.updateClasses(classes));
    }

    /** The number of requests without a final response. */
    public int pendingRequests() {
        return line.size() + (recorder == null ? 0 : recorder.pendingRequests())
                + dispatchers.stream().mapToInt(Dispatcher::pendingRequests).sum()
                + (detour == null ? 0 : detour.pendingRequests());
    }

    /** Counts over all groups, removed ones included, and over requests that never reached a dispatcher. */
    public RequestCounters counters() {
        RequestCounters all = new RequestCounters().add(tally);
        dispatchers.forEach(d -> all.add(d.counters()));
        if (recorder != null) {
            all.add(recorder.counters());
        }
        return detour == null ? all : all.add(detour.counters());
    }
}
