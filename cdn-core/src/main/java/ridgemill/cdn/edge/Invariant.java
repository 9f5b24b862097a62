package ridgemill.cdn.edge;

import java.util.Locale;

/** What must hold in every process at any time; each break is counted and logged, and fails a test. */
public enum Invariant {
    /** Connections in use at an instance stay within this process' part of the instance's cap. */
    CONNECTIONS_WITHIN_PART,
    /** Requests sent to a service in its window stay within this process' part of the service's rate. */
    REQUESTS_WITHIN_PART,
    /** No copy is given out that is older than a purge which this process had heard of when it was asked. */
    COPY_NEWER_THAN_PURGE;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** The name in metrics and logs. */
    public String label() {
        return label;
    }
}
