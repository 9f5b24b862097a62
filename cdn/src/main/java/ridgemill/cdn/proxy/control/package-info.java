/**
 * The control plane as seen by the data path of an edge proxy or a shared cache, and the client that keeps this view
 * up to date.
 */
package ridgemill.cdn.proxy.control;
