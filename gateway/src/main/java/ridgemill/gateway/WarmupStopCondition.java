package ridgemill.gateway;

/**
 * Decides when a warm-up ends: after a number of requests, after a time, or when requests no longer get faster. It does
 * no I/O and reads no clock.
 *
 * <p>The time limit is shorter while peers serve, because clients then wait for this proxy: in a rolling restart the
 * next proxy shuts down 3 s after this one did, and in a simultaneous restart all shut down at once.
 */
final class WarmupStopCondition {

    private static final int MAX_REQUESTS = 2000;
    private static final double MAX_MS_WITH_PEERS = 2000;
    /** Time limit if no message from a peer arrives: in the first start of a fleet no client waits for this proxy. */
    private static final double MAX_MS_ALONE = 4000;
    /** A round is flat (without improvement) unless its time per request is below this fraction of the fastest one. */
    private static final double IMPROVEMENT_FACTOR = 0.8;
    /** Flat rounds in a row that end a warm-up. A single one may be due to a garbage collection or a compilation. */
    private static final int MAX_FLAT_ROUNDS = 4;

    private final int maxRequests;
    private final double maxMsWithPeers;
    private final double maxMsAlone;
    private double lastElapsedMs;
    private double fastestRequestMs = Double.POSITIVE_INFINITY;
    private int lastSent;
    private int flatRounds;

    /**
     * Creates a condition.
     *
     * @param maxRequests number of requests after which the warm-up ends
     * @param maxMsWithPeers time limit while peers serve, in milliseconds
     * @param maxMsAlone time limit while no peer serves, in milliseconds
     */
    WarmupStopCondition(int maxRequests, double maxMsWithPeers, double maxMsAlone) {
        this.maxRequests = maxRequests;
        this.maxMsWithPeers = maxMsWithPeers;
        this.maxMsAlone = maxMsAlone;
    }

    /** The condition for a start without another process of this proxy. */
    static WarmupStopCondition standard() {
        return new WarmupStopCondition(MAX_REQUESTS, MAX_MS_WITH_PEERS, MAX_MS_ALONE);
    }

    /**
     * The condition for a process that replaces another one of this proxy, which still serves. Both share a core, and
     * the new process has limited time to become ready.
     */
    static WarmupStopCondition forSuccessor() {
        return new WarmupStopCondition(MAX_REQUESTS, MAX_MS_WITH_PEERS, MAX_MS_WITH_PEERS);
    }

    /**
     * Returns whether the warm-up ends now. Called once per round.
     *
     * @param sent requests sent since the begin
     * @param elapsedMs milliseconds since the begin
     */
    boolean shouldStop(int sent, double elapsedMs, boolean peersServe) {
        double requestMs = (elapsedMs - lastElapsedMs) / Math.max(1, sent - lastSent);
        lastElapsedMs = elapsedMs;
        lastSent = sent;
        flatRounds = requestMs < IMPROVEMENT_FACTOR * fastestRequestMs ? 0 : flatRounds + 1;
        fastestRequestMs = Math.min(fastestRequestMs, requestMs);
        return sent >= maxRequests || elapsedMs >= (peersServe ? maxMsWithPeers : maxMsAlone)
                || flatRounds >= MAX_FLAT_ROUNDS;
    }
}
