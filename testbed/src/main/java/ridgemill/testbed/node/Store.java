package ridgemill.testbed.node;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import ridgemill.testbed.ledger.Fate;
import ridgemill.testbed.ledger.Ledger;

/** The store behind the cache nodes: has every value, takes all writes, and drops a keyed write's repeats for a while. */
public final class Store extends StandIn {

    private final Shared shared;
    private final RepeatGuard guard;
    private final Map<String, Integer> reads = new HashMap<>();
    private final Map<String, Integer> writes = new HashMap<>();

    Store(
            EventLoop loop,
            Ledger ledger,
            String name,
            NodeProfile profile,
            long seed,
            Shared shared,
            double repeatWindowMs,
            Supplier<Wire> wires) {
        super(loop, ledger, name, profile, seed, false, wires);
        this.shared = shared;
        this.guard = new RepeatGuard(repeatWindowMs);
    }

    @Override
    void empty() {
        // The store keeps its records through a restart.
    }

    /** Reads that it answered, by key. */
    public Map<String, Integer> reads() {
        return onLoop(() -> Map.copyOf(reads));
    }

    /** Writes that it recorded, by key. */
    public Map<String, Integer> writes() {
        return onLoop(() -> Map.copyOf(writes));
    }

    @Override
    void work(Served s) {
        String key = s.entry.key();
        if (!s.entry.isWrite()) {
            s.entry.ran(false);
            reads.merge(key, 1, Integer::sum);
            shared.fill(s.entry.id(), key);
            s.answer(200, Fate.SERVED, shared.value(this, key, s.entry.id()));
        } else if (guard.admits(ledger.now(), s.entry.idempotencyKey())) {
            s.entry.ran(true);
            writes.merge(key, 1, Integer::sum);
            shared.changed(key);
            s.answer(200, Fate.SERVED, shared.value(this, key, s.entry.id()));
        } else {
            s.entry.ran(false);
            s.answer(200, Fate.REPEAT_DROPPED, shared.value(this, key, s.entry.id()));
        }
    }
}
