package ridgemill.cdn.agreement;

import java.util.HashMap;
import java.util.Map;
import ridgemill.cdn.quorum.Voter;

/**
 * Detects stores whose disks no longer write because they are full or hang: the state on such a disk stays the same
 * while the other stores decide newer ones. A store with a stalled disk can't accept anything and counts as gone.
 */
final class StalledDiskDetector {

    /** A disk that is behind and writes nothing for this long counts as stalled, in milliseconds. */
    private static final double STALLED_AFTER_MS = 2_500;

    private final Map<Voter, Lag> lags = new HashMap<>();

    private record Lag(StateId onDisk, double sinceMs) {}

    /**
     * Records the state of a store's disk.
     *
     * @param onDisk the newest state on the store's disk
     * @param decided the newest state that is known to be decided
     */
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

    /** Whether a store's disk is stalled. */
    boolean isStalled(Voter store, double nowMs) {
        Lag lag = lags.get(store);
        return lag != null && nowMs - lag.sinceMs() > STALLED_AFTER_MS;
    }
}
