package ridgemill.datacenter;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The rules for forwarding requests between datacenters.
 *
 * @param datacenter the name of this datacenter
 * @param gateways the gateways of each other datacenter by its name, the preferred datacenter first
 * @param classes the request classes that may be forwarded; empty for all
 * @param sharedDeduplication the datacenters whose nodes drop duplicates of keyed writes that may have run in this one,
 *     and the reverse
 * @param maxForwardsPerSecond how many requests this gateway may forward a second, greater than 0
 * @param maxInFlightPerGateway how many forwarded requests may be in flight to one gateway, 1 or more
 * @param maxRemoteRequests how many requests of other datacenters may be open here at once; 0 accepts none
 * @param hopLimit how many datacenters a request may have entered before this one, 1 or more
 * @param gatewayGoneAfterMs how long a gateway must have refused connections before it is assumed to run nothing, 0 or
 *     more
 */
public record DatacenterPolicy(String datacenter, Map<String, List<String>> gateways, Set<String> classes,
                               Set<String> sharedDeduplication, double maxForwardsPerSecond, int maxInFlightPerGateway,
                               int maxRemoteRequests, int hopLimit, double gatewayGoneAfterMs) {

    private static final Pattern NAME = Pattern.compile("[0-9A-Za-z_.-]{1,64}");

    public DatacenterPolicy {
        if (datacenter == null || datacenter.isEmpty() || gateways.containsKey(datacenter)) {
            throw new IllegalArgumentException("the datacenter's name is missing or is also the name of a peer: "
                    + datacenter);
        }
        if (!(maxForwardsPerSecond > 0) || maxInFlightPerGateway < 1 || maxRemoteRequests < 0 || hopLimit < 1
                || !(gatewayGoneAfterMs >= 0)) {
            throw new IllegalArgumentException("limits between datacenters must be positive");
        }
        Map<String, List<String>> copy = new LinkedHashMap<>();
        gateways.forEach((peer, names) -> copy.put(peer, List.copyOf(names)));
        gateways = copy;
        classes = Set.copyOf(classes);
        sharedDeduplication = Set.copyOf(sharedDeduplication);
    }

    /** Whether a text may name a datacenter. Names appear in header fields, certificates and logs. */
    public static boolean isValidName(String text) {
        return NAME.matcher(text).matches();
    }

    /** All gateways of all other datacenters. */
    public List<String> allGateways() {
        return gateways.values().stream().flatMap(Collection::stream).toList();
    }

    /** The datacenter of a gateway; null for a gateway that the policy does not name. */
    public String datacenterOf(String gateway) {
        return gateways.entrySet().stream().filter(e -> e.getValue().contains(gateway)).map(Map.Entry::getKey)
                .findFirst().orElse(null);
    }

    /** Whether requests of a class may be forwarded. */
    public boolean isForwardable(String service) {
        return classes.isEmpty() || classes.contains(service);
    }
}
