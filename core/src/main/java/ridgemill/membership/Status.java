package ridgemill.membership;

/**
 * The status that a source reports for an instance; the names are Eureka's
 * (com.netflix.appinfo.InstanceInfo.InstanceStatus).
 */
public enum Status {
    /** It accepts requests. */
    UP,
    /** It does not accept requests yet. */
    STARTING,
    /** Its own health check fails. */
    DOWN,
    /** An operator has taken it out of service: it drains. */
    OUT_OF_SERVICE,
    /** The source does not know. */
    UNKNOWN
}
