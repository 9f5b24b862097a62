package ridgemill.cdn.edge;

/**
 * Which requests a stopping process may still begin. A request that cannot be answered before the end of the process
 * must not run, because its client would get no answer.
 *
 * @param openUntilMs until when each request is begun, in milliseconds on the process' clock; what begins before and
 *     lasts as long as its deadline allows may be cut off by the end
 * @param endMs when the last response must have been written, in milliseconds on the same clock
 */
public record DrainWindow(double openUntilMs, double endMs) {

    /** The window of a process that is not stopping. */
    public static final DrainWindow OPEN = new DrainWindow(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

    /**
     * Whether a request that arrives now may begin.
     *
     * @param deadlineMs when it will have been answered at the latest, on the same clock; infinite if that is not known
     */
    public boolean allows(double nowMs, double deadlineMs) {
        return nowMs < openUntilMs || deadlineMs <= endMs;
    }
}
