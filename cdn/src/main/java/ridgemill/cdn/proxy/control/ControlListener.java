package ridgemill.cdn.proxy.control;

/** Receives changes on the proxy's event loop, after {@link ControlView} reflects them. */
public interface ControlListener {

    /** The configuration changed. */
    default void configurationChanged() {}

    /** Instances were added, started to drain, left, or became unresponsive; or the fleet changed. */
    default void instancesChanged() {}

    /** Copies of an object, and results of fetches in progress, must not be served to later requests. */
    default void pathPurged(String hostname, String path) {}

    /**
     * Copies that carry a tag, and results of fetches in progress that carry it, must not be served to later requests.
     */
    default void tagPurged(String tag) {}
}
