/** Decisions about which connections to close when there are too many. Free of I/O, clocks and threads. */
package ridgemill.connections;
