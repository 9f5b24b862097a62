package ridgemill.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import ridgemill.testbed.discovery.DiscoveryStandIn;
import ridgemill.testbed.discovery.DiscoveryStandIn.Host;
import ridgemill.testbed.ledger.Ledger;
import ridgemill.testbed.link.Link;
import ridgemill.testbed.load.Load;
import ridgemill.testbed.load.LoadProfile;
import ridgemill.testbed.node.NodeProfile;
import ridgemill.testbed.node.StandIn;
import ridgemill.testbed.node.StandInFleet;

/**
 * All that proxies talk to, on loopback and ephemeral ports: a fleet and its store, and for each proxy its own view of
 * discovery and its own links to the nodes. One seed decides all that is left to chance.
 */
public final class Testbed implements AutoCloseable {

    /** The model that marks the store in the list of hosts. */
    public static final String STORE_KIND = "origin";

    private static final String NODE_KIND = "std";
    private static final long BEAT_MS = 5;

    /** What one proxy sees: discovery, and a link to each node. */
    public record Place(String name, DiscoveryStandIn discovery, Map<String, Link> links) {}

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final EventLoop nodeLoop = group.next();
    private final EventLoop linkLoop = group.next();
    private final EventLoop clientLoop = group.next();
    private final AtomicLong lateNanos = new AtomicLong();
    private final StolenTime stolen = StolenTime.looking();
    private final CoreWait coreWait = CoreWait.looking();
    private final Ledger ledger;
    private final SplittableRandom seeds;
    private final StandInFleet fleet;
    private final Map<String, String> health = new LinkedHashMap<>();
    private final Map<String, Place> places = new LinkedHashMap<>();
    private final boolean linked;

    /**
     * A fleet that runs.
     *
     * @param linked whether a {@link Link} stands between each proxy and each node
     * @param repeatWindowMs for how long the store drops a keyed write's repeats
     */
    public Testbed(int nodes, NodeProfile cache, NodeProfile store, boolean linked, double repeatWindowMs, long seed) {
        this(nodes, cache, store, linked, repeatWindowMs, seed, Protocol.HTTP);
    }

    /** A fleet that runs and speaks a protocol. */
    public Testbed(
            int nodes,
            NodeProfile cache,
            NodeProfile store,
            boolean linked,
            double repeatWindowMs,
            long seed,
            Protocol protocol) {
        this(nodes, cache, store, linked, repeatWindowMs, seed, protocol, new Ledger());
    }

    /** A fleet that runs and speaks a protocol, and what is seen goes into this ledger. */
    public Testbed(
            int nodes,
            NodeProfile cache,
            NodeProfile store,
            boolean linked,
            double repeatWindowMs,
            long seed,
            Protocol protocol,
            Ledger ledger) {
        this.ledger = ledger;
        this.seeds = new SplittableRandom(seed);
        this.linked = linked;
        this.fleet =
                new StandInFleet(nodeLoop, ledger, nodes, cache, store, seeds.nextLong(), repeatWindowMs, protocol);
        fleet.caches().forEach(n -> health.put(n.name(), "up"));
        health.put(StandInFleet.STORE, "up");
        List.of(nodeLoop, linkLoop, clientLoop).forEach(this::watch);
    }

    /** How late the testbed's own threads ran at worst, in milliseconds: what they add to every time that they see. */
    public double ownLatenessMs() {
        return lateNanos.get() / 1e6;
    }

    /** How much of one processor this machine's host took within two seconds at worst: what a proxy may have stood still without being at fault. */
    public double stolenMs() {
        return stolen.worstMs();
    }

    /** How long a thread of this process, a gateway's among them, waited for a processor within two seconds at worst. */
    public double waitedMs() {
        return coreWait.worstMs();
    }

    /** All together: what an answer may be late without anybody's fault. */
    public double latenessMs() {
        return ownLatenessMs() + Math.max(stolenMs(), waitedMs());
    }

    /** Forgets how late it ran so far: what a start takes is no part of what is measured later. */
    public void forgetLateness() {
        lateNanos.set(0);
        stolen.forget();
        coreWait.forget();
    }

    private void watch(EventLoop loop) {
        long[] due = {System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BEAT_MS)};
        loop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    lateNanos.accumulateAndGet(now - due[0], Math::max);
                    due[0] = now + TimeUnit.MILLISECONDS.toNanos(BEAT_MS);
                },
                BEAT_MS,
                BEAT_MS,
                TimeUnit.MILLISECONDS);
    }

    public Ledger ledger() {
        return ledger;
    }

    public StandInFleet fleet() {
        return fleet;
    }

    /** The loop of links, for further ones and for what stands between proxies. */
    public EventLoop linkLoop() {
        return linkLoop;
    }

    /** A place for a proxy of this name, which knows all nodes. */
    public Place place(String proxy) {
        Map<String, Link> links = new LinkedHashMap<>();
        Place place = new Place(proxy, new DiscoveryStandIn(linkLoop, ledger, proxy), links);
        for (String node : health.keySet()) {
            publish(place, node);
        }
        places.put(proxy, place);
        return place;
    }

    public Map<String, Place> places() {
        return places;
    }

    /** One more node that runs and that discovery names at once. */
    public void join(String node) {
        fleet.add(node);
        say(node, "up");
    }

    /** One more node that starts now, cold and empty, and that discovery names at once. */
    public void joinCold(String node) {
        fleet.add(node, true);
        say(node, "up");
    }

    /** Discovery says of a node, to every proxy: {@code up}, {@code draining} or {@code removed}. */
    public void say(String node, String says) {
        health.put(node, says);
        for (Place place : places.values()) {
            publish(place, node);
        }
    }

    private void publish(Place place, String node) {
        StandIn standIn = fleet.node(node);
        InetSocketAddress dial = standIn.address();
        if (linked) {
            Link link = place.links().get(node);
            if (link == null) {
                link = new Link(linkLoop, dial, seeds.nextLong());
                place.links().put(node, link);
            }
            dial = link.address();
        }
        place.discovery()
                .publish(new Host(
                        node,
                        dial,
                        "a",
                        node.equals(StandInFleet.STORE) ? STORE_KIND : NODE_KIND,
                        health.get(node),
                        standIn.bornMs()));
    }

    /** All links, by proxy and node. */
    public List<Link> links() {
        List<Link> all = new ArrayList<>();
        places.values().forEach(p -> all.addAll(p.links().values()));
        return all;
    }

    /** Clients of these proxies. */
    public Load load(LoadProfile profile, Map<String, InetSocketAddress> proxies) {
        return load(profile, proxies, Protocol.HTTP);
    }

    /** Clients of these proxies that speak a protocol. */
    public Load load(LoadProfile profile, Map<String, InetSocketAddress> proxies, Protocol protocol) {
        return new Load(clientLoop, ledger, profile, proxies, seeds.nextLong(), protocol);
    }

    /** Ends everything; the ledger stays. */
    @Override
    public void close() {
        for (Place place : places.values()) {
            place.discovery().close();
            for (Link link : place.links().values()) {
                link.close();
            }
        }
        fleet.close();
        stolen.close();
        coreWait.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
