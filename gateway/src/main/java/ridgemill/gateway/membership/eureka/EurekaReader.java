package ridgemill.gateway.membership.eureka;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.StringReader;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import ridgemill.gateway.membership.eureka.EurekaRecord.Action;
import ridgemill.membership.Status;

/**
 * Reads answers of a registry, in JSON as Jackson and as XStream write it, or in XML. They are input from outside: what is
 * unknown is passed over, what is of a wrong type is as if it were absent, an instance without an id or an address is left
 * out, and an answer that is no list of applications is refused as a whole.
 */
final class EurekaReader {

    private static final int MOST_INSTANCES = 50_000;
    private static final int MOST_TEXT = 1024;
    private static final int MOST_DEPTH = 32;
    private static final Set<String> LISTS = Set.of("application", "instance");

    private EurekaReader() { }

    /** Reads an answer; what it is written in is seen from its beginning, as servers send either whatever was asked for. */
    static EurekaAnswer read(String text) throws EurekaFormatException {
        String start = text.stripLeading();
        JsonObject tree;
        if (start.startsWith("<")) {
            tree = xml(start);
        } else if (start.startsWith("{")) {
            tree = json(start);
        } else {
            throw new EurekaFormatException("neither JSON nor XML: " + start.lines().findFirst().map(EurekaReader::cut).orElse("empty"));
        }
        return answer(tree);
    }

    private static JsonObject json(String text) throws EurekaFormatException {
        try {
            return JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException | StackOverflowError e) {
            throw new EurekaFormatException("broken JSON: " + cut(String.valueOf(e.getMessage())));
        }
    }

    /** The same tree as of JSON: elements as fields, attributes with @ before their names, text as the field $. */
    private static JsonObject xml(String text) throws EurekaFormatException {
        XMLInputFactory factory = XMLInputFactory.newDefaultFactory();
        // A registry's answer has no business in our files, nor in anybody's.
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        JsonObject root = new JsonObject();
        Deque<JsonObject> open = new ArrayDeque<>();
        Deque<StringBuilder> texts = new ArrayDeque<>();
        open.push(root);
        texts.push(new StringBuilder());
        try {
            XMLStreamReader reader = factory.createXMLStreamReader(new StringReader(text));
            while (reader.hasNext()) {
                switch (reader.next()) {
                    case XMLStreamConstants.START_ELEMENT -> {
                        JsonObject element = new JsonObject();
                        for (int i = 0; i < reader.getAttributeCount(); i++) {
                            element.addProperty("@" + reader.getAttributeLocalName(i), reader.getAttributeValue(i));
                        }
                        put(open.peek(), reader.getLocalName(), element);
                        open.push(element);
                        texts.push(new StringBuilder());
                        if (open.size() > MOST_DEPTH) {
                            throw new EurekaFormatException("elements are nested over " + MOST_DEPTH + " deep");
                        }
                    }
                    case XMLStreamConstants.CHARACTERS, XMLStreamConstants.CDATA -> texts.peek().append(reader.getText());
                    case XMLStreamConstants.END_ELEMENT -> open.pop().addProperty("$", texts.pop().toString().strip());
                    default -> { }
                }
            }
            reader.close();
        } catch (XMLStreamException e) {
            throw new EurekaFormatException("broken XML: " + cut(String.valueOf(e.getMessage()).lines().findFirst().orElse("")));
        }
        return root;
    }

    private static void put(JsonObject into, String name, JsonObject element) {
        if (LISTS.contains(name)) {
            if (!into.has(name)) {
                into.add(name, new JsonArray());
            }
            into.getAsJsonArray(name).add(element);
        } else if (!into.has(name)) {
            into.add(name, element);
        }
    }

    private static EurekaAnswer answer(JsonObject tree) throws EurekaFormatException {
        List<EurekaRecord> records = new ArrayList<>();
        if (tree.get("applications") instanceof JsonObject all) {
            for (JsonElement app : list(all, "application")) {
                application(app, records);
            }
            return new EurekaAnswer(records, text(all, "apps__hashcode"), text(all, "versions__delta"));
        }
        // One application alone; in XML it is the root and so in a list.
        List<JsonElement> one = list(tree, "application");
        if (one.size() != 1) {
            throw new EurekaFormatException("no list of applications");
        }
        application(one.get(0), records);
        return new EurekaAnswer(records, "", "");
    }

    private static void application(JsonElement app, List<EurekaRecord> records) throws EurekaFormatException {
        if (!(app instanceof JsonObject a)) {
            return;
        }
        String name = text(a, "name");
        for (JsonElement i : list(a, "instance")) {
            if (i instanceof JsonObject instance) {
                EurekaRecord record = instance(name, instance);
                if (record != null) {
                    records.add(record);
                }
            }
            if (records.size() > MOST_INSTANCES) {
                throw new EurekaFormatException("over " + MOST_INSTANCES + " instances");
            }
        }
    }

    private static EurekaRecord instance(String appName, JsonObject i) {
        String app = text(i, "app").isEmpty() ? appName : text(i, "app");
        String host = text(i, "hostName");
        String ip = text(i, "ipAddr");
        // Older clients have no instanceId, and are known by their host's name.
        String id = text(i, "instanceId").isEmpty() ? host : text(i, "instanceId");
        if (app.isEmpty() || id.isEmpty()) {
            return null;
        }
        Map<String, String> metadata = new HashMap<>();
        if (i.get("metadata") instanceof JsonObject m) {
            m.keySet().stream().limit(64).filter(k -> !k.startsWith("@")).forEach(k -> metadata.put(k, text(m, k)));
        }
        JsonObject lease = i.get("leaseInfo") instanceof JsonObject l ? l : new JsonObject();
        String overridden = text(i, "overriddenstatus").isEmpty() ? text(i, "overriddenStatus") : text(i, "overriddenstatus");
        return new EurekaRecord(app.toUpperCase(Locale.ROOT), id, host, ip, port(i, "port"), status(text(i, "status")),
                status(overridden), metadata, number(text(lease, "serviceUpTimestamp")), number(text(i, "lastDirtyTimestamp")),
                action(text(i, "actionType")));
    }

    private static int port(JsonObject i, String name) {
        JsonElement p = i.get(name);
        if (p instanceof JsonObject o && "false".equalsIgnoreCase(text(o, o.has("@enabled") ? "@enabled" : "enabled"))) {
            return 0;
        }
        long port = number(text(i, name));
        return port > 0 && port < 65_536 ? (int) port : 0;
    }

    private static Status status(String text) {
        for (Status s : Status.values()) {
            if (s.name().equalsIgnoreCase(text)) {
                return s;
            }
        }
        return Status.UNKNOWN;
    }

    private static Action action(String text) {
        for (Action a : Action.values()) {
            if (a.name().equalsIgnoreCase(text)) {
                return a;
            }
        }
        return null;
    }

    private static List<JsonElement> list(JsonObject in, String name) {
        JsonElement e = in.get(name);
        return e instanceof JsonArray a ? a.asList() : e instanceof JsonObject ? List.of(e) : List.of();
    }

    /** A field as text, whether it is one, a number, or an object that holds it; empty where it is none of these. */
    private static String text(JsonObject in, String name) {
        JsonElement e = in.get(name);
        if (e instanceof JsonObject o) {
            e = o.get("$");
        }
        if (e == null || !e.isJsonPrimitive()) {
            return "";
        }
        String text = e.getAsString();
        return text.length() > MOST_TEXT ? "" : text;
    }

    private static long number(String text) {
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    private static String cut(String text) {
        return text.length() <= 80 ? text : text.substring(0, 80);
    }
}
