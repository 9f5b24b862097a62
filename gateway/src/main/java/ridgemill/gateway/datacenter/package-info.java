/**
 * The links between halls: HTTP/2 (RFC 9113) between gateways that know each other, on which requests cross with what
 * their clients are owed. What crosses and when is decided by {@link ridgemill.datacenter}. Not loaded unless an operator file
 * has a section of that name.
 */
package ridgemill.gateway.datacenter;
