package ridgemill.monitoring;

/** The phase of a process from its start to its end. A process never returns to an earlier phase. */
public enum Readiness {

    /** The node list has not been requested yet. */
    STARTING(false, "starting"),
    /** Service discovery has been asked; the process runs its own request path until the code is fast. */
    WARMING_UP(false, "warming up"),
    /** The process listens for clients and waits for the node list. */
    WAITING_FOR_LIST(false, "waiting for the list of cache nodes"),
    /** Client requests are accepted. */
    SERVING(true, "serving"),
    /** The process is shutting down: it answers open requests and should get no new ones. */
    DRAINING(false, "draining");

    private final boolean serves;
    private final String description;

    Readiness(boolean serves, String description) {
        this.serves = serves;
        this.description = description;
    }

    /** Whether client requests are accepted. */
    public boolean serves() {
        return serves;
    }

    /** The text that operators see. */
    public String description() {
        return description;
    }

    /** The later of two phases: a late report of an earlier phase changes nothing. */
    public Readiness advanceTo(Readiness next) {
        return next.ordinal() > ordinal() ? next : this;
    }
}
