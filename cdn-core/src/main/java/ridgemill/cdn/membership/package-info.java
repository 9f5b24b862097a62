/** Which processes the system consists of. */
package ridgemill.cdn.membership;
