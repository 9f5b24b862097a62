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
 * Deduplicates writes with an idempotency key between an {@link Intake} and the dispatcher. It passes on one call of a
 * key at a time, lets requests with the same key that arrive meanwhile wait for its outcome, and answers later ones
 * from the record. A call that may have run continues to its end after its client has disconnected, so that its outcome
 * becomes known.
 *
 * <p>Not thread-safe: the owner calls it from one thread.
 *
 * @param <C> the content type that frontends and backends share
 */
public final class WriteDeduplicator<C> {

    private final Timers timers;
    private final IdempotencyRecords records;
    private final ToLongFunction<Command<C>> fingerprint;
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Duplicate> duplicates = new HashMap<>();
    private final RequestCounters counters = new RequestCounters();

    /**
     * Creates a deduplicator; {@code fingerprint} is a hash by which different commands with the same key are detected.
     */
    public WriteDeduplicator(Timers timers, IdempotencyRecords records, ToLongFunction<Command<C>> fingerprint) {
        this.timers = timers;
        this.records = records;
        this.fingerprint = fingerprint;
    }

    /** The records that the decisions are based on. */
    public IdempotencyRecords records() {
        return records;
    }

    /** Counts of the requests that are answered here, without a dispatcher. */
    RequestCounters counters() {
        return counters;
    }

    int pendingRequests() {
        return duplicates.size();
    }

    /** Whether a request with this id waits here or was passed on from here. */
    boolean isOpen(String id) {
        return duplicates.containsKey(id) || runs.containsKey(id);
    }

    /**
     * Takes a write with an idempotency key.
     *
     * @param windowMs for how long nodes drop duplicates of the write
     * @param onAnswered run when a request that is answered here gets its final response
     * @return the handler of the response if the request is to be executed; null if it is answered here
     */
    ResponseHandler<C> submit(Request request, Command<C> command, double windowMs, ResponseHandler<C> client,
                              Runnable onAnswered) {
        double now = timers.now();
        String key = command.idempotencyKey();
        IdempotencyRecords.Decision decision = records.begin(now, key, request.id(), request.tenant(),
                fingerprint.applyAsLong(command), windowMs);
        if (decision instanceof IdempotencyRecords.Execute execute) {
            if (!execute.recorded()) {
                return client;
            }
            Run run = new Run(key, request.id(), client);
            runs.put(request.id(), run);
            return run;
        }
        counters.requestStarted();
        if (decision instanceof IdempotencyRecords.Join join && runs.containsKey(join.callId())) {
            Duplicate duplicate = new Duplicate(request, client, onAnswered, runs.get(join.callId()));
            duplicate.run.joined.add(duplicate);
            duplicates.put(request.id(), duplicate);
            duplicate.timeout = timers.scheduleAt(now + request.budgetMs(),
                    () -> duplicate.end(RequestCounters.RequestResult.REFUSED, () -> client.refusedMayHaveRun(0)));
        } else if (decision instanceof IdempotencyRecords.Replay replay
                && replay.record().state() == IdempotencyRecord.State.RECORDED) {
            finish(request, onAnswered, RequestCounters.RequestResult.SERVED,
                    () -> client.recorded(replay.record().callId()));
        } else if (decision instanceof IdempotencyRecords.Conflict) {
            finish(request, onAnswered, RequestCounters.RequestResult.FAILED, client::conflict);
        } else {
            finish(request, onAnswered, RequestCounters.RequestResult.FAILED, client::failed);
        }
        return null;
    }

    private void finish(Request request, Runnable onAnswered, RequestCounters.RequestResult result, Runnable response) {
        counters.requestEnded(request.serviceClass(), result);
        onAnswered.run();
        response.run();
    }

    /**
     * The client of a request has disconnected. Returns whether that was handled here; otherwise the dispatcher or
     * forwarder of the request must be informed.
     *
     * @param mayHaveRun whether the call may have run already, or is being executed
     */
    boolean clientDisconnected(String id, BooleanSupplier mayHaveRun) {
        Duplicate duplicate = duplicates.get(id);
        if (duplicate != null) {
            duplicate.end(RequestCounters.RequestResult.GONE, () -> { });
            return true;
        }
        Run run = runs.get(id);
        if (run == null) {
            return false;
        }
        run.client = null;
        if (!run.joined.isEmpty() || mayHaveRun.getAsBoolean()) {
            return true;
        }
        run.end(IdempotencyRecords.CallResult.NOTHING_RAN);
        return false;
    }

    /**
     * Gives a request its final response now; its call, if it is running, continues to its end. Returns whether the
     * response was given here.
     */
    boolean answerNow(String id) {
        Duplicate duplicate = duplicates.get(id);
        if (duplicate != null) {
            duplicate.end(RequestCounters.RequestResult.REFUSED, () -> duplicate.client.refusedMayHaveRun(0));
            return true;
        }
        Run run = runs.get(id);
        if (run == null || run.client == null) {
            return run != null;
        }
        ResponseHandler<C> client = run.client;
        run.client = null;
        client.refusedMayHaveRun(0);
        return true;
    }

    /** A request that waits for the outcome of an open call with the same key. */
    private final class Duplicate {
        private final Request request;
        private final ResponseHandler<C> client;
        private final Runnable onAnswered;
        private final Run run;
        private Timers.Timer timeout;

        Duplicate(Request request, ResponseHandler<C> client, Runnable onAnswered, Run run) {
            this.request = request;
            this.client = client;
            this.onAnswered = onAnswered;
            this.run = run;
        }

        void end(RequestCounters.RequestResult result, Runnable response) {
            if (duplicates.remove(request.id()) != null) {
                run.joined.remove(this);
                timeout.cancel();
                finish(request, onAnswered, result, response);
            }
        }
    }

    /**
     * The open call of a key, with its client, if that is still connected, and the requests that wait for its outcome.
     */
    private final class Run implements ResponseHandler<C> {
        private final String key;
        private final String id;
        private final List<Duplicate> joined = new ArrayList<>();
        private ResponseHandler<C> client;

        Run(String key, String id, ResponseHandler<C> client) {
            this.key = key;
            this.id = id;
            this.client = client;
        }

        void end(IdempotencyRecords.CallResult callResult) {
            runs.remove(id);
            records.callEnded(timers.now(), key, id, callResult);
        }

        private void answerAll(IdempotencyRecords.CallResult callResult, RequestCounters.RequestResult result,
                               java.util.function.Consumer<ResponseHandler<C>> response) {
            end(callResult);
            if (client != null) {
                response.accept(client);
            }
            List.copyOf(joined).forEach(d -> d.end(result, () -> response.accept(d.client)));
        }

        @Override
        public void reason(Reason reason) {
            if (client != null) {
                client.reason(reason);
            }
            joined.forEach(d -> d.client.reason(reason));
        }

        @Override
        public void served(NodeResponse<C> response) {
            answerAll(IdempotencyRecords.CallResult.SERVED, RequestCounters.RequestResult.SERVED,
                    c -> c.served(response));
        }

        @Override
        public void recorded(String callId) {
            answerAll(IdempotencyRecords.CallResult.SERVED, RequestCounters.RequestResult.SERVED,
                    c -> c.recorded(callId));
        }

        @Override
        public void refused(double retryAfterMs) {
            answerAll(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.REFUSED,
                    c -> c.refused(retryAfterMs));
        }

        @Override
        public void limited(double retryAfterMs) {
            answerAll(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.REFUSED,
                    c -> c.limited(retryAfterMs));
        }

        @Override
        public void refusedMayHaveRun(double retryAfterMs) {
            answerAll(IdempotencyRecords.CallResult.MAY_HAVE_RUN, RequestCounters.RequestResult.REFUSED,
                    c -> c.refusedMayHaveRun(retryAfterMs));
        }

        @Override
        public void failed() {
            answerAll(IdempotencyRecords.CallResult.MAY_HAVE_RUN, RequestCounters.RequestResult.FAILED,
                    ResponseHandler::failed);
        }

        @Override
        public void conflict() {
            // Another gateway has recorded the key with another request: nothing of this one ran.
            answerAll(IdempotencyRecords.CallResult.NOTHING_RAN, RequestCounters.RequestResult.FAILED,
                    ResponseHandler::conflict);
        }
    }
}
