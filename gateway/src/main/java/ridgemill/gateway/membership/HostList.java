package ridgemill.gateway.membership;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import ridgemill.gateway.net.Addresses;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.Node;

/** One message of discovery: the whole list of hosts, or those that changed. */
public record HostList(long version, boolean whole, List<Host> hosts) {

    /** A host and where this proxy reaches it. */
    public record Host(Node node, SocketAddress dial) { }

    public HostList {
        hosts = List.copyOf(hosts);
    }

    /** The nodes as the decision module sees them. */
    public List<Node> nodes() {
        return hosts.stream().map(Host::node).toList();
    }

    /**
     * The list in one line for the log. One line a host took a restarted proxy on half a core 0.1 s, just when its clients
     * came.
     */
    public String summary() {
        StringBuilder text = new StringBuilder("list ").append(version).append(whole ? " whole" : "");
        for (Availability a : Availability.values()) {
            String before = "; " + a + ":";
            for (Host h : hosts) {
                if (h.node().availability() == a) {
                    text.append(before).append(' ').append(h.node().id());
                    if (h.dial() != null && a == Availability.UP) {
                        text.append('=').append(h.dial());
                    }
                    before = "";
                }
            }
        }
        return text.toString();
    }

    /** Parses all of it or throws, so that a bad entry never leaves half a list applied. */
    public static HostList parse(JsonObject o) {
        try {
            List<Host> hosts = new ArrayList<>();
            JsonArray entries = o.getAsJsonArray("hosts");
            for (JsonElement entry : entries == null ? new JsonArray() : entries) {
                hosts.add(host(entry.getAsJsonObject()));
            }
            return new HostList(field(o, "seq").getAsLong(), field(o, "whole").getAsBoolean(), hosts);
        } catch (IllegalStateException | UnsupportedOperationException | ClassCastException e) {
            throw new IllegalArgumentException("host list: " + e.getMessage());
        }
    }

    private static Host host(JsonObject o) {
        Availability availability = switch (field(o, "health").getAsString()) {
            case "up" -> Availability.UP;
            case "draining" -> Availability.DRAINING;
            case "removed" -> Availability.GONE;
            default -> throw new IllegalArgumentException("host list: unknown health " + o.get("health"));
        };
        boolean dialled = availability != Availability.GONE || o.has("dial") && !o.get("dial").isJsonNull();
        InetSocketAddress dial = dialled ? Addresses.parse(field(o, "dial").getAsString()) : null;
        Node node = new Node(field(o, "host").getAsString(), text(o, "class", null), text(o, "site", ""),
                (int) number(o, "block", 0), number(o, "share", 1), number(o, "born_ms", 0), availability);
        return new Host(node, dial);
    }

    private static JsonElement field(JsonObject o, String name) {
        JsonElement value = o.get(name);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("host list: " + name + " is missing");
        }
        return value;
    }

    private static String text(JsonObject o, String name, String absent) {
        JsonElement value = o.get(name);
        return value == null || value.isJsonNull() ? absent : value.getAsString();
    }

    private static double number(JsonObject o, String name, double absent) {
        JsonElement value = o.get(name);
        return value == null || value.isJsonNull() ? absent : value.getAsDouble();
    }
}
