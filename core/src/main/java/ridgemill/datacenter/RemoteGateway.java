package ridgemill.datacenter;

/** What this gateway knows about one gateway of another datacenter. */
final class RemoteGateway {

    private static final double INITIAL_SERVICE_TIME_MS = 20;
    private static final double SMOOTHING = 0.1;
    /** A reported state that is older than this is ignored. */
    private static final double STATE_VALID_MS = 3000;

    final String name;
    final String datacenter;
    final ForwardingWindow window;
    LinkHealth.State linkState = LinkHealth.State.DEAD;
    double rttMs;
    /** When it began to refuse all connections; NaN while it does not. */
    double refusingSinceMs = Double.NaN;
    private DatacenterRouter.GatewayState reportedState;
    private double reportedAtMs = Double.NEGATIVE_INFINITY;
    private double serviceTimeMs = INITIAL_SERVICE_TIME_MS;
    long served;
    long refused;
    long failed;
    long lost;

    RemoteGateway(String name, String datacenter, int maxInFlight) {
        this.name = name;
        this.datacenter = datacenter;
        this.window = new ForwardingWindow(maxInFlight);
    }

    void stateReported(double nowMs, DatacenterRouter.GatewayState state) {
        reportedState = state;
        reportedAtMs = nowMs;
    }

    /**
     * Whether it accepts requests from other datacenters by its last reported state; true if that is missing or too
     * old.
     */
    boolean isAccepting(double nowMs) {
        return reportedState == null || nowMs - reportedAtMs > STATE_VALID_MS || reportedState.accepting()
                && !reportedState.leaving();
    }

    /** How long a request forwarded to it is expected to take, in milliseconds. */
    double expectedMs() {
        return rttMs + serviceTimeMs;
    }

    void recordDuration(double elapsedMs) {
        serviceTimeMs += SMOOTHING * (Math.max(0, elapsedMs - rttMs) - serviceTimeMs);
    }
}
