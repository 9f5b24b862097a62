package ridgemill.lease;

/**
 * One proxy's own time as marks that others give back with what they tell: what is told in answer to a mark is not older than the mark,
 * whatever clocks say and however long it was on its way. A mark is milliseconds since a start, cut to 32 bits.
 */
public final class EchoTimestamps {

    private final double startedAt;

    /** Marks count from this time on. */
    public EchoTimestamps(double now) {
        this.startedAt = now;
    }

    /** The mark of now. */
    public int timestamp(double now) {
        return (int) (long) (now - startedAt);
    }

    /** How long ago a mark was sent; infinite for one that can't have been yet. */
    public double ageMs(double now, int mark) {
        int age = timestamp(now) - mark;
        return age < 0 ? Double.POSITIVE_INFINITY : age;
    }

    /** Whether a listener's next mark takes the place of one that came so long ago: it is later, or that one is as good as forgotten. */
    public static boolean supersedes(int next, int before, double agoMs, double forgottenMs) {
        return next - before > 0 || agoMs > forgottenMs;
    }
}
