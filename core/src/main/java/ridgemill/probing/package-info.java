/**
 * One elected proxy of a fleet probes nodes that could not be reached, and sends the results to the others. Free of
 * I/O, clocks and threads; times are passed in, in milliseconds. Design: docs/design/one-prober.md.
 */
package ridgemill.probing;
