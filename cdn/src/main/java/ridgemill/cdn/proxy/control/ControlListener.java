package ridgemill.cdn.proxy.control;

/** Receives changes on the proxy's event loop, after {@link ControlView} reflects them. */
public interface ControlListener {

    /** The configuration changed. */
    default void configurationChanged() {}

    /** Instances were added, started to drain, left, or became unresponsive; or the fleet changed. */
    default void instancesChanged() {}

    /**
     * Copies of an object that were fetched before a time, also by fetches in progress, must not be served to later
     * requests.
     *
     * @param purgedAtMs that time: the latest one at which the purge may have been published
     */
    default void pathPurged(String hostname, String path, double purgedAtMs) {}

    /** As {@link #pathPurged}, for copies that carry a tag. */
    default void tagPurged(String tag, double purgedAtMs) {}
}
