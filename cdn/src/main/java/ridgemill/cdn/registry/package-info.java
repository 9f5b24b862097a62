/** The registry program: calls from outside, the list of instances, news to the edge proxies. */
package ridgemill.cdn.registry;
