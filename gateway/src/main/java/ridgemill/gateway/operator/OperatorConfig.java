package ridgemill.gateway.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ridgemill.serviceclass.ServiceClassPolicy;
import ridgemill.gateway.datacenter.DatacenterSettings;
import ridgemill.gateway.lease.LeaseSettings;
import ridgemill.gateway.membership.eureka.EurekaRegistration;
import ridgemill.gateway.membership.eureka.EurekaSettings;
import ridgemill.gateway.rollout.RolloutSettings;
import ridgemill.limit.Limits;
import ridgemill.route.RouteQuery;
import ridgemill.route.Route;
import ridgemill.route.RouteTable;

/**
 * What a good operator file says. Immutable, so a running proxy takes a new one between two requests.
 *
 * @param classes by name
 * @param routes to their targets
 * @param limits what is turned away before any node is asked
 * @param groups nodes beside the platform's, by name
 * @param listeners where clients connect, beside what the platform says
 * @param passwords of tenants that ask over RESP, by name; empty where any may
 * @param eureka how a registry is read; null for none
 * @param register what of the gateway itself is in the registry; null for nothing
 * @param control the socket at which operators ask a running proxy; null for none
 * @param halls other halls that requests may cross to; null for none
 * @param deadlines how clients say how long they wait, and what is made of it
 * @param outcomes the record of keyed writes' outcomes; null for none
 * @param leases tasks that one proxy of the fleet does at a time; null for none
 * @param rollout how versions go through the fleet; null where each is reloaded by itself
 * @param version number that the file gives itself; grows with each change, 0 where it gives none
 * @param digest of its text
 * @param audit how it is kept what requests were decided under; null for not at all
 * @param process how many cores are used, and for how long clients' connections are kept
 */
public record OperatorConfig(Map<String, ServiceClassPolicy> classes, RouteTable<Target> routes, Limits limits,
                             Map<String, NodeGroup> groups, List<Listener> listeners, Map<String, String> passwords,
                             EurekaSettings eureka, EurekaRegistration.Self register, Path control, DatacenterSettings halls, DeadlineSettings deadlines,
                             OutcomeSettings outcomes, LeaseSettings leases, RolloutSettings rollout, long version, String digest, AuditSettings audit,
                             ProcessSettings process) {

    /** Where a route leads: a class, or null for the one that the request names, and a group of nodes. */
    public record Target(String service, String group) { }

    /** An address to listen on, and the protocol that is spoken there. */
    public record Listener(String name, InetSocketAddress address, String protocol) { }

    /**
     * What a request gets: the route that takes it, if one does; the name of its class, from the route or else from the
     * request, null if neither names one; and what the file says of that class, if it defines it.
     */
    public record Resolved(Optional<Route<Target>> route, String service, Optional<ServiceClassPolicy> policy) { }

    public OperatorConfig {
        classes = Map.copyOf(classes);
        groups = Map.copyOf(groups);
        passwords = Map.copyOf(passwords);
        listeners = List.copyOf(listeners);
    }

    /** Finds what holds for a request; {@code named} is the class that it names itself, or null. */
    public Resolved resolve(RouteQuery query, String named) {
        Optional<Route<Target>> route = routes.match(query);
        String service = route.map(r -> r.target().service()).orElse(named);
        return new Resolved(route, service, Optional.ofNullable(service == null ? null : classes.get(service)));
    }
}
