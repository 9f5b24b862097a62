package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.policy.RendezvousHash;

/** A request that is passed to an instance and whose answer is passed back. */
final class PassingExchange extends Exchange {

    private final ServiceState service;
    private Delivery delivery;

    PassingExchange(
            ProxyContext context, FrontConnection client, ClientRequest request, Route route, ServiceState service) {
        super(context, client, request, route);
        this.service = service;
    }

    @Override
    void run() {
        double nowMs = context().now();
        if (!service.admission().tryAdmit(nowMs, route().priorityLevel())) {
            refuse(RefusalReason.ADMISSION, service.admission().retryAfterMs());
            return;
        }
        long place = RendezvousHash.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), place, route().targetLatencyMs());
        delivery = new Delivery(
                context(), service, route(), outgoing, route().kind().isRetryable(), deadlineMs(), this::answer);
        delivery.start();
    }

    @Override
    void giveUp(boolean late) {
        if (delivery != null) {
            delivery.cancel(late);
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
