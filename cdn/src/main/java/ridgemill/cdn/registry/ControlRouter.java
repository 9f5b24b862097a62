package ridgemill.cdn.registry;

import java.util.function.Consumer;
import ridgemill.cdn.http.SimpleHttpServer;

/** Dispatches requests of instances and operators by method and path; see {@code api/control.openapi.yaml}. */
final class ControlRouter implements Consumer<SimpleHttpServer.Request> {

    private static final String INSTANCES = "/ridgemill/instances/";
    private static final String CONFIGURATION = "/ridgemill/configuration";
    private static final String PURGES = "/ridgemill/purges";
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;

    private final InstanceCalls instances;
    private final OperatorCalls operators;

    ControlRouter(InstanceCalls instances, OperatorCalls operators) {
        this.instances = instances;
        this.operators = operators;
    }

    @Override
    public void accept(SimpleHttpServer.Request request) {
        String path = request.path();
        if (path.startsWith(INSTANCES) && path.length() > INSTANCES.length()) {
            instances.accept(path.substring(INSTANCES.length()), request);
        } else if (path.equals(CONFIGURATION) && request.method().equals("GET")) {
            operators.readConfiguration(request);
        } else if (path.equals(CONFIGURATION) && request.method().equals("PATCH")) {
            operators.changeConfiguration(request);
        } else if (path.equals(PURGES) && request.method().equals("POST")) {
            operators.purge(request);
        } else {
            boolean known = path.equals(CONFIGURATION) || path.equals(PURGES);
            request.responder().accept(SimpleHttpServer.Response.empty(known ? METHOD_NOT_ALLOWED : NOT_FOUND));
        }
    }
}
