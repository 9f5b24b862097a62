/**
 * Decides which requests are forwarded between datacenters: when a request that the home datacenter cannot serve goes
 * to another one, to which of its gateways and how many, and when requests return home. The home datacenter is the one
 * that this gateway belongs to. Free of I/O, clocks and threads: times are passed in, in milliseconds.
 */
package ridgemill.datacenter;
