package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.cdn.proxy.control.OperationRegister.Claim;
import ridgemill.cdn.proxy.control.OperationRegister.ClaimOutcome;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedResponse;
import ridgemill.core.Timers;
import ridgemill.policy.RendezvousHash;

/**
 * A request of a keyed operation. It runs only under a claim of the register; the claim is given back only where
 * nothing ran, and what ran is recorded, also after the client has left. Of several requests with one key at this proxy
 * one leads, see {@link InFlightOperations}; the others wait a while for its answer.
 */
final class KeyedExchange extends Exchange {

    private static final double CLAIM_RETRY_MS = 120;
    /** Part of the route's target that a repeat waits for the first one's answer. */
    private static final double WAIT_FRACTION = 0.25;
    /** How long an operation that was sent may take beyond its deadline, so that its answer is recorded. */
    private static final double RECORDING_GRACE_MS = 5_000;

    private static final int MAX_RECORDED_BYTES = 1024 * 1024;

    private final ServiceState service;
    private final InFlightOperations operations;
    private final String key;
    private Claim claim;
    private UpstreamCall call;
    private Timers.Timer timer;
    /** Whether it leads and an answer of the register is due. */
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

    /** Until when a repeat waits for the first one's answer. */
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

    /** The request that led has run the operation; its answer is this one's too. */
    void leaderFinished(RecordedResponse answer) {
        stopTimer();
        respond(FinalResponse.of(answer, request().attemptId()));
    }

    /** The request that led has ended without an answer; this one leads from now on. */
    void becomeLeader() {
        stopTimer();
        leader = true;
        claim();
    }

    /** Ceases to lead; what was learned goes to those that wait. */
    private void endLeadership(RecordedResponse answer) {
        if (!leader) {
            return;
        }
        leader = false;
        if (answer != null) {
            operations.completed(key, answer);
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

    private void granted(Claim given) {
        if (isFinished()) {
            context().register().release(given);
            endLeadership(null);
            return;
        }
        claim = given;
        long place = RendezvousHash.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), place, route().targetLatencyMs());
        call = new UpstreamCall(context(), service, route(), outgoing, false, deadlineMs(), this::callEnded);
        call.start();
    }

    /** Another proxy's claim holds the key. */
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

    private RecordedResponse record(InstanceResponse answer) {
        if (answer.body().length > MAX_RECORDED_BYTES) {
            return null;
        }
        RecordedResponse recorded = new RecordedResponse(
                answer.status(),
                RequestSpecificHeaders.removeFrom(answer.headers().lines(), false),
                answer.body());
        context().register().finish(claim, recorded);
        return recorded;
    }

    @Override
    void cancel(boolean late) {
        stopTimer();
        if (call != null && call.mayHaveRun()) {
            finishInBackground();
            return;
        }
        if (call != null) {
            call.cancel(late);
            context().register().release(claim);
        }
        if (!leader) {
            operations.removeWaiter(key, this);
        } else if (!claimPending) {
            endLeadership(null);
        }
    }

    /** Lets the operation end, so that repeats receive its answer. */
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
