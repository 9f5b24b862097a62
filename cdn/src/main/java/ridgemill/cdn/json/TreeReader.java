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
 * Parses text as trees without Jackson's object mapper. In a process that starts on a fraction of a CPU core, creating
 * the object mapper takes longer than parsing all the text that the process reads.
 */
public final class TreeReader {

    private static final JsonFactory JSON = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private TreeReader() {}

    /**
     * Parses JSON text.
     *
     * @throws IOException if the text is not exactly one JSON value
     */
    public static JsonNode parseJson(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            return readSingleValue(parser);
        }
    }

    /**
     * Parses JSON from bytes.
     *
     * @throws IOException if the bytes are not exactly one JSON value
     */
    public static JsonNode parseJson(byte[] bytes) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            return readSingleValue(parser);
        }
    }

    /**
     * Reads the complete input of a parser as one value.
     *
     * @throws IOException if the input is empty, malformed or has further content
     */
    public static JsonNode readSingleValue(JsonParser parser) throws IOException {
        if (parser.nextToken() == null) {
            throw new JsonParseException(parser, "the input is empty");
        }
        JsonNode value = value(parser);
        if (parser.nextToken() != null) {
            throw new JsonParseException(parser, "unexpected content after the value");
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
