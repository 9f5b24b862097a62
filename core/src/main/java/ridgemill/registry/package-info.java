/**
 * One proxy of a fleet reads a registry and tells the others, who check what they are told. Free of I/O, clocks and threads; times
 * are passed in, in milliseconds. Design: docs/design/one-reader.md.
 */
package ridgemill.registry;
