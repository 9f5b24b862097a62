package ridgemill.cdn.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import ridgemill.cdn.configuration.ChangeReader;
import ridgemill.cdn.configuration.ChangeValidator;
import ridgemill.cdn.configuration.ConfigurationChange;
import ridgemill.cdn.configuration.InvalidChange;
import ridgemill.cdn.http.SimpleHttpServer;
import ridgemill.cdn.json.TreeReader;
import ridgemill.cdn.purge.Purge;

/** Handles the requests of operators: changes and reads of the configuration, and purges. */
final class OperatorCalls {

    private static final System.Logger LOG = System.getLogger(OperatorCalls.class.getName());
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private final StoreClient stores;
    private final ChangeValidator validator = new ChangeValidator();
    private ChangeReader reader;

    OperatorCalls(StoreClient stores) {
        this.stores = stores;
    }

    /**
     * Creates the reader on first use. On a fraction of a CPU core, loading the schema takes longer than the rest of
     * the start.
     */
    private ChangeReader reader() {
        if (reader == null) {
            reader = new ChangeReader();
        }
        return reader;
    }

    /** Responds with the configuration that a quorum of the stores holds. */
    void readConfiguration(SimpleHttpServer.Request request) {
        stores.read(items -> request.responder()
                .accept(
                        items == null
                                ? SimpleHttpServer.Response.empty(UNAVAILABLE)
                                : new SimpleHttpServer.Response(OK, reader().write(items))));
    }

    /**
     * Changes the configuration. Each item is checked here on its own; rules across items are checked by the stores.
     */
    void changeConfiguration(SimpleHttpServer.Request request) {
        Either<InvalidChange, ConfigurationChange> change = reader().read(request.body());
        if (change.isLeft()) {
            refuse(request, BAD_REQUEST, change.getLeft().describe());
            return;
        }
        Option<InvalidChange> fault = validator.check(change.get());
        if (fault.isDefined()) {
            refuse(request, BAD_REQUEST, fault.get().describe());
            return;
        }
        stores.change(change.get().items(), result -> {
            LOG.log(
                    System.Logger.Level.INFO,
                    "event=configuration items=" + change.get().items().size() + " outcome=" + result.outcome());
            switch (result.outcome()) {
                case CONFIRMED -> request.responder().accept(SimpleHttpServer.Response.empty(OK));
                case CONFLICT -> refuse(request, CONFLICT, result.detail());
                case INVALID -> refuse(request, BAD_REQUEST, result.detail());
                default -> request.responder().accept(SimpleHttpServer.Response.empty(UNAVAILABLE));
            }
        });
    }

    private void refuse(SimpleHttpServer.Request request, int status, String reason) {
        LOG.log(System.Logger.Level.INFO, "event=order_refused status=" + status + " reason=\"" + reason + "\"");
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("errorMessage", reason);
        request.responder()
                .accept(new SimpleHttpServer.Response(status, body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /** Requests a purge. The request is acknowledged once a majority of the stores has forwarded it. */
    void purge(SimpleHttpServer.Request request) {
        Purge purge = readPurge(request.body());
        if (purge == null) {
            refuse(request, BAD_REQUEST, "a purge needs hostname and path, or tag");
            return;
        }
        stores.purge(
                purge,
                forwarded -> request.responder().accept(SimpleHttpServer.Response.empty(forwarded ? OK : UNAVAILABLE)));
    }

    /** Parses the purge of a request. Returns null if it is malformed. */
    private Purge readPurge(byte[] body) {
        try {
            JsonNode root = TreeReader.parseJson(body);
            String id = UUID.randomUUID().toString();
            if (root.path("tag").isTextual()) {
                return Purge.ofTag(id, root.path("tag").textValue());
            }
            boolean named =
                    root.path("hostname").isTextual() && root.path("path").isTextual();
            return named
                    ? Purge.ofPath(
                            id,
                            root.path("hostname").textValue(),
                            root.path("path").textValue())
                    : null;
        } catch (IOException malformed) {
            return null;
        }
    }
}
