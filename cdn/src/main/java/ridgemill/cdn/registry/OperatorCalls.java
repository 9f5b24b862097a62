package ridgemill.cdn.registry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import ridgemill.cdn.config.ItemSet;
import ridgemill.cdn.configuration.ChangeReader;
import ridgemill.cdn.configuration.ChangeValidator;
import ridgemill.cdn.configuration.ConfigurationChange;
import ridgemill.cdn.configuration.InvalidChange;
import ridgemill.cdn.http.CallServer;
import ridgemill.cdn.json.TreeReader;
import ridgemill.cdn.purge.Purge;

/** Answers the operators' calls: changes and reads of the configuration, purges. */
final class OperatorCalls {

    private static final System.Logger LOG = System.getLogger(OperatorCalls.class.getName());
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final StoreClient stores;
    private final ChangeValidator validator = new ChangeValidator();
    private ChangeReader reader;

    OperatorCalls(StoreClient stores) {
        this.stores = stores;
    }

    /** Made with the first call: the schema takes a start on part of a core longer than all else together. */
    private ChangeReader reader() {
        if (reader == null) {
            reader = new ChangeReader();
        }
        return reader;
    }

    /** Answers with what a quorum of the stores holds. */
    void readConfiguration(CallServer.Call call) {
        stores.readItems(items -> call.answer()
                .accept(
                        items == null
                                ? CallServer.Answer.empty(UNAVAILABLE)
                                : new CallServer.Answer(OK, reader().write(items.all()))));
    }

    /** A change is checked against what a quorum holds, so that it is judged by all changes that were acknowledged. */
    void changeConfiguration(CallServer.Call call) {
        Either<InvalidChange, ConfigurationChange> change = reader().read(call.body());
        if (change.isLeft()) {
            refuse(call, change.getLeft());
            return;
        }
        stores.readItems(current -> {
            if (current == null) {
                call.answer().accept(CallServer.Answer.empty(UNAVAILABLE));
            } else {
                checkAndWrite(call, change.get(), current);
            }
        });
    }

    private void checkAndWrite(CallServer.Call call, ConfigurationChange change, ItemSet current) {
        Option<InvalidChange> fault = validator.check(change, current);
        if (fault.isDefined()) {
            refuse(call, fault.get());
            return;
        }
        stores.writeItems(change.items(), durable -> {
            LOG.log(
                    System.Logger.Level.INFO,
                    "event=configuration items=" + change.items().size() + " durable=" + durable);
            call.answer().accept(CallServer.Answer.empty(durable ? OK : UNAVAILABLE));
        });
    }

    private void refuse(CallServer.Call call, InvalidChange fault) {
        LOG.log(System.Logger.Level.INFO, "event=configuration_refused reason=\"" + fault.describe() + "\"");
        ObjectNode body = JsonNodeFactory.instance.objectNode().put("errorMessage", fault.describe());
        call.answer().accept(new CallServer.Answer(BAD_REQUEST, body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    /** Orders a purge; the call is acknowledged once a majority of the stores has passed it on. */
    void purge(CallServer.Call call) {
        Purge purge = readPurge(call.body());
        if (purge == null) {
            refuse(call, new InvalidChange("", "a purge needs hostname and path, or tag"));
            return;
        }
        stores.purge(purge, passedOn -> call.answer().accept(CallServer.Answer.empty(passedOn ? OK : UNAVAILABLE)));
    }

    /** The purge of a call, or null if it can't be read. */
    private Purge readPurge(byte[] body) {
        try {
            JsonNode root = TreeReader.json(body);
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
