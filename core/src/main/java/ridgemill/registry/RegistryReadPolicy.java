package ridgemill.registry;

/**
 * The times for reading a registry through an elected reader. Updates replace a proxy's own polls for
 * {@code updateTimeoutMs}. A change of the registry is therefore known after a poll and a datagram while the reader runs. If
 * the reader is gone, it is known after {@code updateTimeoutMs}, a poll interval (the time by which an update may be
 * older than it appears) and a poll at most.
 *
 * @param pollIntervalMs from one poll to the next
 * @param updateTimeoutMs without updates for this long, each proxy polls for itself
 * @param checkIntervalMs how often each proxy polls for itself anyway to check the updates; at random up to a quarter
 *     earlier
 * @param distrustMs how long all updates are ignored after {@link #MAX_MISMATCHES} mismatches in a row
 * @param leaseBackoffMs how long a proxy that released the lease because it could not read leaves it to others
 */
public record RegistryReadPolicy(double pollIntervalMs, double updateTimeoutMs, double checkIntervalMs,
                                 double distrustMs, double leaseBackoffMs) {

    /** After this many updates in a row that do not match, bad timing can no longer be the cause. */
    public static final int MAX_MISMATCHES = 4;
    /** After this many failed polls in a row, a reader leaves the lease to others. */
    public static final int MAX_FAILED_POLLS = 2;
    /** The update timeout in poll intervals: the loss of one update causes no poll. */
    private static final double UPDATE_TIMEOUT_INTERVALS = 2;
    private static final double MIN_DEFAULT_CHECK_INTERVAL_MS = 10_000;

    public RegistryReadPolicy {
        if (!(pollIntervalMs > 0) || !(updateTimeoutMs >= pollIntervalMs) || !(checkIntervalMs >= updateTimeoutMs)
                || !(distrustMs >= 0) || !(leaseBackoffMs >= 0)) {
            throw new IllegalArgumentException("times need 0 < poll interval <= update timeout <= check interval");
        }
    }

    /** The default times for a poll interval. */
    public static RegistryReadPolicy of(double intervalMs) {
        return of(intervalMs, Math.max(MIN_DEFAULT_CHECK_INTERVAL_MS, UPDATE_TIMEOUT_INTERVALS * intervalMs));
    }

    /** The default times for a poll interval, with another check interval. */
    public static RegistryReadPolicy of(double intervalMs, double checkMs) {
        return new RegistryReadPolicy(intervalMs, UPDATE_TIMEOUT_INTERVALS * intervalMs, checkMs, 3 * checkMs,
                checkMs / 2);
    }
}
