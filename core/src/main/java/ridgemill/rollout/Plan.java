package ridgemill.rollout;

import ridgemill.rollout.FileFingerprint.FileVersion;

/**
 * A rollout as all members know it. Both texts are staged before either comes into effect, so that a rollback needs
 * nothing that may be unavailable then.
 *
 * @param base version in effect at all members before the rollout
 * @param target text that is to come into effect at all members
 * @param rollback the base's contents, with a number above the target's
 */
public record Plan(FileVersion base, FileFingerprint target, FileFingerprint rollback) {

    /** What a member is ordered to do, and the direction of a whole rollout. */
    public enum Action {
        /** Stage both texts and put neither into effect. */
        HOLD,
        /** Put the target into effect. */
        FORWARD,
        /** Put the rollback text into effect: the base's contents under a new number. */
        BACK,
        /** Put neither into effect, now or later: no member has the target in effect. */
        CANCEL
    }

    /** Returns the text that the action puts into effect; null if there is none. */
    FileFingerprint fingerprint(Action action) {
        return action == Action.FORWARD ? target : action == Action.BACK ? rollback : null;
    }
}
