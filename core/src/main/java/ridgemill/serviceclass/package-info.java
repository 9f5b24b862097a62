/**
 * The settings of a service class in the operator file, its schedule of attempts, and their validation. Uses no I/O and
 * no clock.
 */
package ridgemill.serviceclass;
