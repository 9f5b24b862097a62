package ridgemill.monitoring;

/** Where a process stands between its start and its end. It never goes back. */
public enum Readiness {

    /** It has not asked for the list of nodes yet. */
    STARTING(false, "starting"),
    /** It has asked discovery, and runs its own path until that is quick. */
    WARMING_UP(false, "warming up"),
    /** It listens for clients, and waits for the list of nodes. */
    WAITING_FOR_LIST(false, "waiting for the list of cache nodes"),
    /** Clients may come. */
    SERVING(true, "serving"),
    /** It has been told to end: what it has is answered, and no more is wanted. */
    DRAINING(false, "draining");

    private final boolean serves;
    private final String words;

    Readiness(boolean serves, String words) {
        this.serves = serves;
        this.words = words;
    }

    /** Whether clients may come. */
    public boolean serves() {
        return serves;
    }

    /** What an operator reads. */
    public String description() {
        return words;
    }

    /** The later one of two: news of an earlier step that comes late changes nothing. */
    public Readiness advanceTo(Readiness next) {
        return next.ordinal() > ordinal() ? next : this;
    }
}
