/** What a proxy says of itself to those who run it: whether it serves, and its figures. Free of I/O, clocks and threads. */
package ridgemill.monitoring;
