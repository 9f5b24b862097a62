package ridgemill.halls;

/**
 * How many requests of other halls may be open here at once. This hall's own clients come first: the share grows only
 * while they are served as usual, and is halved as soon as they are not, down to nothing while it goes on.
 */
final class ForeignShare {

    private static final double START = 8;
    private static final double WINDOW_MS = 1000;
    private static final int LEAST = 10;
    /** Own requests that are not served, above what is usual here, at which others make room and may take it. */
    private static final double TOO_BAD = 0.02;
    private static final double HALVE_MS = 250;
    private static final double GROW_MS = 100;
    /** How slowly the usual part is learned while nobody else's requests are here, per outcome. */
    private static final double LEARN = 0.01;

    private final int most;
    private final Recent own = new Recent(WINDOW_MS);
    private double usual;
    private double share;
    private int open;
    private double halvedAt = Double.NEGATIVE_INFINITY;
    private double grownAt = Double.NEGATIVE_INFINITY;

    ForeignShare(int most) {
        this.most = most;
        this.share = Math.min(START, most);
    }

    /** One of this hall's own clients was served or not. */
    void own(double nowMs, boolean served) {
        own.add(nowMs, served);
        if (open == 0) {
            usual += LEARN * ((served ? 0 : 1) - usual);
        }
        if (suffers(nowMs) && nowMs - halvedAt >= HALVE_MS) {
            halvedAt = nowMs;
            share = share < 1 ? 0 : share / 2;
        }
    }

    private boolean suffers(double nowMs) {
        return own.total(nowMs) >= LEAST && own.badShare(nowMs) > Math.min(0.5, usual) + TOO_BAD;
    }

    /** Whether one more may come in now; if so it is open until {@link #ended}. */
    boolean admit(double nowMs) {
        if (!suffers(nowMs) && nowMs - grownAt >= GROW_MS && open + 1 >= share) {
            grownAt = nowMs;
            share = Math.min(most, Math.max(1, share * 1.1 + 0.5));
        }
        if (open >= Math.floor(share)) {
            return false;
        }
        open++;
        return true;
    }

    void ended() {
        open--;
    }

    int open() {
        return open;
    }

    int size() {
        return (int) Math.floor(share);
    }
}
