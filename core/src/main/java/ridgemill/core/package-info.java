/**
 * Connects frontends (client side), backends (node side) and the routing policy: a request comes in, attempts are sent
 * one after another, and one final response goes back. Independent of protocols and free of I/O: time and timers are
 * passed in, and the owner of a {@link ridgemill.core.Dispatcher} calls it from one thread.
 */
package ridgemill.core;
