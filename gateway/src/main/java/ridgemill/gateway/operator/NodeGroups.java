package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.gateway.Service;
import ridgemill.gateway.back.NodeBackend;
import ridgemill.gateway.back.NodeConnectionPool;
import ridgemill.gateway.back.http.HttpNodeConnection;
import ridgemill.gateway.back.resp.RespBackend;
import ridgemill.gateway.back.resp.RespNodeConfig;
import ridgemill.gateway.lease.LeaseService;
import ridgemill.gateway.lease.SharedRegistryReader;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.membership.eureka.EurekaClient;
import ridgemill.gateway.membership.eureka.EurekaSettings;
import ridgemill.gateway.net.Addresses;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.Log;
import ridgemill.gateway.net.Transport;
import ridgemill.membership.Instance;
import ridgemill.membership.Member;
import ridgemill.membership.Membership;
import ridgemill.membership.MembershipPolicy;
import ridgemill.membership.Status;
import ridgemill.policy.BalancingRouter;
import ridgemill.policy.Router.Availability;
import ridgemill.policy.Router.PlatformLimits;
import ridgemill.policy.Router.Node;
import ridgemill.policy.Router.Outcome;
import ridgemill.policy.Router.Settings;
import ridgemill.policy.Router.WeightMode;

/**
 * The groups of nodes of the operator file that holds, each with decisions of its own. Who is in a group is decided by its
 * {@link Membership}, of what the file lists, what a registry tells, and what nodes say of themselves. Used on the loop
 * alone.
 */
final class NodeGroups {

    private static final String STORE = "store";
    private static final String FILE = "file";
    private static final String EUREKA = "eureka";
    private static final String PLATFORM = "platform";
    /** How often a node that said that it drains is asked whether it still does. */
    private static final long DRAIN_LOOK_MS = 1000;
    private static final long TICK_MS = 1000;

    /** A group that is there, what it was made from, and who is in it. */
    private static final class Live {
        final Service.Group group;
        final Membership membership = new Membership(MembershipPolicy.DEFAULT);
        /** Those that have said themselves that they take no new work. */
        final Set<String> draining = new HashSet<>();
        NodeGroup from;
        HostList told;

        Live(NodeGroup from, Service.Group group) {
            this.from = from;
            this.group = group;
            membership.trustSource(FILE);
            // Its removals are a platform's word to be kept to within the drain's grace.
            membership.trustSource(PLATFORM);
        }
    }

    private final Service service;
    private final Settings settings;
    private final long seed;
    private final Clock clock;
    private final Map<String, Live> live = new HashMap<>();
    private EurekaClient eureka;
    private EurekaSettings asked;
    /** By whom one proxy may read for the fleet; null where there are no leases. */
    private final LeaseService leases;
    private SharedRegistryReader reading;
    private long version;

    NodeGroups(Service service, Settings settings, long seed, Clock clock, LeaseService leases) {
        this.leases = leases;
        this.service = service;
        this.settings = settings;
        this.seed = seed;
        this.clock = clock;
        service.loop().scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes in groups that are new and the nodes of all. Those that are gone stay until {@link #drop}. */
    void take(Map<String, NodeGroup> groups, EurekaSettings registry) {
        for (NodeGroup next : groups.values()) {
            Live there = live.get(next.name());
            if (there != null && !alike(there.from, next)) {
                // Another protocol, or a store where none was: what was learned does not hold.
                there.group.remove(++version);
                there = null;
            }
            if (there == null) {
                there = new Live(next, service.addGroup(next.name(), settings(next), new BalancingRouter(settings(next), seed), back(next)));
                live.put(next.name(), there);
            }
            if (next.eureka() == null || !next.eureka().equals(there.from.eureka())) {
                there.membership.removeSource(clock.now(), EUREKA);
            }
            if (!next.platform()) {
                there.membership.removeSource(clock.now(), PLATFORM);
            }
            there.from = next;
            there.membership.applySnapshot(clock.now(), FILE, next.members().stream().map(m -> new Instance(m.name(), Addresses.text(m.address()),
                    Status.UP, "", 1, 0, 0)).toList());
            if (next.platform()) {
                there.membership.applySnapshot(clock.now(), PLATFORM, listed());
            }
            apply(there);
        }
        registry(groups, registry);
        service.onHostListChange(groups.values().stream().anyMatch(NodeGroup::platform) ? this::platformTold : () -> { });
    }

    private void platformTold() {
        List<Instance> listed = listed();
        live.values().stream().filter(l -> l.from.platform())
                .forEach(l -> report(l, l.membership.applySnapshot(clock.now(), PLATFORM, listed)));
    }

    /** The platform's cache nodes as its own list has them. */
    private List<Instance> listed() {
        return service.hosts().stream().filter(h -> settings.originModel() == null || !settings.originModel().equals(h.node().model()))
                .map(h -> new Instance(h.node().id(), Addresses.text((InetSocketAddress) h.dial()),
                        h.node().availability() == Availability.DRAINING ? Status.OUT_OF_SERVICE : Status.UP, h.node().zone(),
                        h.node().weight() > 0 ? h.node().weight() : 1, h.node().startedAtMs(), 0)).toList();
    }

    /** Asks the registry that the file names now, for what the groups want now. */
    private void registry(Map<String, NodeGroup> groups, EurekaSettings registry) {
        List<String> apps = groups.values().stream().map(NodeGroup::eureka).filter(Objects::nonNull).distinct().sorted().toList();
        EurekaSettings wanted = registry == null || apps.isEmpty() ? null : new EurekaSettings(registry.urls(), apps,
                registry.delta(), registry.intervalMs(), registry.timeoutMs(), registry.resolve(), registry.oneReader());
        if (Objects.equals(wanted, asked)) {
            return;
        }
        close();
        asked = wanted;
        if (wanted != null) {
            EurekaClient.Listener members = new EurekaClient.Listener() {
                @Override
                public void told(String app, List<Instance> instances) {
                    each(app, l -> report(l, l.membership.applySnapshot(clock.now(), EUREKA, instances)));
                }

                @Override
                public void failed(String why) {
                    live.values().stream().filter(l -> l.from.eureka() != null)
                            .forEach(l -> l.membership.sourceFailed(clock.now(), EUREKA, why));
                }
            };
            reading = wanted.oneReader() == null || leases == null ? null
                    : new SharedRegistryReader(leases, wanted.oneReader(), apps, seed, members, () -> eureka.askNow());
            eureka = new EurekaClient(service.loop(), wanted, seed, reading == null ? members : reading);
            eureka.start();
        }
    }

    private void each(String app, Consumer<Live> then) {
        live.values().stream().filter(l -> app.equals(l.from.eureka())).forEach(then);
    }

    /** The groups that there are, by name. */
    Map<String, Service.Group> groups() {
        Map<String, Service.Group> all = new HashMap<>();
        live.forEach((name, l) -> all.put(name, l.group));
        return all;
    }

    /** Asks no registry any more. */
    void close() {
        if (eureka != null) {
            eureka.close();
            eureka = null;
            asked = null;
            if (reading != null) {
                reading.close();
                reading = null;
            }
        }
    }

    private void tick() {
        live.values().forEach(l -> report(l, l.membership.tick(clock.now())));
    }

    private void report(Live l, List<Member> changes) {
        changes.forEach(m -> Log.info("group " + l.from.name() + ": " + m.id() + " at " + m.address() + " is " + m.state() + " by "
                + m.source() + ": " + m.reason()));
        if (!changes.isEmpty()) {
            apply(l);
        }
    }

    /** Tells the decisions and the connections who is in, where that is other than before. */
    private void apply(Live l) {
        List<Member> members = l.membership.members();
        l.draining.retainAll(members.stream().map(Member::id).toList());
        List<HostList.Host> hosts = new ArrayList<>();
        members.forEach(m -> hosts.add(new HostList.Host(new Node(m.id(), "", zone(m), 0, m.weight(), m.startedAtMs(),
                m.state() == Member.State.DRAINING || l.draining.contains(m.id()) ? Availability.DRAINING : Availability.UP),
                Addresses.parse(m.address()))));
        if (l.from.store() != null) {
            hosts.add(new HostList.Host(new Node(STORE, STORE, settings.zone(), 0, 1, 0, Availability.UP), l.from.store()));
        }
        if (l.told == null || !l.told.hosts().equals(hosts)) {
            l.told = new HostList(++version, true, hosts);
            l.group.setNodes(l.told);
        }
    }

    private String zone(Member m) {
        return m.zone().isEmpty() ? settings.zone() : m.zone();
    }

    /** Lets go of the groups that are not named any more. */
    void drop(Map<String, NodeGroup> groups) {
        for (String name : List.copyOf(live.keySet())) {
            if (!groups.containsKey(name)) {
                live.remove(name).group.remove(++version);
            }
        }
    }

    /** Who is in, why, since when and told by whom, a line each. */
    List<String> explain() {
        double now = clock.now();
        List<String> lines = new ArrayList<>();
        live.values().stream().sorted(Comparator.comparing(l -> l.from.name())).forEach(l -> {
            l.membership.members().forEach(m -> lines.add(String.format(Locale.ROOT, "%s %s %s %s since %.1f s by %s: %s",
                    l.from.name(), m.id(), m.address(), l.draining.contains(m.id()) ? "DRAINING" : m.state(),
                    (now - m.stateSinceMs()) / 1000, l.draining.contains(m.id()) ? "itself" : m.source(),
                    l.draining.contains(m.id()) ? "it says that it drains" : m.reason())));
            l.membership.describeSources(now).forEach((s, how) -> lines.add(l.from.name() + " source " + s + ": " + how));
        });
        if (reading != null) {
            lines.addAll(reading.explain());
        }
        return lines;
    }

    private NodeBackend back(NodeGroup g) {
        double connectMs = settings.limits().connectTimeoutMs();
        double idleMs = settings.connectionCosts().idleTimeoutMs();
        boolean missIsAnswer = g.store() == null;
        if (g.resp() == null) {
            return new NodeConnectionPool(service.loop(), Transport.TCP, () -> new HttpNodeConnection(missIsAnswer), connectMs, idleMs,
                    service.nodeConnectionLimit());
        }
        return new RespBackend(service.loop(), Transport.TCP, new RespNodeConfig(g.resp().plain() ? RespNodeConfig.Dialect.PLAIN
                : RespNodeConfig.Dialect.FLEET, g.resp().user(), g.resp().password(), missIsAnswer, g.store() == null ? null : STORE,
                g.resp().fillMs(), g.resp().guardMs(), g.resp().cancels()), connectMs, idleMs, service.nodeConnectionLimit(),
                node -> drains(g.name(), node));
    }

    /** A node has said that it takes no new work; the decisions are told as by any other source. */
    private void drains(String name, String node) {
        Live l = live.get(name);
        if (l != null && l.membership.members().stream().anyMatch(m -> m.id().equals(node)) && l.draining.add(node)) {
            Log.info("group " + name + ": " + node + " says that it drains");
            apply(l);
            look(name, node, l);
        }
    }

    private void look(String name, String node, Live l) {
        service.loop().schedule(() -> {
            if (live.get(name) != l || !l.draining.contains(node)) {
                return;
            }
            l.group.probe(node, outcome -> {
                if (outcome == Outcome.OK && l.draining.remove(node)) {
                    Log.info("group " + name + ": " + node + " takes work again");
                    apply(l);
                } else {
                    look(name, node, l);
                }
            });
        }, DRAIN_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private static boolean alike(NodeGroup a, NodeGroup b) {
        return a.protocol().equals(b.protocol()) && Objects.equals(a.resp(), b.resp())
                && (a.store() == null) == (b.store() == null);
    }

    /** The platform's settings for nodes that are all listed, of one size, and about which no peer tells. */
    private Settings settings(NodeGroup g) {
        PlatformLimits l = settings.limits();
        return new Settings(settings.proxyIndex(), settings.proxyCount(), settings.zone(), settings.tickMs(), settings.classes(),
                settings.tenants(), settings.overQuotaFactor(), settings.valueByWork(), new PlatformLimits(l.maxAttempts(), l.cancelAllowed(),
                l.probesAllowed(), false, l.retryAfterAllowed(), l.maxRetryAfterMs(), l.hedgingAllowed(), l.connectTimeoutMs()),
                settings.rules(), false, WeightMode.NONE, g.store() == null ? null : STORE, settings.connectionCosts());
    }
}
