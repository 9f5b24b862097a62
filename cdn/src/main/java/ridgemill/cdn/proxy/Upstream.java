package ridgemill.cdn.proxy;

import ridgemill.cdn.edge.InstancePicker;
import ridgemill.cdn.edge.InstanceStats;
import ridgemill.cdn.edge.OriginShare;
import ridgemill.cdn.edge.RetryBudget;
import ridgemill.cdn.edge.ServiceAdmission;
import ridgemill.cdn.proxy.ProxyMeters.ServiceMeters;

/** Where a call finds instances for its attempts, and the limits that apply to them. */
interface Upstream {

    InstancePicker picker();

    /** The connections to an instance, also while it is draining. */
    ConnectionPool pool(InstanceStats stats);

    /** The limit on requests per second. */
    OriginShare originShare();

    /** The limit on retries. */
    RetryBudget retryBudget();

    /** Receives the outcome of each attempt. */
    ServiceAdmission admission();

    ServiceMeters meters();

    /** Notifies a call once an instance may have capacity. */
    void awaitCapacity(UpstreamCall call);

    /** Removes a call that stopped waiting. */
    void stopAwaiting(UpstreamCall call);

    /** Lets the calls that wait for capacity try again. */
    void retryWaiting();
}
