/**
 * What an operator sets for a class of requests, its schedule of attempts, and the checks that keep the rules. Free of
 * I/O and time.
 */
package ridgemill.serviceclass;
