package ridgemill.cdn.agreement;

import java.util.HashMap;
import java.util.Map;
import ridgemill.cdn.quorum.Voter;

/**
 * Sees whose disks write nothing more, as they are full or hang: what such a store has on disk stays the same while others
 * decide on. It can't accept anything, so it is no better than one that is gone.
 */
final class StalledDiskDetector {

    /** A disk that lags for so long without writing anything counts as stuck, in milliseconds. */
    private static final double STALLED_AFTER_MS = 2_500;

    private final Map<Voter, Lag> lags = new HashMap<>();

    private record Lag(StateId onDisk, double sinceMs) {}

    /** A store has said what it has on disk, while so much is known to be decided. */
    void record(Voter store, StateId onDisk, StateId decided, double nowMs) {
        if (onDisk.compareTo(decided) >= 0) {
            lags.remove(store);
            return;
        }
        Lag lag = lags.get(store);
        if (lag == null || !lag.onDisk().equals(onDisk)) {
            lags.put(store, new Lag(onDisk, nowMs));
        }
    }

    /** Whether a store's disk is stuck. */
    boolean isStalled(Voter store, double nowMs) {
        Lag lag = lags.get(store);
        return lag != null && nowMs - lag.sinceMs() > STALLED_AFTER_MS;
    }
}
