/** What a proxy reports to its operators: its readiness and its metrics. Uses no I/O, clocks or threads. */
package ridgemill.monitoring;
