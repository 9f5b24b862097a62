package ridgemill.gateway.rollout;

import ridgemill.rollout.Quarantine;
import ridgemill.rollout.RolloutPolicy;

/**
 * What an operator file says of taking versions through the fleet.
 *
 * @param policy how a roll goes
 * @param quarantineLimits when this proxy steps aside
 */
public record RolloutSettings(RolloutPolicy policy, Quarantine.Limits quarantineLimits) { }
