package ridgemill.testbed.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;
import ridgemill.testbed.Protocol;
import ridgemill.testbed.ledger.Ledger;

/** Cache nodes c0, c1, ... and their store db. */
public final class StandInFleet implements AutoCloseable {

    public static final String STORE = "db";

    private final EventLoop loop;
    private final Ledger ledger;
    private final NodeProfile profile;
    private final SplittableRandom seeds;
    private final Shared shared = new Shared();
    private final Map<String, CacheNode> caches = new ConcurrentSkipListMap<>();
    private final Store store;
    private final Supplier<Wire> wires;

    /** A fleet that speaks HTTP. */
    public StandInFleet(
            EventLoop loop,
            Ledger ledger,
            int size,
            NodeProfile cache,
            NodeProfile storeProfile,
            long seed,
            double repeatWindowMs) {
        this(loop, ledger, size, cache, storeProfile, seed, repeatWindowMs, Protocol.HTTP);
    }

    /** A fleet that speaks a protocol. */
    public StandInFleet(
            EventLoop loop,
            Ledger ledger,
            int size,
            NodeProfile cache,
            NodeProfile storeProfile,
            long seed,
            double repeatWindowMs,
            Protocol protocol) {
        this.wires = protocol == Protocol.HTTP ? HttpWire::new : RespWire::new;
        this.loop = loop;
        this.ledger = ledger;
        this.profile = cache;
        this.seeds = new SplittableRandom(seed);
        this.store = new Store(loop, ledger, STORE, storeProfile, seeds.nextLong(), shared, repeatWindowMs, wires);
        for (int i = 0; i < size; i++) {
            add("c" + i);
        }
    }

    /** One more cache node, which runs and is warm but keeps nothing. */
    public CacheNode add(String name) {
        return add(name, false);
    }

    /** One more cache node, which keeps nothing; {@code cold} if it starts only now. */
    public CacheNode add(String name, boolean cold) {
        CacheNode node = new CacheNode(loop, ledger, name, profile, seeds.nextLong(), shared, cold, wires);
        caches.put(name, node);
        return node;
    }

    public List<CacheNode> caches() {
        return List.copyOf(caches.values());
    }

    public Store store() {
        return store;
    }

    /** The stand-in with this name. */
    public StandIn node(String name) {
        StandIn node = name.equals(STORE) ? store : caches.get(name);
        if (node == null) {
            throw new IllegalArgumentException("no such node: " + name);
        }
        return node;
    }

    @Override
    public void close() {
        for (CacheNode node : caches.values()) {
            node.close();
        }
        store.close();
    }
}
