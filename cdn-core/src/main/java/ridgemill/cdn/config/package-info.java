/** The operator's configuration: versioned items as they are replicated, and their typed view for routing. */
package ridgemill.cdn.config;
