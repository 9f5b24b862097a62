package ridgemill.testbed.node;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import ridgemill.testbed.ledger.Fate;
import ridgemill.testbed.ledger.Ledger;

/** A cache node: answers a read with what it keeps or with a miss, and fills only when the store has answered. */
public final class CacheNode extends StandIn {

    private final Shared shared;
    private Map<String, Boolean> kept;

    CacheNode(
            EventLoop loop,
            Ledger ledger,
            String name,
            NodeProfile profile,
            long seed,
            Shared shared,
            boolean cold,
            Supplier<Wire> wires) {
        super(loop, ledger, name, profile, seed, cold, wires);
        this.shared = shared;
        onLoop(() -> shared.caches.add(this));
    }

    @Override
    void empty() {
        kept = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > profile.keys();
            }
        };
    }

    /** Keeps these values, as one that has run for long does. */
    public void warm(Set<String> keys) {
        onLoop(() -> {
            keys.forEach(this::keep);
            return null;
        });
    }

    /** Keys that it keeps. */
    public int size() {
        return onLoop(kept::size);
    }

    /** All that it keeps goes void. */
    public void flush() {
        onLoop(() -> {
            kept.clear();
            return null;
        });
    }

    void keep(String key) {
        kept.put(key, true);
    }

    void drop(String key) {
        kept.remove(key);
    }

    @Override
    void work(Served s) {
        String key = s.entry.key();
        if (s.entry.isWrite()) {
            // A write belongs to the store; a node that gets one has no use for it.
            s.answer(404, Fate.MISS, "");
        } else if (kept.get(key) != null) {
            s.entry.ran(false);
            s.answer(200, Fate.HIT, shared.value(this, key, s.entry.id()), "X-Hit: hit");
        } else {
            shared.missed(s.entry.id(), this);
            s.answer(404, Fate.MISS, "", "X-Hit: miss");
        }
    }
}
