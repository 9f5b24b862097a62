package ridgemill.registry;

/**
 * The times of reading by one for all. What is told takes the place of one's own reading for {@code quietMs}; so a change of the
 * registry is known after a poll and a datagram while the reader lives, and where it is gone after {@code quietMs}, an interval (as
 * far as news may be older than it looks) and a poll at most.
 *
 * @param pollIntervalMs from one poll to the next
 * @param updateTimeoutMs without news after which each reads for itself
 * @param checkIntervalMs how often each reads for itself all the same, to check what it is told; by chance up to a quarter earlier
 * @param distrustMs for how long nobody is listened to once what was told has not held {@link #MAX_MISMATCHES} times in a row
 * @param leaseBackoffMs for how long a proxy that could not read, and has given up the lease for it, leaves it to others
 */
public record RegistryReadPolicy(double pollIntervalMs, double updateTimeoutMs, double checkIntervalMs, double distrustMs, double leaseBackoffMs) {

    /** So many tellings in a row that one's own reading does not bear out are no matter of bad timing any more. */
    public static final int MAX_MISMATCHES = 4;
    /** So many failed polls in a row make a reader leave the lease to others. */
    public static final int MAX_FAILED_POLLS = 2;
    /** Without news for so many intervals each reads for itself; one that is lost costs nobody a poll. */
    private static final double UPDATE_TIMEOUT_INTERVALS = 2;
    private static final double MIN_DEFAULT_CHECK_INTERVAL_MS = 10_000;

    public RegistryReadPolicy {
        if (!(pollIntervalMs > 0) || !(updateTimeoutMs >= pollIntervalMs) || !(checkIntervalMs >= updateTimeoutMs) || !(distrustMs >= 0) || !(leaseBackoffMs >= 0)) {
            throw new IllegalArgumentException("interval, quiet time and check follow each other in length, and are greater than 0");
        }
    }

    /** The usual times for polls at such an interval. */
    public static RegistryReadPolicy of(double intervalMs) {
        return of(intervalMs, Math.max(MIN_DEFAULT_CHECK_INTERVAL_MS, UPDATE_TIMEOUT_INTERVALS * intervalMs));
    }

    /** The same with a check of one's own at such times. */
    public static RegistryReadPolicy of(double intervalMs, double checkMs) {
        return new RegistryReadPolicy(intervalMs, UPDATE_TIMEOUT_INTERVALS * intervalMs, checkMs, 3 * checkMs, checkMs / 2);
    }
}
