package ridgemill.cdn.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import ridgemill.cdn.json.TreeReader;

/** Reads and validates a settings file (TOML). Unknown fields are ignored, because files may gain new ones. */
public final class SettingsReader {

    private static final int MAX_PORT = 65_535;
    private static final String DEFAULT_HEARTBEAT = "1500ms";

    private final JsonNode root;
    private final String location;

    private SettingsReader(JsonNode root, String location) {
        this.root = root;
        this.location = location;
    }

    /** Reads a settings file. */
    public static Either<SettingsError, Settings> read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException unreadable) {
            return Either.left(new SettingsError(path.toString(), "can't be read: " + unreadable.getMessage()));
        }
        return parse(text, path.toString());
    }

    /**
     * Parses settings.
     *
     * @param location the name of the text in errors
     */
    public static Either<SettingsError, Settings> parse(String text, String location) {
        try {
            return Either.right(new SettingsReader(tree(text), location).settings());
        } catch (IOException malformed) {
            return Either.left(new SettingsError(location, "is no TOML: " + firstLine(malformed.getMessage())));
        } catch (FieldException invalid) {
            return Either.left(new SettingsError(location + ": " + invalid.field, invalid.getMessage()));
        }
    }

    private static JsonNode tree(String text) throws IOException {
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            return TreeReader.readSingleValue(parser);
        }
    }

    private static String firstLine(String text) {
        int end = text == null ? -1 : text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    /** Thrown for a field with an invalid value. */
    private static final class FieldException extends RuntimeException {

        private static final long serialVersionUID = 1;

        private final String field;

        FieldException(String field, String reason) {
            super(reason);
            this.field = field;
        }
    }

    private Settings settings() {
        JsonNode ports = root.path("internalPortRange");
        JsonNode listen = root.path("listenAddresses");
        return new Settings(
                requiredText("nodeName"),
                requiredText("ipAddress"),
                requiredText("zone"),
                zones(),
                port(ports.path(0), "internalPortRange"),
                port(ports.path(1), "internalPortRange"),
                seeds(),
                root.path("firstStart").asBoolean(false),
                dataDirectory(),
                address(listen, "frontAddress"),
                address(listen, "readyAddress"),
                address(listen, "controlAddress"),
                duration("heartbeatInterval", DEFAULT_HEARTBEAT),
                new Bounds(bounds()),
                root.path("limits").path("fileDescriptors").asInt(1024),
                root.path("toleratedLosses").path("machines").asInt(0),
                root.path("lossCounted").asBoolean(true));
    }

    private String requiredText(String field) {
        JsonNode value = root.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new FieldException(field, "must be a non-empty string");
        }
        return value.textValue();
    }

    private Map<String, String> zones() {
        Map<String, String> zones = new LinkedHashMap<>();
        root.path("zones")
                .fields()
                .forEachRemaining(
                        entry -> zones.put(entry.getKey(), entry.getValue().asText()));
        return Map.copyOf(zones);
    }

    private static int port(JsonNode value, String field) {
        if (!value.canConvertToInt() || value.intValue() < 1 || value.intValue() > MAX_PORT) {
            throw new FieldException(field, "must be two ports from 1 to " + MAX_PORT);
        }
        return value.intValue();
    }

    private List<String> seeds() {
        List<String> seeds = new ArrayList<>();
        for (JsonNode seed : root.path("seedAddresses")) {
            seeds.add(checkedAddress(seed.asText(), "seedAddresses"));
        }
        if (seeds.isEmpty()) {
            throw new FieldException("seedAddresses", "must contain at least one address");
        }
        return List.copyOf(seeds);
    }

    private Path dataDirectory() {
        JsonNode value = root.path("dataDirectory");
        return value.isTextual() && !value.textValue().isEmpty() ? Path.of(value.textValue()) : null;
    }

    private static String address(JsonNode table, String field) {
        JsonNode value = table.path(field);
        return value.isTextual() ? checkedAddress(value.textValue(), "listenAddresses." + field) : null;
    }

    private static String checkedAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            int port = colon <= 0 ? 0 : Integer.parseInt(text.substring(colon + 1));
            if (port >= 1 && port <= MAX_PORT) {
                return text;
            }
        } catch (NumberFormatException notAPort) {
            throw new FieldException(field, "\"" + text + "\" is not an address such as 10.0.0.1:8080");
        }
        throw new FieldException(field, "\"" + text + "\" is not an address such as 10.0.0.1:8080");
    }

    private long duration(String field, String defaultValue) {
        try {
            return Durations.parseMillis(root.path(field).asText(defaultValue));
        } catch (IllegalArgumentException malformed) {
            throw new FieldException(field, malformed.getMessage());
        }
    }

    private Map<String, String> bounds() {
        Map<String, String> bounds = new HashMap<>();
        JsonNode list = root.path("bounds");
        if (list.isTextual()) {
            for (String entry : list.textValue().split(",")) {
                addBound(entry, bounds);
            }
        }
        for (JsonNode entry : list) {
            addBound(entry.asText(), bounds);
        }
        return Map.copyOf(bounds);
    }

    private static void addBound(String entry, Map<String, String> bounds) {
        int equals = entry.indexOf('=');
        if (equals <= 0) {
            throw new FieldException("bounds", "\"" + entry + "\" is not of the form name=value");
        }
        bounds.put(
                entry.substring(0, equals).trim(), entry.substring(equals + 1).trim());
    }
}
