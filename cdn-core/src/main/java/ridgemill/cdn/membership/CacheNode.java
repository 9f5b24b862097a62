package ridgemill.cdn.membership;

/**
 * One life of a shared cache: a process that fetches objects and keeps copies for the edge proxies.
 *
 * @param id the identifier of this life
 * @param address where it takes reads, as {@code IP:port}
 * @param zone the zone it runs in
 */
public record CacheNode(String id, String address, String zone) {}
