package ridgemill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ridgemill.deadline.ClassTimes;
import ridgemill.deadline.DeadlinePolicy;
import ridgemill.deadline.Deadlines;
import ridgemill.deadline.Place;
import ridgemill.deadline.Verdict;
import ridgemill.outcome.Known;
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
    public static final String PLATFORM = "";

    /** A request in line. */
    private record Waiting<C>(Gate.Go go, Request in, Command<C> command, Client<C> client, double sinceMs,
                              Timers.Timer patience) { }

    private final Timers timers;
    private final Gate gate;
    private final Deadlines deadlines;
    private final Map<String, Dispatcher<C>> groups = new HashMap<>();
    /** Those of the groups, and of dropped ones that still owe an answer. */
    private final List<Dispatcher<C>> dispatchers = new ArrayList<>();
    private final Map<String, Waiting<C>> line = new HashMap<>();
    private final Tally tally = new Tally();
    private Acts acts = Acts.NONE;
    private Detour<C> detour;
    private Recorder<C> recorder;
    private boolean advancing;

    /** An intake that makes nothing of deadlines but to tell nodes of them. */
    public Intake(Timers timers, Gate gate) {
        this(timers, gate, new Deadlines(DeadlinePolicy.OFF));
    }

    /** An intake whose requests' time is judged. */
    public Intake(Timers timers, Gate gate, Deadlines deadlines) {
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
    public void recorder(Recorder<C> through) {
        recorder = through;
    }

    /** Whether outcomes of keyed writes are recorded. */
    public boolean records() {
        return recorder != null;
    }

    /** What is known of a key, for who gave it; null where nothing is. */
    public Known outcome(String key, String tenant) {
        return recorder == null ? null : recorder.outcomes().find(timers.now(), key, tenant);
    }

    /** The same, by asking other halls too where this one knows nothing; {@code found} is told once. */
    public void findOutcome(String key, String tenant, Consumer<Known> found) {
        Known known = outcome(key, tenant);
        if (known != null || recorder == null || detour == null) {
            found.accept(known);
        } else {
            detour.outcome(key, tenant, found);
        }
    }

    /** Requests that go to this group are the dispatcher's from now on. */
    public void group(String name, Dispatcher<C> dispatcher) {
        groups.put(name, dispatcher);
        dispatchers.add(dispatcher);
        dispatcher.acts(acts, name);
    }

    /** No request goes to this group any more; those that it has are answered. */
    public void dropGroup(String name) {
        groups.remove(name);
        for (Dispatcher<C> d : List.copyOf(dispatchers)) {
            if (!groups.containsValue(d) && d.owed() == 0) {
                dispatchers.remove(d);
                tally.plus(d.tally());
            }
        }
    }

    /** Requests that come from now on are kept there, in all groups that there are and that come. */
    public void acts(Acts to) {
        acts = to;
        groups.forEach((name, dispatcher) -> dispatcher.acts(to, name));
    }

    /** From now on requests go through this; it may not change while any is open. */
    public void detour(Detour<C> through) {
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
     * What becomes of a request that has come to a front. One that goes on must be handed to {@link #request}, or taken
     * back by {@link #left}, before anything else.
     */
    public Gate.Entry enter(Gate.Arrival arrival) {
        return gate.enter(timers.now(), arrival);
    }

    /** One that the gate let on was no request after all. */
    public void left(Gate.Go go, String id) {
        if (go.queueMs() > 0) {
            gate.withdrawn(timers.now(), id);
        } else {
            settled(go.service().name());
        }
        displace(go);
    }

    /** A limit has turned a request of this class away; the front answers it. */
    public void turnedAway(String service) {
        count(service == null ? NO_CLASS : service, Tally.End.REFUSED);
    }

    /** One that no dispatcher has had. */
    private void count(String service, Tally.End end) {
        tally.took();
        tally.ended(service, end);
        double now = timers.now();
        acts.begins(now, null, service, PLATFORM, 0).ended(now, service, end, Reason.UNSAID);
    }

    private void turnedAway(String service, Reason why) {
        turnedAway(service);
        tally.because(service, why);
    }

    /** Takes a request, whose id must not be open; {@code client} gets its one final answer, maybe before this returns. */
    public void request(Gate.Go go, Request in, Command<C> command, Client<C> client) {
        if (go.queueMs() > 0) {
            // One that could not be answered in time after its wait is turned away when that is certain.
            double patience = Math.max(0, Math.min(go.queueMs(), in.budgetMs() - times(go).backOffMs(timers.now())));
            line.put(in.id(), new Waiting<>(go, in, command, client, timers.now(),
                    timers.at(timers.now() + patience, () -> turnAway(in.id()))));
            // Room may have come between: an answer that was written while this one was read makes no other event.
            advance();
        } else {
            start(go, in, command, client, Place.INTAKE);
        }
        displace(go);
    }

    private void displace(Gate.Go go) {
        if (go.displaced() != null) {
            turnAway(go.displaced());
        }
    }

    private ClassTimes times(Gate.Go go) {
        return deadlines.group(go.group()).of(go.service().name());
    }

    private void start(Gate.Go go, Request in, Command<C> command, Client<C> client, Place from) {
        Dispatcher<C> dispatcher = groups.get(go.group());
        if (dispatcher == null || times(go).mayGoOn(from, timers.now(), in.budgetMs()) != Verdict.GO) {
            // Dropped since the gate decided, or too late for any answer; nothing ran.
            Reason why = dispatcher == null ? Reason.GROUP_GONE : Reason.TOO_LATE;
            turnedAway(in.serviceClass(), why);
            settled(in.serviceClass());
            client.because(why);
            client.refused(0);
            return;
        }
        if (recorder != null && command.write() && go.service().effect() == Effect.KEYED && command.idempotencyKey() != null) {
            Client<C> waits = recorder.enter(in, command, go.service().deduplicationWindowMs(), client, () -> settled(in.serviceClass()));
            if (waits == null) {
                return;
            }
            hand(dispatcher, go, in, command, waits);
        } else {
            hand(dispatcher, go, in, command, client);
        }
    }

    private void hand(Dispatcher<C> dispatcher, Gate.Go go, Request in, Command<C> command, Client<C> client) {
        if (detour != null) {
            detour.request(dispatcher, go.service(), in, command, client);
        } else {
            dispatcher.request(in, command, client);
        }
    }

    /** A request of this class that a dispatcher had has its final answer, or its client has left. */
    public void settled(String service) {
        gate.ended(timers.now(), service);
        advance();
    }

    /** Hands on those whose turn has come. One at a time: an answer within one's start makes room for the next. */
    private void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            for (String id = gate.next(); id != null; id = gate.next()) {
                Waiting<C> w = line.remove(id);
                w.patience().cancel();
                double left = w.in().budgetMs() - (timers.now() - w.sinceMs());
                start(w.go(), w.in().withBudget(left), w.command(), w.client(), Place.LINE);
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
            double retryAfterMs = gate.withdrawn(timers.now(), id);
            turnedAway(w.in().serviceClass(), Reason.LIMIT);
            w.client().because(Reason.LIMIT);
            w.client().limited(retryAfterMs);
        }
    }

    /** Turns away those in line for which this holds, as when the class that they came under has changed. */
    public void turnAwayIf(Predicate<Gate.Go> changed) {
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
            gate.withdrawn(timers.now(), id);
            count(w.in().serviceClass(), Tally.End.GONE);
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
    public void complete(String id) {
        dispatchers.forEach(d -> d.complete(id));
    }

    /** Whether a request's content may still be coming: who records or passes requests on to other halls looks at all of it. */
    public boolean takesOpen(Gate.Go go) {
        return recorder == null && detour == null && go.group().equals(PLATFORM);
    }

    private boolean mayHaveRun(String id) {
        return detour != null && detour.mayHaveRun(id) || dispatchers.stream().anyMatch(d -> d.mayHaveRun(id));
    }

    /**
     * An open request needs its final answer now, as one behind it on its connection is due: it is given up, and refused where
     * that is a true promise.
     */
    public void giveUp(String id) {
        if (line.containsKey(id)) {
            turnAway(id);
        } else if (recorder != null && recorder.giveUp(id)) {
            return;
        } else if (detour == null || !detour.giveUp(id)) {
            dispatchers.forEach(d -> d.giveUp(id));
        }
    }

    /** Other classes hold from now on, for requests that come. */
    public void classes(List<ServiceClass> classes) {
        groups.values().forEach(d -> d.classes(classes));
    }

    /** Requests that have no final answer yet. */
    public int owed() {
        return line.size() + (recorder == null ? 0 : recorder.owed()) + dispatchers.stream().mapToInt(Dispatcher::owed).sum() + (detour == null ? 0 : detour.owed());
    }

    /** Counts over all groups that there are, and over those in line. */
    public Tally tally() {
        Tally all = new Tally().plus(tally);
        dispatchers.forEach(d -> all.plus(d.tally()));
        if (recorder != null) {
            all.plus(recorder.tally());
        }
        return detour == null ? all : all.plus(detour.tally());
    }
}
