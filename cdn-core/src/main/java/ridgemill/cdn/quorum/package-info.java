/** Which stores vote, and when enough of them agree. */
package ridgemill.cdn.quorum;
