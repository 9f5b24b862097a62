/** Serves the metrics of a process as text over HTTP. */
package ridgemill.cdn.metrics;
