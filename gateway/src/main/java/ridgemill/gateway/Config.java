package ridgemill.gateway;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
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
import java.util.function.Supplier;
import ridgemill.benchlink.SettingsReader;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Addresses;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.Settings;

/**
 * What the deployment tells a proxy. {@code peerListen} and {@code peersAll} are null and {@code peers} empty where
 * proxies may not talk to one another; {@code known} is null where the proxy has never had a list;
 * {@code console} is null where operators have no address of their own.
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                     InetSocketAddress peerListen, List<InetSocketAddress> peers, InetSocketAddress peerBroadcastAddress,
                     HostList knownHosts, Settings settings, int maxPendingRequests, InetSocketAddress console) {

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int SEED_RADIX = 16;

    public Config {
        peers = List.copyOf(peers);
    }

    /**
     * What one of several loops of this process is told: to the decisions each is a proxy of a tier that is as many times
     * larger, so that what they divide among proxies (quotas, care with cold nodes) they divide among loops too. Descriptors
     * are divided; those that the process holds whatever it serves are not.
     *
     * @param reserved descriptors that are not divided
     */
    Config forLoop(int loop, int loops, int reserved) {
        PlatformLimits limits = settings.limits();
        PlatformLimits loopLimits = new PlatformLimits(limits.maxAttempts(), limits.cancelAllowed(), limits.probesAllowed(), true, limits.retryAfterAllowed(), limits.maxRetryAfterMs(),
                limits.hedgingAllowed(), limits.connectTimeoutMs());
        Settings loopSettings = new Settings(settings.proxyIndex() * loops + loop, settings.proxyCount() * loops, settings.zone(),
                settings.tickMs(), settings.classes(), settings.tenants(), settings.overQuotaFactor(), settings.valueByWork(),
                loopLimits, settings.rules(), settings.mustSubscribe(), settings.weightMode(), settings.originModel(),
                settings.connectionCosts());
        return new Config(name, listen, discovery, seed + loop, Math.max(2, (sockets - reserved) / loops) + reserved, peerListen,
                peers, peerBroadcastAddress, knownHosts, loopSettings, Math.max(1, maxPendingRequests / loops), console);
    }

    /** Reads the file that BALANCER_CONFIG names; the other variables override what it says. */
    public static Config fromEnvironment(Map<String, String> environment) throws ConfigException {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        return read(file, environment);
    }

    /** Reads a file; what is wrong with it is told in one line that names the file and the place in it. */
    public static Config read(String file, Map<String, String> environment) throws ConfigException {
        String json;
        try {
            json = Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("cannot read " + file);
        }
        try {
            return parse(json, environment);
        } catch (ConfigException e) {
            throw new ConfigException(file + ": " + e.getMessage());
        }
    }

    /** Reads the file again: what it says of discovery now is newer than the variable that the start was given. */
    static Config reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("BALANCER_DISCOVERY");
        return fromEnvironment(remaining);
    }

    /** Reads a configuration's text; the environment's BALANCER_ variables override what it says. */
    public static Config parse(String json, Map<String, String> environment) throws ConfigException {
        try {
            JsonObject root = JsonParser.parseString(json).getAsJsonObject();
            if (!root.has("settings")) {
                throw new ConfigException("settings: missing");
            }
            return new Config(at("name", () -> text(root, "name", environment.get("BALANCER_NAME"))),
                    at("listen", () -> required(root, "listen", environment.get("BALANCER_LISTEN"))),
                    at("discovery", () -> required(root, "discovery", environment.get("BALANCER_DISCOVERY"))),
                    at("seed", () -> seed(root)), at("limits", () -> sockets(root)),
                    at("peer_listen", () -> optional(root, "peer_listen", null)), at("peers", () -> peers(root)),
                    at("peers_all", () -> optional(root, "peers_all", null)), at("known", () -> known(root)),
                    SettingsReader.read(root.get("settings")),
                    at("settings: limits: max_open", () -> maxOpen(root.getAsJsonObject("settings"))),
                    at("console", () -> optional(root, "console", environment.get("BALANCER_CONSOLE"))));
        } catch (RuntimeException e) {
            throw new ConfigException(reason(e));
        }
    }

    /** Reads one field; what is wrong with it is told with its name. */
    private static <T> T at(String field, Supplier<T> read) {
        try {
            return read.get();
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(field + ": " + reason(e), e);
        }
    }

    /** Gson and the settings' own checks report what is wrong by several unchecked types; this is one line of it. */
    private static String reason(RuntimeException e) {
        boolean wrongType = e instanceof ClassCastException || e instanceof IllegalStateException
                || e instanceof UnsupportedOperationException;
        Throwable source = e instanceof JsonParseException && e.getCause() != null ? e.getCause() : e;
        return wrongType ? "not the kind of value that is wanted here"
                : String.valueOf(source.getMessage()).lines().findFirst().orElse("malformed");
    }

    private static String text(JsonObject o, String field, String override) {
        if (override != null) {
            return override;
        }
        JsonElement value = o.get(field);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }

    private static InetSocketAddress required(JsonObject o, String field, String override) {
        String value = text(o, field, override);
        if (value == null) {
            throw new IllegalArgumentException("missing");
        }
        return Addresses.parse(value);
    }

    private static InetSocketAddress optional(JsonObject o, String field, String override) {
        String value = text(o, field, override);
        return value == null || value.isEmpty() ? null : Addresses.parse(value);
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
        return seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, SEED_RADIX);
    }

    private static int sockets(JsonObject o) {
        JsonObject limits = o.getAsJsonObject("limits");
        return limits != null && limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_DESCRIPTORS;
    }

    private static int maxOpen(JsonObject settings) {
        JsonObject limits = settings.getAsJsonObject("limits");
        return limits != null && limits.has("max_open") ? limits.get("max_open").getAsInt() : Integer.MAX_VALUE;
    }
}
