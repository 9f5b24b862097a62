package ridgemill.cdn.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ridgemill.cdn.config.Item;
import ridgemill.cdn.config.ItemKind;
import ridgemill.cdn.config.ItemName;

/** Parses changes of the configuration from JSON and validates them against the schema. */
public final class ChangeReader {

    private static final String SCHEMA = "configuration.schema.json";
    private static final String ROUTES = "routeTable";
    private static final String SERVICES = "serviceTable";
    private static final String LIMITS = "limits";

    /** Numbers keep the digits that they were sent with, including trailing zeros. */
    private final ObjectMapper json = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .configure(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES, false);

    private final JsonSchema schema;

    /** Creates a reader with the bundled schema. */
    public ChangeReader() {
        try (InputStream in = ChangeReader.class.getResourceAsStream(SCHEMA)) {
            schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(json.readTree(in));
        } catch (IOException missing) {
            throw new UncheckedIOException(missing);
        }
    }

    /** Parses a change. Returns the first error if the body is not a valid change. */
    public Either<InvalidChange, ConfigurationChange> read(byte[] body) {
        JsonNode root;
        try {
            root = json.readTree(body);
        } catch (IOException malformed) {
            return Either.left(new InvalidChange("", "the body is no JSON: " + firstLine(malformed.getMessage())));
        }
        if (root == null || !root.isObject()) {
            return Either.left(new InvalidChange("", "the body is no JSON object"));
        }
        Set<ValidationMessage> errors = schema.validate(root);
        if (!errors.isEmpty()) {
            ValidationMessage first = errors.iterator().next();
            return Either.left(new InvalidChange(first.getInstanceLocation().toString(), first.getMessage()));
        }
        return Either.right(new ConfigurationChange(items(root)));
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    private List<Item> items(JsonNode root) {
        List<Item> items = new ArrayList<>();
        JsonNode upsert = root.path("upsert");
        addUpserts(upsert.path(ROUTES), ItemKind.ROUTE, items);
        addUpserts(upsert.path(SERVICES), ItemKind.SERVICE, items);
        if (upsert.path(LIMITS).isObject()) {
            items.add(upsert(ItemName.LIMITS, upsert.path(LIMITS)));
        }
        JsonNode remove = root.path("remove");
        addTombstones(remove.path(ROUTES), ItemKind.ROUTE, items);
        addTombstones(remove.path(SERVICES), ItemKind.SERVICE, items);
        return items;
    }

    private void addUpserts(JsonNode table, ItemKind kind, List<Item> items) {
        table.fields()
                .forEachRemaining(entry -> items.add(upsert(new ItemName(kind, entry.getKey()), entry.getValue())));
    }

    private Item upsert(ItemName name, JsonNode content) {
        return new Item(name, content.path("version").asLong(), content.toString());
    }

    private static void addTombstones(JsonNode list, ItemKind kind, List<Item> items) {
        for (JsonNode removal : list) {
            ItemName name = new ItemName(kind, removal.path("name").asText());
            items.add(new Item(name, removal.path("version").asLong(), null));
        }
    }

    /** Returns all items that are not tombstones as JSON, in the form of the {@code upsert} of a change. */
    public byte[] write(Iterable<Item> items) {
        ObjectNode root = json.createObjectNode();
        ObjectNode routes = root.putObject(ROUTES);
        ObjectNode services = root.putObject(SERVICES);
        try {
            for (Item item : items) {
                if (item.isTombstone()) {
                    continue;
                }
                JsonNode content = json.readTree(item.content());
                switch (item.name().kind()) {
                    case ROUTE -> routes.set(item.name().name(), content);
                    case SERVICE -> services.set(item.name().name(), content);
                    case LIMITS -> root.set(LIMITS, content);
                }
            }
            return json.writeValueAsBytes(root);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("a stored item is no JSON", impossible);
        }
    }
}
