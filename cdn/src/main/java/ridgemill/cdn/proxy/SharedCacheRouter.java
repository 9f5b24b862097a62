package ridgemill.cdn.proxy;

import ridgemill.cdn.config.Destination;
import ridgemill.cdn.config.Route;
import ridgemill.cdn.config.RouteKind;
import ridgemill.cdn.edge.RefusalReason;

/**
 * Accepts the reads that edge proxies send to a shared cache. The edge proxy has selected the route and the service.
 * If this process does not know that selection as valid, or only knows an older version of the route, it refuses the
 * request, and nothing has run.
 */
final class SharedCacheRouter implements Router {

    private final ProxyContext context;

    SharedCacheRouter(ProxyContext context) {
        this.context = context;
    }

    @Override
    public Exchange route(ClientConnection client, ClientRequest request) {
        Route route = context.control().routing().match(request.host(), request.path());
        String service = request.headers().get(CacheHeaders.SERVICE);
        if (request.attemptId() == null || route == null || !allows(route, request, service)) {
            client.respond(
                    null,
                    FinalResponse.retryLater(503, request.attemptId(), 0)
                            .addHeader(CacheHeaders.REFUSAL, RefusalReason.ROUTE_UNKNOWN.label()));
            return null;
        }
        ServiceState state = context.service(service);
        state.retryBudget().countRequest(context.now());
        return new CachedExchange(context, client, request, route, state, context.fetcher());
    }

    private static boolean allows(Route route, ClientRequest request, String service) {
        boolean isDestination = route.destinations().stream()
                .filter(destination -> destination.weight() > 0)
                .map(Destination::service)
                .anyMatch(name -> name.equals(service));
        long version = CacheHeaders.getLong(request.headers(), CacheHeaders.ROUTE_VERSION, Long.MAX_VALUE);
        return route.kind() == RouteKind.CACHEABLE && !request.hasBody() && isDestination && route.version() >= version;
    }
}
