package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.edge.RefusalReason;
import ridgemill.policy.RendezvousHash;

/** A request that is forwarded to an instance and whose response is returned unchanged. */
final class PassThroughExchange extends Exchange {

    private final ServiceState service;
    private UpstreamCall call;

    PassThroughExchange(
            ProxyContext context, ClientConnection client, ClientRequest request, Route route, ServiceState service) {
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
        long hashKey = RendezvousHash.hashText(request().attemptId());
        OutgoingRequest outgoing = OutgoingRequest.of(request(), hashKey, route().targetLatencyMs());
        call = new UpstreamCall(
                context(), service, route(), outgoing, route().kind().isRetryable(), deadlineMs(), this::respond);
        call.start();
    }

    @Override
    void cancel(boolean deadlinePassed) {
        if (call != null) {
            call.cancel(deadlinePassed);
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
