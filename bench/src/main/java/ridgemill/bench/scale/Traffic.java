package ridgemill.bench.scale;

/**
 * What passed over all links of one hollow edge proxy, in the mean of all; without the headers of TCP and IP.
 *
 * @param inBytesPerS bytes received
 * @param outBytesPerS bytes sent
 * @param inFramesPerS messages received
 * @param outFramesPerS messages sent
 */
public record Traffic(double inBytesPerS, double outBytesPerS, double inFramesPerS, double outFramesPerS) {}
