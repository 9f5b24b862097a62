/**
 * Runs leases on an event loop: their datagrams, the lock that allows one voter per proxy, and the tasks that make
 * calls under a lease. Not loaded without a {@code [leases]} section in the operator file.
 */
package ridgemill.gateway.lease;
