package ridgemill.bench.scale;

import java.util.concurrent.atomic.LongAdder;

/** Counts what passes over the links of all hollow edge proxies, and times what they carry out. Any thread. */
final class Meter {

    private final LongAdder inBytes = new LongAdder();
    private final LongAdder outBytes = new LongAdder();
    private final LongAdder inFrames = new LongAdder();
    private final LongAdder outFrames = new LongAdder();
    private final LongAdder changesCarriedOut = new LongAdder();
    private final LongAdder purgesCarriedOut = new LongAdder();
    private final LongAdder snapshots = new LongAdder();
    private final LongAdder ends = new LongAdder();
    private final Stopwatch changes = new Stopwatch();
    private final Stopwatch purges = new Stopwatch();

    /** What was counted so far. */
    record Reading(long inBytes, long outBytes, long inFrames, long outFrames, long changes, long purges) {

        /** The traffic of one of so many edge proxies since an earlier reading. */
        Traffic since(Reading earlier, double seconds, int proxies) {
            double share = seconds * proxies;
            return new Traffic(
                    (inBytes - earlier.inBytes) / share,
                    (outBytes - earlier.outBytes) / share,
                    (inFrames - earlier.inFrames) / share,
                    (outFrames - earlier.outFrames) / share);
        }
    }

    void receivedBytes(int count) {
        inBytes.add(count);
    }

    void sentBytes(int count) {
        outBytes.add(count);
    }

    void received() {
        inFrames.increment();
    }

    void sent() {
        outFrames.increment();
    }

    /** Notes that a link brought a change. */
    void changeCarriedOut(String name) {
        changesCarriedOut.increment();
        changes.acknowledged(name);
    }

    /** Notes that a link brought a purge. */
    void purgeCarriedOut(String name) {
        purgesCarriedOut.increment();
        purges.acknowledged(name);
    }

    void subscribed() {
        snapshots.increment();
    }

    void ended() {
        ends.increment();
    }

    /** How many links have got a snapshot. */
    long subscriptions() {
        return snapshots.sum();
    }

    /** How many links have ended; none should. */
    long endedLinks() {
        return ends.sum();
    }

    Stopwatch changes() {
        return changes;
    }

    Stopwatch purges() {
        return purges;
    }

    Reading read() {
        return new Reading(
                inBytes.sum(),
                outBytes.sum(),
                inFrames.sum(),
                outFrames.sum(),
                changesCarriedOut.sum(),
                purgesCarriedOut.sum());
    }
}
