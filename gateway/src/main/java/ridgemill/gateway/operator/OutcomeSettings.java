package ridgemill.gateway.operator;

/**
 * The record of keyed writes' outcomes.
 *
 * @param keepMs for how long one is told after it came about, in milliseconds
 * @param most how many are kept at a time, at least 1
 */
public record OutcomeSettings(double keepMs, int most) { }
