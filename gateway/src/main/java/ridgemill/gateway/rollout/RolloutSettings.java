package ridgemill.gateway.rollout;

import ridgemill.rollout.Quarantine;
import ridgemill.rollout.RolloutPolicy;

/**
 * The settings of an operator file for rollouts.
 *
 * @param policy how a rollout proceeds
 * @param quarantineLimits when this proxy goes out of service
 */
public record RolloutSettings(RolloutPolicy policy, Quarantine.Limits quarantineLimits) { }
