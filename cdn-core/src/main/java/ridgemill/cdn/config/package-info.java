/**
 * The operator's configuration: versioned items as they are replicated, and the parsed view that is used for routing.
 */
package ridgemill.cdn.config;
