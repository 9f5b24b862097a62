package ridgemill.cdn.config;

/**
 * The limits on client requests and connections.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMs how long a request head may take to arrive, in milliseconds
 * @param idleTimeoutMs how long a connection may stay idle, in milliseconds
 */
public record Limits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits that apply until the operator sets others. */
    public static final Limits DEFAULT = new Limits(16_384, 67_108_864L, 3_000, 15_000);
}
