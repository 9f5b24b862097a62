package ridgemill.benchlink;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import ridgemill.policy.Router.ConnectionCosts;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.DeduplicationScope;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.PlatformRules;
import ridgemill.policy.Router.ServiceClass;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.Tenant;
import ridgemill.policy.Router.WeightMode;

/** Turns the settings of the wire into the module's; unknown keys are skipped, absent ones get a default. */
public final class SettingsReader {

    private SettingsReader() { }

    static Settings read(String json) {
        try {
            return read(JsonParser.parseString(json));
        } catch (JsonParseException e) {
            throw new WireException("settings: " + e.getMessage());
        }
    }

    /** Reads settings that stand inside a larger document, such as a proxy's configuration. */
    public static Settings read(JsonElement json) {
        try {
            return settings(json.getAsJsonObject());
        } catch (JsonParseException | IllegalStateException | UnsupportedOperationException
                | ClassCastException | NumberFormatException e) {
            throw new WireException("settings: " + e.getMessage());
        }
    }

    private static Settings settings(JsonObject o) {
        return new Settings((int) number(o, "rank", 0), (int) number(o, "balancers", 1), text(o, "zone", ""),
                number(o, "tick_ms", 1), classes(array(o, "services")), tenants(array(o, "customers")),
                number(o, "over_share_worth", 1), text(o, "value_by", "request").equals("work"),
                limits(object(o, "limits")), rules(object(o, "obligations")),
                text(o, "discovery", "automatic").equals("subscribe"), weights(text(o, "weights", "silent")),
                originModel(o), connections(object(o, "limits"), object(o, "tariffs")));
    }

    private static ConnectionCosts connections(JsonObject limits, JsonObject tariffs) {
        return new ConnectionCosts(number(limits, "idle_close_ms", Double.POSITIVE_INFINITY),
                number(tariffs, "connection", 0), number(tariffs, "handshake", 0));
    }

    private static List<ServiceClass> classes(JsonArray services) {
        List<ServiceClass> classes = new ArrayList<>();
        for (JsonElement element : services) {
            JsonObject o = element.getAsJsonObject();
            double deadline = number(o, "deadline_ms", 0);
            classes.add(new ServiceClass(text(o, "name", ""), number(o, "objective_ms", deadline),
                    number(o, "aim_stretch", 0), deadline, number(o, "gain", 1), number(o, "late_share", 0),
                    effect(text(o, "effect", "fragile")), group(text(o, "group", "all")),
                    number(o, "repeat_window_ms", 0), flag(o, "stream")));
        }
        return classes;
    }

    private static List<Tenant> tenants(JsonArray customers) {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonElement element : customers) {
            JsonObject o = element.getAsJsonObject();
            tenants.add(new Tenant(text(o, "name", ""), number(o, "quota_per_s", Double.MAX_VALUE)));
        }
        return tenants;
    }

    private static PlatformLimits limits(JsonObject o) {
        return new PlatformLimits((int) number(o, "try_limit", 1), flag(o, "cancelling"), flag(o, "probing"),
                flag(o, "peers"), flag(o, "retry_after"), number(o, "max_retry_after_ms", 0),
                flag(o, "second_copies"), number(o, "connect_timeout_ms", 100));
    }

    private static PlatformRules rules(JsonObject o) {
        return new PlatformRules(number(o, "stop_sending_within_ms", 0), number(o, "cold_from", 1),
                number(o, "cold_ms", 0), number(o, "fall_multiple", 1), number(o, "fall_ms", 1000),
                number(o, "answer_slack_ms", 0), number(o, "ask_within_ms", 10000));
    }

    /** The model that marks the origin; null unless proxies fetch from it themselves. */
    private static String originModel(JsonObject o) {
        JsonObject domain = object(o, "domain");
        int kind = (int) number(domain, "origin_kind", -1);
        JsonArray kinds = array(o, "kinds");
        boolean aside = text(domain, "mode", "through").equals("aside");
        return aside && kind >= 0 && kind < kinds.size() ? kinds.get(kind).getAsString() : null;
    }

    private static Effect effect(String word) {
        return switch (word) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            case "fragile" -> Effect.UNSAFE;
            default -> throw new WireException("settings: services: unknown effect " + word);
        };
    }

    private static DeduplicationScope group(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new WireException("settings: services: unknown group " + word);
        };
    }

    private static WeightMode weights(String word) {
        return switch (word) {
            case "nominal", "rough" -> WeightMode.SIZE;
            case "live" -> WeightMode.LIVE;
            default -> WeightMode.NONE;
        };
    }

    private static boolean present(JsonObject o, String name) {
        return o.has(name) && !o.get(name).isJsonNull();
    }

    private static String text(JsonObject o, String name, String absent) {
        return present(o, name) ? o.get(name).getAsString() : absent;
    }

    private static double number(JsonObject o, String name, double absent) {
        return present(o, name) ? o.get(name).getAsDouble() : absent;
    }

    private static boolean flag(JsonObject o, String name) {
        return present(o, name) && o.get(name).getAsBoolean();
    }

    private static JsonObject object(JsonObject o, String name) {
        return present(o, name) ? o.getAsJsonObject(name) : new JsonObject();
    }

    private static JsonArray array(JsonObject o, String name) {
        return present(o, name) ? o.getAsJsonArray(name) : new JsonArray();
    }
}
