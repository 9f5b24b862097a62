package ridgemill.bench.scale;

/**
 * How long operations of one kind took, in milliseconds.
 *
 * @param count how many ended
 * @param unfinished how many did not end within the patience of the measurement
 */
public record Times(int count, int unfinished, double p50Ms, double p99Ms, double maxMs) {}
