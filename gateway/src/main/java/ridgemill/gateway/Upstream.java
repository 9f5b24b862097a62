package ridgemill.gateway;

import ridgemill.core.Dispatcher;
import ridgemill.gateway.back.NodeBackend;
import ridgemill.gateway.membership.HostList;
import ridgemill.gateway.net.Content;
import ridgemill.policy.Router.ListUpdateKind;
import ridgemill.policy.Router;

/** A group of nodes with its routing policy, its connections and its dispatcher. */
record Upstream(Router router, NodeBackend backend, Dispatcher<Content> dispatcher) {

    /** Updates the backend first, because the routing policy may only choose nodes that the backend can reach. */
    void applyHostList(ListUpdateKind kind, HostList list) {
        backend.applyHostList(list);
        dispatcher.updateNodes(kind, list.version(), list.nodes());
    }
}
