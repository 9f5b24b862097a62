package ridgemill.cdn.instances;

/** The state of an instance. An incarnation of an instance never returns to an earlier state. */
public enum InstanceState {
    /** Accepts requests. */
    READY,
    /** Finishes its pending requests and accepts no new ones. */
    DRAINING,
    /** Has stopped for good. */
    GONE
}
