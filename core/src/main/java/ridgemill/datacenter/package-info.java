/**
 * Decides what crosses between halls: when a request that home can't serve goes to another hall, to which gateway of it,
 * how much may, and when requests come home again. Free of I/O, clocks and threads: times are passed in, as milliseconds.
 */
package ridgemill.datacenter;
