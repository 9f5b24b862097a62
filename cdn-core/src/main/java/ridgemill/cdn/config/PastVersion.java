package ridgemill.cdn.config;

/**
 * A version of an item that a higher one has superseded.
 *
 * @param version the version number
 * @param contentDigest the {@link Item#contentDigest} of the content confirmed under it
 */
public record PastVersion(long version, long contentDigest) {}
