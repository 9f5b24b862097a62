package ridgemill.cdn.instances;

/** What an instance last said of itself; later states are final in one life of an instance. */
public enum InstanceState {
    /** Takes requests. */
    READY,
    /** Finishes what it has and takes nothing new. */
    DRAINING,
    /** Has left. */
    GONE
}
