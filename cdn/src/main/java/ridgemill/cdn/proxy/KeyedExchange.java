package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.cdn.proxy.control.OperationRegister.Claim;
import ridgemill.cdn.proxy.control.OperationRegister.ClaimOutcome;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedResponse;
import ridgemill.core.Timers;
import ridgemill.policy.RendezvousHash;

/**
 * A request of a keyed operation. It runs only under a claim of the register. The claim is released only if nothing
 * ran; the response of an operation that ran is recorded, even after the client has disconnected. Of several requests
 * with one key at this proxy one is the leader, see {@link InFlightOperations}; the others wait for its response for a
 * limited time.
 */
final class KeyedExchange extends Exchange {

    /** Interval between claims while the claim of another proxy holds the key, in milliseconds. */
    private static final double CLAIM_RETRY_MS = 120;
    /** Fraction of the route's target latency that a duplicate waits for the response of the first request. */
    private static final double WAIT_FRACTION = 0.25;
    /**
     * How long after its deadline an operation that was sent may continue, so that its response is recorded, in
     * milliseconds.
     */
    private static final double RECORDING_GRACE_MS = 5_000;

    /** Responses with a larger body are not recorded; the key then stays claimed. */
    private static final int MAX_RECORDED_BYTES = 1024 * 1024;

    private final ServiceState service;
    private final InFlightOperations operations;
    private final String key;
    private Claim claim;
    private UpstreamCall call;
    private Timers.Timer timer;
    /** Whether this is the leader and a response of the register is pending. */
    private boolean claimPending;

    private boolean leader;
    private boolean finishingInBackground;

    KeyedExchange(
            ProxyContext context,
            ClientConnection client,
            ClientRequest request,
            Route route,
            ServiceState service,
            String operationKey) {
        super(context, client, request, route);
        this.service = service;
        this.operations = context.operations();
        this.key = request.host() + "\n" + operationKey;
    }

    @Override
    void run() {
        double nowMs = context().now();
        if (!service.admission().tryAdmit(nowMs, route().priorityLevel())) {
            refuse(RefusalReason.ADMISSION, service.admission().retryAfterMs());
            return;
        }
        leader = operations.tryLead(key, this);
        if (leader) {
            claim();
        } else {
            timer = context().timers().scheduleAt(Math.max(nowMs, waitEndMs()), this::waitExpired);
        }
    }

    /** Until when a duplicate waits for the response of the first request. */
    private double waitEndMs() {
        return Math.min(deadlineMs(), arrivedAtMs() + WAIT_FRACTION * route().targetLatencyMs());
    }

    private void waitExpired() {
        operations.removeWaiter(key, this);
        respondConflict();
    }

    private void respondConflict() {
        respond(FinalResponse.retryLater(409, request().attemptId(), WAIT_FRACTION * route().targetLatencyMs()));
    }

    /** The leader has run the operation; its response is sent for this request too. */
    void leaderFinished(RecordedResponse response) {
        stopTimer();
        respond(FinalResponse.of(response, request().attemptId()));
    }

    /** The previous leader ended without a recorded response; this request becomes the leader. */
    void becomeLeader() {
        stopTimer();
        leader = true;
        claim();
    }

    /**
     * Ends this request's leadership. Waiting requests receive the recorded response, or one of them becomes the
     * leader if {@code response} is null.
     */
    private void endLeadership(RecordedResponse response) {
        if (!leader) {
            return;
        }
        leader = false;
        if (response != null) {
            operations.completed(key, response);
        } else {
            operations.leaderAbandoned(key);
        }
    }

    private void claim() {
        timer = null;
        claimPending = true;
        context().register().claim(key, deadlineMs(), this::claimEnded);
    }

    private void claimEnded(ClaimOutcome outcome) {
        claimPending = false;
        if (outcome instanceof ClaimOutcome.Granted granted) {
            granted(granted.claim());
        } else if (outcome instanceof ClaimOutcome.Finished finished) {
            respond(FinalResponse.of(finished.response(), request().attemptId()));
            endLeadership(finished.response());
        } else if (isFinished()) {
            endLeadership(null);
        } else if (outcome instanceof ClaimOutcome.Busy) {
            keyHeld();
        } else {
            refuse(RefusalReason.NO_CLAIM, WAIT_FRACTION * route().targetLatencyMs());
            endLeadership(null);
        }
    }

    private void granted(Claim newClaim) {
        if (isFinished()) {
            context().register().release(newClaim);
            endLeadership(null);
            return;
        }
        claim = newClaim;
        long hashKey = RendezvousHash.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), hashKey, route().targetLatencyMs());
        call = new UpstreamCall(context(), service, route(), outgoing, false, deadlineMs(), this::callEnded);
        call.start();
    }

    /** The claim of another proxy holds the key. */
    private void keyHeld() {
        double nextMs = context().now() + CLAIM_RETRY_MS;
        if (nextMs < waitEndMs()) {
            timer = context().timers().scheduleAt(nextMs, this::claim);
        } else {
            respondConflict();
            endLeadership(null);
        }
    }

    private void callEnded(UpstreamCall.Result result) {
        if (finishingInBackground) {
            finishingInBackground = false;
            stopTimer();
            context().addInFlight(-1);
        }
        RecordedResponse recorded = null;
        if (result instanceof UpstreamCall.Result.Answered answered) {
            recorded = record(answered.response());
        } else if (result instanceof UpstreamCall.Result.Failed failed && !failed.mayHaveRun()) {
            context().register().release(claim);
        }
        respond(result);
        endLeadership(recorded);
    }

    private RecordedResponse record(InstanceResponse response) {
        if (response.body().length > MAX_RECORDED_BYTES) {
            return null;
        }
        RecordedResponse recorded = new RecordedResponse(
                response.status(),
                RequestSpecificHeaders.removeFrom(response.headers().lines(), false),
                response.body());
        context().register().finish(claim, recorded);
        return recorded;
    }

    @Override
    void cancel(boolean deadlinePassed) {
        stopTimer();
        boolean mayHaveRun = mayHaveRun();
        if (mayHaveRun && !request().isBodyIncomplete()) {
            finishInBackground();
            return;
        }
        if (call != null) {
            call.cancel(deadlinePassed);
            if (!mayHaveRun) {
                context().register().release(claim);
            }
        }
        if (!leader) {
            operations.removeWaiter(key, this);
        } else if (!claimPending) {
            endLeadership(null);
        }
    }

    /** Lets the operation finish in the background, so that duplicates receive its response. */
    private void finishInBackground() {
        call.disableRetries();
        finishingInBackground = true;
        context().addInFlight(1);
        timer = context().timers().scheduleAt(Math.max(deadlineMs(), context().now()) + RECORDING_GRACE_MS, () -> {
            finishingInBackground = false;
            context().addInFlight(-1);
            call.cancel(true);
            endLeadership(null);
        });
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    @Override
    ServiceState service() {
        return service;
    }

    @Override
    boolean mayHaveRun() {
        return call != null && call.mayHaveRun();
    }
}
