/** The voting stores and the quorum rules. */
package ridgemill.cdn.quorum;
