package ridgemill.gateway;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ridgemill.benchlink.SettingsReader;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Addresses;
import ridgemill.policy.Router.Settings;

/**
 * What the deployment tells a proxy. {@code peerListen} and {@code peersAll} are null and {@code peers} empty where
 * proxies may not talk to one another; {@code known} is null where the proxy has never had a list.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                     InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress peersAll,
                     HostList known, Settings settings, int maxOpen) {

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int HEX = 16;

    public Config {
        peers = List.copyOf(peers);
    }

    /** Reads the file that BALANCER_CONFIG names; the other variables override what it says. */
    public static Config fromEnvironment(Map<String, String> environment) throws ConfigException {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        String json;
        try {
            json = Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("cannot read " + file);
        }
        return parse(json, environment);
    }

    /** Reads the file again: what it says of discovery now is newer than the variable that the start was given. */
    static Config reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("BALANCER_DISCOVERY");
        return fromEnvironment(others);
    }

    static Config parse(String json, Map<String, String> environment) throws ConfigException {
        try {
            JsonObject o = JsonParser.parseString(json).getAsJsonObject();
            JsonObject settings = o.getAsJsonObject("settings");
            if (settings == null) {
                throw new ConfigException("settings: missing");
            }
            return new Config(text(o, "name", environment.get("BALANCER_NAME")),
                    required(o, "listen", environment.get("BALANCER_LISTEN")),
                    required(o, "discovery", environment.get("BALANCER_DISCOVERY")), seed(o), sockets(o),
                    optional(o, "peer_listen"), peers(o), optional(o, "peers_all"),
                    known(o), SettingsReader.read(settings), maxOpen(settings));
        } catch (RuntimeException e) {
            // Gson and the settings' own checks report what is wrong by several unchecked types.
            throw new ConfigException(String.valueOf(e.getMessage()).lines().findFirst().orElse("malformed"));
        }
    }

    private static String text(JsonObject o, String field, String override) {
        if (override != null) {
            return override;
        }
        JsonElement value = o.get(field);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }

    private static InetSocketAddress required(JsonObject o, String field, String override) throws ConfigException {
        String value = text(o, field, override);
        if (value == null) {
            throw new ConfigException(field + ": missing");
        }
        return Addresses.parse(value);
    }

    private static InetSocketAddress optional(JsonObject o, String field) {
        String value = text(o, field, null);
        return value == null ? null : Addresses.parse(value);
    }

    private static List<InetSocketAddress> peers(JsonObject o) {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (o.has("peers") && !o.get("peers").isJsonNull()) {
            o.getAsJsonArray("peers").forEach(p -> peers.add(Addresses.parse(p.getAsString())));
        }
        return peers;
    }

    private static HostList known(JsonObject o) {
        JsonElement known = o.get("known");
        return known == null || known.isJsonNull() ? null : HostList.parse(known.getAsJsonObject());
    }

    private static long seed(JsonObject o) {
        String seed = text(o, "seed", null);
        return seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, HEX);
    }

    private static int sockets(JsonObject o) {
        JsonObject limits = o.getAsJsonObject("limits");
        return limits != null && limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_SOCKETS;
    }

    private static int maxOpen(JsonObject settings) {
        JsonObject limits = settings.getAsJsonObject("limits");
        return limits != null && limits.has("max_open") ? limits.get("max_open").getAsInt() : Integer.MAX_VALUE;
    }
}
