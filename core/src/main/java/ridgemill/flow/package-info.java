/** How slow a peer may be: times by progress and not by the whole. Free of I/O, clocks and threads. */
package ridgemill.flow;
