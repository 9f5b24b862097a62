package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import ridgemill.gateway.membership.eureka.EurekaSettings;
import ridgemill.gateway.net.Addresses;

/** {@code [groups.NAME]}: nodes beside the platform's, to which routes lead. */
final class GroupsSection {

    private static final List<String> PROTOCOLS = List.of("http", "resp");
    private static final List<String> DIALECTS = List.of("fleet", "plain");

    private GroupsSection() { }

    static Map<String, NodeGroup> read(Section root, EurekaSettings registry) {
        Map<String, NodeGroup> groups = new LinkedHashMap<>();
        Map<InetSocketAddress, String> taken = new HashMap<>();
        root.table("groups").ifPresent(all -> all.tables().forEach(s -> {
            groups.put(s.ownName(), group(s, taken, registry));
            s.done();
        }));
        return groups;
    }

    private static NodeGroup group(Section s, Map<InetSocketAddress, String> taken, EurekaSettings registry) {
        String protocol = s.word("protocol", PROTOCOLS).orElse(PROTOCOLS.get(0));
        List<NodeGroup.Member> members = new ArrayList<>();
        Optional<Section> nodes = s.table("nodes");
        nodes.ifPresent(n -> n.keys().forEach(name -> address(n, name, taken)
                .ifPresent(a -> members.add(new NodeGroup.Member(name, a)))));
        Optional<String> eureka = eureka(s);
        if (eureka.isPresent() && registry == null) {
            s.problem("eureka", "no-registry", "no registry is named", "set urls under [eureka]");
        } else if (eureka.isPresent() && registry.delta() && eureka.get().indexOf(':') >= 0) {
            s.problem(null, "vip-by-deltas", "deltas are of applications and not of virtual addresses",
                    "leave out delta under [eureka], or name the application");
        }
        boolean platform = s.flag("platform").orElse(false);
        if (nodes.isEmpty() && !s.has("nodes") && eureka.isEmpty() && !platform || nodes.isPresent() && nodes.get().keys().isEmpty()) {
            s.problem("nodes", "missing", "has no nodes", "set nodes = { n1 = \"127.0.0.1:9000\" }");
        }
        Optional<InetSocketAddress> store = address(s, "store", taken);
        return new NodeGroup(s.ownName(), protocol, members, store.orElse(null), eureka.orElse(null), platform,
                resp(s, protocol));
    }

    /** An application, or a virtual address. */
    private static Optional<String> eureka(Section s) {
        Optional<String> app = s.text("eureka").map(a -> a.toUpperCase(Locale.ROOT));
        Optional<String> vip = s.text("eureka-vip").map(v -> EurekaSettings.VIP + v);
        Optional<String> secure = s.text("eureka-svip").map(v -> EurekaSettings.SECURE_VIP + v);
        List<Optional<String>> given = Stream.of(app, vip, secure).filter(Optional::isPresent).toList();
        if (given.size() > 1) {
            s.problem(null, "two-sources", "names more than one of eureka, eureka-vip and eureka-svip", "leave one");
        }
        return given.isEmpty() ? Optional.empty() : given.get(0);
    }

    private static NodeGroup.Resp resp(Section s, String protocol) {
        if (!protocol.equals("resp")) {
            return null;
        }
        String dialect = s.word("dialect", DIALECTS).orElse(DIALECTS.get(0));
        Optional<String> user = s.text("user");
        Optional<String> password = s.text("password");
        if (user.isPresent() && password.isEmpty()) {
            s.problem("user", "missing", "has no password", "set password beside it");
        }
        Optional<Boolean> cancels = s.flag("cancels");
        boolean plain = dialect.equals("plain");
        Optional<Double> fill = s.duration("fill");
        Optional<Double> guard = s.duration("guard");
        for (String key : List.of("fill", "guard")) {
            if (s.has(key) && (!plain || !s.has("store"))) {
                s.problem(key, "plain-group", plain ? "there is no store to fill from or to guard"
                        : "nodes of the fleet do it themselves", plain ? "set store = \"127.0.0.1:9000\"" : "leave it out");
            }
        }
        if (plain && cancels.orElse(false)) {
            s.problem("cancels", "plain-group", "plain servers know no cancel", "leave it out");
        }
        return new NodeGroup.Resp(plain, user.orElse(null), password.orElse(null), fill.orElse(0.0), guard.orElse(0.0),
                cancels.orElse(false));
    }

    private static Optional<InetSocketAddress> address(Section s, String key, Map<InetSocketAddress, String> taken) {
        return s.address(key).filter(address -> {
            String other = taken.putIfAbsent(address, s.name() + "." + key);
            if (other != null) {
                s.problem(key, "duplicate", other + " has " + Addresses.text(address) + " too", "give each node its own address");
            }
            return other == null;
        });
    }
}
