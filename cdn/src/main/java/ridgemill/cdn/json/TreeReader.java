package ridgemill.cdn.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads texts as trees without Jackson's object mapper, whose making takes a process that starts on part of a core longer
 * than all it has to read.
 */
public final class TreeReader {

    private static final JsonFactory JSON = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private TreeReader() {}

    /**
     * Reads JSON text.
     *
     * @throws IOException if the text is no JSON value, or goes on behind it
     */
    public static JsonNode parseJson(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return readSingleValue(parser);
        }
    }

    /**
     * Reads JSON from bytes.
     *
     * @throws IOException if they are no JSON value, or go on behind it
     */
    public static JsonNode parseJson(byte[] bytes) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            return readSingleValue(parser);
        }
    }

    /**
     * Reads all that a parser brings as one value.
     *
     * @throws IOException if it brings none, or more
     */
    public static JsonNode readSingleValue(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            throw new JsonParseException(parser, "there is no value");
        }
        JsonNode value = value(parser);
        if (parser.nextToken() != null) {
            throw new JsonParseException(parser, "there is more behind the value");
        }
        return value;
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDecimalValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> NODES.textNode(parser.getText());
        };
    }

    private static ObjectNode object(JsonParser parser) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            node.set(name, value(parser));
        }
        return node;
    }

    private static ArrayNode array(JsonParser parser) throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(value(parser));
        }
        return node;
    }
}
