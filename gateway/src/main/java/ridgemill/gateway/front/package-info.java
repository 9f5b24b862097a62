/**
 * The client side of the gateway: accepts connections, limits their number and lifetime, and enforces the timeouts that
 * all protocols have in common. Each protocol has a subpackage.
 */
package ridgemill.gateway.front;
