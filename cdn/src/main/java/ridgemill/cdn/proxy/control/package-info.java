/** What an edge proxy's data path needs of the control plane, and the client that keeps it up to date. */
package ridgemill.cdn.proxy.control;
