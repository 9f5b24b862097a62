package ridgemill.gateway.back;

import ridgemill.core.Backend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;

/**
 * A backend that receives its nodes as a host list and whose connections count against the limit that all groups share.
 */
public interface NodeBackend extends Backend<Content>, ConnectionLimit.Owner {

    /** Applies a host list: all hosts, or only those that changed. */
    void applyHostList(HostList list);
}
