/** What the programs share of sockets. */
package ridgemill.cdn.net;
