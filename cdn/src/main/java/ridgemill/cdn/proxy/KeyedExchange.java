package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.cdn.proxy.control.OperationRegister.Claim;
import ridgemill.cdn.proxy.control.OperationRegister.ClaimOutcome;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedAnswer;
import ridgemill.core.Timers;
import ridgemill.policy.RendezvousHash;

/**
 * A request of a keyed operation. It runs only under a claim of the register; the claim is given back only where
 * nothing ran, and what ran is recorded, also after the client has left. Of several requests with one key at this proxy
 * one leads, see {@link OperationsUnderWay}; the others wait a while for its answer.
 */
final class KeyedExchange extends Exchange {

    private static final double CLAIM_AGAIN_MS = 120;
    /** Part of the route's target that a repeat waits for the first one's answer. */
    private static final double PATIENCE = 0.25;
    /** How long an operation that was sent may take beyond its deadline, so that its answer is recorded. */
    private static final double LINGER_MS = 5_000;

    private static final int MOST_RECORDED_BYTES = 1024 * 1024;

    private final ServiceState service;
    private final OperationsUnderWay operations;
    private final String key;
    private Claim claim;
    private Delivery delivery;
    private Timers.Timer timer;
    /** Whether it leads and an answer of the register is due. */
    private boolean claiming;

    private boolean leads;
    private boolean lingers;

    KeyedExchange(
            ProxyContext context,
            FrontConnection client,
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
        leads = operations.lead(key, this);
        if (leads) {
            claim();
        } else {
            timer = context().timers().scheduleAt(Math.max(nowMs, patienceEndMs()), this::outOfPatience);
        }
    }

    /** Until when a repeat waits for the first one's answer. */
    private double patienceEndMs() {
        return Math.min(deadlineMs(), arrivedMs() + PATIENCE * route().targetLatencyMs());
    }

    private void outOfPatience() {
        operations.forget(key, this);
        answerBusy();
    }

    private void answerBusy() {
        answer(FinalAnswer.later(409, request().attemptId(), PATIENCE * route().targetLatencyMs()));
    }

    /** The request that led has run the operation; its answer is this one's too. */
    void leaderFinished(RecordedAnswer answer) {
        stopTimer();
        answer(FinalAnswer.of(answer, request().attemptId()));
    }

    /** The request that led has ended without an answer; this one leads from now on. */
    void leadOn() {
        stopTimer();
        leads = true;
        claim();
    }

    /** Ceases to lead; what was learned goes to those that wait. */
    private void stopLeading(RecordedAnswer answer) {
        if (!leads) {
            return;
        }
        leads = false;
        if (answer != null) {
            operations.finished(key, answer);
        } else {
            operations.leftOpen(key);
        }
    }

    private void claim() {
        timer = null;
        claiming = true;
        context().register().claim(key, deadlineMs(), this::claimed);
    }

    private void claimed(ClaimOutcome outcome) {
        claiming = false;
        if (outcome instanceof ClaimOutcome.Granted granted) {
            granted(granted.claim());
        } else if (outcome instanceof ClaimOutcome.Finished finished) {
            answer(FinalAnswer.of(finished.answer(), request().attemptId()));
            stopLeading(finished.answer());
        } else if (isOver()) {
            stopLeading(null);
        } else if (outcome instanceof ClaimOutcome.Busy) {
            busy();
        } else {
            refuse(RefusalReason.NO_CLAIM, PATIENCE * route().targetLatencyMs());
            stopLeading(null);
        }
    }

    private void granted(Claim given) {
        if (isOver()) {
            context().register().release(given);
            stopLeading(null);
            return;
        }
        claim = given;
        long place = RendezvousHash.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), place, route().targetLatencyMs());
        delivery = new Delivery(context(), service, route(), outgoing, false, deadlineMs(), this::delivered);
        delivery.start();
    }

    /** Another proxy's claim holds the key. */
    private void busy() {
        double nextMs = context().now() + CLAIM_AGAIN_MS;
        if (nextMs < patienceEndMs()) {
            timer = context().timers().scheduleAt(nextMs, this::claim);
        } else {
            answerBusy();
            stopLeading(null);
        }
    }

    private void delivered(Delivery.Result result) {
        if (lingers) {
            lingers = false;
            stopTimer();
            context().countInFlight(-1);
        }
        RecordedAnswer recorded = null;
        if (result instanceof Delivery.Result.Answered answered) {
            recorded = record(answered.answer());
        } else if (result instanceof Delivery.Result.Failed failed && !failed.mayHaveRun()) {
            context().register().release(claim);
        }
        answer(result);
        stopLeading(recorded);
    }

    private RecordedAnswer record(InstanceAnswer answer) {
        if (answer.body().length > MOST_RECORDED_BYTES) {
            return null;
        }
        RecordedAnswer recorded = new RecordedAnswer(
                answer.status(), OwnHeaders.without(answer.headers().lines(), false), answer.body());
        context().register().finish(claim, recorded);
        return recorded;
    }

    @Override
    void giveUp(boolean late) {
        stopTimer();
        if (delivery != null && delivery.mayHaveRun()) {
            linger();
            return;
        }
        if (delivery != null) {
            delivery.cancel(late);
            context().register().release(claim);
        }
        if (!leads) {
            operations.forget(key, this);
        } else if (!claiming) {
            stopLeading(null);
        }
    }

    /** Lets the operation end, so that repeats receive its answer. */
    private void linger() {
        delivery.stopRepeating();
        lingers = true;
        context().countInFlight(1);
        timer = context().timers().scheduleAt(Math.max(deadlineMs(), context().now()) + LINGER_MS, () -> {
            lingers = false;
            context().countInFlight(-1);
            delivery.cancel(true);
            stopLeading(null);
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
        return delivery != null && delivery.mayHaveRun();
    }
}
