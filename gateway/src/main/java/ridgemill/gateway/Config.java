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
 * Configuration of a proxy by its deployment.
 *
 * @param name name of the proxy, or null
 * @param listen address for clients
 * @param discovery address of discovery
 * @param seed seed of the random numbers
 * @param sockets limit of file descriptors
 * @param peerListen address for messages from other proxies; null if proxies may not exchange messages
 * @param peers addresses of all proxies by index; empty if proxies may not exchange messages
 * @param peerBroadcastAddress address that reaches all proxies; null if there is none
 * @param knownHosts the host list that the proxy remembers; null if it has never received one
 * @param settings settings of the routing policy
 * @param maxPendingRequests limit of requests without a final response, per group of nodes
 * @param console address of the console for operators; null if there is none
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
                     InetSocketAddress peerListen, List<InetSocketAddress> peers,
                     InetSocketAddress peerBroadcastAddress, HostList knownHosts, Settings settings,
                     int maxPendingRequests, InetSocketAddress console) {

    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int SEED_RADIX = 16;

    public Config {
        peers = List.copyOf(peers);
    }

    /**
     * The configuration of one of several event loops of this process. Its routing policy sees each loop as one proxy
     * of a tier that has {@code loops} times as many proxies, so values that are divided among proxies (quotas, cold
     * node protection) are divided among loops too. File descriptors are divided as well, except for those that the
     * process holds regardless of load.
     *
     * @param reserved file descriptors that are not divided
     */
    Config forLoop(int loop, int loops, int reserved) {
        PlatformLimits limits = settings.limits();
        PlatformLimits loopLimits = new PlatformLimits(limits.maxAttempts(), limits.cancelAllowed(),
                limits.probesAllowed(), true, limits.retryAfterAllowed(), limits.maxRetryAfterMs(),
                limits.hedgingAllowed(), limits.connectTimeoutMs());
        Settings loopSettings = new Settings(settings.proxyIndex() * loops + loop, settings.proxyCount() * loops,
                settings.zone(), settings.tickMs(), settings.classes(), settings.tenants(), settings.overQuotaFactor(),
                settings.valueByWork(), loopLimits, settings.rules(), settings.mustSubscribe(), settings.weightMode(),
                settings.originModel(), settings.connectionCosts());
        return new Config(name, listen, discovery, seed + loop, Math.max(2, (sockets - reserved) / loops) + reserved,
                peerListen, peers, peerBroadcastAddress, knownHosts, loopSettings,
                Math.max(1, maxPendingRequests / loops), console);
    }

    /** Reads the file that BALANCER_CONFIG names. The other BALANCER_ variables override its values. */
    public static Config fromEnvironment(Map<String, String> environment) throws ConfigException {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new ConfigException("BALANCER_CONFIG is not set");
        }
        return read(file, environment);
    }

    /** Reads a file. An error is reported in one line that names the file and the location in it. */
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

    /** Reads the file again. Its discovery address now overrides BALANCER_DISCOVERY, which dates from the start. */
    static Config reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("BALANCER_DISCOVERY");
        return fromEnvironment(remaining);
    }

    /** Parses a configuration. The BALANCER_ variables of the environment override its values. */
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

    /** Reads one field and adds its name to an error. */
    private static <T> T at(String field, Supplier<T> read) {
        try {
            return read.get();
        } catch (RuntimeException e) {
            throw new IllegalArgumentException(field + ": " + reason(e), e);
        }
    }

    /** Describes an error in one line. Gson and the checks of the settings throw several unchecked exception types. */
    private static String reason(RuntimeException e) {
        boolean wrongType = e instanceof ClassCastException || e instanceof IllegalStateException
                || e instanceof UnsupportedOperationException;
        Throwable source = e instanceof JsonParseException && e.getCause() != null ? e.getCause() : e;
        return wrongType ? "not the kind of value that is wanted here"
                : String.valueOf(source.getMessage()).lines().findFirst().orElse("malformed");
    }

    private static String text(JsonObject root, String field, String override) {
        if (override != null) {
            return override;
        }
        JsonElement value = root.get(field);
        return value == null || value.isJsonNull() ? null : value.getAsString();
    }

    private static InetSocketAddress required(JsonObject root, String field, String override) {
        String value = text(root, field, override);
        if (value == null) {
            throw new IllegalArgumentException("missing");
        }
        return Addresses.parse(value);
    }

    private static InetSocketAddress optional(JsonObject root, String field, String override) {
        String value = text(root, field, override);
        return value == null || value.isEmpty() ? null : Addresses.parse(value);
    }

    private static List<InetSocketAddress> peers(JsonObject root) {
        List<InetSocketAddress> peers = new ArrayList<>();
        if (root.has("peers") && !root.get("peers").isJsonNull()) {
            root.getAsJsonArray("peers").forEach(p -> peers.add(Addresses.parse(p.getAsString())));
        }
        return peers;
    }

    private static HostList known(JsonObject root) {
        JsonElement known = root.get("known");
        return known == null || known.isJsonNull() ? null : HostList.parse(known.getAsJsonObject());
    }

    private static long seed(JsonObject root) {
        String seed = text(root, "seed", null);
        return seed == null ? System.nanoTime() : Long.parseUnsignedLong(seed, SEED_RADIX);
    }

    private static int sockets(JsonObject root) {
        JsonObject limits = root.getAsJsonObject("limits");
        return limits != null && limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_DESCRIPTORS;
    }

    private static int maxOpen(JsonObject settings) {
        JsonObject limits = settings.getAsJsonObject("limits");
        return limits != null && limits.has("max_open") ? limits.get("max_open").getAsInt() : Integer.MAX_VALUE;
    }
}
