package ridgemill.cdn.config;

/**
 * What a client may send and how long it may take.
 *
 * @param maxHeaderBytes the longest request head, in bytes
 * @param maxBodyBytes the longest request body, in bytes
 * @param headerTimeoutMs how long a request head may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
 */
public record Limits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** What holds until the operator has set limits. */
    public static final Limits DEFAULT = new Limits(16_384, 67_108_864L, 3_000, 15_000);
}
