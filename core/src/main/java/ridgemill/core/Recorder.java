package ridgemill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import ridgemill.outcome.Known;
import ridgemill.outcome.Outcomes;
import ridgemill.policy.Reason;
import ridgemill.policy.Router.Request;

/**
 * Stands between an {@link Intake} and what runs keyed writes: hands one call of a key on at a time, lets whoever asks
 * meanwhile wait for its outcome, and tells it afterwards. A call that may have run goes on to its end when its client has
 * left, so that its outcome is known.
 *
 * <p>Not safe for use by several threads: whoever owns it calls it from one.
 *
 * @param <C> the type of contents that fronts and backs share
 */
public final class Recorder<C> {

    private final Timers timers;
    private final Outcomes outcomes;
    private final ToLongFunction<Command<C>> fingerprint;
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Asker> waiting = new HashMap<>();
    private final Tally tally = new Tally();

    /** {@code fingerprint} tells apart what is asked for. */
    public Recorder(Timers timers, Outcomes outcomes, ToLongFunction<Command<C>> fingerprint) {
        this.timers = timers;
        this.outcomes = outcomes;
        this.fingerprint = fingerprint;
    }

    /** What is decided on. */
    public Outcomes outcomes() {
        return outcomes;
    }

    /** Requests that it answers by itself. */
    Tally tally() {
        return tally;
    }

    int owed() {
        return waiting.size();
    }

    /** Whether a request with this id waits here, or went on from here. */
    boolean isOpen(String id) {
        return waiting.containsKey(id) || runs.containsKey(id);
    }

    /**
     * Takes a keyed write.
     *
     * @param settled is run when one that is answered here has its answer
     * @return who waits for the outcome in its client's place; null where it goes no further
     */
    Client<C> enter(Request in, Command<C> command, double windowMs, Client<C> client, Runnable settled) {
        double now = timers.now();
        String key = command.idempotencyKey();
        Outcomes.Ask ask = outcomes.ask(now, key, in.id(), in.tenant(), fingerprint.applyAsLong(command), windowMs);
        if (ask instanceof Outcomes.Run run) {
            if (!run.recorded()) {
                return client;
            }
            Run open = new Run(key, in.id(), client);
            runs.put(in.id(), open);
            return open;
        }
        tally.took();
        if (ask instanceof Outcomes.Join join && runs.containsKey(join.call())) {
            Asker asker = new Asker(in, client, settled, runs.get(join.call()));
            asker.run.joined.add(asker);
            waiting.put(in.id(), asker);
            asker.timeUp = timers.at(now + in.budgetMs(), () -> asker.end(Tally.End.REFUSED, () -> client.refusedUnproven(0)));
        } else if (ask instanceof Outcomes.Tell tell && tell.known().state() == Known.State.RECORDED) {
            settle(in, settled, Tally.End.SERVED, () -> client.recorded(tell.known().call()));
        } else if (ask instanceof Outcomes.Conflict) {
            settle(in, settled, Tally.End.FAILED, client::conflict);
        } else {
            settle(in, settled, Tally.End.FAILED, client::failed);
        }
        return null;
    }

    private void settle(Request in, Runnable settled, Tally.End end, Runnable answer) {
        tally.ended(in.serviceClass(), end);
        settled.run();
        answer.run();
    }

    /**
     * The client of a request has left. Returns whether that ends here; else it is for whoever runs the request.
     *
     * @param mayHaveRun whether the call that runs may have run already, or be under way
     */
    boolean clientGone(String id, BooleanSupplier mayHaveRun) {
        Asker asker = waiting.get(id);
        if (asker != null) {
            asker.end(Tally.End.GONE, () -> { });
            return true;
        }
        Run run = runs.get(id);
        if (run == null) {
            return false;
        }
        run.first = null;
        if (!run.joined.isEmpty() || mayHaveRun.getAsBoolean()) {
            return true;
        }
        run.end(Outcomes.End.NOTHING_RAN);
        return false;
    }

    /** A request needs its final answer now; its call, if it runs, goes on to its end. Returns whether that was given here. */
    boolean giveUp(String id) {
        Asker asker = waiting.get(id);
        if (asker != null) {
            asker.end(Tally.End.REFUSED, () -> asker.client.refusedUnproven(0));
            return true;
        }
        Run run = runs.get(id);
        if (run == null || run.first == null) {
            return run != null;
        }
        Client<C> first = run.first;
        run.first = null;
        first.refusedUnproven(0);
        return true;
    }

    /** One that waits for a call of another's. */
    private final class Asker {
        private final Request in;
        private final Client<C> client;
        private final Runnable settled;
        private final Run run;
        private Timers.Timer timeUp;

        Asker(Request in, Client<C> client, Runnable settled, Run run) {
            this.in = in;
            this.client = client;
            this.settled = settled;
            this.run = run;
        }

        void end(Tally.End end, Runnable answer) {
            if (waiting.remove(in.id()) != null) {
                run.joined.remove(this);
                timeUp.cancel();
                settle(in, settled, end, answer);
            }
        }
    }

    /** The one call of a key that is open, and all who wait for its outcome. */
    private final class Run implements Client<C> {
        private final String key;
        private final String id;
        private final List<Asker> joined = new ArrayList<>();
        private Client<C> first;

        Run(String key, String id, Client<C> first) {
            this.key = key;
            this.id = id;
            this.first = first;
        }

        void end(Outcomes.End how) {
            runs.remove(id);
            outcomes.ended(timers.now(), key, id, how);
        }

        private void tell(Outcomes.End how, Tally.End counted, java.util.function.Consumer<Client<C>> answer) {
            end(how);
            if (first != null) {
                answer.accept(first);
            }
            List.copyOf(joined).forEach(a -> a.end(counted, () -> answer.accept(a.client)));
        }

        @Override
        public void because(Reason why) {
            if (first != null) {
                first.because(why);
            }
            joined.forEach(a -> a.client.because(why));
        }

        @Override
        public void served(Answer<C> answer) {
            tell(Outcomes.End.SERVED, Tally.End.SERVED, c -> c.served(answer));
        }

        @Override
        public void recorded(String call) {
            tell(Outcomes.End.SERVED, Tally.End.SERVED, c -> c.recorded(call));
        }

        @Override
        public void refused(double retryAfterMs) {
            tell(Outcomes.End.NOTHING_RAN, Tally.End.REFUSED, c -> c.refused(retryAfterMs));
        }

        @Override
        public void limited(double retryAfterMs) {
            tell(Outcomes.End.NOTHING_RAN, Tally.End.REFUSED, c -> c.limited(retryAfterMs));
        }

        @Override
        public void refusedUnproven(double retryAfterMs) {
            tell(Outcomes.End.MAY_HAVE_RUN, Tally.End.REFUSED, c -> c.refusedUnproven(retryAfterMs));
        }

        @Override
        public void failed() {
            tell(Outcomes.End.MAY_HAVE_RUN, Tally.End.FAILED, Client::failed);
        }

        @Override
        public void conflict() {
            // Another gateway knows the key with another request: nothing of this one ran.
            tell(Outcomes.End.NOTHING_RAN, Tally.End.FAILED, Client::conflict);
        }
    }
}
