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
 * Takes requests from all fronts: asks the gate about each, keeps those that wait in line, and hands each on to the
 * decisions of the group of nodes that it goes to. A request in line is owed its final answer like any other; it has it
 * at once when its wait is up, when another takes its place, or when what it came under no longer holds.
 *
 * <p>Not safe for use by several threads: whoever owns it calls it from one.
 *
 * @param <C> the type of contents that fronts and backs share
 */
public final class Intake<C> {

    /** Counted in place of a class that is not known. */
    private static final String NO_CLASS = "";
    /** The group of nodes that the platform lists. */
    public static final String PLATFORM_GROUP = "";

    /** A request in line. */
    private record Waiting<C>(AdmissionController.Admitted go, Request in, Command<C> command, ResponseHandler<C> client, double sinceMs,
                              Timers.Timer patience) { }

    private final Timers timers;
    private final AdmissionController gate;
    private final Deadlines deadlines;
    private final Map<String, Dispatcher<C>> groups = new HashMap<>();
    /** Those of the groups, and of dropped ones that still owe an answer. */
    private final List<Dispatcher<C>> dispatchers = new ArrayList<>();
    private final Map<String, Waiting<C>> line = new HashMap<>();
    private final RequestCounters tally = new RequestCounters();
    private VersionTracker acts = VersionTracker.NONE;
    private RequestForwarder<C> detour;
    private WriteDeduplicator<C> recorder;
    private boolean advancing;

    /** An intake that makes nothing of deadlines but to tell nodes of them. */
    public Intake(Timers timers, AdmissionController gate) {
        this(timers, gate, new Deadlines(DeadlinePolicy.OFF));
    }

    /** An intake whose requests' time is judged. */
    public Intake(Timers timers, AdmissionController gate, Deadlines deadlines) {
        this.timers = timers;
        this.gate = gate;
        this.deadlines = deadlines;
    }

    /** What is known of requests' time, for fronts and whoever watches. */
    public Deadlines deadlines() {
        return deadlines;
    }

    /** The time now, by which waits are counted. */
    public double now() {
        return timers.now();
    }

    /** From now on keyed writes go through this; null for none, which may not be while any is open. */
    public void setDeduplicator(WriteDeduplicator<C> through) {
        recorder = through;
    }

    /** Whether outcomes of keyed writes are recorded. */
    public boolean deduplicates() {
        return recorder != null;
    }

    /** What is known of a key, for who gave it; null where nothing is. */
    public IdempotencyRecord findLocalOutcome(String key, String tenant) {
        return recorder == null ? null : recorder.records().find(timers.now(), key, tenant);
    }

    /** The same, by asking other halls too where this one knows nothing; {@code found} is told once. */
    public void findOutcome(String key, String tenant, Consumer<IdempotencyRecord> found) {
        IdempotencyRecord known = findLocalOutcome(key, tenant);
        if (known != null || recorder == null || detour == null) {
            found.accept(known);
        } else {
            detour.findOutcome(key, tenant, found);
        }
    }

    /** Requests that go to this group are the dispatcher's from now on. */
    public void addGroup(String name, Dispatcher<C> dispatcher) {
        groups.put(name, dispatcher);
        dispatchers.add(dispatcher);
        dispatcher.setVersionTracker(acts, name);
    }

    /** No request goes to this group any more; those that it has are answered. */
    public void removeGroup(String name) {
        groups.remove(name);
        for (Dispatcher<C> d : List.copyOf(dispatchers)) {
            if (!groups.containsValue(d) && d.pendingRequests() == 0) {
                dispatchers.remove(d);
                tally.add(d.counters());
            }
        }
    }

    /** Requests that come from now on are kept there, in all groups that there are and that come. */
    public void setVersionTracker(VersionTracker to) {
        acts = to;
        groups.forEach((name, dispatcher) -> dispatcher.setVersionTracker(to, name));
    }

    /** From now on requests go through this; it may not change while any is open. */
    public void setForwarder(RequestForwarder<C> through) {
        detour = through;
    }

    /** Whether a request with this id is open: its answer and another's could not be told apart. */
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
     * What becomes of a request that has come to a front. One that goes on must be handed to {@link #submit}, or taken
     * back by {@link #withdraw}, before anything else.
     */
    public AdmissionController.Decision admit(AdmissionController.AdmissionRequest arrival) {
        return gate.admit(timers.now(), arrival);
    }

    /** One that the gate let on was no request after all. */
    public void withdraw(AdmissionController.Admitted go, String id) {
        if (go.maxQueueMs() > 0) {
            gate.withdraw(timers.now(), id);
        } else {
            requestFinished(go.service().name());
        }
        displace(go);
    }

    /** A limit has turned a request of this class away; the front answers it. */
    public void countRejected(String service) {
        count(service == null ? NO_CLASS : service, RequestCounters.RequestResult.REFUSED);
    }

    /** One that no dispatcher has had. */
    private void count(String service, RequestCounters.RequestResult end) {
        tally.requestStarted();
        tally.requestEnded(service, end);
        double now = timers.now();
        acts.requestStarted(now, null, service, PLATFORM_GROUP, 0).requestEnded(now, service, end, Reason.UNSAID);
    }

    private void countRejected(String service, Reason why) {
        countRejected(service);
        tally.reasonCount(service, why);
    }

    /** Takes a request, whose id must not be open; {@code client} gets its one final answer, maybe before this returns. */
    public void submit(AdmissionController.Admitted go, Request in, Command<C> command, ResponseHandler<C> client) {
        if (go.maxQueueMs() > 0) {
            // One that could not be answered in time after its wait is turned away when that is certain.
            double patience = Math.max(0, Math.min(go.maxQueueMs(), in.budgetMs() - times(go).minRemainingMs(timers.now())));
            line.put(in.id(), new Waiting<>(go, in, command, client, timers.now(),
                    timers.scheduleAt(timers.now() + patience, () -> turnAway(in.id()))));
            // Room may have come between: an answer that was written while this one was read makes no other event.
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

    private void start(AdmissionController.Admitted go, Request in, Command<C> command, ResponseHandler<C> client, RequestStage from) {
        Dispatcher<C> dispatcher = groups.get(go.group());
        if (dispatcher == null || times(go).checkStage(from, timers.now(), in.budgetMs()) != Verdict.GO) {
            // Dropped since the gate decided, or too late for any answer; nothing ran.
            Reason why = dispatcher == null ? Reason.GROUP_GONE : Reason.TOO_LATE;
            countRejected(in.serviceClass(), why);
            requestFinished(in.serviceClass());
            client.reason(why);
            client.refused(0);
            return;
        }
        if (recorder != null && command.write() && go.service().effect() == Effect.KEYED && command.idempotencyKey() != null) {
            ResponseHandler<C> waits = recorder.submit(in, command, go.service().deduplicationWindowMs(), client, () -> requestFinished(in.serviceClass()));
            if (waits == null) {
                return;
            }
            hand(dispatcher, go, in, command, waits);
        } else {
            hand(dispatcher, go, in, command, client);
        }
    }

    private void hand(Dispatcher<C> dispatcher, AdmissionController.Admitted go, Request in, Command<C> command, ResponseHandler<C> client) {
        if (detour != null) {
            detour.submit(dispatcher, go.service(), in, command, client);
        } else {
            dispatcher.submit(in, command, client);
        }
    }

    /** A request of this class that a dispatcher had has its final answer, or its client has left. */
    public void requestFinished(String service) {
        gate.requestEnded(timers.now(), service);
        advance();
    }

    /** Hands on those whose turn has come. One at a time: an answer within one's start makes room for the next. */
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

    /** Answers one in line that goes no further. */
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

    /** Turns away those in line for which this holds, as when the class that they came under has changed. */
    public void rejectQueuedIf(Predicate<AdmissionController.Admitted> changed) {
        List.copyOf(line.values()).stream().filter(w -> changed.test(w.go())).forEach(w -> turnAway(w.in().id()));
    }

    /** Room may have come by other limits than before. */
    public void limitsChanged() {
        advance();
    }

    /** The client of an open request has left; nothing is owed any more. */
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

    /** The last byte of a request that came open is here. */
    public void bodyReceived(String id) {
        dispatchers.forEach(d -> d.bodyReceived(id));
    }

    /** Whether a request's content may still be coming: who records or passes requests on to other halls looks at all of it. */
    public boolean acceptsStreamingBody(AdmissionController.Admitted go) {
        return recorder == null && detour == null && go.group().equals(PLATFORM_GROUP);
    }

    private boolean mayHaveRun(String id) {
        return detour != null && detour.mayHaveRun(id) || dispatchers.stream().anyMatch(d -> d.mayHaveRun(id));
    }

    /**
     * An open request needs its final answer now, as one behind it on its connection is due: it is given up, and refused where
     * that is a true promise.
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

    /** Other classes hold from now on, for requests that come. */
    public void updateClasses(List<ServiceClass> classes) {
        groups.values().forEach(d -> d.updateClasses(classes));
    }

    /** Requests that have no final answer yet. */
    public int pendingRequests() {
        return line.size() + (recorder == null ? 0 : recorder.pendingRequests()) + dispatchers.stream().mapToInt(Dispatcher::pendingRequests).sum() + (detour == null ? 0 : detour.pendingRequests());
    }

    /** Counts over all groups that there are, and over those in line. */
    public RequestCounters counters() {
        RequestCounters all = new RequestCounters().add(tally);
        dispatchers.forEach(d -> all.add(d.counters()));
        if (recorder != null) {
            all.add(recorder.counters());
        }
        return detour == null ? all : all.add(detour.counters());
    }
}
