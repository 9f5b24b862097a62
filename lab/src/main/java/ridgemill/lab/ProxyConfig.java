package ridgemill.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import ridgemill.gateway.net.Addresses;
import ridgemill.testbed.Testbed;
import ridgemill.testbed.ledger.LoadClass;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;

/** The configuration that a deployment would give a proxy on a testbed, as JSON. */
public final class ProxyConfig {

    private static final int SOCKETS = 512;
    private static final double CONNECT_TIMEOUT_MS = 150;
    private static final double REPEAT_WINDOW_MS = 6000;
    private static final double DRAIN_GRACE_MS = 2000;

    private ProxyConfig() { }

    public static JsonObject of(String name, int number, int proxies, InetSocketAddress listen, Testbed.Place place,
                         LoadProfile load, NodeProfile cache, InetSocketAddress peerListen,
                         List<InetSocketAddress> peers, long seed) {
        JsonObject o = new JsonObject();
        o.addProperty("name", name);
        o.addProperty("listen", Addresses.text(listen));
        o.addProperty("discovery", Addresses.text(place.discovery().address()));
        o.addProperty("seed", Long.toHexString(seed));
        JsonObject limits = new JsonObject();
        limits.addProperty("sockets", SOCKETS);
        o.add("limits", limits);
        if (peerListen != null) {
            o.addProperty("peer_listen", Addresses.text(peerListen));
            JsonArray all = new JsonArray();
            peers.forEach(p -> all.add(Addresses.text(p)));
            o.add("peers", all);
        }
        o.add("known", place.discovery().known());
        o.add("settings", settings(number, proxies, load, cache, peerListen != null));
        return o;
    }

    private static JsonObject settings(int number, int proxies, LoadProfile load, NodeProfile cache, boolean peers) {
        JsonObject s = new JsonObject();
        s.addProperty("rank", number);
        s.addProperty("balancers", proxies);
        s.addProperty("zone", "a");
        s.addProperty("tick_ms", 5);
        s.addProperty("discovery", "automatic");
        s.addProperty("over_share_worth", 0.05);
        JsonObject limits = new JsonObject();
        limits.addProperty("cancelling", true);
        limits.addProperty("connect_timeout_ms", CONNECT_TIMEOUT_MS);
        limits.addProperty("idle_close_ms", cache.idleCloseMs());
        limits.addProperty("max_open", 20_000);
        limits.addProperty("max_retry_after_ms", 750);
        limits.addProperty("peers", peers);
        limits.addProperty("retry_after", true);
        limits.addProperty("try_limit", 6);
        s.add("limits", limits);
        JsonObject rules = new JsonObject();
        rules.addProperty("answer_slack_ms", 20);
        rules.addProperty("cold_from", cache.coldFrom());
        rules.addProperty("cold_ms", cache.coldMs());
        rules.addProperty("fall_multiple", cache.fallMultiple());
        rules.addProperty("fall_ms", cache.fallMs());
        rules.addProperty("stop_sending_within_ms", DRAIN_GRACE_MS);
        s.add("obligations", rules);
        JsonArray kinds = new JsonArray();
        kinds.add("std");
        kinds.add(Testbed.STORE_KIND);
        s.add("kinds", kinds);
        JsonObject domain = new JsonObject();
        domain.addProperty("mode", "aside");
        domain.addProperty("origin_kind", 1);
        s.add("domain", domain);
        JsonArray services = new JsonArray();
        load.classes().forEach(c -> services.add(service(c)));
        s.add("services", services);
        JsonArray customers = new JsonArray();
        load.tenants().forEach(t -> {
            JsonObject customer = new JsonObject();
            customer.addProperty("name", t);
            customer.addProperty("quota_per_s", 10 * load.perSecond());
            customers.add(customer);
        });
        s.add("customers", customers);
        return s;
    }

    private static JsonObject service(LoadClass c) {
        JsonObject o = new JsonObject();
        o.addProperty("name", c.name());
        o.addProperty("objective_ms", c.aimMs());
        o.addProperty("deadline_ms", c.deadlineMs());
        o.addProperty("gain", c.worth());
        o.addProperty("late_share", 0.25);
        o.addProperty("effect", c.effect().word());
        o.addProperty("group", "all");
        o.addProperty("repeat_window_ms", REPEAT_WINDOW_MS);
        return o;
    }
}
