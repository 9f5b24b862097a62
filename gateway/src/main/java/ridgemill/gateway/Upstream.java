package ridgemill.gateway;

import ridgemill.core.Dispatcher;
import ridgemill.gateway.back.NodeBackend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router;

/** One group of nodes: the decisions about it, and the connections to it. */
record Upstream(Router router, NodeBackend backend, Dispatcher<Content> dispatcher) {

    /** The back first: it must know a node before the module may choose it. */
    void applyHostList(ListUpdateKind kind, HostList list) {
        backend.applyHostList(list);
        dispatcher.updateNodes(kind, list.version(), list.nodes());
    }
}
