/**
 * Selection of the route for a request: path patterns and conditions, their order of specificity, and a compiled table.
 * Uses no I/O and no clock.
 */
package ridgemill.route;
