package ridgemill.testbed.peers;

/**
 * How datagrams fare from one proxy to another. Shares are from 0 to 1, of all that are sent that way.
 *
 * @param lossShare the part that is lost
 * @param delayMs how long each is on its way at least
 * @param spreadMs by how much more at most, each by itself: what is sent later may come earlier
 * @param doubledShare the part that comes twice, each copy with a delay of its own
 * @param replayedShare how often, for each that passes, an old one comes once more
 * @param flippedShare the part that comes with one bit changed
 * @param cut whether nothing passes
 */
public record Way(
        double lossShare,
        double delayMs,
        double spreadMs,
        double doubledShare,
        double replayedShare,
        double flippedShare,
        boolean cut) {

    /** Everything passes at once. */
    public static final Way CLEAR = new Way(0, 0, 0, 0, 0, 0, false);

    public Way loss(double share) {
        return new Way(share, delayMs, spreadMs, doubledShare, replayedShare, flippedShare, cut);
    }

    public Way delay(double ms, double spread) {
        return new Way(lossShare, ms, spread, doubledShare, replayedShare, flippedShare, cut);
    }

    public Way doubled(double share) {
        return new Way(lossShare, delayMs, spreadMs, share, replayedShare, flippedShare, cut);
    }

    public Way replayed(double share) {
        return new Way(lossShare, delayMs, spreadMs, doubledShare, share, flippedShare, cut);
    }

    public Way flipped(double share) {
        return new Way(lossShare, delayMs, spreadMs, doubledShare, replayedShare, share, cut);
    }

    public Way cut(boolean nothing) {
        return new Way(lossShare, delayMs, spreadMs, doubledShare, replayedShare, flippedShare, nothing);
    }
}
