package ridgemill.datacenter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** One request on its way through this hall, as {@link DatacenterRouter} knows it. */
public final class RoutedRequest {

    private final String id;
    private final ServiceClass service;
    private final String idempotencyKey;
    private final boolean retry;
    private final DatacenterPath path;
    double deadlineMs;
    /** Halls that it has entered across; none is entered twice. */
    final Set<String> enteredDatacenters = new HashSet<>();
    /** Gateways that could not be reached. */
    final Set<String> unreachableGateways = new HashSet<>();
    /** Halls other than this in which it may have run. */
    final Set<String> mayHaveRunIn = new HashSet<>();
    RemoteGateway gateway;
    double forwardedAtMs;
    double queriedAtMs;
    /** The hall that alone may run it; null for any. */
    String boundDatacenter;
    boolean sharedDeduplicationOnly;
    boolean triedHome;
    boolean mayBeInProgress;
    DatacenterRouter.HomeOutcome homeOutcome;
    /** The entry that this call made in the ledger, which goes if it is proven that it never ran. */
    IdempotencyKeyTable.Entry createdEntry;
    boolean holdsRemoteSlot;

    /**
     * A request that has come.
     *
     * @param key the idempotency key; null for none
     * @param retry whether its client marked it as a retry
     * @param deadlineMs until when its client waits
     */
    public RoutedRequest(String id, ServiceClass service, String key, boolean retry, DatacenterPath trail, double deadlineMs) {
        this.id = id;
        this.service = service;
        this.idempotencyKey = key;
        this.retry = retry;
        this.path = trail;
        this.deadlineMs = deadlineMs;
    }

    public String id() {
        return id;
    }

    public ServiceClass service() {
        return service;
    }

    /** The idempotency key; null for none. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    public boolean isRetry() {
        return retry;
    }

    /** Where it was before it came here. */
    public DatacenterPath path() {
        return path;
    }

    /** When its time is up; earlier than its client's where repeats are forgotten sooner. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Halls that it has entered from here or beyond. */
    public Set<String> enteredDatacenters() {
        return Set.copyOf(enteredDatacenters);
    }

    /** Where it has been, this hall last, as the next one is told. */
    public DatacenterPath forwardedPath(String hall) {
        List<String> all = new ArrayList<>(path.datacenters());
        enteredDatacenters.stream().filter(h -> gateway == null || !h.equals(gateway.datacenter)).forEach(all::add);
        Set<String> ran = new HashSet<>(path.mayHaveRun());
        ran.addAll(mayHaveRunIn);
        return new DatacenterPath(all, ran).append(hall, mayHaveRunAtHome());
    }

    /** Whether it has been to this hall's nodes, or is there. */
    public boolean triedHome() {
        return triedHome;
    }

    /** Whether an attempt of it may still be out somewhere, so that nobody may begin another. */
    public boolean mayBeInProgress() {
        return mayBeInProgress;
    }

    /** Whether it may have run at this hall's nodes. */
    public boolean mayHaveRunAtHome() {
        return homeOutcome == DatacenterRouter.HomeOutcome.UNPROVEN || homeOutcome == DatacenterRouter.HomeOutcome.FAILED;
    }

    boolean isKeyed() {
        return service.effect() == Effect.KEYED && idempotencyKey != null;
    }

    boolean isSafe() {
        return service.effect() == Effect.SAFE;
    }

    boolean hasVisited(String hall) {
        return path.contains(hall) || enteredDatacenters.contains(hall);
    }
}
