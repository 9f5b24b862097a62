package ridgemill.halls;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** One request on its way through this hall, as {@link Halls} knows it. */
public final class Passing {

    private final String id;
    private final ServiceClass service;
    private final String key;
    private final boolean retry;
    private final Trail trail;
    double deadlineMs;
    /** Halls that it has entered across; none is entered twice. */
    final Set<String> entered = new HashSet<>();
    /** Gateways that could not be reached. */
    final Set<String> tried = new HashSet<>();
    /** Halls other than this in which it may have run. */
    final Set<String> ranAcross = new HashSet<>();
    Gateway gateway;
    double crossedAt;
    double askedAt;
    /** The hall that alone may run it; null for any. */
    String bound;
    boolean onlySharing;
    boolean wentHome;
    boolean mayBeOut;
    Halls.HomeEnd homeEnd;
    /** The entry that this call made in the ledger, which goes if it is proven that it never ran. */
    RepeatLedger.Entry made;
    boolean admitted;

    /**
     * A request that has come.
     *
     * @param key the idempotency key; null for none
     * @param retry whether its client marked it as a retry
     * @param deadlineMs until when its client waits
     */
    public Passing(String id, ServiceClass service, String key, boolean retry, Trail trail, double deadlineMs) {
        this.id = id;
        this.service = service;
        this.key = key;
        this.retry = retry;
        this.trail = trail;
        this.deadlineMs = deadlineMs;
    }

    public String id() {
        return id;
    }

    public ServiceClass service() {
        return service;
    }

    /** The idempotency key; null for none. */
    public String key() {
        return key;
    }

    public boolean isRetry() {
        return retry;
    }

    /** Where it was before it came here. */
    public Trail trail() {
        return trail;
    }

    /** When its time is up; earlier than its client's where repeats are forgotten sooner. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Halls that it has entered from here or beyond. */
    public Set<String> entered() {
        return Set.copyOf(entered);
    }

    /** Where it has been, this hall last, as the next one is told. */
    public Trail onward(String hall) {
        List<String> all = new ArrayList<>(trail.halls());
        entered.stream().filter(h -> gateway == null || !h.equals(gateway.hall)).forEach(all::add);
        Set<String> ran = new HashSet<>(trail.mayHaveRun());
        ran.addAll(ranAcross);
        return new Trail(all, ran).through(hall, ranHome());
    }

    /** Whether it has been to this hall's nodes, or is there. */
    public boolean wentHome() {
        return wentHome;
    }

    /** Whether an attempt of it may still be out somewhere, so that nobody may begin another. */
    public boolean mayBeOut() {
        return mayBeOut;
    }

    /** Whether it may have run at this hall's nodes. */
    public boolean ranHome() {
        return homeEnd == Halls.HomeEnd.UNPROVEN || homeEnd == Halls.HomeEnd.FAILED;
    }

    boolean isKeyed() {
        return service.effect() == Effect.KEYED && key != null;
    }

    boolean isSafe() {
        return service.effect() == Effect.SAFE;
    }

    boolean knows(String hall) {
        return trail.knows(hall) || entered.contains(hall);
    }
}
