package ridgemill.cdn.proxy.control;

/** Told of changes on the proxy's event loop, after {@link ControlView} shows them. */
public interface ControlListener {

    /** The configuration changed. */
    default void configurationChanged() {}

    /** Instances appeared, started to drain, left or fell silent. */
    default void instancesChanged() {}

    /** All copies of an object must not be served again, nor what fetches under way bring. */
    default void pathPurged(String hostname, String path) {}

    /** All copies that carry a tag must not be served again, nor what fetches under way bring. */
    default void tagPurged(String tag) {}
}
