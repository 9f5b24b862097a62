package ridgemill.core;

import ridgemill.policy.Reason;
import ridgemill.policy.Router.Outcome;

/** Keeps under which version each request was decided: what holds when it begins holds to its last attempt. Used by one thread. */
public interface VersionTracker {

    /** Keeps nothing. */
    VersionTracker NONE = (nowMs, id, service, group, list) -> RequestVersion.NONE;

    /**
     * A request has been taken; {@link RequestVersion#requestEnded} is owed once.
     *
     * @param id of the request; null for one that was turned away before it had any
     * @param service its class
     * @param group of nodes that it goes to
     * @param list number of that group's host list, as it holds now; 0 before there is one
     */
    RequestVersion requestStarted(double nowMs, String id, String service, String group, long list);

    /** A group's host list has come, or been confirmed: the one of this number holds. */
    default void hostListConfirmed(double nowMs, String group, long list) { }

    /** Whoever gives a group's host list can't be asked: the one that holds may be late from now on. */
    default void hostListUnavailable(double nowMs, String group) { }

    /** The version that one request, among others, is decided under. */
    interface RequestVersion {

        /** Nothing is kept. */
        RequestVersion NONE = (nowMs, service, end, why) -> { };

        /** The request, of this class, has ended so; {@link Reason#UNSAID} where there is nothing to say of why. */
        void requestEnded(double nowMs, String service, RequestCounters.RequestResult end, Reason why);

        /** An attempt of it goes to a node. */
        default void attemptSent(double nowMs, String node) { }

        /** The attempt that was out has ended so. */
        default void attemptEnded(double nowMs, Outcome outcome) { }

        /** An attempt of it was written whole to a node. */
        default void attemptWritten() { }

        /** What nodes are told with each attempt; null for nothing. */
        default String versionLabel() {
            return null;
        }
    }
}
