package ridgemill.cdn.membership;

/**
 * One incarnation of a shared cache, a process that fetches objects and keeps copies for the edge proxies.
 *
 * @param id the identifier of this incarnation
 * @param address the address where it accepts reads, as {@code IP:port}
 * @param zone the zone it runs in
 */
public record CacheNode(String id, String address, String zone) {}
