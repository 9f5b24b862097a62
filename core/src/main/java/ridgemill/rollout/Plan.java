package ridgemill.rollout;

import ridgemill.rollout.FileFingerprint.FileVersion;

/**
 * A roll as all know it. Both texts are staged before anybody acts on either, so that the way back needs nothing that may be gone.
 *
 * @param base what all act under before
 * @param target what all are to act under
 * @param rollback what the base says, under a number above the target's
 */
public record Plan(FileVersion base, FileFingerprint target, FileFingerprint rollback) {

    /** What a member is told to do, and where a whole roll goes. */
    public enum Action {
        /** Stage both texts and act on none. */
        HOLD,
        /** To the target. */
        FORWARD,
        /** To what the base said, under a new number. */
        BACK,
        /** Nowhere: nobody has acted, and nobody will. */
        CANCEL
    }

    /** What is acted on that way; null for nothing. */
    FileFingerprint fingerprint(Action way) {
        return way == Action.FORWARD ? target : way == Action.BACK ? rollback : null;
    }
}
