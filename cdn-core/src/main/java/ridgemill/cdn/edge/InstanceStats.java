package ridgemill.cdn.edge;

import ridgemill.cdn.instances.Instance;
import ridgemill.policy.RendezvousHash;

/** What this proxy knows of one instance: its own requests there, how they fared, and the load that answers told. */
public final class InstanceStats {

    /** Failures in a row before an instance is spared, and for how long, doubling up to the last. */
    static final double FAILURES_BEFORE_EJECTION = 2;

    static final double EJECTION_MS = 500;
    static final double MAX_EJECTION_MS = 4_000;
    /** How long an instance is left alone after another one answered at its address. */
    static final double REPLACED_MS = 5_000;
    /** How long an instance that turned a request away is taken to be full: about until a slot is free again. */
    private static final double FULL_MS = 50;

    private static final double SMOOTHING = 0.1;
    /** A running share of spoilt answers beyond this spares an instance though it answers. */
    private static final double MAX_ERROR_RATE = 0.35;
    /** How long a told load counts. */
    private static final double LOAD_VALIDITY_MS = 250;
    /** What a cold instance gets of its share at its start. */
    private static final double COLD_WEIGHT = 0.35;

    private static final double MIN_LATENCY_WEIGHT = 0.2;
    /** Requests beyond its slots that an instance is sent. */
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
    private boolean onTrial;
    private double meanLatencyMs = Double.NaN;
    private double latencyDeviationMs;
    private double loadReportedAtMs = Double.NEGATIVE_INFINITY;
    private int reportedBusy;
    private int reportedSlots;

    public InstanceStats(Instance instance) {
        this.instance = instance;
        this.hash = RendezvousHash.mix(RendezvousHash.hashText(instance.id()));
    }

    /**
     * Takes in what the control plane says of it.
     *
     * @param inOwnRegion whether it is in this proxy's region
     * @param connections how many connections this proxy may have there
     */
    public void update(Instance told, boolean inOwnRegion, int connections) {
        instance = told;
        local = inOwnRegion;
        maxInFlight = Math.max(1, Math.min(connections, told.slots() + QUEUE_SLOTS));
    }

    /** The instance as the control plane last described it. */
    public Instance instance() {
        return instance;
    }

    /** Whether it is in this proxy's region. */
    public boolean isLocal() {
        return local;
    }

    /** How many requests it may be sent at once. */
    public int maxInFlight() {
        return maxInFlight;
    }

    /** This proxy's requests there that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    /** Whether it has not failed so recently that it is left alone. */
    public boolean isUsable(double nowMs) {
        return nowMs >= ejectedUntilMs && (!onTrial || inFlight == 0);
    }

    /** Whether another instance answered at its address lately. */
    public boolean isReplaced(double nowMs) {
        return nowMs < replacedUntilMs;
    }

    /** Whether it may take one more request of this proxy now. */
    public boolean hasCapacity(double nowMs) {
        if (inFlight >= maxInFlight || nowMs < fullUntilMs) {
            return false;
        }
        return nowMs - loadReportedAtMs > LOAD_VALIDITY_MS || reportedBusy < reportedSlots + QUEUE_SLOTS;
    }

    /** Requests there as far as known: this proxy's, and what it told lately. */
    double load(double nowMs) {
        double told = nowMs - loadReportedAtMs > LOAD_VALIDITY_MS || reportedSlots == 0
                ? 0
                : (double) reportedBusy / reportedSlots;
        return inFlight + Math.min(told, 0.99);
    }

    /** Its share of keys: less while cold and where it is slower than the others. */
    double weight(double nowMs, double othersMs) {
        double cold = nowMs < instance.coldUntilMs() ? COLD_WEIGHT : 1;
        double slow = Double.isNaN(meanLatencyMs) || Double.isNaN(othersMs) || meanLatencyMs <= 0
                ? 1
                : othersMs / meanLatencyMs;
        return cold * Math.max(MIN_LATENCY_WEIGHT, Math.min(1, slow * slow));
    }

    /** A draw that depends on the instance and a key alone. */
    double rendezvousDraw(long key) {
        return RendezvousHash.unitInterval(hash ^ key);
    }

    /** The usual time of an answered attempt, in milliseconds; not a number before the first. */
    public double meanLatencyMs() {
        return meanLatencyMs;
    }

    /** A time by which nearly every attempt is answered, in milliseconds; not a number before the first. */
    public double highLatencyMs() {
        return meanLatencyMs + 4 * latencyDeviationMs;
    }

    /** When a connection to it last broke, in milliseconds. */
    public double lastConnectionFailureMs() {
        return lastConnectionFailureMs;
    }

    /** A request of this proxy goes there. */
    public void requestStarted() {
        inFlight++;
    }

    /** It told its load with an answer: requests running and waiting, and its slots. */
    public void loadReported(double nowMs, int running, int waiting, int slots) {
        loadReportedAtMs = nowMs;
        reportedBusy = Math.max(0, running + waiting);
        reportedSlots = slots;
    }

    /** A request of this proxy was taken back before anything of it could be judged. */
    public void requestWithdrawn() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /**
     * A request of this proxy ended.
     *
     * @param elapsedMs how long it took from its writing, in milliseconds
     * @param failedInside whether it was answered with a 5xx of the instance's own
     * @param maySpare whether enough others are left to leave this one alone
     */
    public void requestEnded(
            double nowMs, AttemptOutcome verdict, double elapsedMs, boolean failedInside, boolean maySpare) {
        inFlight = Math.max(0, inFlight - 1);
        switch (verdict) {
            case ANSWERED -> countAnswer(nowMs, elapsedMs, failedInside, maySpare);
            case DECLINED -> fullUntilMs = nowMs + FULL_MS;
            case REFUSED_BY_CACHE -> countAnswer(nowMs, elapsedMs, false, maySpare);
            case MISDIRECTED -> replacedUntilMs = nowMs + REPLACED_MS;
            case SILENT -> countFailure(nowMs, 1, maySpare);
            case GARBLED -> countError(nowMs, maySpare);
            case CONNECT_FAILED, RESET, NEVER_WRITTEN -> {
                lastConnectionFailureMs = nowMs;
                countFailure(nowMs, verdict == AttemptOutcome.CONNECT_FAILED ? FAILURES_BEFORE_EJECTION : 1, maySpare);
            }
            default -> throw new IllegalArgumentException(verdict.name());
        }
    }

    private void countAnswer(double nowMs, double elapsedMs, boolean failedInside, boolean maySpare) {
        onTrial = false;
        consecutiveFailures = 0;
        updateLatency(elapsedMs);
        if (failedInside) {
            countError(nowMs, maySpare);
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

    private void countError(double nowMs, boolean maySpare) {
        errorRate += SMOOTHING * (1 - errorRate);
        if (errorRate > MAX_ERROR_RATE && nowMs >= ejectedUntilMs) {
            eject(nowMs, ejections++, maySpare);
        }
    }

    private void countFailure(double nowMs, double weight, boolean maySpare) {
        consecutiveFailures += weight;
        if (consecutiveFailures >= FAILURES_BEFORE_EJECTION) {
            eject(nowMs, (int) (consecutiveFailures - FAILURES_BEFORE_EJECTION), maySpare);
        }
    }

    private void eject(double nowMs, int times, boolean maySpare) {
        if (maySpare) {
            ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, EJECTION_MS * Math.pow(2, times));
            onTrial = true;
        }
    }
}
