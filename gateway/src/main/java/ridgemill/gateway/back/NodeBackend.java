package ridgemill.gateway.back;

import ridgemill.core.Backend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;

/** A back whose nodes come by a list, and whose connections are of those that all groups share. */
public interface NodeBackend extends Backend<Content>, ConnectionLimit.Owner {

    /** Takes in the list: all hosts, or those that changed. */
    void applyHostList(HostList list);
}
