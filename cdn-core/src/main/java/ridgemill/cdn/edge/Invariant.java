package ridgemill.cdn.edge;

import java.util.Locale;

/** The invariants that hold in every process at any time. Each violation is counted and logged, and fails a test. */
public enum Invariant {
    /** The connections in use at an instance stay within this process' share of the instance's cap. */
    CONNECTIONS_WITHIN_PART,
    /** The requests sent to a service within the window stay within this process' share of the service's rate. */
    REQUESTS_WITHIN_PART,
    /** No copy is served that is older than a purge that this process had received when the request arrived. */
    COPY_NEWER_THAN_PURGE;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name of the invariant in metrics and logs. */
    public String label() {
        return label;
    }
}
