/**
 * How a process of a proxy takes over from another, and how the other one shuts down. The package has no I/O, clocks or
 * threads.
 */
package ridgemill.succession;
