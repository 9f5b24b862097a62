package ridgemill.halls;

/** What is known of one gateway of another hall. */
final class Gateway {

    private static final double USUAL_MS = 20;
    private static final double SMOOTH = 0.1;
    /** News of it that is older says nothing. */
    private static final double FRESH_MS = 3000;

    final String name;
    final String hall;
    final CrossingWindow window;
    LinkPulse.State link = LinkPulse.State.DEAD;
    double rttMs;
    /** Since when it has done nothing but refuse connections; NaN if it has not. */
    double refusingSince = Double.NaN;
    private Halls.Told told;
    private double toldAt = Double.NEGATIVE_INFINITY;
    private double workMs = USUAL_MS;
    long served;
    long refused;
    long failed;
    long lost;

    Gateway(String name, String hall, int most) {
        this.name = name;
        this.hall = hall;
        this.window = new CrossingWindow(most);
    }

    void told(double nowMs, Halls.Told state) {
        told = state;
        toldAt = nowMs;
    }

    /** Whether its own word, if it is fresh, lets others in. */
    boolean isOpen(double nowMs) {
        return told == null || nowMs - toldAt > FRESH_MS || told.takes() && !told.leaving();
    }

    /** How long a crossing to it takes as a rule. */
    double expectedMs() {
        return rttMs + workMs;
    }

    void took(double elapsedMs) {
        workMs += SMOOTH * (Math.max(0, elapsedMs - rttMs) - workMs);
    }
}
