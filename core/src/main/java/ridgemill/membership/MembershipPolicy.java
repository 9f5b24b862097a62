package ridgemill.membership;

/**
 * The figures by which news is believed.
 *
 * @param floorShare the part of the members of late below which a disappearance is not believed, 0 to 1
 * @param floorWindowMs how far back the members are counted against which that is held
 * @param acceptLossAfterMs after how long the same news is believed nevertheless
 * @param staleAfterMs after how long without news a source is called stale, which changes nothing but what is told
 * @param clockSkewMs after how long an older record is taken for the newer one nevertheless: the instance's clock may have been
 *     set back
 * @param maxFlaps how often an instance may come and go within the window before it must stay up for a while to be taken back
 * @param flapWindowMs the window
 * @param flapHoldMs the first such while; it doubles with each further time, up to eight times as long
 */
public record MembershipPolicy(double floorShare, double floorWindowMs, double acceptLossAfterMs, double staleAfterMs,
                               double clockSkewMs, int maxFlaps, double flapWindowMs, double flapHoldMs) {

    /** Half of the members of the last two minutes; news to the contrary is believed after ten. */
    public static final MembershipPolicy DEFAULT = new MembershipPolicy(0.5, 120_000, 600_000, 30_000, 30_000, 4, 60_000, 10_000);

    public MembershipPolicy {
        if (!(floorShare >= 0 && floorShare <= 1) || !(floorWindowMs > 0) || !(acceptLossAfterMs > 0) || !(staleAfterMs > 0)
                || !(clockSkewMs > 0) || maxFlaps < 1 || !(flapWindowMs > 0) || !(flapHoldMs >= 0)) {
            throw new IllegalArgumentException("a floor is from 0 to 1, and times are greater than 0");
        }
    }
}
