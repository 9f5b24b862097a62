package ridgemill.cdn.purge;

/**
 * A purge that a store published some time ago.
 *
 * @param purge the purge
 * @param ageMs the time since it was published, in milliseconds
 */
public record RecentPurge(Purge purge, long ageMs) {}
