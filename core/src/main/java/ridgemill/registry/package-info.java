/**
 * One elected proxy of a fleet reads a registry and sends updates to the others, which verify them. Free of I/O, clocks
 * and threads; times are passed in, in milliseconds. Design: docs/design/one-reader.md.
 */
package ridgemill.registry;
