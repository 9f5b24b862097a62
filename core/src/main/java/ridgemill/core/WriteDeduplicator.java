package ridgemill.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import ridgemill.idempotency.IdempotencyRecord;
import ridgemill.idempotency.IdempotencyRecords;
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
public final class WriteDeduplicator<C> {

    private final Timers timers;
    private final IdempotencyRecords outcomes;
    private final ToLongFunction<Command<C>> fingerprint;
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Asker> waiting = new HashMap<>();
    private final RequestCounters tally = new RequestCounters();

    /** {@code fingerprint} tells apart what is asked for. */
    public WriteDeduplicator(Timers timers, IdempotencyRecords outcomes, ToLongFunction<Command<C>> fingerprint) {
        this.timers = timers;
        this.outcomes = outcomes;
        this.fingerprint = fingerprint;
    }

    /** What is decided on. */
    public IdempotencyRecords records() {
        return outcomes;
    }

    /** Requests that it answers by itself. */
    RequestCounters counters() {
        return tally;
    }

    int pendingRequests() {
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
    ResponseHandler<C> submit(Request in, Command<C> command, double windowMs, ResponseHandler<C> client, Runnable settled) {
        double now = timers.now();
        String key = command.idempotencyKey();
        IdempotencyRecords.Decision ask = outcomes.begin(now, key, in.id(), in.tenant(), fingerprint.applyAsLong(command), windowMs);
        if (ask instanceof IdempotencyRecords.Execute run) {
            if (!run.recorded()) {
                return client;
            }
            Run open = new Run(key, in.id(), client);
            runs.put(in.id(), open);
            return open;
        }
        tally.requestStarted();
        if (ask instanceof IdempotencyRecords.Join join && runs.containsKey(join.callId())) {
            Asker asker = new Asker(in, client, settled, runs.get(join.callId()));
            asker.run.joined.add(asker);
            waiting.put(in.id(), asker);
            asker.timeUp = timers.scheduleAt(now + in.budgetMs(), () -> asker.end(RequestCounters.RequestResult.REFUSED, () -> client.refusedMayHaveRun(0)));
        } else if (ask instanceof IdempotencyRecords.Replay tell && tell.record().state() == IdempotencyRecord.State.RECORDED) {
            settle(in, settled, RequestCounters.RequestResult.SERVED, () -> client.recorded(tell.record().callId()));
        } else if (ask instanceof IdempotencyRecords.Conflict) {
            settle(in, settled, RequestCounters.RequestResult.FAILED, client::conflict);
        } else {
            settle(in, settled, RequestCounters.RequestResult.FAILED, client::failed);
        }
        return null;
    }

    private void settle(Request in, Runnable settled, RequestCounters.RequestResult end, Runnable answer) {
        tally.requestEnded(in.serviceClass(), end);
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
            asker.end(RequestCounters.RequestResult.GONE, () -> { });
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
        run.end(IdempotencyRecords.CallResult.NOTHING_RAN);
        return false;
    }

    /** A request needs its final answer now; its call, if it runs, goes on to its end. Returns whether that was given here. */
    boolean answerNow(String id) {
        Asker asker = waiting.get(id);
        if (asker != null) {
            asker.end(RequestCounters.RequestResult.REFUSED, () -> asker.client.refusedMayHaveRun(0));
            return true;
        }
        Run run = runs.get(id);
        if (run == null || run.first == null) {
            return run != null;
        }
        ResponseHandler<C> first = run.first;
        run.first = null;
        first.refusedMayHaveRun(0);
        return true;
    }

    /** One that waits for a call of another's. */
    private final class Asker {
        private final Request in;
        private final ResponseHandler<C> client;
        private final Runnable settled;
        private final Run run;
        private Timers.Timer timeUp;

        Asker(Request in, ResponseHandler<C> client, Runnable settled, Run run) {
            this.in = in;
            this.client = client;
            this.settled = settled;
            this.run = run;
        }

        void end(RequestCounters.RequestResult end, Runnable answer) {
            if (waiting.remove(in.id()) != null) {
                run.joined.remove(this);
                timeUp.cancel();
                settle(in, settled, end, answer);
            }
        }
    }

    /** The one call of a key that is open, and all who wait for its outcome. */
    private final class Run implements ResponseHandler<C> {
        private final String key;
        private final String id;
        private final List<Asker> joined = new ArrayList<>();
        private ResponseHandler<C> first;

        Run(String key, String id, ResponseHandler<C> first) {
            this.key = key;
            this.id = id;
            this.first = first;
        }

        void end(IdempotencyRecords.CallResult how) {
            runs.remove(id);
            outcomes.callEnded(timers.now(), key, id, how);
        }

        private void tell(IdempotencyRecords.CallResult how, RequestCounters.RequestResult counted, java.util.function.Consumer<ResponseHandler<C>> answer) {
            end(how);
            if (first != null) {
                answer.accept(first);
            }
            List.copyOf(joined).forEach(a -> a.end(counted, () -> answer.accept(a.client)));
        }

        @Override
        public void reason(Reason why) {
            if (first != null) {
                first.reason(why);
            }
            joined.forEach(a -> a.client.reason(why));
        }

        @Override
        public void served(NodeResponse<C> answer) {
            tell(IdempotencyRecords.CallResult.SERVED, RequestCounters.RequestResult.SERVED, c -> c.served(answer));
        }

        @Override
        public void recorded(String call) {
            tell(IdempotencyRecords.CallResult.SERVED, RequestCounters.RequestResult.SERVED, c -> c.recorded(call));
        }

        @Override
        public void refused(double retryAfterMs) {
            tell(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.REFUSED, c -> c.refused(retryAfterMs));
        }

        @Override
        public void limited(double retryAfterMs) {
            tell(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.REFUSED, c -> c.limited(retryAfterMs));
        }

        @Override
        public void refusedMayHaveRun(double retryAfterMs) {
            tell(IdempotencyRecords.CallResult.MAY_HAVE_RUN, RequestCounters.RequestResult.REFUSED, c -> c.refusedMayHaveRun(retryAfterMs));
        }

        @Override
        public void failed() {
            tell(IdempotencyRecords.CallResult.MAY_HAVE_RUN, RequestCounters.RequestResult.FAILED, ResponseHandler::failed);
        }

        @Override
        public void conflict() {
            // Another gateway knows the key with another request: nothing of this one ran.
            tell(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.FAILED, ResponseHandler::conflict);
        }
    }
}
