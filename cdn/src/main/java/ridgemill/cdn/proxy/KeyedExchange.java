package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.proxy.control.OperationRegister.Claim;
import ridgemill.cdn.proxy.control.OperationRegister.ClaimOutcome;
import ridgemill.cdn.proxy.control.OperationRegister.RecordedAnswer;
import ridgemill.core.Timers;
import ridgemill.policy.Rendezvous;

/**
 * A request of a keyed operation. It runs only under a claim of the register; the claim is given back only where
 * nothing
 * ran, and what ran is recorded, also after the client has left.
 */
final class KeyedExchange extends Exchange {

    private static final double CLAIM_AGAIN_MS = 120;
    /** Part of the route's target that a repeat waits for the first one's answer. */
    private static final double PATIENCE = 0.25;
    /** How long an operation that was sent may take beyond its deadline, so that its answer is recorded. */
    private static final double LINGER_MS = 5_000;
    private static final int MOST_RECORDED_BYTES = 1024 * 1024;

    private final ServiceState service;
    private final String key;
    private Claim claim;
    private Delivery delivery;
    private Timers.Timer timer;
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
        this.key = request.host() + "\n" + operationKey;
    }

    @Override
    void run() {
        double nowMs = context().now();
        if (!service.admission().draw(nowMs, route().priorityLevel())) {
            refuse(service.admission().waitMs());
        } else {
            claim();
        }
    }

    private void claim() {
        timer = null;
        if (!isOver()) {
            context().register().claim(key, deadlineMs(), this::claimed);
        }
    }

    private void claimed(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Granted granted) {
            granted(granted.claim());
        } else if (isOver()) {
            return;
        } else if (outcome instanceof ClaimOutcome.Finished finished) {
            answer(FinalAnswer.of(finished.answer(), request().attemptId()));
        } else if (outcome instanceof ClaimOutcome.Busy) {
            busy();
        } else {
            refuse(PATIENCE * route().targetLatencyMs());
        }
    }

    private void granted(Claim given) {
        if (isOver()) {
            context().register().release(given);
            return;
        }
        claim = given;
        long place = Rendezvous.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), place, route().targetLatencyMs());
        delivery = new Delivery(context(), service, route(), outgoing, false, deadlineMs(), this::delivered);
        delivery.start();
    }

    private void busy() {
        double nextMs = context().now() + CLAIM_AGAIN_MS;
        if (nextMs < Math.min(deadlineMs(), arrivedMs() + PATIENCE * route().targetLatencyMs())) {
            timer = context().timers().at(nextMs, this::claim);
        } else {
            answer(FinalAnswer.later(409, request().attemptId(), PATIENCE * route().targetLatencyMs()));
        }
    }

    private void delivered(Delivery.Result result) {
        if (lingers) {
            lingers = false;
            timer.cancel();
            context().countInFlight(-1);
        }
        if (result instanceof Delivery.Result.Answered answered) {
            record(answered.answer());
        } else if (result instanceof Delivery.Result.Failed failed && !failed.mayHaveRun()) {
            context().register().release(claim);
        }
        answer(result);
    }

    private void record(InstanceAnswer answer) {
        if (answer.body().length <= MOST_RECORDED_BYTES) {
            context().register().finish(
                    claim,
                    new RecordedAnswer(
                            answer.status(),
                            OwnHeaders.without(answer.headers().lines(), false),
                            answer.body()));
        }
    }

    @Override
    void giveUp(boolean late) {
        if (timer != null) {
            timer.cancel();
        }
        if (delivery == null) {
            return;
        }
        if (delivery.mayHaveRun()) {
            linger();
        } else {
            delivery.cancel(late);
            context().register().release(claim);
        }
    }

    /** Lets the operation end, so that repeats receive its answer. */
    private void linger() {
        delivery.stopRepeating();
        lingers = true;
        context().countInFlight(1);
        timer = context().timers().at(Math.max(deadlineMs(), context().now()) + LINGER_MS, () -> {
            lingers = false;
            context().countInFlight(-1);
            delivery.cancel(true);
        });
    }

    @Override
    boolean mayHaveRun() {
        return delivery != null && delivery.mayHaveRun();
    }
}
