package ridgemill.gateway.back;

import ridgemill.core.Backend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;

/** A back whose nodes come by a list, and whose connections are of those that all groups share. */
public interface NodeBack extends Backend<Content>, Sockets.User {

    /** Takes in the list: all hosts, or those that changed. */
    void list(HostList list);
}
