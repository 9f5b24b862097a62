package ridgemill.cdn.purge;

/**
 * A request to stop serving cached copies of an object, or of all objects that carry a tag.
 *
 * @param id a random identifier, the same on all replicas, by which a duplicate delivery is recognized
 * @param hostname the host of the object to purge; null where a tag is purged
 * @param path the path and query of the object to purge; null where a tag is purged
 * @param tag the tag whose objects are purged; null where one object is purged
 */
public record Purge(String id, String hostname, String path, String tag) {

    /**
     * The longest time between the first publication of a purge by a store and its acknowledgement, in milliseconds. A
     * registry acknowledges no purge later.
     */
    public static final long ACKNOWLEDGEMENT_TIMEOUT_MS = 900;

    /** A purge of one object. */
    public static Purge ofPath(String id, String hostname, String path) {
        return new Purge(id, hostname, path, null);
    }

    /** A purge of all objects that carry a tag. */
    public static Purge ofTag(String id, String tag) {
        return new Purge(id, null, null, tag);
    }

    /** What this purges, for logs. */
    public String target() {
        return isByTag() ? "tag:" + tag : hostname + path;
    }

    /** Whether this purges by tag. */
    public boolean isByTag() {
        return tag != null;
    }
}
