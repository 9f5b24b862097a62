/** The configuration store: one process on each core machine that keeps items and operation keys on its disk. */
package ridgemill.cdn.store;
