/** The operators' own front: whether this process serves, and its figures. Not loaded without its address. */
package ridgemill.gateway.console;
