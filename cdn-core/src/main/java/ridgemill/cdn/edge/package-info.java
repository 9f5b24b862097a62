/** Decisions of an edge proxy: whom to ask, how often, what to keep. Time is passed in; nothing here does I/O. */
package ridgemill.cdn.edge;
