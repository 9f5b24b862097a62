/**
 * The joint between fronts, backs and the decision module: a request in, attempts out one after another, one final
 * answer. It knows no protocol and does no I/O; time and timers are passed in, and whoever owns a
 * {@link ridgemill.core.Dispatcher} calls it from one thread.
 */
package ridgemill.core;
