/**
 * Which route a request takes: patterns, the order in which they win, and a compiled table. Free of I/O and time.
 */
package ridgemill.route;
