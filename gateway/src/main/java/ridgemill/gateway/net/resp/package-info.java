/**
 * The Redis serialization protocol, versions 2 and 3, as fronts and backs share it. Sources: redis.io/docs,
 * "Redis serialization protocol specification", and github.com/redis/redis-specifications, protocol/RESP3.md.
 */
package ridgemill.gateway.net.resp;
