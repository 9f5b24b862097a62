package ridgemill.datacenter;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import ridgemill.policy.Router.Effect;
import ridgemill.policy.Router.ServiceClass;

/** A request on its way through this datacenter, with the state that {@link DatacenterRouter} keeps for it. */
public final class RoutedRequest {

    private final String id;
    private final ServiceClass service;
    private final String idempotencyKey;
    private final boolean retry;
    private final DatacenterPath path;
    double deadlineMs;
    /** Datacenters that it has entered by being forwarded; none is entered twice. */
    final Set<String> enteredDatacenters = new HashSet<>();
    /** Gateways that it could not be sent to. */
    final Set<String> unreachableGateways = new HashSet<>();
    /** Datacenters other than this one in which it may have run. */
    final Set<String> mayHaveRunIn = new HashSet<>();
    RemoteGateway gateway;
    double forwardedAtMs;
    double queriedAtMs;
    /** The only datacenter that may run it; null for any. */
    String boundDatacenter;
    boolean sharedDeduplicationOnly;
    boolean triedHome;
    boolean mayBeInProgress;
    DatacenterRouter.HomeOutcome homeOutcome;
    /** The entry that this request made in the key table; removed if it is proven that the request never ran. */
    IdempotencyKeyTable.Entry createdEntry;
    boolean holdsRemoteSlot;

    /**
     * A request that has arrived.
     *
     * @param idempotencyKey null for none
     * @param retry whether its client marked it as a retry
     * @param path the datacenters that it passed before
     * @param deadlineMs until when its client waits
     */
    public RoutedRequest(String id, ServiceClass service, String idempotencyKey, boolean retry, DatacenterPath path,
            double deadlineMs) {
        this.id = id;
        this.service = service;
        this.idempotencyKey = idempotencyKey;
        this.retry = retry;
        this.path = path;
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

    /** Where it was before it arrived here. */
    public DatacenterPath path() {
        return path;
    }

    /** When its time is up; earlier than its client's deadline if nodes forget its key sooner. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Datacenters that it has entered from here, directly or through another one. */
    public Set<String> enteredDatacenters() {
        return Set.copyOf(enteredDatacenters);
    }

    /** Its path with this datacenter as the last element, as it is sent to the next datacenter. */
    public DatacenterPath forwardedPath(String datacenter) {
        List<String> visited = new ArrayList<>(path.datacenters());
        enteredDatacenters.stream().filter(h -> gateway == null || !h.equals(gateway.datacenter)).forEach(visited::add);
        Set<String> mayHaveRun = new HashSet<>(path.mayHaveRun());
        mayHaveRun.addAll(mayHaveRunIn);
        return new DatacenterPath(visited, mayHaveRun).append(datacenter, mayHaveRunAtHome());
    }

    /** Whether it was sent to this datacenter's nodes, and may still be there. */
    public boolean triedHome() {
        return triedHome;
    }

    /** Whether an attempt may still be in progress somewhere, so that no other may be started. */
    public boolean mayBeInProgress() {
        return mayBeInProgress;
    }

    /** Whether it may have run on this datacenter's nodes. */
    public boolean mayHaveRunAtHome() {
        return homeOutcome == DatacenterRouter.HomeOutcome.UNPROVEN
                || homeOutcome == DatacenterRouter.HomeOutcome.FAILED;
    }

    boolean isKeyed() {
        return service.effect() == Effect.KEYED && idempotencyKey != null;
    }

    boolean isSafe() {
        return service.effect() == Effect.SAFE;
    }

    boolean hasVisited(String datacenter) {
        return path.contains(datacenter) || enteredDatacenters.contains(datacenter);
    }
}
