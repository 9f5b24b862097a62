package ridgemill.datacenter;

/** What is known of one gateway of another hall. */
final class RemoteGateway {

    private static final double INITIAL_SERVICE_TIME_MS = 20;
    private static final double SMOOTHING = 0.1;
    /** News of it that is older says nothing. */
    private static final double STATE_VALID_MS = 3000;

    final String name;
    final String datacenter;
    final ForwardingWindow window;
    LinkHealth.State linkState = LinkHealth.State.DEAD;
    double rttMs;
    /** Since when it has done nothing but refuse connections; NaN if it has not. */
    double refusingSinceMs = Double.NaN;
    private DatacenterRouter.GatewayState reportedState;
    private double reportedAtMs = Double.NEGATIVE_INFINITY;
    private double serviceTimeMs = INITIAL_SERVICE_TIME_MS;
    long served;
    long refused;
    long failed;
    long lost;

    RemoteGateway(String name, String hall, int most) {
        this.name = name;
        this.datacenter = hall;
        this.window = new ForwardingWindow(most);
    }

    void stateReported(double nowMs, DatacenterRouter.GatewayState state) {
        reportedState = state;
        reportedAtMs = nowMs;
    }

    /** Whether its own word, if it is fresh, lets others in. */
    boolean isAccepting(double nowMs) {
        return reportedState == null || nowMs - reportedAtMs > STATE_VALID_MS || reportedState.accepting() && !reportedState.leaving();
    }

    /** How long a crossing to it takes as a rule. */
    double expectedMs() {
        return rttMs + serviceTimeMs;
    }

    void recordDuration(double elapsedMs) {
        serviceTimeMs += SMOOTHING * (Math.max(0, elapsedMs - rttMs) - serviceTimeMs);
    }
}
