package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.OriginShare;
import ridgemill.cdn.edge.RetryBudget;
import ridgemill.cdn.edge.ServiceAdmission;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;

/** Where a delivery finds places for its attempts, and the bounds that these draw on. */
interface Upstream {

    InstancePicker picker();

    /** The connections to a place, also while it is leaving. */
    ConnectionPool pool(InstanceStats stats);

    /** The bound on requests a second. */
    OriginShare originShare();

    /** The bound on attempts beyond each request's first. */
    RetryBudget retryBudget();

    /** Learns from the outcome of each attempt. */
    ServiceAdmission admission();

    ServiceMeters meters();

    /** Lets a delivery know once a place may have room. */
    void awaitCapacity(UpstreamCall delivery);

    /** A delivery does not wait any more. */
    void stopAwaiting(UpstreamCall delivery);

    /** Lets those that wait for room try again. */
    void retryWaiting();
}
