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
    private record Waiting<C>(AdmissionController.Admitted admitted, Request request, Command<C> command,
                              ResponseHandler<C> client, double sinceMs, Timers.Timer timeout) { }

    private final Timers timers;
    private final AdmissionController admission;
    private final Deadlines deadlines;
    private final Map<String, Dispatcher<C>> groups = new HashMap<>();
    /** The dispatchers of all groups, and those of removed groups that still have pending requests. */
    private final List<Dispatcher<C>> dispatchers = new ArrayList<>();
    private final Map<String, Waiting<C>> queue = new HashMap<>();
    private final RequestCounters counters = new RequestCounters();
    private VersionTracker versions = VersionTracker.NONE;
    private RequestForwarder<C> forwarder;
    private WriteDeduplicator<C> deduplicator;
    private boolean advancing;

    /** Creates an intake that does not enforce deadlines; nodes are still sent the remaining time. */
    public Intake(Timers timers, AdmissionController admission) {
        this(timers, admission, new Deadlines(DeadlinePolicy.OFF));
    }

    /** Creates an intake that enforces deadlines by the given policy. */
    public Intake(Timers timers, AdmissionController admission, Deadlines deadlines) {
        this.timers = timers;
        this.admission = admission;
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
    public void setDeduplicator(WriteDeduplicator<C> next) {
        deduplicator = next;
    }

    /** Whether outcomes of writes with idempotency keys are recorded. */
    public boolean deduplicates() {
        return deduplicator != null;
    }

    /** The record of an idempotency key, for the tenant that used it; null if there is none. */
    public IdempotencyRecord findLocalOutcome(String key, String tenant) {
        return deduplicator == null ? null : deduplicator.records().find(timers.now(), key, tenant);
    }

    /**
     * Finds the record of an idempotency key, and queries other datacenters if there is none here. {@code found} is
     * called once.
     */
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        IdempotencyRecord local = findLocalOutcome(key, tenant);
        if (local != null || deduplicator == null || forwarder == null) {
            found.accept(local);
        } else {
            forwarder.findOutcome(key, tenant, found);
        }
    }

    /** Adds a node group; requests for it go to this dispatcher from now on. */
    public void addGroup(String name, Dispatcher<C> dispatcher) {
        groups.put(name, dispatcher);
        dispatchers.add(dispatcher);
        dispatcher.setVersionTracker(versions, name);
    }

    /** Removes a node group; its pending requests are still answered. */
    public void removeGroup(String name) {
        groups.remove(name);
        for (Dispatcher<C> d : List.copyOf(dispatchers)) {
            if (!groups.containsValue(d) && d.pendingRequests() == 0) {
                dispatchers.remove(d);
                counters.add(d.counters());
            }
        }
    }

    /** Sets the version tracker of requests that arrive from now on, in all present and future groups. */
    public void setVersionTracker(VersionTracker next) {
        versions = next;
        groups.forEach((name, dispatcher) -> dispatcher.setVersionTracker(next, name));
    }

    /** Sets the forwarder that requests pass through; it must not change while any request is open. */
    public void setForwarder(RequestForwarder<C> next) {
        forwarder = next;
    }

    /** Whether a request with this id is open; a second one could not be told apart from it. */
    public boolean isOpen(String id) {
        if (deduplicator != null && deduplicator.isOpen(id)) {
            return true;
        }
        if (forwarder != null && forwarder.isOpen(id)) {
            return true;
        }
        for (Dispatcher<C> d : dispatchers) {
            if (d.isOpen(id)) {
                return true;
            }
        }
        return queue.containsKey(id);
    }

    /**
     * Decides on a request that has arrived at a frontend. If it is admitted, {@link #submit} or {@link #withdraw} must
     * be called for it before any other method.
     */
    public AdmissionController.Decision admit(AdmissionController.AdmissionRequest request) {
        return admission.admit(timers.now(), request);
    }

    /** Reverts the admission of a request that turned out to be malformed. */
    public void withdraw(AdmissionController.Admitted admitted, String id) {
        if (admitted.maxQueueMs() > 0) {
            admission.withdraw(timers.now(), id);
        } else {
            requestFinished(admitted.serviceClass().name());
        }
        rejectDisplaced(admitted);
    }

    /**
     * Counts a request that a limit rejected and that the frontend answers; {@code serviceClass} is null if unknown.
     */
    public void countRejected(String serviceClass) {
        count(serviceClass == null ? NO_CLASS : serviceClass, RequestCounters.RequestResult.REFUSED);
    }

    /** Counts a request that never reached a dispatcher. */
    private void count(String serviceClass, RequestCounters.RequestResult result) {
        counters.requestStarted();
        counters.requestEnded(serviceClass, result);
        double now = timers.now();
        versions.requestStarted(now, null, serviceClass, PLATFORM_GROUP, 0)
                .requestEnded(now, serviceClass, result, Reason.UNSAID);
    }

    private void countRejected(String serviceClass, Reason reason) {
        countRejected(serviceClass);
        counters.countReason(serviceClass, reason);
    }

    /**
     * Takes an admitted request whose id is not in use by an open one. {@code client} gets its one final response,
     * possibly before this method returns.
     */
    public void submit(AdmissionController.Admitted admitted, Request request, Command<C> command,
                       ResponseHandler<C> client) {
        if (admitted.maxQueueMs() > 0) {
            // The request is rejected as soon as it is certain that it could not be answered in time after its wait.
            double waitMs = Math.max(0, Math.min(admitted.maxQueueMs(),
                    request.budgetMs() - timings(admitted).minRemainingMs(timers.now())));
            queue.put(request.id(), new Waiting<>(admitted, request, command, client, timers.now(),
                    timers.scheduleAt(timers.now() + waitMs, () -> rejectQueued(request.id()))));
            // Capacity may have become free since the admission: a response that was written while this request was
            // being read causes no further event.
            advance();
        } else {
            start(admitted, request, command, client, RequestStage.INTAKE);
        }
        rejectDisplaced(admitted);
    }

    private void rejectDisplaced(AdmissionController.Admitted admitted) {
        if (admitted.displacedId() != null) {
            rejectQueued(admitted.displacedId());
        }
    }

    private ClassTimings timings(AdmissionController.Admitted admitted) {
        return deadlines.group(admitted.group()).forClass(admitted.serviceClass().name());
    }

    private void start(AdmissionController.Admitted admitted, Request request, Command<C> command,
                       ResponseHandler<C> client, RequestStage stage) {
        Dispatcher<C> dispatcher = groups.get(admitted.group());
        if (dispatcher == null
                || timings(admitted).checkStage(stage, timers.now(), request.budgetMs()) != Verdict.GO) {
            // The group was removed since the admission, or it is too late for any response; nothing ran.
            Reason reason = dispatcher == null ? Reason.GROUP_GONE : Reason.TOO_LATE;
            countRejected(request.serviceClass(), reason);
            requestFinished(request.serviceClass());
            client.reason(reason);
            client.refused(0);
            return;
        }
        if (deduplicator != null && command.write() && admitted.serviceClass().effect() == Effect.KEYED
                && command.idempotencyKey() != null) {
            ResponseHandler<C> waiting = deduplicator.submit(request, command,
                    admitted.serviceClass().deduplicationWindowMs(), client, () -> requestFinished(request.serviceClass()));
            if (waiting == null) {
                return;
            }
            dispatch(dispatcher, admitted, request, command, waiting);
        } else {
            dispatch(dispatcher, admitted, request, command, client);
        }
    }

    private void dispatch(Dispatcher<C> dispatcher, AdmissionController.Admitted admitted, Request request,
                          Command<C> command, ResponseHandler<C> client) {
        if (forwarder != null) {
            forwarder.submit(dispatcher, admitted.serviceClass(), request, command, client);
        } else {
            dispatcher.submit(request, command, client);
        }
    }

    /** A request of this class has its final response from a dispatcher, or its client has disconnected. */
    public void requestFinished(String serviceClass) {
        admission.requestEnded(timers.now(), serviceClass);
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
            for (String id = admission.nextQueued(); id != null; id = admission.nextQueued()) {
                Waiting<C> w = queue.remove(id);
                w.timeout().cancel();
                double remainingMs = w.request().budgetMs() - (timers.now() - w.sinceMs());
                start(w.admitted(), w.request().withBudget(remainingMs), w.command(), w.client(), RequestStage.LINE);
            }
        } finally {
            advancing = false;
        }
    }

    /** Rejects a queued request; no effect if it is not queued. */
    private void rejectQueued(String id) {
        Waiting<C> w = queue.remove(id);
        if (w != null) {
            w.timeout().cancel();
            double retryAfterMs = admission.withdraw(timers.now(), id);
            countRejected(w.request().serviceClass(), Reason.LIMIT);
            w.client().reason(Reason.LIMIT);
            w.client().limited(retryAfterMs);
        }
    }

    /** Rejects the queued requests that match, such as those whose class has changed since their admission. */
    public void rejectQueuedIf(Predicate<AdmissionController.Admitted> outdated) {
        List.copyOf(queue.values()).stream().filter(w -> outdated.test(w.admitted()))
                .forEach(w -> rejectQueued(w.request().id()));
    }

    /** Limits have changed, which may have freed capacity for queued requests. */
    public void limitsChanged() {
        advance();
    }

    /** The client of an open request has disconnected; no response is needed any more. */
    public void clientDisconnected(String id) {
        Waiting<C> w = queue.remove(id);
        if (w != null) {
            w.timeout().cancel();
            admission.withdraw(timers.now(), id);
            count(w.request().serviceClass(), RequestCounters.RequestResult.GONE);
        } else if (deduplicator == null || !deduplicator.clientDisconnected(id, () -> mayHaveRun(id))) {
            dispatchClientDisconnected(id);
        }
    }

    private void dispatchClientDisconnected(String id) {
        if (forwarder == null || !forwarder.clientDisconnected(id)) {
            dispatchers.forEach(d -> d.clientDisconnected(id));
        }
    }

    /** The last byte of a request that was submitted while uploading has arrived. */
    public void bodyReceived(String id) {
        dispatchers.forEach(d -> d.bodyReceived(id));
    }

    /**
     * Whether a request may be submitted while its body is still arriving: deduplicator and forwarder need all of it.
     */
    public boolean acceptsStreamingBody(AdmissionController.Admitted admitted) {
        return deduplicator == null && forwarder == null && admitted.group().equals(PLATFORM_GROUP);
    }

    private boolean mayHaveRun(String id) {
        return forwarder != null && forwarder.mayHaveRun(id) || dispatchers.stream().anyMatch(d -> d.mayHaveRun(id));
    }

    /**
     * Gives an open request its final response now, because the response of one behind it on its connection is due. The
     * request is refused if it is certain that a retry is harmless.
     */
    public void answerNow(String id) {
        if (queue.containsKey(id)) {
            rejectQueued(id);
        } else if (deduplicator != null && deduplicator.answerNow(id)) {
            return;
        } else if (forwarder == null || !forwarder.answerNow(id)) {
            dispatchers.forEach(d -> d.answerNow(id));
        }
    }

    /** Replaces the classes for requests that arrive from now on. */
    public void updateClasses(List<ServiceClass> classes) {
        groups.values().forEach(d -> d.updateClasses(classes));
    }

    /** The number of requests without a final response. */
    public int pendingRequests() {
        return queue.size() + (deduplicator == null ? 0 : deduplicator.pendingRequests())
                + dispatchers.stream().mapToInt(Dispatcher::pendingRequests).sum()
                + (forwarder == null ? 0 : forwarder.pendingRequests());
    }

    /** Counts over all groups, removed ones included, and over requests that never reached a dispatcher. */
    public RequestCounters counters() {
        RequestCounters all = new RequestCounters().add(counters);
        dispatchers.forEach(d -> all.add(d.counters()));
        if (deduplicator != null) {
            all.add(deduplicator.counters());
        }
        return forwarder == null ? all : all.add(forwarder.counters());
    }
}
