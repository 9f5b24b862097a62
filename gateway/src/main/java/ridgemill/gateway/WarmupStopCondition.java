package ridgemill.gateway;

/**
 * When a warm-up has run long enough: all of its requests, its time, or requests that no longer get faster. Its time is
 * shorter while peers serve, as clients then wait for us: at a rolling restart the next proxy goes down 3 s after this one
 * did, and at a herd's all go down at once. Without I/O or a clock.
 */
final class WarmupStopCondition {

    private static final int MAX_REQUESTS = 2000;
    private static final double MAX_MS_WITH_PEERS = 2000;
    /** So long where no peer is heard: at the first start of all nobody waits for us. */
    private static final double MAX_MS_ALONE = 4000;
    /** A round that takes more than this part of the fastest one before it has brought nothing. */
    private static final double IMPROVEMENT_FACTOR = 0.8;
    /** So many rounds in a row that bring nothing: one may have met a collection of memory or a compilation. */
    private static final int MAX_FLAT_ROUNDS = 4;

    private final int maxRequests;
    private final double maxMsWithPeers;
    private final double maxMsAlone;
    private double lastElapsedMs;
    private double fastestRequestMs = Double.POSITIVE_INFINITY;
    private int lastSent;
    private int flatRounds;

    /** Ends after so many requests, or so long while peers serve, or so long at all; milliseconds. */
    WarmupStopCondition(int requests, double patienceMs, double aloneMs) {
        this.maxRequests = requests;
        this.maxMsWithPeers = patienceMs;
        this.maxMsAlone = aloneMs;
    }

    static WarmupStopCondition standard() {
        return new WarmupStopCondition(MAX_REQUESTS, MAX_MS_WITH_PEERS, MAX_MS_ALONE);
    }

    /** Where another process of this proxy serves meanwhile: it has a core to share with it, and a time in which to be ready. */
    static WarmupStopCondition forSuccessor() {
        return new WarmupStopCondition(MAX_REQUESTS, MAX_MS_WITH_PEERS, MAX_MS_WITH_PEERS);
    }

    /** Whether it is over after so many requests in all, so many milliseconds after its begin; once a round. */
    boolean shouldStop(int sent, double elapsedMs, boolean peersServe) {
        double requestMs = (elapsedMs - lastElapsedMs) / Math.max(1, sent - lastSent);
        lastElapsedMs = elapsedMs;
        lastSent = sent;
        flatRounds = requestMs < IMPROVEMENT_FACTOR * fastestRequestMs ? 0 : flatRounds + 1;
        fastestRequestMs = Math.min(fastestRequestMs, requestMs);
        return sent >= maxRequests || elapsedMs >= (peersServe ? maxMsWithPeers : maxMsAlone) || flatRounds >= MAX_FLAT_ROUNDS;
    }
}
