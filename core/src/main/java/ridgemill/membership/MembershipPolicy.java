package ridgemill.membership;

/**
 * The parameters by which reports of sources are accepted.
 *
 * @param floorShare the fraction of recent members below which a disappearance is not accepted, 0 to 1
 * @param floorWindowMs the time over which recent members are counted for that
 * @param acceptLossAfterMs after how long a disappearance is accepted nevertheless
 * @param staleAfterMs after how long without a report a source is shown as stale, which changes nothing else
 * @param clockSkewMs after how long an older record replaces a newer one nevertheless, as the instance's clock may have
 *     been set back
 * @param maxFlaps how often an instance may come and go within the window before it must stay up for a while to be
 *     taken back
 * @param flapWindowMs that window
 * @param flapHoldMs how long it must stay up the first time; doubled each further time, up to eight times as long
 */
public record MembershipPolicy(double floorShare, double floorWindowMs, double acceptLossAfterMs, double staleAfterMs,
                               double clockSkewMs, int maxFlaps, double flapWindowMs, double flapHoldMs) {

    /** Half of the members of the last two minutes; a larger loss is accepted after ten minutes. */
    public static final MembershipPolicy DEFAULT = new MembershipPolicy(0.5, 120_000, 600_000, 30_000, 30_000, 4,
            60_000, 10_000);

    public MembershipPolicy {
        if (!(floorShare >= 0 && floorShare <= 1) || !(floorWindowMs > 0) || !(acceptLossAfterMs > 0)
                || !(staleAfterMs > 0) || !(clockSkewMs > 0) || maxFlaps < 1 || !(flapWindowMs > 0)
                || !(flapHoldMs >= 0)) {
            throw new IllegalArgumentException("the floor must be from 0 to 1, and times and counts greater than 0");
        }
    }
}
