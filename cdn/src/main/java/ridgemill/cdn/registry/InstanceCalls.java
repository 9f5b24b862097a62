package ridgemill.cdn.registry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceState;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.json.TreeReader;
import ridgemill.cdn.settings.Durations;
import ridgemill.gateway.net.Clock;

/** Handles heartbeats and departures of instances. */
final class InstanceCalls {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;
    private static final SimpleHttpServer.Response ACCEPTED =
            new SimpleHttpServer.Response(OK, "{}".getBytes(StandardCharsets.US_ASCII));

    private final InstanceReports reports;
    private final InstanceTable instances;
    private final Clock clock;

    InstanceCalls(InstanceReports reports, InstanceTable instances, Clock clock) {
        this.reports = reports;
        this.instances = instances;
        this.clock = clock;
    }

    /** Handles a request about the instance with this identifier. */
    void accept(String id, SimpleHttpServer.Request request) {
        Instance instance = switch (request.method()) {
            case "PUT" -> heartbeat(id, request.body());
            case "DELETE" -> departure(id);
            default -> null;
        };
        if (instance == null) {
            boolean known = request.method().equals("PUT") || request.method().equals("DELETE");
            request.responder().accept(SimpleHttpServer.Response.empty(known ? BAD_REQUEST : METHOD_NOT_ALLOWED));
            return;
        }
        reports.accept(
                instance,
                confirmed -> request.responder()
                        .accept(confirmed ? ACCEPTED : SimpleHttpServer.Response.empty(UNAVAILABLE)));
    }

    /** Parses a heartbeat. Returns null if it is malformed. */
    private Instance heartbeat(String id, byte[] body) {
        try {
            JsonNode root = TreeReader.parseJson(body);
            JsonNode information = root.path("information");
            JsonNode status = root.path("status");
            String state = status.path("state").asText();
            if (!root.path("address").isTextual()
                    || !information.path("service").isTextual()) {
                return null;
            }
            long coldMs = Durations.parseMillis(status.path("coldRemaining").asText("0ms"));
            return new Instance(
                    id,
                    information.path("service").asText(),
                    root.path("address").asText(),
                    information.path("zone").asText(),
                    information.path("version").asText(),
                    information.path("slotCount").asInt(1),
                    state.equals("draining") ? InstanceState.DRAINING : InstanceState.READY,
                    status.path("sequence").asLong(),
                    coldMs <= 0 ? 0 : (long) clock.now() + coldMs);
        } catch (IOException | IllegalArgumentException malformed) {
            return null;
        }
    }

    /**
     * Creates the state of an instance that leaves. An unknown instance is recorded as gone too, so that a late
     * heartbeat does not bring it back.
     */
    private Instance departure(String id) {
        Instance known = instances.get(id);
        return known == null ? new Instance(id, "", "", "", "", 0, InstanceState.GONE, 0, 0) : known.asGone();
    }
}
