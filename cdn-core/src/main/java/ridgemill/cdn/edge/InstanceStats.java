package ridgemill.cdn.edge;

import ridgemill.cdn.instances.Instance;
import ridgemill.policy.RendezvousHash;

/**
 * Statistics of this proxy about one instance: its own requests in flight, their outcomes and latencies, and the load
 * that the instance reports with its answers. An instance with failures is ejected for a time (outlier ejection) and is
 * then probed with a single request.
 */
public final class InstanceStats {

    /** The number of consecutive failures that ejects an instance. */
    static final double FAILURES_BEFORE_EJECTION = 2;
    /** How long the first ejection lasts, in milliseconds; doubled with each further failure. */
    static final double EJECTION_MS = 500;
    /** The longest ejection, in milliseconds. */
    static final double MAX_EJECTION_MS = 4_000;
    /** How long an instance is not used after another instance answered at its address, in milliseconds. */
    static final double REPLACED_MS = 5_000;
    /**
     * How long an instance that declined a request counts as full, in milliseconds: about until a slot is free again.
     */
    private static final double FULL_MS = 50;

    /** The weight of a new sample in the moving averages. */
    private static final double SMOOTHING = 0.1;
    /** An instance whose moving average of errors among its answers exceeds this share is ejected. */
    private static final double MAX_ERROR_RATE = 0.35;
    /** How long a reported load is used, in milliseconds. */
    private static final double LOAD_VALIDITY_MS = 250;
    /** The factor of the weight of a cold instance. */
    private static final double COLD_WEIGHT = 0.35;

    /** The minimum factor of the weight of an instance that is slower than the others. */
    private static final double MIN_LATENCY_WEIGHT = 0.2;
    /** How many requests beyond its slots an instance is sent. */
    private static final int QUEUE_SLOTS = 1;

    private final long hash;
    private Instance instance;
    private boolean local;
    private int maxInFlight;
    private int inFlight;
    private double consecutiveFailures;
    private double errorRate;
    private int ejections;
    private double ejectedUntilMs;
    private double replacedUntilMs;
    private double fullUntilMs;
    private double lastConnectionFailureMs = Double.NEGATIVE_INFINITY;
    private boolean onProbation;
    private double meanLatencyMs = Double.NaN;
    private double latencyDeviationMs;
    private double loadReportedAtMs = Double.NEGATIVE_INFINITY;
    private int reportedBusy;
    private int reportedSlots;

    /** Statistics without samples; {@link #update} has to be called before the instance can take requests. */
    public InstanceStats(Instance instance) {
        this.instance = instance;
        this.hash = RendezvousHash.mix(RendezvousHash.hashText(instance.id()));
    }

    /**
     * Updates the description of the instance from the control plane.
     *
     * @param inOwnRegion whether the instance is in this proxy's region
     * @param connections how many connections to the instance this proxy may have
     */
    public void update(Instance reported, boolean inOwnRegion, int connections) {
        instance = reported;
        local = inOwnRegion;
        maxInFlight = Math.max(1, Math.min(connections, reported.slots() + QUEUE_SLOTS));
    }

    /** The instance as the control plane last described it. */
    public Instance instance() {
        return instance;
    }

    /** Whether the instance is in this proxy's region. */
    public boolean isLocal() {
        return local;
    }

    /** The maximum number of requests of this proxy in flight at the instance. */
    public int maxInFlight() {
        return maxInFlight;
    }

    /** The number of requests of this proxy in flight at the instance. */
    public int inFlight() {
        return inFlight;
    }

    /** Whether the instance is not ejected; after an ejection only one request at a time is sent as a probe. */
    public boolean isUsable(double nowMs) {
        return nowMs >= ejectedUntilMs && (!onProbation || inFlight == 0);
    }

    /** Whether another instance recently answered at its address. */
    public boolean isReplaced(double nowMs) {
        return nowMs < replacedUntilMs;
    }

    /** Whether the instance can take one more request of this proxy now. */
    public boolean hasCapacity(double nowMs) {
        if (inFlight >= maxInFlight || nowMs < fullUntilMs) {
            return false;
        }
        return nowMs - loadReportedAtMs > LOAD_VALIDITY_MS || reportedBusy < reportedSlots + QUEUE_SLOTS;
    }

    /**
     * The known load: this proxy's requests in flight, with the recently reported load as the fraction that breaks
     * ties.
     */
    double load(double nowMs) {
        double reported = nowMs - loadReportedAtMs > LOAD_VALIDITY_MS || reportedSlots == 0
                ? 0
                : (double) reportedBusy / reportedSlots;
        return inFlight + Math.min(reported, 0.99);
    }

    /** The weight for rendezvous hashing: lower while the instance is cold, or if it is slower than the others. */
    double weight(double nowMs, double meanOfAllMs) {
        double coldFactor = nowMs < instance.coldUntilMs() ? COLD_WEIGHT : 1;
        double latencyRatio = Double.isNaN(meanLatencyMs) || Double.isNaN(meanOfAllMs) || meanLatencyMs <= 0
                ? 1
                : meanOfAllMs / meanLatencyMs;
        return coldFactor * Math.max(MIN_LATENCY_WEIGHT, Math.min(1, latencyRatio * latencyRatio));
    }

    /** A number in (0, 1] that depends only on the instance and a key. */
    double rendezvousDraw(long key) {
        return RendezvousHash.unitInterval(hash ^ key);
    }

    /** The moving average of the latency of answered attempts, in milliseconds; NaN before the first. */
    public double meanLatencyMs() {
        return meanLatencyMs;
    }

    /** A time within which nearly every attempt is answered, in milliseconds; NaN before the first answer. */
    public double highLatencyMs() {
        return meanLatencyMs + 4 * latencyDeviationMs;
    }

    /** When a connection to the instance last failed, in milliseconds; negative infinity if none did. */
    public double lastConnectionFailureMs() {
        return lastConnectionFailureMs;
    }

    /** Counts a request of this proxy that is sent to the instance. */
    public void requestStarted() {
        inFlight++;
    }

    /**
     * Records the load that the instance reported with an answer.
     *
     * @param running the requests that it is working on
     * @param waiting the requests that wait there
     * @param slots how many requests it can work on at once
     */
    public void loadReported(double nowMs, int running, int waiting, int slots) {
        loadReportedAtMs = nowMs;
        reportedBusy = Math.max(0, running + waiting);
        reportedSlots = slots;
    }

    /** Counts a request of this proxy that was withdrawn before it had an outcome. */
    public void requestWithdrawn() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /**
     * Counts a request of this proxy that ended.
     *
     * @param elapsedMs the time since the request was written, in milliseconds
     * @param serverError whether it was answered with a 5xx status of the instance itself
     * @param mayEject whether enough other instances are left to eject this one
     */
    public void requestEnded(
            double nowMs, AttemptOutcome outcome, double elapsedMs, boolean serverError, boolean mayEject) {
        inFlight = Math.max(0, inFlight - 1);
        switch (outcome) {
            case ANSWERED -> countAnswer(nowMs, elapsedMs, serverError, mayEject);
            case DECLINED -> fullUntilMs = nowMs + FULL_MS;
            case REFUSED_BY_CACHE -> countAnswer(nowMs, elapsedMs, false, mayEject);
            case MISDIRECTED -> replacedUntilMs = nowMs + REPLACED_MS;
            case SILENT -> countFailure(nowMs, 1, mayEject);
            case GARBLED -> countError(nowMs, mayEject);
            case NOT_HELD -> {}
            case CONNECT_FAILED, RESET, NEVER_WRITTEN -> {
                lastConnectionFailureMs = nowMs;
                countFailure(nowMs, outcome == AttemptOutcome.CONNECT_FAILED ? FAILURES_BEFORE_EJECTION : 1, mayEject);
            }
            default -> throw new IllegalArgumentException(outcome.name());
        }
    }

    private void countAnswer(double nowMs, double elapsedMs, boolean serverError, boolean mayEject) {
        onProbation = false;
        consecutiveFailures = 0;
        updateLatency(elapsedMs);
        if (serverError) {
            countError(nowMs, mayEject);
        } else {
            errorRate -= SMOOTHING * errorRate;
            ejections = errorRate < SMOOTHING ? 0 : ejections;
        }
    }

    private void updateLatency(double elapsedMs) {
        if (Double.isNaN(meanLatencyMs)) {
            meanLatencyMs = elapsedMs;
            latencyDeviationMs = elapsedMs / 2;
        } else {
            latencyDeviationMs += SMOOTHING * (Math.abs(elapsedMs - meanLatencyMs) - latencyDeviationMs);
            meanLatencyMs += SMOOTHING * (elapsedMs - meanLatencyMs);
        }
    }

    private void countError(double nowMs, boolean mayEject) {
        errorRate += SMOOTHING * (1 - errorRate);
        if (errorRate > MAX_ERROR_RATE && nowMs >= ejectedUntilMs) {
            eject(nowMs, ejections++, mayEject);
        }
    }

    private void countFailure(double nowMs, double failures, boolean mayEject) {
        consecutiveFailures += failures;
        if (consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
            eject(nowMs, (int) (consecutiveFailures - FAILURES_BEFORE_EJECTION), mayEject);
        }
    }

    private void eject(double nowMs, int exponent, boolean mayEject) {
        if (mayEject) {
            ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, EJECTION_MS * Math.pow(2, exponent));
            onProbation = true;
        }
    }
}
