package ridgemill.core;

import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/**
 * Tracks which configuration version each request is handled under: the version in effect when a request starts applies
 * until its last attempt. Used by one thread.
 */
public interface VersionTracker {

    /** Tracks nothing. */
    VersionTracker NONE = (nowMs, id, serviceClass, group, listVersion) -> RequestVersion.NONE;

    /**
     * A request was taken; {@link RequestVersion#requestEnded} must be called once for it.
     *
     * @param id id of the request; null for one that was rejected before it had an id
     * @param serviceClass its class
     * @param group node group that it goes to
     * @param listVersion version of that group's current host list; 0 before there is one
     */
    RequestVersion requestStarted(double nowMs, String id, String serviceClass, String group, long listVersion);

    /** A group's host list was received or confirmed; it has this version. */
    default void hostListConfirmed(double nowMs, String group, long listVersion) { }

    /** The source of a group's host list is unavailable: the current list may be stale from now on. */
    default void hostListUnavailable(double nowMs, String group) { }

    /** The version that one request, among others, is handled under. */
    interface RequestVersion {

        /** Tracks nothing. */
        RequestVersion NONE = (nowMs, serviceClass, result, reason) -> { };

        /** The request, of this class, has ended; {@code reason} is {@link Reason#UNSAID} if no reason was given. */
        void requestEnded(double nowMs, String serviceClass, RequestCounters.RequestResult result, Reason reason);

        /** An attempt of the request was sent to a node. */
        default void attemptSent(double nowMs, String node) { }

        /** The current attempt has ended. */
        default void attemptEnded(double nowMs, Outcome outcome) { }

        /** An attempt of the request was written completely to a node. */
        default void attemptWritten() { }

        /** Label of the version that is sent to nodes with each attempt; null for none. */
        default String versionLabel() {
            return null;
        }
    }
}
