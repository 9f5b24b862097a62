/**
 * Leases of fleet-wide tasks: at most one proxy at a time may act on a task. The lease is granted by a majority of a
 * few voting proxies, and nothing is stored on disk. The package has no I/O, clocks or threads. Guarantees and
 * assumptions are described in docs/design/leases.md.
 */
package ridgemill.lease;
