package ridgemill.datacenter;

/**
 * The limit on requests from other datacenters that may be open here at once. Local clients come first: the limit grows
 * only while they are served as usual, and is halved, down to 0, for as long as they are not.
 */
final class RemoteRequestLimit {

    private static final double INITIAL_LIMIT = 8;
    private static final double WINDOW_MS = 1000;
    private static final int MIN_SAMPLES = 10;
    /** The rise of the local failure ratio above its baseline at which the limit is reduced. */
    private static final double MAX_FAILURE_INCREASE = 0.02;
    private static final double DECREASE_INTERVAL_MS = 250;
    private static final double INCREASE_INTERVAL_MS = 100;
    /**
     * The weight of one outcome in the baseline failure ratio, which is learned only while no remote request is open.
     */
    private static final double BASELINE_WEIGHT = 0.01;

    private final int maxLimit;
    private final OutcomeWindow localOutcomes = new OutcomeWindow(WINDOW_MS);
    private double baselineFailureRatio;
    private double limit;
    private int open;
    private double lastDecreaseMs = Double.NEGATIVE_INFINITY;
    private double lastIncreaseMs = Double.NEGATIVE_INFINITY;

    RemoteRequestLimit(int maxLimit) {
        this.maxLimit = maxLimit;
        this.limit = Math.min(INITIAL_LIMIT, maxLimit);
    }

    /** Records whether a request of a local client was served. */
    void recordLocalOutcome(double nowMs, boolean served) {
        localOutcomes.add(nowMs, served);
        if (open == 0) {
            baselineFailureRatio += BASELINE_WEIGHT * ((served ? 0 : 1) - baselineFailureRatio);
        }
        if (isDegraded(nowMs) && nowMs - lastDecreaseMs >= DECREASE_INTERVAL_MS) {
            lastDecreaseMs = nowMs;
            limit = limit < 1 ? 0 : limit / 2;
        }
    }

    private boolean isDegraded(double nowMs) {
        return localOutcomes.total(nowMs) >= MIN_SAMPLES
                && localOutcomes.failureRatio(nowMs) > Math.min(0.5, baselineFailureRatio) + MAX_FAILURE_INCREASE;
    }

    /** Admits one more remote request if the limit allows it. It then counts as open until {@link #release}. */
    boolean tryAdmit(double nowMs) {
        if (!isDegraded(nowMs) && nowMs - lastIncreaseMs >= INCREASE_INTERVAL_MS && open + 1 >= limit) {
            lastIncreaseMs = nowMs;
            limit = Math.min(maxLimit, Math.max(1, limit * 1.1 + 0.5));
        }
        if (open >= Math.floor(limit)) {
            return false;
        }
        open++;
        return true;
    }

    void release() {
        open--;
    }

    int open() {
        return open;
    }

    int limit() {
        return (int) Math.floor(limit);
    }
}
