package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RouteKind;
import ridgemill.policy.RendezvousHash;

/** Finds the route and the service of each request and creates the exchange for the route's kind. */
final class RequestRouter implements Router {

    /** Value of Retry-After while the configuration is not known yet, in milliseconds. */
    private static final double NOT_READY_RETRY_AFTER_MS = 250;

    private final ProxyContext context;

    RequestRouter(ProxyContext context) {
        this.context = context;
    }

    /**
     * Creates the exchange for a request; null if it was answered at once because it has no attempt identifier, no
     * route or no operation key.
     */
    @Override
    public Exchange route(ClientConnection client, ClientRequest request) {
        if (request.attemptId() == null
                || request.attemptId().isEmpty()
                || request.headers().count(ClientRequest.ATTEMPT_ID) != 1) {
            client.respond(null, FinalResponse.generated(400, null));
            return null;
        }
        Route route = context.control().routing().match(request.host(), request.path());
        if (route == null) {
            client.respond(
                    null,
                    context.control().isReady()
                            ? FinalResponse.generated(404, request.attemptId())
                            : FinalResponse.retryLater(503, request.attemptId(), NOT_READY_RETRY_AFTER_MS));
            return null;
        }
        String operationKey = request.headers().get(ClientRequest.OPERATION_KEY);
        if (route.kind() == RouteKind.KEYED_IDEMPOTENT && (operationKey == null || operationKey.isEmpty())) {
            client.respond(null, FinalResponse.generated(400, request.attemptId()));
            return null;
        }
        double draw = 1 - RendezvousHash.unitInterval(RendezvousHash.hashText(request.attemptId()));
        ServiceState service = context.service(route.destination(draw));
        service.retryBudget().countRequest(context.now());
        return switch (route.kind()) {
            case KEYED_IDEMPOTENT -> new KeyedExchange(context, client, request, route, service, operationKey);
            case CACHEABLE ->
                isRead(request)
                        ? new CachedExchange(context, client, request, route, service, context.fetcher())
                        : new PassThroughExchange(context, client, request, route, service);
            default -> new PassThroughExchange(context, client, request, route, service);
        };
    }

    private static boolean isRead(ClientRequest request) {
        return request.method().equals("GET") && !request.hasBody();
    }
}
