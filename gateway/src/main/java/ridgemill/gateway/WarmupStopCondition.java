package ridgemill.gateway;

/**
 * When a warm-up has run long enough: all of its requests, its time, or requests that no longer get faster. Its time is
 * shorter while peers serve, as clients then wait for us: at a rolling restart the next proxy goes down 3 s after this one
 * did, and at a herd's all go down at once. Without I/O or a clock.
 */
final class WarmupStopCondition {

    private static final int REQUESTS = 2000;
    private static final double PATIENCE_MS = 2000;
    /** So long where no peer is heard: at the first start of all nobody waits for us. */
    private static final double ALONE_MS = 4000;
    /** A round that takes more than this part of the fastest one before it has brought nothing. */
    private static final double GAIN = 0.8;
    /** So many rounds in a row that bring nothing: one may have met a collection of memory or a compilation. */
    private static final int FLAT_ROUNDS = 4;

    private final int requests;
    private final double patienceMs;
    private final double aloneMs;
    private double lastMs;
    private double fastest = Double.POSITIVE_INFINITY;
    private int lastRequests;
    private int flat;

    /** Ends after so many requests, or so long while peers serve, or so long at all; milliseconds. */
    WarmupStopCondition(int requests, double patienceMs, double aloneMs) {
        this.requests = requests;
        this.patienceMs = patienceMs;
        this.aloneMs = aloneMs;
    }

    static WarmupStopCondition standard() {
        return new WarmupStopCondition(REQUESTS, PATIENCE_MS, ALONE_MS);
    }

    /** Where another process of this proxy serves meanwhile: it has a core to share with it, and a time in which to be ready. */
    static WarmupStopCondition forSuccessor() {
        return new WarmupStopCondition(REQUESTS, PATIENCE_MS, PATIENCE_MS);
    }

    /** Whether it is over after so many requests in all, so many milliseconds after its begin; once a round. */
    boolean shouldStop(int sent, double elapsedMs, boolean peersServe) {
        double each = (elapsedMs - lastMs) / Math.max(1, sent - lastRequests);
        lastMs = elapsedMs;
        lastRequests = sent;
        flat = each < GAIN * fastest ? 0 : flat + 1;
        fastest = Math.min(fastest, each);
        return sent >= requests || elapsedMs >= (peersServe ? patienceMs : aloneMs) || flat >= FLAT_ROUNDS;
    }
}
