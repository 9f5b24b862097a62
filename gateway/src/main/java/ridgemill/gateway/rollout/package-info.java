/**
 * Rolls operator file versions out to the fleet and takes a diverging proxy out of service: connects the decisions to
 * the event loop, the leases, the version history and the commands of operators.
 */
package ridgemill.gateway.rollout;
