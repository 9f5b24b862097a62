package ridgemill.cdn.registry;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ridgemill.cdn.http.CallServer;
import ridgemill.cdn.instances.Instance;
import ridgemill.cdn.instances.InstanceTable;
import ridgemill.cdn.membership.CoreMembers;
import ridgemill.cdn.settings.Addresses;
import ridgemill.cdn.settings.Settings;
import ridgemill.cdn.wire.HeldLink;
import ridgemill.cdn.wire.Link;
import ridgemill.cdn.wire.LinkListener;
import ridgemill.cdn.wire.LinkMessages;
import ridgemill.cdn.wire.LinkServer;
import ridgemill.cdn.wire.Message;
import ridgemill.cdn.wire.RegistryMessages;
import ridgemill.cdn.wire.StoreMessages;
import ridgemill.gateway.net.Clock;
import ridgemill.gateway.net.SocketKind;

/**
 * The registry: takes the calls of instances and operators, keeps the list of instances in memory, shares it with the
 * registries on the other core machines and pushes it to edge proxies. One runs on each core machine. Everything runs on
 * one event loop.
 */
public final class RegistryProgram {

    private static final System.Logger LOG = System.getLogger(RegistryProgram.class.getName());

    /** How often what other registries may have missed is told again, in milliseconds. */
    private static final long GOSSIP_INTERVAL_MS = 500;
    /** For how long a changed instance is told again to the other registries, in milliseconds. */
    private static final double RETELL_MS = 3_000;
    /** Heartbeat intervals without a heartbeat after which an instance counts as silent. */
    private static final double SILENT_INTERVALS = 3.4;
    /** Heartbeat intervals after its start in which a registry has heard each instance that lives. */
    private static final double SETTLE_INTERVALS = 2.0;
    /** How long a change of an instance's state may take to reach everybody before its call is answered. */
    private static final long CONFIRM_TIMEOUT_MS = 600;

    private static final long STORE_TIMEOUT_MS = 2_500;

    private final Settings settings;
    private final EventLoop loop;
    private final SocketKind sockets;
    private final Clock clock;
    private final String lifeId = UUID.randomUUID().toString();
    private final LinkMessages.Hello hello;
    private final InstanceTable instances = new InstanceTable();
    private final CoreMembers members = new CoreMembers();
    private final Subscribers subscribers = new Subscribers(lifeId);
    private final StoreClient stores = new StoreClient(STORE_TIMEOUT_MS);
    private final Map<String, HeldLink> peers = new HashMap<>();
    private final Map<String, HeldLink> voterLinks = new LinkedHashMap<>();
    private final Map<String, Double> changedAtMs = new HashMap<>();
    private final Map<String, Long> freshBeats = new HashMap<>();
    private List<String> lastSilent = List.of();
    private int lastProxyCount;
    private boolean settled;
    private double startedAtMs;
    private CallServer controlServer;
    private LinkServer linkServer;

    public RegistryProgram(Settings settings, EventLoop loop, SocketKind sockets, Clock clock) {
        this.settings = settings;
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        this.hello = new LinkMessages.Hello(
                LinkMessages.Hello.PROTOCOL, "registry", settings.nodeName(), settings.ipAddress(), lifeId);
    }

    /**
     * Listens and connects to the other core machines.
     *
     * @throws io.netty.channel.ChannelException if an address can't be had
     */
    public void start() {
        startedAtMs = clock.now();
        InetSocketAddress control = Addresses.parse(settings.controlAddress());
        CallRouter calls = new CallRouter(new InstanceCalls(this), new OperatorCalls(stores));
        linkServer = LinkServer.listen(
                loop,
                sockets,
                new InetSocketAddress(settings.ipAddress(), settings.registryPort()),
                new IncomingLinks());
        controlServer = CallServer.listen(loop, sockets, control, calls);
        loop.execute(this::join);
    }

    /** Stops taking calls. */
    public void stop() {
        controlServer.close();
        linkServer.close();
    }

    private void join() {
        members.addCoreHosts(List.of(settings.ipAddress()));
        members.addCoreHosts(settings.seedHosts());
        if (settings.firstStart()) {
            learnVoters(settings.seedHosts());
        }
        connectPeers();
        connectStore(settings.ipAddress());
        loop.scheduleWithFixedDelay(this::gossip, GOSSIP_INTERVAL_MS, GOSSIP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    double nowMs() {
        return clock.now();
    }

    CoreMembers members() {
        return members;
    }

    InstanceTable instances() {
        return instances;
    }

    // --- other core machines ---------------------------------------------------------------------------------------

    private void connectPeers() {
        for (String host : members.coreHosts()) {
            if (!host.equals(settings.ipAddress()) && !peers.containsKey(host)) {
                InetSocketAddress address = new InetSocketAddress(host, settings.registryPort());
                HeldLink link = new HeldLink(loop, sockets, address, hello, new PeerLinks());
                peers.put(host, link);
                link.start();
            }
        }
    }

    private void learnVoters(List<String> voters) {
        if (!members.learnVoters(voters)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "event=voters_known voters=" + String.join(",", voters));
        for (String voter : voters) {
            connectStore(voter);
        }
        List<HeldLink> links = new ArrayList<>();
        for (String voter : voters) {
            links.add(voterLinks.get(voter));
        }
        stores.setVoters(links);
        pushNews(List.of());
    }

    private void connectStore(String host) {
        if (voterLinks.containsKey(host)) {
            return;
        }
        InetSocketAddress address = new InetSocketAddress(host, settings.storePort());
        HeldLink link = new HeldLink(loop, sockets, address, hello, new StoreLinks());
        voterLinks.put(host, link);
        link.start();
    }

    /** Tells the other registries of heartbeats and, again, of recent changes, and the proxies of silent instances. */
    private void gossip() {
        double now = nowMs();
        for (String proxy : subscribers.names()) {
            members.proxyHeard(proxy, now);
        }
        changedAtMs.values().removeIf(changedAt -> now - changedAt > RETELL_MS);
        tellPeers(recentlyChanged());
        instances.forgetOld(now);
        double silentAfter = SILENT_INTERVALS * settings.heartbeatIntervalMs();
        boolean wasSettled = settled;
        settled |= now - startedAtMs > SETTLE_INTERVALS * settings.heartbeatIntervalMs();
        boolean longUp = now - startedAtMs > silentAfter;
        List<String> silent = longUp ? instances.silent(silentAfter, now) : List.of();
        int proxyCount = members.proxyCount(now);
        if (!silent.equals(lastSilent) || proxyCount != lastProxyCount || settled != wasSettled) {
            lastSilent = silent;
            lastProxyCount = proxyCount;
            pushNews(List.of());
        }
    }

    private List<Instance> recentlyChanged() {
        List<Instance> recent = new ArrayList<>();
        for (String id : changedAtMs.keySet()) {
            Instance instance = instances.get(id);
            if (instance != null) {
                recent.add(instance);
            }
        }
        return recent;
    }

    private void tellPeers(List<Instance> changed) {
        List<RegistryMessages.Beat> beats = new ArrayList<>();
        freshBeats.forEach((id, sequence) -> beats.add(new RegistryMessages.Beat(id, sequence)));
        freshBeats.clear();
        for (HeldLink peer : peers.values()) {
            peer.call(callId -> peerUpdate(callId, changed), CONFIRM_TIMEOUT_MS, ignored -> {});
            if (!beats.isEmpty()) {
                peer.send(new RegistryMessages.PeerBeats(beats));
            }
        }
    }

    private RegistryMessages.PeerUpdate peerUpdate(long callId, List<Instance> changed) {
        return new RegistryMessages.PeerUpdate(
                callId, members.coreHosts(), members.voters(), List.copyOf(subscribers.names()), changed);
    }

    // --- instances -------------------------------------------------------------------------------------------------

    /**
     * Takes what an instance said in a call to this registry. The callback is told whether the call may be acknowledged:
     * at once for a heartbeat that changes nothing, else once the connected proxies and a majority of the registries have
     * the change.
     */
    void take(Instance instance, Consumer<Boolean> callback) {
        freshBeats.merge(instance.id(), instance.sequence(), Math::max);
        List<Instance> changed = instances.merge(instance, nowMs());
        boolean unconfirmed = changedAtMs.containsKey(instance.id());
        if (changed.isEmpty() && !unconfirmed) {
            callback.accept(true);
            return;
        }
        spread(changed);
        new Confirmation(instance, callback).begin();
    }

    private void spread(List<Instance> changed) {
        if (changed.isEmpty()) {
            return;
        }
        for (Instance instance : changed) {
            changedAtMs.put(instance.id(), nowMs());
            LOG.log(
                    System.Logger.Level.INFO,
                    "event=instance id=" + instance.id() + " service=" + instance.service() + " state="
                            + instance.state());
        }
        pushNews(changed);
    }

    /** Waits until everybody that can be reached has a change, for a bounded time. */
    private final class Confirmation {

        private final Instance instance;
        private final Consumer<Boolean> callback;
        private int registries = 1;
        private int outstanding;
        private boolean proxiesHaveIt;
        private boolean done;

        Confirmation(Instance instance, Consumer<Boolean> callback) {
            this.instance = instance;
            this.callback = callback;
        }

        void begin() {
            Instance newest = instances.get(instance.id());
            List<Instance> change = newest == null ? List.of() : List.of(newest);
            outstanding = peers.size();
            for (HeldLink peer : List.copyOf(peers.values())) {
                peer.call(callId -> peerUpdate(callId, change), CONFIRM_TIMEOUT_MS, result -> {
                    registries += result.isRight() ? 1 : 0;
                    outstanding--;
                    check();
                });
            }
            subscribers.whenAcknowledged(() -> {
                proxiesHaveIt = true;
                check();
            });
            loop.schedule(this::expire, CONFIRM_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            check();
        }

        private void check() {
            if (proxiesHaveIt && outstanding == 0) {
                finish();
            }
        }

        private void expire() {
            finish();
        }

        private void finish() {
            if (!done) {
                done = true;
                callback.accept(registries >= members.coreMajority());
            }
        }
    }

    private void pushNews(List<Instance> changed) {
        subscribers.push(new RegistryMessages.News(
                subscribers.nextNumber(),
                settled,
                members.coreHosts(),
                members.voters(),
                members.proxyCount(nowMs()),
                changed,
                lastSilent));
    }

    private RegistryMessages.Snapshot snapshot() {
        return new RegistryMessages.Snapshot(
                subscribers.lifeId(),
                subscribers.number(),
                settled,
                members.coreHosts(),
                members.voters(),
                members.proxyCount(nowMs()),
                List.copyOf(instances.all()),
                lastSilent);
    }

    // --- links -----------------------------------------------------------------------------------------------------

    /** Links that proxies and other registries opened. */
    private final class IncomingLinks implements LinkListener {

        @Override
        public void opened(Link link) {
            if (link.peer().program().equals("registry")) {
                coreHostsHeard(List.of(link.peer().address()));
            }
        }

        @Override
        public void received(Link link, Message message) {
            if (message instanceof RegistryMessages.Subscribe) {
                members.proxyHeard(link.peer().nodeName(), nowMs());
                subscribers.add(link, snapshot());
            } else if (message instanceof RegistryMessages.NewsAcknowledged acknowledged) {
                subscribers.acknowledged(link, acknowledged.number());
            } else if (message instanceof RegistryMessages.PeerUpdate update) {
                peerUpdated(update);
                link.send(new RegistryMessages.PeerUpdateTaken(update.callId()));
            } else if (message instanceof RegistryMessages.PeerBeats beats) {
                for (RegistryMessages.Beat beat : beats.beats()) {
                    instances.heard(beat.instanceId(), beat.sequence(), nowMs());
                }
            }
        }

        @Override
        public void closed(Link link) {
            subscribers.remove(link);
        }
    }

    private void peerUpdated(RegistryMessages.PeerUpdate update) {
        coreHostsHeard(update.registries());
        learnVoters(update.voters());
        for (String proxy : update.proxies()) {
            members.proxyHeard(proxy, nowMs());
        }
        List<Instance> changed = new ArrayList<>();
        for (Instance instance : update.instances()) {
            changed.addAll(instances.merge(instance, nowMs()));
        }
        if (!changed.isEmpty()) {
            pushNews(changed);
        }
    }

    private void coreHostsHeard(List<String> hosts) {
        if (members.addCoreHosts(hosts)) {
            connectPeers();
            pushNews(List.of());
        }
    }

    /** Links to other registries. */
    private final class PeerLinks implements LinkListener {

        @Override
        public void opened(Link link) {
            List<Instance> all = List.copyOf(instances.all());
            link.call(callId -> peerUpdate(callId, all), CONFIRM_TIMEOUT_MS, ignored -> {});
        }

        @Override
        public void received(Link link, Message message) {}

        @Override
        public void closed(Link link) {}
    }

    /** Links to configuration stores; their snapshots tell a registry that has forgotten it who the voters are. */
    private final class StoreLinks implements LinkListener {

        @Override
        public void opened(Link link) {
            if (members.voters().isEmpty()) {
                link.send(new StoreMessages.Subscribe("", 0));
            }
        }

        @Override
        public void received(Link link, Message message) {
            if (message instanceof StoreMessages.Snapshot snapshot) {
                learnVoters(snapshot.voters());
            }
        }

        @Override
        public void closed(Link link) {}
    }
}
