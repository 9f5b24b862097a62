package ridgemill.cdn.config;

/**
 * A version of an item that a higher one has overtaken.
 *
 * @param version the version number
 * @param contentDigest {@link Item#contentDigest} of what was confirmed under it
 */
public record PastVersion(long version, long contentDigest) {}
