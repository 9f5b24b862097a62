/** How many replicas must agree, and when a replica that lost its disk may vote again. */
package ridgemill.cdn.quorum;
