/** The data path of an edge proxy: clients' connections, the flows of their requests, connections to instances. */
package ridgemill.cdn.proxy;
